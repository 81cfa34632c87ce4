package io

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/internal/codec"
	"jayloft/wire"
)

// beat sends a heartbeat to an entry.
func (s *AgentServer) beat(c core.SendBeat) {
	ev := core.BeatAnswered{Entry: c.Entry, Sent: c.Beat.Sent}
	m, fault := call(s.peers, c.Entry, time.Now().Add(beatTimeout), codec.BeatToWire(c.Beat),
		func(p *peer, ctx context.Context, r *connect.Request[wire.BeatRequest]) (*connect.Response[wire.BeatResponse], error) {
			return p.entry.Beat(ctx, r)
		})
	ev.Fault = fault
	if fault == core.FaultNone {
		var err error
		if ev.Answer, err = codec.BeatAnswerFromWire(m); err != nil {
			s.meter.log.WithError(err).WithField("peer", c.Entry.String()).Warn("answer of a foreign process")
			ev.Fault = core.FaultCut
		}
	}
	s.drive.post(ev)
	if ev.Fault == core.FaultNone {
		s.heard.Store(true)
	}
}

// ask makes one call to the worker that ends by the deadline.
func ask[Q, A any](s *AgentServer, by time.Time, req *Q,
	f func(context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*A, core.Fault) {
	if !time.Now().Before(by) {
		return nil, core.FaultNotSent
	}
	select {
	case s.calls <- struct{}{}:
		defer func() { <-s.calls }()
	default:
		return nil, core.FaultNotSent
	}
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	res, err := f(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, faultOf(err)
	}
	return res.Msg, core.FaultNone
}

// inspect asks the worker for its account.
func (s *AgentServer) inspect() {
	m, fault := ask(s, time.Now().Add(workerTimeout), &wire.InspectRequest{}, s.worker.Inspect)
	ev := codec.InspectedFromWire(m)
	ev.Fault = fault
	s.drive.post(ev)
}

// launch starts a task at the worker.
func (s *AgentServer) launch(c core.Launch) {
	m, fault := ask(s, time.Now().Add(workerTimeout), codec.LaunchToWire(c), s.worker.Launch)
	s.drive.post(core.Launched{
		Attempt: c.Order.Attempt, Started: m.GetStarted(), Reason: m.GetReason(), Fault: fault,
	})
}

// renew moves the deadlines of tasks at the worker. The reducer learns from
// the next Inspect what came of it.
func (s *AgentServer) renew(c core.Renew) {
	_, _ = ask(s, time.Now().Add(workerTimeout), codec.RenewToWire(c), s.worker.Renew)
}

// control changes a task at the worker.
func (s *AgentServer) control(c core.Control) {
	m, fault := ask(s, time.Now().Add(workerTimeout), codec.ControlToWire(c), s.worker.Control)
	s.drive.post(core.Controlled{Attempt: c.Attempt, Verb: c.Verb, Done: m.GetDone(), Fault: fault})
}

// call runs a request in the endpoint.
func (s *AgentServer) call(c core.Call) {
	req := &wire.CallRequest{Id: string(c.ID), Service: c.Service, Body: c.Body}
	m, fault := ask(s, c.Deadline, req, s.worker.Call)
	s.drive.post(core.Called{
		ID: c.ID, OK: m.GetOk(), Body: m.GetBody(), Text: m.GetReason(),
		Invalid: m.GetInvalid(), Fault: fault,
	})
}
