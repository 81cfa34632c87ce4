package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"jayloft/story"
)

// explainCommand tells from logs what became of a job or task.
type explainCommand struct{}

// Name is the command's word.
func (*explainCommand) Name() string { return "explain" }

// Synopsis is the command's line in the help.
func (*explainCommand) Synopsis() string { return "tell the story of a job or task, from logs" }

// Usage explains the command.
func (*explainCommand) Usage() string {
	return `jayloft explain ID FILE...
  Reads the logs of several processes (format = "json") and prints what they say
  about a job (ID), a task (ID.3), an attempt (ID.3#1), a worker or an entry, in
  the order of their times, and what is missing. Lines that can't be read are
  counted. Exit codes: 0 something was found, 1 nothing was, 2 wrong arguments.
`
}

// SetFlags declares the command's flags.
func (*explainCommand) SetFlags(*flag.FlagSet) {}

// Execute reads the files and prints the story.
func (*explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		fmt.Fprintln(os.Stderr, "explain needs an id and at least one file")
		return subcommands.ExitUsageError
	}
	s := story.New(f.Arg(0))
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

func readLog(s *story.Timeline, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(s.Read(path, file), file.Close())
}
