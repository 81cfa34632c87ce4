package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"jayloft/trace"
)

// explainCommand prints the history of a job or task from logs.
type explainCommand struct{}

// Name returns the name of the subcommand.
func (*explainCommand) Name() string { return "explain" }

// Synopsis returns the subcommand's line in the command list.
func (*explainCommand) Synopsis() string { return "print the history of a job or task from logs" }

// Usage returns the subcommand's help text.
func (*explainCommand) Usage() string {
	return `jayloft explain ID FILE...
  Reads the logs of several processes (format = "json") and prints their
  events about a job (ID), a task (ID.3), an attempt (ID.3#1), a worker or an
  entry in time order, and which events are missing. Unreadable lines are
  counted. Exit codes: 0 events were found, 1 none were found or a file can't be
  read, 2 wrong arguments.
`
}

// SetFlags registers the subcommand's flags.
func (*explainCommand) SetFlags(*flag.FlagSet) {}

// Execute reads the files and prints the history.
func (*explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		fmt.Fprintln(os.Stderr, "explain: want an id and at least one file")
		return subcommands.ExitUsageError
	}
	s := trace.New(f.Arg(0))
	for _, path := range f.Args()[1:] {
		if err := readLog(s, path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	if err := s.Write(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if len(s.Lines()) == 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func readLog(s *trace.Timeline, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(s.Read(path, file), file.Close())
}
