package io

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/internal/codec"
	"jayloft/table"
	"jayloft/wire"
)

// serve sends a request to an agent.
func (s *EntryServer) serve(c core.Serve) {
	now := time.Now()
	ev := core.ServeAnswered{Call: c.Call}
	m, fault := call(s.peers, c.Addr, c.Request.Deadline.Add(serveGrace), codec.ServeToWire(c, now),
		func(p *peer, ctx context.Context, r *connect.Request[wire.ServeRequest]) (*connect.Response[wire.ServeResponse], error) {
			return p.serve(ctx, r)
		})
	ev.Fault = fault
	if fault == core.FaultNone {
		var err error
		if ev.Answer, err = codec.ServeAnswerFromWire(m, c.Request.ID); err != nil {
			ev.Fault = s.logMalformed(err, c.Addr.String())
		}
	}
	s.driver.post(ev)
}

// revoke asks an agent to revoke a request.
func (s *EntryServer) revoke(c core.Revoke) {
	ev := core.RevokeAnswered{Call: c.Call}
	req := &wire.RevokeRequest{Id: string(c.ID), Run: string(c.Run)}
	m, fault := call(s.peers, c.Addr, c.Deadline, req,
		func(p *peer, ctx context.Context, r *connect.Request[wire.RevokeRequest]) (*connect.Response[wire.RevokeResponse], error) {
			return p.agent.Revoke(ctx, r)
		})
	ev.Fault = fault
	if fault == core.FaultNone {
		r, err := codec.RevokeReplyFromWire(m, c.ID)
		if err != nil {
			ev.Fault = s.logMalformed(err, c.Addr.String())
		}
		ev.State, ev.Answer = r.State, r.Answer
	}
	s.driver.post(ev)
}

// start asks an agent to start an attempt.
func (s *EntryServer) start(c core.Start) {
	defer s.meter.observeSince("agent.start", time.Now())
	m, fault := call(s.peers, c.Addr, time.Now().Add(orderTimeout), codec.StartToWire(c.Order),
		func(p *peer, ctx context.Context, r *connect.Request[wire.StartRequest]) (*connect.Response[wire.StartResponse], error) {
			return p.agent.Start(ctx, r)
		})
	s.driver.post(core.StartAnswered{
		Token: c.Token, Started: m.GetStarted(), Reason: core.Reason(m.GetReason()), Fault: fault,
	})
}

// stop asks an agent to stop an attempt. Its answer is ignored.
func (s *EntryServer) stop(c core.Stop) {
	_, _ = call(s.peers, c.Addr, time.Now().Add(orderTimeout), codec.StopToWire(c),
		func(p *peer, ctx context.Context, r *connect.Request[wire.StopRequest]) (*connect.Response[wire.StopResponse], error) {
			return p.agent.Stop(ctx, r)
		})
}

// settle asks an agent for the definite state of an attempt.
func (s *EntryServer) settle(c core.Settle) {
	ev := core.SettleAnswered{Token: c.Token}
	m, fault := call(s.peers, c.Addr, time.Now().Add(orderTimeout), codec.SettleToWire(c),
		func(p *peer, ctx context.Context, r *connect.Request[wire.SettleRequest]) (*connect.Response[wire.SettleResponse], error) {
			return p.agent.Settle(ctx, r)
		})
	ev.Fault = fault
	if fault == core.FaultNone {
		var err error
		if ev.State, err = codec.SettleStateFromWire(m.GetState()); err != nil {
			ev.Fault = s.logMalformed(err, c.Addr.String())
		}
	}
	s.driver.post(ev)
}

// queryLiveness asks another entry which of some workers it receives
// heartbeats from.
func (s *EntryServer) queryLiveness(c core.QueryLiveness) {
	req := &wire.HearRequest{Entry: string(s.site.ID), Workers: codec.Strings[string](c.Workers)}
	m, fault := call(s.peers, c.Addr, time.Now().Add(livenessTimeout), req,
		func(p *peer, ctx context.Context, r *connect.Request[wire.HearRequest]) (*connect.Response[wire.HearResponse], error) {
			return p.entry.Hear(ctx, r)
		})
	s.driver.post(core.LivenessAnswered{
		Token: c.Token, Alive: codec.Strings[core.WorkerID](m.GetHeard()), Unsure: m.GetUnsure(),
		Unsettled: codec.Strings[core.WorkerID](m.GetUnsettled()), Fault: fault,
	})
}

// logMalformed logs an answer that can't be decoded, and returns the fault of a
// call without an answer.
func (s *EntryServer) logMalformed(err error, addr string) core.Fault {
	s.meter.log.WithError(err).WithField("peer", addr).Warn("answer of a foreign process")
	return core.FaultNoAnswer
}

// commit sends a transaction to the table.
func (s *EntryServer) commit(c core.Commit) {
	defer s.meter.observeSince("store.commit", time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	res, err := s.table.Commit(ctx, c.Txn)
	s.driver.post(core.CommitAnswered{Token: c.Token, Result: res, Fault: tableFault(err)})
}

// readChanges reads changed rows from the table.
func (s *EntryServer) readChanges(c core.ReadChanges) {
	defer s.meter.observeSince("store.changes", time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	view, err := s.table.Changes(ctx, c.Prefix, c.Since)
	s.driver.post(core.ChangesAnswered{Token: c.Token, View: view, Fault: tableFault(err)})
}

// readRows reads rows from the table.
func (s *EntryServer) readRows(c core.ReadRows) {
	defer s.meter.observeSince("store.read", time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	view, err := s.table.Read(ctx, c.Keys...)
	s.driver.post(core.RowsAnswered{Token: c.Token, View: view, Fault: tableFault(err)})
}

func tableFault(err error) core.Fault {
	switch {
	case err == nil:
		return core.FaultNone
	case errors.Is(err, table.ErrRejected):
		return core.FaultRejected
	case errors.Is(err, table.ErrNotSent):
		return core.FaultNotSent
	}
	return core.FaultNoAnswer
}
