package io

import (
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
	beatTimeout   = 1500 * time.Millisecond
	workerTimeout = 2 * time.Second // Inspect, Launch, Renew and Control
	replyWait     = 5 * time.Second // for the reducer's reply to an order
	workerCalls   = 256             // requests and changes at the worker at once
)

// AgentServer runs the reducer of one agent.
type AgentServer struct {
	site   core.AgentIdentity
	meter  *meter
	drive  *driver[core.AgentEvent, core.AgentEffect]
	peers  *peers
	run    runner
	worker Worker
	table  table.Table // nil unless entries are found by their rows

	heard   atomic.Bool // an entry has answered a beat
	tokens  tokens
	starts  waits[core.Token, core.StartReply]
	settles waits[core.Token, core.SettleReply]
	serves  waits[core.Token, core.ServeAnswer]
	revokes waits[core.Token, core.RevokeReply]
}

// NewAgent returns an agent at the site beside the worker whose own interface
// is at vm, unless WithWorker names another.
func NewAgent(site core.AgentIdentity, vm netip.AddrPort, opts ...Option) *AgentServer {
	o := newOptions(opts)
	s := &AgentServer{
		site:   site,
		meter:  newMeter(o.log),
		peers:  newPeers(),
		run:    newRunner(),
		worker: o.worker,
		table:  o.table,
	}
	if s.worker == nil {
		s.worker = newRPCWorker(vm)
	}
	r := core.NewAgent(site, o.policy...)
	s.drive = newDriver(s.meter, o.now, core.AgentEvent(core.Tick{}), r.Reduce, s.carry)
	s.meter.ready = s.heard.Load
	return s
}

// Start begins to work. The server of its handlers has to listen already.
func (s *AgentServer) Start() { s.drive.post(core.Tick{}) }

// Leave stops gracefully: nothing new is taken in, requests are answered, and
// batch tasks are checkpointed and handed back. It returns the error of ctx if
// that ends first.
func (s *AgentServer) Leave(ctx context.Context) error {
	s.meter.leaving.Store(true)
	by, ok := ctx.Deadline()
	if !ok {
		by = time.Now().Add(commandWait)
	}
	return s.drive.leave(ctx, core.Leave{Deadline: by})
}

// Close ends the work at once. Call it after Leave and after the server of
// its handlers is shut down.
func (s *AgentServer) Close() {
	s.drive.close()
	s.peers.close()
	s.worker.Close()
}

// WorkerLeaves tells the agent that its worker will leave. Once it returns,
// nothing new starts there.
func (s *AgentServer) WorkerLeaves() { s.drive.post(core.WorkerLeaving{}) }

// WorkerLeft tells the agent that its worker has left, with all that ran there.
func (s *AgentServer) WorkerLeft() { s.drive.post(core.WorkerGone{}) }

// Metrics returns the handler of /metrics and /healthz.
func (s *AgentServer) Metrics() http.Handler { return s.meter }

// Peers returns the handler for entries.
func (s *AgentServer) Peers() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.NewAgentServiceHandler(agentRPC{s}, handlerOptions()...))
	mux.Handle("/metrics", s.meter)
	mux.Handle("/healthz", s.meter)
	return mux
}

// carry carries out one effect.
func (s *AgentServer) carry(eff core.AgentEffect) {
	switch eff := eff.(type) {
	case core.ServeReply:
		s.serves.done(eff.Token, eff.Answer)
	case core.StartReply:
		s.starts.done(eff.Token, eff)
	case core.SettleReply:
		s.settles.done(eff.Token, eff)
	case core.RevokeReply:
		s.revokes.done(eff.Token, eff)
	case core.Call:
		s.run.run(func() { s.drive.post(s.worker.Call(eff)) })
	case core.SendBeat:
		s.run.run(func() { s.beat(eff) })
	case core.Inspect:
		s.run.run(func() { s.drive.post(s.worker.Inspect(eff)) })
	case core.Launch:
		s.run.run(func() { s.launch(eff) })
	case core.ReadEntries:
		s.run.run(s.readEntries)
	case core.Renew:
		s.run.run(func() { s.worker.Renew(eff) })
	case core.Control:
		s.run.run(func() { s.drive.post(s.worker.Control(eff)) })
	}
}
