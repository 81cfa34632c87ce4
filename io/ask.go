package io

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/internal/codec"
	"jayloft/wire"
)

// Job passes a caller's request about a job to the reducer and waits for its
// answer. The request's deadline is left from now; the outcome is unknown if there
// is no answer by then or ctx ends first.
func (s *EntryServer) Job(ctx context.Context, req core.JobRequest, left time.Duration) core.JobAnswer {
	req.Deadline = s.driver.now().Add(left)
	ev := core.JobRequested{Token: s.tokens.next(), Request: req}
	c := s.jobs.add(ev.Token)
	s.driver.post(ev)
	// The reducer answers at the deadline; serveGrace allows for scheduling delays.
	t := time.NewTimer(left + serveGrace)
	defer t.Stop()
	select {
	case ans := <-c:
		return ans
	case <-ctx.Done():
	case <-t.C:
	}
	s.jobs.remove(ev.Token)
	return core.JobAnswer{Outcome: core.JobUnknown, Reason: core.ReasonDeadline}
}

// Job serves a job request that another entry relays.
func (h entryRPC) Job(ctx context.Context, r *connect.Request[wire.JobRequest]) (*connect.Response[wire.JobResponse], error) {
	a, err := codec.JobRequestFromWire(r.Msg, time.Time{})
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	ans := h.s.Job(ctx, a, time.Duration(r.Msg.GetLeftNs()))
	return connect.NewResponse(codec.JobAnswerToWire(ans)), nil
}

// relay forwards a job request to another entry.
func (s *EntryServer) relay(c core.Relay) {
	now := s.driver.now()
	ev := core.RelayAnswered{Token: c.Token, Fault: core.FaultNotSent}
	req, err := codec.JobRequestToWire(c.Request, now)
	if err != nil {
		s.meter.log.WithError(err).Warn("call not relayed")
		s.driver.post(ev)
		return
	}
	left := min(c.Request.Deadline.Sub(now), relayTimeout)
	m, fault := call(s.peers, c.Addr, time.Now().Add(left), req,
		func(p *peer, ctx context.Context, r *connect.Request[wire.JobRequest]) (*connect.Response[wire.JobResponse], error) {
			return p.entry.Job(ctx, r)
		})
	ev.Fault = fault
	if fault == core.FaultNone {
		if ev.Answer, err = codec.JobAnswerFromWire(m); err != nil {
			ev.Fault = s.logMalformed(err, c.Addr.String())
		}
	}
	s.driver.post(ev)
}
