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
	"jayloft/table"
)

// entryCommand runs an entry.
type entryCommand struct{ config string }

// Name is the command's word.
func (*entryCommand) Name() string { return "entry" }

// Synopsis is the command's line in the help.
func (*entryCommand) Synopsis() string { return "run an entry" }

// Usage explains the command.
func (*entryCommand) Usage() string {
	return `jayloft entry -config FILE
  Runs an entry: HTTP for callers, RPC for agents, operators and other entries.
  Entries are equal; run one on each entry VM behind the balancer.
  FILE needs an [entry] table; see "jayloft check".
  /healthz answers 200 once the entry may be given work. SIGTERM stops it
  gracefully. Exit codes: 0 stopped, 1 failed, 2 settings, 3 stopped late.
`
}

// SetFlags declares the command's flags.
func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "`file` with the settings")
}

// Execute runs the entry until it is told to stop.
func (c *entryCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	file, ok := load(c.config)
	if !ok {
		return subcommands.ExitUsageError
	}
	if file.Entry == nil {
		fmt.Fprintf(os.Stderr, "%s: there is no [entry]\n", c.config)
		return subcommands.ExitUsageError
	}
	root, w := newLog(file)
	defer w.Close()
	l := root.WithField("entry", file.Entry.Name)
	return run(l, c.config, file.Entry.Grace,
		fx.Supply(file, *file.Entry),
		fx.Provide(func() log.Interface { return l }, newTable, newEntry, entryProcess))
}

// newTable returns the client of the table that the settings name.
func newTable(f config.File, cfg config.Entry, l log.Interface) table.Table {
	if p := f.Platform; p != nil {
		return platform.NewStore(p.Store, p.DCs, l)
	}
	return io.NewTable(cfg.Table)
}

// newEntry returns the entry under a name of its own, so that a later life of
// the process is told apart.
func newEntry(f config.File, cfg config.Entry, t table.Table, l log.Interface) *io.EntryServer {
	site := core.EntryIdentity{
		ID:   core.EntryID(cfg.Name + "-" + rand.Text()[:lifeChars]),
		Addr: cfg.Peers,
	}
	return io.NewEntry(site, t, io.WithLog(l), io.WithPolicy(f.Options()...), io.WithClock(io.BootClock()))
}

// lifeChars is the length of the part of a name that tells lives apart.
const lifeChars = 10

func entryProcess(f config.File, cfg config.Entry, e *io.EntryServer, l log.Interface) *process {
	p := &process{
		server: e,
		sites: []site{
			{cfg.Peers, e.Peers()},
			{cfg.Metrics, e.Metrics()},
			{cfg.Callers, e.Callers()},
		},
		grace: cfg.Grace,
		log:   l,
	}
	if on := f.Platform; on != nil {
		p.sites = append(p.sites, site{on.Front, platform.JobHandler(e, l)}, site{on.Ready, platform.ReadinessHandler(e.Metrics())})
	}
	return p
}
