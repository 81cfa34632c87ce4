package main

import (
	"context"
	"crypto/rand"
	"flag"

	"github.com/apex/log"
	"github.com/google/subcommands"
	"go.uber.org/fx"

	"jayloft/config"
	"jayloft/core"
	"jayloft/io"
	"jayloft/platform"
)

// agentCommand runs an agent.
type agentCommand struct{ config string }

// Name returns the name of the subcommand.
func (*agentCommand) Name() string { return "agent" }

// Synopsis returns the subcommand's line in the command list.
func (*agentCommand) Synopsis() string { return "run the agent of an endpoint's VM" }

// Usage returns the subcommand's help text.
func (*agentCommand) Usage() string {
	return `jayloft agent -config FILE
  Runs the agent of one VM. Nothing starts on the VM without the agent's admission.
  FILE needs an [agent] table; see "jayloft check".
  /healthz answers 200 once an entry has answered. SIGTERM stops the agent
  gracefully: it finishes its requests, checkpoints its batch tasks and returns
  them to the queue. Exit codes: 0 stopped, 1 failed, 2 settings, 3 stopped late.
`
}

// SetFlags registers the subcommand's flags.
func (c *agentCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "`file` with the settings")
}

// Execute runs the agent until a signal stops it.
func (c *agentCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	file, cfg, ok := loadTable(c.config, "agent", func(f config.File) *config.Agent { return f.Agent })
	if !ok {
		return subcommands.ExitUsageError
	}
	root, w := newLog(file)
	defer w.Close()
	l := root.WithField("worker", string(cfg.Worker))
	return run(l, c.config, cfg.Grace,
		fx.Supply(file, *cfg),
		fx.Provide(func() log.Interface { return l }, io.BootClock, newStore, newWorker, newAgent, agentProcess))
}

// newAgent returns the agent with a new run id, which identifies this process
// instance.
func newAgent(f config.File, cfg config.Agent, now io.Clock, w *platform.Worker, s *platform.Store, l log.Interface) *io.AgentServer {
	identity := core.AgentIdentity{
		Worker:  cfg.Worker,
		DC:      cfg.DC,
		Rack:    cfg.Rack,
		Addr:    cfg.Addr,
		Entries: cfg.Entries,
		Run:     core.Run(rand.Text()),
	}
	opts := []io.Option{io.WithLog(l), io.WithPolicy(f.Options()...), io.WithClock(now)}
	if w != nil {
		opts = append(opts, io.WithWorker(w), io.WithTable(s), io.WithPolicy(core.WithUnreportedIncarnations()))
	}
	return io.NewAgent(identity, cfg.VM, opts...)
}

// newStore returns the client of the platform's store, or nil if the settings
// have no platform.
func newStore(f config.File, l log.Interface) *platform.Store {
	if f.Platform == nil {
		return nil
	}
	return platform.NewStore(f.Platform.Store, f.Platform.DCs, l)
}

// newWorker returns the client of a platform's worker, or nil if the worker uses
// jayloft's own protocol.
func newWorker(f config.File, now io.Clock, s *platform.Store, l log.Interface) *platform.Worker {
	if f.Platform == nil {
		return nil
	}
	return platform.NewWorker(f.Platform.Worker, now, s, l)
}

func agentProcess(f config.File, cfg config.Agent, w *platform.Worker, a *io.AgentServer, l log.Interface) *process {
	memory := processMemory(cfg.Memory, l)
	io.BoundHeap(memory)
	p := &process{
		server: a,
		bindings: []binding{
			{cfg.Addr, a.Peers(), []io.ListenOption{io.WithHTTP2()}},
			{cfg.Metrics, a.Metrics(), nil},
		},
		grace: cfg.Grace,
		log:   l,
		guard: io.NewGuard(io.ClientLimits(memory), l, a.Registry()),
	}
	if w != nil {
		p.bindings = append(p.bindings, binding{f.Platform.Heartbeats, w.HeartbeatHandler(a), nil})
	}
	return p
}
