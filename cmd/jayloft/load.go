package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/subcommands"

	sample "jayloft/examples"
	drive "jayloft/load"
)

// exitCheckFailed says that the run went through and a check doesn't hold.
const exitCheckFailed = subcommands.ExitFailure

// loadCommand runs experiments.
type loadCommand struct {
	experiment, policy, json, plot string
	seed                           uint64
	entries, rpc                   addrList
}

// Name is the command's word.
func (*loadCommand) Name() string { return "load" }

// Synopsis is the command's line in the help.
func (*loadCommand) Synopsis() string { return "drive a site with open-loop load and check it" }

// Usage explains the command.
func (*loadCommand) Usage() string {
	return `jayloft load -experiment FILE|NAME [-policy NAME,...] [-json FILE] [-plot FILE.png]
  Runs an experiment: requests at times that are fixed beforehand, jobs, faults
  and statements, and checks on what was measured. A NAME is one of the
  experiments in this program: ` + strings.Join(experimentNames(), ", ") + `.

  By default the whole site runs in this process on loopback, with stand-ins.
  With -entry, the load goes to entries that run already, on loopback only;
  experiments with faults can't be aimed so.

  -policy runs the experiment once with each policy, one after the other:
` + drive.Policies() + `
  The measures of checks:
` + drive.Measures() + `
  Exit codes: 0 all checks hold, 1 one doesn't or the run failed, 2 arguments
  or the experiment are wrong.
`
}

// SetFlags declares the command's flags.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.experiment, "experiment", "", "`file` or name of the experiment")
	f.StringVar(&c.policy, "policy", "default", "`names` of policies, with commas between")
	f.StringVar(&c.json, "json", "", "`file` for the reports as JSON, one object each")
	f.StringVar(&c.plot, "plot", "", "PNG `file` for a plot; more policies add their names to it")
	f.Uint64Var(&c.seed, "seed", 0, "`number` in place of the experiment's seed")
	f.Var(&c.entries, "entry", "`address` where a running entry takes callers, repeated for more")
	f.Var(&c.rpc, "rpc", "`address` of a running entry's RPC, for jobs and statements")
}

// Execute runs the experiment with each policy.
func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	x, err := readExperiment(c.experiment)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if c.seed != 0 {
		x.Seed = c.seed
	}
	names := strings.Split(c.policy, ",")
	for _, name := range names {
		if _, err := drive.Policy(name); err != nil {
			fmt.Fprintln(os.Stderr, "-policy:", err)
			return subcommands.ExitUsageError
		}
	}
	status := subcommands.ExitSuccess
	for _, name := range names {
		r, err := c.run(ctx, x, name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		if err := c.write(r, len(names) > 1); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		if !r.Passed() {
			status = exitCheckFailed
		}
	}
	return status
}

func (c *loadCommand) run(ctx context.Context, x drive.Experiment, policy string) (*drive.Report, error) {
	opts := []drive.Option{drive.WithNotes(func(s string) { fmt.Fprintln(os.Stderr, s) })}
	o, err := drive.Policy(policy)
	if err != nil {
		return nil, err
	}
	opts = append(opts, drive.WithPolicy(policy, o...))
	if len(c.entries) > 0 {
		opts = append(opts, drive.WithEntries([]netip.AddrPort(c.entries), []netip.AddrPort(c.rpc)))
	}
	return drive.Run(ctx, x, opts...)
}

// write writes a report everywhere it is asked for.
func (c *loadCommand) write(r *drive.Report, several bool) error {
	if err := r.WriteText(os.Stdout); err != nil {
		return err
	}
	if c.json != "" {
		f, err := os.OpenFile(c.json, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			return err
		}
		if err := r.WriteJSON(f); err != nil {
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	if c.plot == "" {
		return nil
	}
	name := c.plot
	if several {
		ext := filepath.Ext(name)
		name = strings.TrimSuffix(name, ext) + "-" + r.Policy + ext
	}
	return r.Plot(name)
}

// experimentDir holds the program's own experiments.
const experimentDir = "experiments"

// readExperiment reads an experiment from a file, or one of the program's own.
func readExperiment(name string) (drive.Experiment, error) {
	if name == "" {
		return drive.Experiment{}, fmt.Errorf("-experiment is missing")
	}
	if filepath.Ext(name) != "" {
		return drive.Read(name)
	}
	path := experimentDir + "/" + name + ".toml"
	b, err := sample.Files.ReadFile(path)
	if err != nil {
		return drive.Experiment{}, fmt.Errorf("there is no experiment %q; there are %s", name, strings.Join(experimentNames(), ", "))
	}
	return drive.Parse(path, b)
}

func experimentNames() []string {
	entries, err := sample.Files.ReadDir(experimentDir)
	if err != nil {
		return nil
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}
