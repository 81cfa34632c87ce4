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
	"jayloft/table"
)

// entryCommand runs an entry.
type entryCommand struct{ config string }

// Name returns the name of the subcommand.
func (*entryCommand) Name() string { return "entry" }

// Synopsis returns the subcommand's line in the command list.
func (*entryCommand) Synopsis() string { return "run an entry" }

// Usage returns the subcommand's help text.
func (*entryCommand) Usage() string {
	return `jayloft entry -config FILE
  Runs an entry: HTTP for callers, RPC for agents, operators and other entries.
  Entries are interchangeable; run one on each entry VM behind the load
  balancer.
  FILE needs an [entry] table; see "jayloft check".
  /healthz answers 200 once the entry is ready to serve. SIGTERM stops it
  gracefully. Exit codes: 0 stopped, 1 failed, 2 settings, 3 stopped late.
`
}

// SetFlags registers the subcommand's flags.
func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "`file` with the settings")
}

// Execute runs the entry until a signal stops it.
func (c *entryCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	file, cfg, ok := loadTable(c.config, "entry", func(f config.File) *config.Entry { return f.Entry })
	if !ok {
		return subcommands.ExitUsageError
	}
	root, w := newLog(file)
	defer w.Close()
	l := root.WithField("entry", cfg.Name)
	return run(l, c.config, cfg.Grace,
		fx.Supply(file, *cfg),
		fx.Provide(func() log.Interface { return l }, newTable, newEntry, entryProcess))
}

// newTable returns the client of the configured table.
func newTable(f config.File, cfg config.Entry, l log.Interface) table.Table {
	if p := f.Platform; p != nil {
		return platform.NewStore(p.Store, p.DCs, l)
	}
	return io.NewTable(cfg.Table)
}

// newEntry returns the entry with a unique id, so that it can be distinguished
// from later incarnations of the process.
func newEntry(f config.File, cfg config.Entry, t table.Table, l log.Interface) *io.EntryServer {
	identity := core.EntryIdentity{
		ID:   core.EntryID(cfg.Name + "-" + rand.Text()[:incarnationChars]),
		Addr: cfg.Peers,
		DC:   cfg.DC, Millicores: cfg.Millicores,
	}
	return io.NewEntry(identity, t, io.WithLog(l), io.WithPolicy(f.Options()...), io.WithClock(io.BootClock()))
}

// incarnationChars is the length of the random suffix of an entry's id, which
// distinguishes incarnations.
const incarnationChars = 10

func entryProcess(f config.File, cfg config.Entry, e *io.EntryServer, l log.Interface) *process {
	memory := processMemory(cfg.Memory, l)
	io.BoundHeap(memory)
	p := &process{
		server: e,
		bindings: []binding{
			{cfg.Peers, e.Peers(), []io.ListenOption{io.WithHTTP2()}},
			{cfg.Metrics, e.Metrics(), nil},
			{cfg.Callers, e.Callers(), nil},
		},
		grace: cfg.Grace,
		log:   l,
		guard: io.NewGuard(io.ClientLimits(memory), l, e.Registry()),
	}
	if on := f.Platform; on != nil {
		p.bindings = append(p.bindings,
			binding{on.Front, platform.JobHandler(e, l), nil}, binding{on.Ready, platform.ReadinessHandler(e.Metrics()), nil})
	}
	return p
}
