package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/google/subcommands"

	"jayloft/stand"
)

// standTimeout bounds a call to a stand-in.
const standTimeout = 10 * time.Second

// flagErrors collects what is wrong with flags.
type flagErrors []error

// parseFlag parses a flag's value.
func parseFlag[T any](fs *flagErrors, name, value string, parse func(string) (T, error)) T {
	v, err := parse(value)
	if err != nil {
		*fs = append(*fs, fmt.Errorf("-%s: %w", name, err))
	}
	return v
}

func (fs flagErrors) err() error { return errors.Join(fs...) }

// newStandClient returns a client of the stand-in at an address given as a flag.
func newStandClient(addr string) (*stand.Client, bool) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "-addr:", err)
		return nil, false
	}
	return stand.NewClient(a), true
}

// faultCommand switches a fault of a stand-in.
type faultCommand struct {
	addr     string
	duration time.Duration
}

// Name is the command's word.
func (*faultCommand) Name() string { return "fault" }

// Synopsis is the command's line in the help.
func (*faultCommand) Synopsis() string { return "switch a fault of a stand-in" }

// Usage explains the command.
func (*faultCommand) Usage() string {
	return `jayloft stand fault -addr IP:PORT [-for 10s] NAME VALUE
  Switches a fault on, or off with a value of 0. Of the platform: down,
  readdown, writedown, slow (seconds), lostanswer (how many, or a share below 1),
  also with "table." or "objects." before. Of a worker: kill, fail, freeze, slow
  (a factor).
`
}

// SetFlags declares the command's flags.
func (c *faultCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "addr", "127.0.0.1:7000", "`address` of the stand-in")
	f.DurationVar(&c.duration, "for", 0, "switch it off after this `time`")
}

// Execute switches the fault.
func (c *faultCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	value, err := strconv.ParseFloat(f.Arg(1), 64)
	if err != nil {
		fmt.Fprintln(os.Stderr, "VALUE:", err)
		return subcommands.ExitUsageError
	}
	s, ok := newStandClient(c.addr)
	if !ok {
		return subcommands.ExitUsageError
	}
	defer s.Close()
	var until time.Time
	if c.duration > 0 {
		until = time.Now().Add(c.duration)
	}
	ctx, cancel := context.WithTimeout(ctx, standTimeout)
	defer cancel()
	if err := s.SetFault(ctx, stand.Fault(f.Arg(0)), value, until); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// journalCommand prints what a stand-in has recorded.
type journalCommand struct {
	addr  string
	since int
}

// Name is the command's word.
func (*journalCommand) Name() string { return "journal" }

// Synopsis is the command's line in the help.
func (*journalCommand) Synopsis() string { return "print what a stand-in has recorded" }

// Usage explains the command.
func (*journalCommand) Usage() string {
	return "jayloft stand journal -addr IP:PORT [-since N]\n" +
		"  Prints what a stand-in has recorded: time, worker, kind, subject and detail.\n" +
		"  The last line is the number to go on from.\n"
}

// SetFlags declares the command's flags.
func (c *journalCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "addr", "127.0.0.1:7000", "`address` of the stand-in")
	f.IntVar(&c.since, "since", 0, "`number` of the first entry")
}

// Execute prints the entries.
func (c *journalCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, ok := newStandClient(c.addr)
	if !ok {
		return subcommands.ExitUsageError
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(ctx, standTimeout)
	defer cancel()
	entries, next, err := s.Journal(ctx, c.since)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	for _, e := range entries {
		fmt.Printf("%s %s %s %s %s\n", e.At.Format(time.RFC3339Nano), e.Worker, e.Kind, e.Subject, e.Detail)
	}
	fmt.Println("next", next)
	return subcommands.ExitSuccess
}
