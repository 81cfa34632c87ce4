package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/google/subcommands"
	"go.uber.org/fx"

	"jayloft/config"
	"jayloft/core"
	sample "jayloft/examples"
	"jayloft/internal/unit"
	"jayloft/io"
	"jayloft/stand"
	"jayloft/work"
)

const (
	standGrace = 10 * time.Second // for calls in flight at a planned stop
	usageLag   = 3 * time.Second  // age of the usage that workers report
)

// standCommand runs stand-ins and switches their faults.
type standCommand struct{ config, put string }

// Name is the command's word.
func (*standCommand) Name() string { return "stand" }

// Synopsis is the command's line in the help.
func (*standCommand) Synopsis() string { return "run stand-ins for the platform and workers" }

// Usage explains the command.
func (*standCommand) Usage() string {
	return `jayloft stand -config FILE [-put DIR]
jayloft stand platform|worker|fault|journal ...
  Runs small stand-ins for the systems outside jayloft, for tests and trials.
  With -config, one process runs all that the [stand] table of FILE lists: the
  platform's table and object store, and workers, each on its own port. The
  other forms need no file; "jayloft stand help" lists them.
  Nothing is kept when the process ends.
`
}

// SetFlags declares the command's flags.
func (c *standCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "`file` with the settings")
	f.StringVar(&c.put, "put", "", "`directory` whose files become objects of the platform")
}

// Execute runs the stand-ins until the process is told to stop, or one of the
// command's own commands.
func (c *standCommand) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	if c.config == "" {
		cmds := subcommands.NewCommander(f, "jayloft stand")
		cmds.Register(cmds.HelpCommand(), "")
		cmds.Register(&platformCommand{}, "stand-ins")
		cmds.Register(&workerCommand{}, "stand-ins")
		cmds.Register(&faultCommand{}, "tests")
		cmds.Register(&journalCommand{}, "tests")
		return cmds.Execute(ctx, args...)
	}
	file, ok := load(c.config)
	if !ok {
		return subcommands.ExitUsageError
	}
	if file.Stand == nil {
		fmt.Fprintf(os.Stderr, "%s: there is no [stand]\n", c.config)
		return subcommands.ExitUsageError
	}
	return runStand(file, c.config, c.put)
}

// runStand runs what the settings list until the process is told to stop.
func runStand(f config.File, path, put string) subcommands.ExitStatus {
	s, err := newStandIns(f.Stand, put)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	l, w := newLog(f)
	defer w.Close()
	return run(l, path, standGrace, fx.Provide(func() *process {
		return &process{server: s, bindings: s.bindings, grace: standGrace, log: l}
	}))
}

// standIns are the stand-ins of one process. They work from the start.
type standIns struct {
	workers  []*stand.Worker
	stores   []*stand.Client
	bindings []binding
}

var _ server = (*standIns)(nil)

// Start does nothing.
func (s *standIns) Start() {}

// Leave does nothing: calls in flight are waited for by their listeners.
func (s *standIns) Leave(context.Context) error { return nil }

// Close ends the workers.
func (s *standIns) Close() {
	for _, w := range s.workers {
		w.Close()
	}
	for _, c := range s.stores {
		c.Close()
	}
}

// newStandIns returns what the settings list. Files in put become objects.
func newStandIns(cfg *config.Stand, put string) (*standIns, error) {
	s := &standIns{}
	var store stand.Store
	if cfg.Platform.IsValid() {
		p := stand.NewPlatform(stand.WithSeed(cfg.Seed))
		if err := putFiles(p.Objects, put); err != nil {
			return nil, err
		}
		s.bindings = append(s.bindings, binding{cfg.Platform, p.Handler(), []io.ListenOption{io.WithHTTP2()}})
		store = p.Objects
	}
	if len(cfg.Workers) == 0 {
		return s, nil
	}
	slips, err := readSlips(cfg.Slips)
	if err != nil {
		return nil, err
	}
	if cfg.Objects.IsValid() && cfg.Objects != cfg.Platform {
		c := stand.NewClient(cfg.Objects)
		s.stores = append(s.stores, c)
		store = c
	}
	for i, w := range cfg.Workers {
		opts := append(stand.Standard(slips), stand.WithSeed(cfg.Seed+uint64(i)))
		if store != nil {
			opts = append(opts, stand.WithStore(store))
		}
		sw := stand.NewWorker(stand.Spec{
			Worker:   w.Name,
			Capacity: w.Size,
			Slots:    w.Slots,
			Services: w.Services,
			Lag:      usageLag,
		}, opts...)
		s.workers = append(s.workers, sw)
		s.bindings = append(s.bindings, binding{w.Addr, sw.Handler(), []io.ListenOption{io.WithHTTP2()}})
	}
	return s, nil
}

// putFiles makes objects of the files below a directory, by their paths there.
func putFiles(o *stand.Objects, dir string) error {
	if dir == "" {
		return nil
	}
	return filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		key, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		o.Preload(filepath.ToSlash(key), b)
		return nil
	})
}

// readSlips reads the slips of a file, or those of the example if there is no
// file.
func readSlips(path string) ([]work.Slip, error) {
	read := os.ReadFile
	if path == "" {
		path, read = sample.Slips, sample.Files.ReadFile
	}
	b, err := read(path)
	if err != nil {
		return nil, fmt.Errorf("slips: %w", err)
	}
	return work.ParseSlips(path, string(b))
}

// platformCommand runs the platform's stand-in.
type platformCommand struct{ addr, put string }

// Name is the command's word.
func (*platformCommand) Name() string { return "platform" }

// Synopsis is the command's line in the help.
func (*platformCommand) Synopsis() string { return "run the platform's table and object store" }

// Usage explains the command.
func (*platformCommand) Usage() string {
	return "jayloft stand platform -addr IP:PORT [-put DIR]\n" +
		"  Runs a table and an object store in memory, on one port.\n"
}

// SetFlags declares the command's flags.
func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "addr", "127.0.0.1:7000", "`address` to listen on")
	f.StringVar(&c.put, "put", "", "`directory` whose files become objects")
}

// Execute runs the platform's stand-in until it is told to stop.
func (c *platformCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	addr, err := netip.ParseAddrPort(c.addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "-addr:", err)
		return subcommands.ExitUsageError
	}
	return runStand(flagFile(&config.Stand{Platform: addr}), "", c.put)
}

// flagFile returns settings that were given as flags.
func flagFile(s *config.Stand) config.File {
	return config.File{Stand: s, Log: config.Log{Level: log.InfoLevel.String(), Format: "text"}}
}

// workerCommand runs one worker's stand-in.
type workerCommand struct {
	addr, worker, cores, memory, services, objects, slips string
	accelerators, slots                                   int
}

// Name is the command's word.
func (*workerCommand) Name() string { return "worker" }

// Synopsis is the command's line in the help.
func (*workerCommand) Synopsis() string { return "run one worker's own interface" }

// Usage explains the command.
func (*workerCommand) Usage() string {
	return `jayloft stand worker -addr IP:PORT -worker w1 -cores 16 -memory 60GB -slots 8 -services lookup,... -objects IP:PORT
  Runs the interface of one worker, which starts whatever it is given. Its
  services are lookup, proof and printwatch; its classes import, cutplan,
  printwatch and sleep. Without -objects it keeps checkpoints itself.
`
}

// SetFlags declares the command's flags.
func (c *workerCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "addr", "127.0.0.1:7300", "`address` to listen on")
	f.StringVar(&c.worker, "worker", "w1", "`name` of the worker")
	f.StringVar(&c.cores, "cores", "16", "`number` of cores")
	f.StringVar(&c.memory, "memory", "60GB", "`amount` of memory")
	f.IntVar(&c.accelerators, "accelerators", 0, "`number` of accelerators")
	f.IntVar(&c.slots, "slots", 8, "`number` of requests that the endpoint is meant to run at once")
	f.StringVar(&c.services, "services", "lookup", "`names` of services, with commas between")
	f.StringVar(&c.objects, "objects", "", "`address` of the platform's object store")
	f.StringVar(&c.slips, "slips", "", "CSV `file` of slips; those of the example if missing")
}

// Execute runs the worker's stand-in until it is told to stop.
func (c *workerCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	cfg, err := c.settings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	return runStand(flagFile(cfg), "", "")
}

// settings returns the flags as settings, or all that is wrong with them.
func (c *workerCommand) settings() (*config.Stand, error) {
	var fs flagErrors
	w := config.Worker{
		Name:     core.WorkerID(c.worker),
		Addr:     parseFlag(&fs, "addr", c.addr, netip.ParseAddrPort),
		Slots:    c.slots,
		Services: strings.Split(c.services, ","),
	}
	w.Size.Millicores = parseFlag(&fs, "cores", c.cores, unit.Cores)
	w.Size.MemoryMB = parseFlag(&fs, "memory", c.memory, unit.Memory)
	w.Size.Accelerators = int64(c.accelerators)
	cfg := &config.Stand{Slips: c.slips, Workers: []config.Worker{w}}
	if c.objects != "" {
		cfg.Objects = parseFlag(&fs, "objects", c.objects, netip.ParseAddrPort)
	}
	return cfg, fs.err()
}
