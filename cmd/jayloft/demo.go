package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	drive "jayloft/load"
)

// demoCommand demonstrates jayloft on an example site within one process.
type demoCommand struct {
	site string
	seed uint64
}

// Name returns the name of the subcommand.
func (*demoCommand) Name() string { return "demo" }

// Synopsis returns the subcommand's line in the command list.
func (*demoCommand) Synopsis() string { return "run an example site in one process" }

// Usage returns the subcommand's help text.
func (*demoCommand) Usage() string {
	return `jayloft demo [-site fichero|mwakalinga] [-seed N]
  Starts a whole example site on loopback in this process: entries, agents, and
  stand-ins for the platform and the workers. Callers send requests and check
  every answer, batch jobs run, and a data centre is taken out and brought back
  meanwhile. It takes less than 30 seconds.

  Exit codes: 0 all checks passed, 1 a check or the run failed, 2 wrong
  arguments.
`
}

// SetFlags registers the subcommand's flags.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.site, "site", "fichero", "`name` of the site")
	f.Uint64Var(&c.seed, "seed", 1, "`seed` of the generated load")
}

// Execute runs the demo.
func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	x, err := readExperiment("demo-" + c.site)
	if err != nil || f.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "demo: unknown site %q or unexpected arguments; the sites are fichero and mwakalinga\n", c.site)
		return subcommands.ExitUsageError
	}
	x.Seed = c.seed
	start := time.Now()
	fmt.Println(x.About)
	r, err := drive.Run(ctx, x, drive.WithNotes(func(s string) { fmt.Println(s) }))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	c.summary(r)
	fmt.Printf("\ntook %s\n", time.Since(start).Round(100*time.Millisecond))
	if !r.Passed() {
		return exitCheckFailed
	}
	return subcommands.ExitSuccess
}

func (c *demoCommand) summary(r *drive.Report) {
	fmt.Printf("\n%-10s %9s %8s %8s %8s %8s\n", "", "requests", "p50 ms", "p90 ms", "p99 ms", "tasks/s")
	for _, p := range r.Phases {
		name := p.Phase
		if name == "" {
			name = "all"
		}
		fmt.Printf("%-10s %9d %8.1f %8.1f %8.1f %8.1f\n", name, p.Requests, p.P50, p.P90, p.P99, p.Tasks)
	}
	fmt.Printf("\n%d batch tasks were submitted\n\n", r.Tasks)
	for _, v := range r.Checks {
		if v.Pass {
			fmt.Printf("ok      %s\n", v.Text)
			continue
		}
		fmt.Printf("FAILED  %s: %.4g, want %s\n", v.Text, v.Value, v.Bound)
	}
}
