package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"os"

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

// Name is the command's word.
func (*agentCommand) Name() string { return "agent" }

// Synopsis is the command's line in the help.
func (*agentCommand) Synopsis() string { return "run the agent beside an endpoint" }

// Usage explains the command.
func (*agentCommand) Usage() string {
	return `jayloft agent -config FILE
  Runs the agent of one VM. Nothing starts on the VM unless its agent admits it.
  FILE needs an [agent] table; see "jayloft check".
  /healthz answers 200 once an entry has answered. SIGTERM stops the agent
  gracefully: requests are answered, batch tasks are checkpointed and handed
  back. Exit codes: 0 stopped, 1 failed, 2 settings, 3 stopped late.
`
}

// SetFlags declares the command's flags.
func (c *agentCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "`file` with the settings")
}

// Execute runs the agent until it is told to stop.
func (c *agentCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	file, ok := load(c.config)
	if !ok {
		return subcommands.ExitUsageError
	}
	if file.Agent == nil {
		fmt.Fprintf(os.Stderr, "%s: there is no [agent]\n", c.config)
		return subcommands.ExitUsageError
	}
	root, w := newLog(file)
	defer w.Close()
	l := root.WithField("worker", string(file.Agent.Worker))
	return run(l, c.config, file.Agent.Grace,
		fx.Supply(file, *file.Agent),
		fx.Provide(func() log.Interface { return l }, io.BootClock, newStore, newWorker, newAgent, agentProcess))
}

// newAgent returns the agent of this life of the process.
func newAgent(f config.File, cfg config.Agent, now io.Clock, w *platform.Worker, s *platform.Store, l log.Interface) *io.AgentServer {
	site := core.AgentIdentity{
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
	return io.NewAgent(site, cfg.VM, opts...)
}

// newStore returns the client of a platform's store, nil without a platform.
func newStore(f config.File, l log.Interface) *platform.Store {
	if f.Platform == nil {
		return nil
	}
	return platform.NewStore(f.Platform.Store, f.Platform.DCs, l)
}

// newWorker returns the client of a platform's worker, nil for one that speaks
// jayloft's own protocol.
func newWorker(f config.File, now io.Clock, s *platform.Store, l log.Interface) *platform.Worker {
	if f.Platform == nil {
		return nil
	}
	return platform.NewWorker(f.Platform.Worker, now, s, l)
}

func agentProcess(f config.File, cfg config.Agent, w *platform.Worker, a *io.AgentServer, l log.Interface) *process {
	p := &process{
		server: a,
		sites: []site{
			{cfg.Addr, a.Peers()},
			{cfg.Metrics, a.Metrics()},
		},
		grace: cfg.Grace,
		log:   l,
	}
	if w != nil {
		p.sites = append(p.sites, site{f.Platform.Heartbeats, w.HeartbeatHandler(a)})
	}
	return p
}
