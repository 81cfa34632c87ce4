package io

import (
	"context"
	"net/http"
	"time"

	"jayloft/core"
	"jayloft/table"
	"jayloft/wire"
)

// Timeouts of an entry's calls.
const (
	tableTimeout  = 2 * time.Second
	orderTimeout  = 2 * time.Second        // Start, Stop and Settle
	hearTimeout   = time.Second            // Hear
	relayTimeout  = time.Second            // Job: the caller's time is needed for asking elsewhere
	serveGrace    = 250 * time.Millisecond // for an answer on its way at the deadline
	commandWait   = 10 * time.Second       // until a command's outcome is called unknown
	maxBackground = 1024                   // orders to agents and entries at once
)

// EntryServer runs the reducer of one entry.
type EntryServer struct {
	site  core.EntryIdentity
	table table.Table
	meter *meter
	drive *driver[core.EntryEvent, core.EntryEffect]
	peers *peers
	run   runner

	background chan struct{} // holds one element for each order under way
	tokens     tokens
	answers    waits[core.RequestID, core.Answer]
	beats      waits[core.Token, core.HeartbeatAnswer]
	heard      waits[core.Token, []core.WorkerID]
	results    waits[core.Token, core.CommandResult]
	jobs       waits[core.Token, core.JobAnswer]
}

// NewEntry returns an entry at the site that keeps its rows in t.
func NewEntry(site core.EntryIdentity, t table.Table, opts ...Option) *EntryServer {
	o := newOptions(opts)
	s := &EntryServer{
		site:       site,
		table:      t,
		meter:      newMeter(o.log),
		peers:      newPeers(),
		run:        newRunner(),
		background: make(chan struct{}, maxBackground),
	}
	r := core.NewEntry(site, o.policy...)
	s.drive = newDriver(s.meter, o.now, core.EntryEvent(core.Tick{}), r.Reduce, s.carry)
	s.meter.ready = func() bool { return s.drive.ask(r.Ready) }
	return s
}

// Start begins to work. The servers of its handlers have to listen already.
func (s *EntryServer) Start() { s.drive.post(core.Tick{}) }

// Leave stops gracefully: nothing new is taken in, and what was taken in is
// answered. It returns the error of ctx if that ends first.
func (s *EntryServer) Leave(ctx context.Context) error {
	s.meter.leaving.Store(true)
	by, ok := ctx.Deadline()
	if !ok {
		by = time.Now().Add(commandWait)
	}
	return s.drive.leave(ctx, core.Leave{Deadline: by})
}

// Close ends the work at once. Call it after Leave and after the servers of
// its handlers are shut down.
func (s *EntryServer) Close() {
	s.drive.close()
	s.peers.close()
}

// Metrics returns the handler of /metrics and /healthz.
func (s *EntryServer) Metrics() http.Handler { return s.meter }

// Peers returns the handler for agents, operators and other entries.
func (s *EntryServer) Peers() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.NewEntryServiceHandler(entryRPC{s}, handlerOptions()...))
	mux.Handle(wire.NewOperatorServiceHandler(operatorRPC{s}, handlerOptions()...))
	mux.Handle("/metrics", s.meter)
	mux.Handle("/healthz", s.meter)
	return mux
}

// carry carries out one effect.
func (s *EntryServer) carry(eff core.EntryEffect) {
	switch eff := eff.(type) {
	case core.Answer:
		s.answers.done(eff.ID, eff)
	case core.BeatReply:
		s.beats.done(eff.Token, eff.Answer)
	case core.LivenessReply:
		s.heard.done(eff.Token, eff.Alive)
	case core.CommandReply:
		s.results.done(eff.Token, eff.Result)
	case core.JobReply:
		s.jobs.done(eff.Token, eff.Answer)
	case core.Relay:
		s.order(func() { s.relay(eff) }, func() core.EntryEvent {
			return core.RelayAnswered{Token: eff.Token, Fault: core.FaultNotSent}
		})
	case core.Serve:
		s.run.run(func() { s.serve(eff) })
	case core.Revoke:
		s.run.run(func() { s.revoke(eff) })
	case core.Commit:
		s.run.run(func() { s.commit(eff) })
	case core.ReadChanges:
		s.run.run(func() { s.readChanges(eff) })
	case core.ReadRows:
		s.run.run(func() { s.readRows(eff) })
	case core.Start:
		s.order(func() { s.start(eff) }, func() core.EntryEvent {
			return core.StartAnswered{Token: eff.Token, Fault: core.FaultNotSent}
		})
	case core.Stop:
		s.order(func() { s.stop(eff) }, nil)
	case core.Settle:
		s.order(func() { s.settle(eff) }, func() core.EntryEvent {
			return core.SettleAnswered{Token: eff.Token, Fault: core.FaultNotSent}
		})
	case core.QueryLiveness:
		s.order(func() { s.hear(eff) }, func() core.EntryEvent {
			return core.LivenessAnswered{Token: eff.Token, Fault: core.FaultNotSent}
		})
	}
}

// order runs f in the background. If too much runs there, the event that
// refused makes, if any, is posted instead.
func (s *EntryServer) order(f func(), refused func() core.EntryEvent) {
	select {
	case s.background <- struct{}{}:
		s.run.run(func() {
			defer func() { <-s.background }()
			f()
		})
	default:
		if refused != nil {
			go s.drive.post(refused())
		}
	}
}
