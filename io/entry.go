package io

import (
	"github.com/rcrowley/go-metrics"

	"context"
	"net/http"
	"time"

	"jayloft/core"
	"jayloft/table"
	"jayloft/wire"
)

// Timeouts of an entry's calls.
const (
	tableTimeout    = 2 * time.Second
	orderTimeout    = 2 * time.Second        // Start, Stop and Settle
	livenessTimeout = time.Second            // Hear
	relayTimeout    = time.Second            // Job; short, so that time remains for other entries
	serveGrace      = 250 * time.Millisecond // for an answer in transit at the deadline
	commandTimeout  = 10 * time.Second       // until a command's outcome is reported as unknown
	maxBackground   = 1024                   // concurrent orders to agents and entries
)

// EntryServer runs the reducer of one entry.
type EntryServer struct {
	site   core.EntryIdentity
	table  table.Table
	meter  *meter
	driver *driver[core.EntryEvent, core.EntryEffect]
	peers  *peers
	runner runner

	background chan struct{} // semaphore of orders in flight
	tokens     tokens
	answers    waiters[core.RequestID, core.Answer]
	heartbeats waiters[core.Token, core.HeartbeatAnswer]
	liveness   waiters[core.Token, core.LivenessReply]
	results    waiters[core.Token, core.CommandResult]
	jobs       waiters[core.Token, core.JobAnswer]
}

// NewEntry returns an entry with the identity site that stores its rows in t.
func NewEntry(site core.EntryIdentity, t table.Table, opts ...Option) *EntryServer {
	o := newOptions(opts)
	s := &EntryServer{
		site:       site,
		table:      t,
		meter:      newMeter(o.log),
		peers:      newPeers(),
		runner:     newRunner(),
		background: make(chan struct{}, maxBackground),
	}
	r := core.NewEntry(site, o.policy...)
	s.driver = newDriver(s.meter, o.now, core.EntryEvent(core.Tick{}), r.Reduce, s.execute)
	s.meter.ready = func() bool { return s.driver.query(r.Ready) }
	return s
}

// Start starts the reducer. The servers of the entry's handlers must be
// listening already.
func (s *EntryServer) Start() { s.driver.post(core.Tick{}) }

// Leave shuts down gracefully: new work is refused, and accepted work is
// answered. It returns the error of ctx if that ends first.
func (s *EntryServer) Leave(ctx context.Context) error {
	s.meter.leaving.Store(true)
	return s.driver.leave(ctx, leaveEvent(ctx))
}

// Close stops the entry immediately. Call it after Leave and after the servers
// of its handlers are shut down.
func (s *EntryServer) Close() {
	s.driver.close()
	s.peers.close()
}

// Metrics returns the handler of /metrics and /healthz.
func (s *EntryServer) Metrics() http.Handler { return s.meter }

// Registry returns the counters and histograms that Metrics serves.
func (s *EntryServer) Registry() metrics.Registry { return s.meter.registry }

// Peers returns the handler for agents, operators and other entries.
func (s *EntryServer) Peers() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.NewEntryServiceHandler(entryRPC{s}, handlerOptions()...))
	mux.Handle(wire.NewOperatorServiceHandler(operatorRPC{s}, handlerOptions()...))
	mux.Handle("/metrics", s.meter)
	mux.Handle("/healthz", s.meter)
	return mux
}

// execute executes one effect without blocking.
func (s *EntryServer) execute(eff core.EntryEffect) {
	switch eff := eff.(type) {
	case core.Answer:
		s.answers.deliver(eff.ID, eff)
	case core.BeatReply:
		s.heartbeats.deliver(eff.Token, eff.Answer)
	case core.LivenessReply:
		s.liveness.deliver(eff.Token, eff)
	case core.CommandReply:
		s.results.deliver(eff.Token, eff.Result)
	case core.JobReply:
		s.jobs.deliver(eff.Token, eff.Answer)
	case core.Relay:
		s.dispatch(func() { s.relay(eff) }, func() core.EntryEvent {
			return core.RelayAnswered{Token: eff.Token, Fault: core.FaultNotSent}
		})
	case core.Serve:
		s.runner.run(func() { s.serve(eff) })
	case core.Revoke:
		s.runner.run(func() { s.revoke(eff) })
	case core.Commit:
		s.runner.run(func() { s.commit(eff) })
	case core.ReadChanges:
		s.runner.run(func() { s.readChanges(eff) })
	case core.ReadRows:
		s.runner.run(func() { s.readRows(eff) })
	case core.Start:
		s.dispatch(func() { s.start(eff) }, func() core.EntryEvent {
			return core.StartAnswered{Token: eff.Token, Fault: core.FaultNotSent}
		})
	case core.Stop:
		s.dispatch(func() { s.stop(eff) }, nil)
	case core.Settle:
		s.dispatch(func() { s.settle(eff) }, func() core.EntryEvent {
			return core.SettleAnswered{Token: eff.Token, Fault: core.FaultNotSent}
		})
	case core.QueryLiveness:
		s.dispatch(func() { s.queryLiveness(eff) }, func() core.EntryEvent {
			return core.LivenessAnswered{Token: eff.Token, Fault: core.FaultNotSent}
		})
	}
}

// dispatch runs f in the background. If maxBackground orders are already in
// flight, it posts the event of rejected instead, if that is not nil.
func (s *EntryServer) dispatch(f func(), rejected func() core.EntryEvent) {
	select {
	case s.background <- struct{}{}:
		s.runner.run(func() {
			defer func() { <-s.background }()
			f()
		})
	default:
		if rejected != nil {
			go s.driver.post(rejected())
		}
	}
}
