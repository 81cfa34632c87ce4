package io

import (
	"github.com/rcrowley/go-metrics"

	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"jayloft/core"
	"jayloft/table"
	"jayloft/wire"
)

// Timeouts of an agent's calls.
const (
	heartbeatTimeout = 1500 * time.Millisecond
	workerTimeout    = 2 * time.Second // Inspect, Launch, Renew and Control
	replyTimeout     = 5 * time.Second // until an order is answered as unavailable
	maxWorkerCalls   = 256             // concurrent calls to the worker
)

// AgentServer runs the reducer of one agent.
type AgentServer struct {
	site   core.AgentIdentity
	meter  *meter
	driver *driver[core.AgentEvent, core.AgentEffect]
	peers  *peers
	runner runner
	worker Worker
	table  table.Table // nil unless the agent reads the entries' rows

	heartbeatAnswered atomic.Bool // an entry has answered a heartbeat
	tokens            tokens
	starts            waiters[core.Token, core.StartReply]
	settles           waiters[core.Token, core.SettleReply]
	serves            waiters[core.Token, core.ServeAnswer]
	revokes           waiters[core.Token, core.RevokeReply]
}

// NewAgent returns an agent with the identity site for the worker whose
// WorkerService listens on vm. WithWorker replaces that worker.
func NewAgent(site core.AgentIdentity, vm netip.AddrPort, opts ...Option) *AgentServer {
	o := newOptions(opts)
	s := &AgentServer{
		site:   site,
		meter:  newMeter(o.log),
		peers:  newPeers(),
		runner: newRunner(),
		worker: o.worker,
		table:  o.table,
	}
	if s.worker == nil {
		s.worker = newRPCWorker(vm)
	}
	r := core.NewAgent(site, o.policy...)
	s.driver = newDriver(s.meter, o.now, core.AgentEvent(core.Tick{}), r.Reduce, s.execute)
	s.meter.ready = s.heartbeatAnswered.Load
	return s
}

// Start starts the reducer. The server of the agent's handlers must be listening
// already.
func (s *AgentServer) Start() { s.driver.post(core.Tick{}) }

// Leave shuts down gracefully: new work is refused, requests are answered, and
// batch tasks are checkpointed and evicted, unless the policy keeps them running.
// It returns the error of ctx if that ends first.
func (s *AgentServer) Leave(ctx context.Context) error {
	s.meter.leaving.Store(true)
	return s.driver.leave(ctx, leaveEvent(ctx))
}

// Close stops the agent immediately. Call it after Leave and after the server of
// its handlers is shut down.
func (s *AgentServer) Close() {
	s.driver.close()
	s.peers.close()
	s.worker.Close()
}

// WorkerLeaves notifies the agent that its worker will leave. Once it returns,
// the agent starts nothing new there.
func (s *AgentServer) WorkerLeaves() { s.driver.post(core.WorkerLeaving{}) }

// WorkerResized notifies the agent that its worker reports another capacity.
func (s *AgentServer) WorkerResized(boot string, c core.Size) {
	s.driver.post(core.WorkerResized{Boot: boot, Capacity: c})
}

// WorkerLeft notifies the agent that its worker has left, with all tasks that
// ran there.
func (s *AgentServer) WorkerLeft() { s.driver.post(core.WorkerGone{}) }

// Metrics returns the handler of /metrics and /healthz.
func (s *AgentServer) Metrics() http.Handler { return s.meter }

// Registry returns the counters and histograms that Metrics serves.
func (s *AgentServer) Registry() metrics.Registry { return s.meter.registry }

// Peers returns the handler for calls of entries.
func (s *AgentServer) Peers() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.NewAgentServiceHandler(agentRPC{s}, handlerOptions()...))
	mux.Handle("/metrics", s.meter)
	mux.Handle("/healthz", s.meter)
	return mux
}

// execute executes one effect without blocking.
func (s *AgentServer) execute(eff core.AgentEffect) {
	switch eff := eff.(type) {
	case core.ServeReply:
		s.serves.deliver(eff.Token, eff.Answer)
	case core.StartReply:
		s.starts.deliver(eff.Token, eff)
	case core.SettleReply:
		s.settles.deliver(eff.Token, eff)
	case core.RevokeReply:
		s.revokes.deliver(eff.Token, eff)
	case core.Call:
		s.runner.run(func() { s.driver.post(s.worker.Call(eff)) })
	case core.SendBeat:
		s.runner.run(func() { s.sendHeartbeat(eff) })
	case core.Inspect:
		s.runner.run(func() { s.driver.post(s.worker.Inspect(eff)) })
	case core.Launch:
		s.runner.run(func() { s.launch(eff) })
	case core.ReadEntries:
		s.runner.run(s.readEntries)
	case core.Renew:
		s.runner.run(func() { s.worker.Renew(eff) })
	case core.Control:
		s.runner.run(func() { s.driver.post(s.worker.Control(eff)) })
	}
}
