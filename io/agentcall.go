package io

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/internal/codec"
	"jayloft/wire"
)

// sendHeartbeat sends a heartbeat to an entry.
func (s *AgentServer) sendHeartbeat(c core.SendBeat) {
	ev := core.HeartbeatAnswered{Entry: c.Entry, Sent: c.Heartbeat.Sent}
	m, fault := call(s.peers, c.Entry, time.Now().Add(heartbeatTimeout), codec.HeartbeatToWire(c.Heartbeat),
		func(p *peer, ctx context.Context, r *connect.Request[wire.BeatRequest]) (*connect.Response[wire.BeatResponse], error) {
			return p.entry.Beat(ctx, r)
		})
	ev.Fault = fault
	if fault == core.FaultNone {
		var err error
		if ev.Answer, err = codec.HeartbeatAnswerFromWire(m); err != nil {
			s.meter.log.WithError(err).WithField("peer", c.Entry.String()).Warn("answer of a foreign process")
			ev.Fault = core.FaultNoAnswer
		}
	}
	s.driver.post(ev)
	if ev.Fault == core.FaultNone {
		s.heartbeatAnswered.Store(true)
	}
}

// readEntries reads the rows of all entries from the table.
func (s *AgentServer) readEntries() {
	ev := core.EntriesRead{Fault: core.FaultNotSent}
	if s.table != nil {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		defer cancel()
		view, err := s.table.Changes(ctx, core.PrefixEntry, 0)
		ev = core.EntriesRead{View: view, Fault: tableFault(err)}
	}
	s.driver.post(ev)
}

// launch starts a task at the worker.
func (s *AgentServer) launch(c core.Launch) {
	defer s.meter.observeSince("worker.launch", time.Now())
	s.driver.post(s.worker.Launch(c))
}
