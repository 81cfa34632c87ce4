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
			ev.Fault = s.foreign(err, c.Addr.String())
		}
	}
	s.drive.post(ev)
}

// revoke takes a request back from an agent.
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
			ev.Fault = s.foreign(err, c.Addr.String())
		}
		ev.State, ev.Answer = r.State, r.Answer
	}
	s.drive.post(ev)
}

// start sends an order to an agent.
func (s *EntryServer) start(c core.Start) {
	defer s.meter.since("agent.start", time.Now())
	m, fault := call(s.peers, c.Addr, time.Now().Add(orderTimeout), codec.StartToWire(c.Order),
		func(p *peer, ctx context.Context, r *connect.Request[wire.StartRequest]) (*connect.Response[wire.StartResponse], error) {
			return p.agent.Start(ctx, r)
		})
	s.drive.post(core.StartAnswered{
		Token: c.Token, Started: m.GetStarted(), Reason: core.Reason(m.GetReason()), Fault: fault,
	})
}

// stop tells an agent to stop an attempt.
func (s *EntryServer) stop(c core.Stop) {
	_, _ = call(s.peers, c.Addr, time.Now().Add(orderTimeout), codec.StopToWire(c),
		func(p *peer, ctx context.Context, r *connect.Request[wire.StopRequest]) (*connect.Response[wire.StopResponse], error) {
			return p.agent.Stop(ctx, r)
		})
}

// settle asks an agent about an attempt.
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
			ev.Fault = s.foreign(err, c.Addr.String())
		}
	}
	s.drive.post(ev)
}

// hear asks another entry which workers it has heard.
func (s *EntryServer) hear(c core.QueryLiveness) {
	req := &wire.HearRequest{Entry: string(s.site.ID), Workers: codec.Strings[string](c.Workers)}
	m, fault := call(s.peers, c.Addr, time.Now().Add(hearTimeout), req,
		func(p *peer, ctx context.Context, r *connect.Request[wire.HearRequest]) (*connect.Response[wire.HearResponse], error) {
			return p.entry.Hear(ctx, r)
		})
	s.drive.post(core.LivenessAnswered{
		Token: c.Token, Alive: codec.Strings[core.WorkerID](m.GetHeard()), Fault: fault,
	})
}

// foreign logs an answer that makes no sense. It counts as no answer.
func (s *EntryServer) foreign(err error, addr string) core.Fault {
	s.meter.log.WithError(err).WithField("peer", addr).Warn("answer of a foreign process")
	return core.FaultNoAnswer
}

// commit sends a transaction to the table.
func (s *EntryServer) commit(c core.Commit) {
	defer s.meter.since("store.commit", time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	res, err := s.table.Commit(ctx, c.Txn)
	s.drive.post(core.CommitAnswered{Token: c.Token, Result: res, Fault: tableFault(err)})
}

// readChanges reads changed rows from the table.
func (s *EntryServer) readChanges(c core.ReadChanges) {
	defer s.meter.since("store.changes", time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	view, err := s.table.Changes(ctx, c.Prefix, c.Since)
	s.drive.post(core.ChangesAnswered{Token: c.Token, View: view, Fault: tableFault(err)})
}

// readRows reads rows from the table.
func (s *EntryServer) readRows(c core.ReadRows) {
	defer s.meter.since("store.read", time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	view, err := s.table.Read(ctx, c.Keys...)
	s.drive.post(core.RowsAnswered{Token: c.Token, View: view, Fault: tableFault(err)})
}

func tableFault(err error) core.Fault {
	switch {
	case err == nil:
		return core.FaultNone
	case errors.Is(err, table.ErrNotSent):
		return core.FaultNotSent
	}
	return core.FaultNoAnswer
}
