package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"jayloft/config"
	"jayloft/query"
)

// statementsExt is the extension of files of statements; all others hold
// settings.
const statementsExt = ".jay"

// checkCommand reads settings and statements and reports what is wrong.
type checkCommand struct{}

// Name is the command's word.
func (*checkCommand) Name() string { return "check" }

// Synopsis is the command's line in the help.
func (*checkCommand) Synopsis() string { return "check files of settings and of statements" }

// Usage explains the command.
func (*checkCommand) Usage() string {
	return `jayloft check FILE...
  Reads files of settings (TOML) and of statements (.jay) and prints everything
  that is wrong with them, each with its file, line and column.

    jayloft check entry.toml agent.toml
    jayloft check setup.jay

  Exit codes: 0 nothing is wrong, 1 there are findings or a file can't be
  read, 2 no file was named.
`
}

// SetFlags declares the command's flags; it has none.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Execute checks the files.
func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return checkFiles(os.Stdout, os.Stderr, f.Args())
}

func checkFiles(out, errs io.Writer, paths []string) subcommands.ExitStatus {
	if len(paths) == 0 {
		printf(errs, "check: no file is named; try jayloft help check\n")
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, path := range paths {
		summary, err := checkFile(path)
		if err != nil {
			printf(errs, "%v\n", err)
			status = subcommands.ExitFailure
			continue
		}
		printf(out, "%s: %s\n", path, summary)
	}
	return status
}

// checkFile returns what a file holds in a few words, or its findings.
func checkFile(path string) (string, error) {
	if filepath.Ext(path) == statementsExt {
		stmts, err := readStatements(path)
		return fmt.Sprintf("%d statements", len(stmts)), err
	}
	f, err := config.Load(path)
	if err != nil {
		return "", err
	}
	switch {
	case f.Entry != nil:
		return fmt.Sprintf("settings of the entry %s", f.Entry.Name), nil
	case f.Agent != nil:
		return fmt.Sprintf("settings of the agent of %s in %s", f.Agent.Worker, f.Agent.DC), nil
	}
	return fmt.Sprintf("settings of stand-ins, %d workers", len(f.Stand.Workers)), nil
}

// readStatements reads a file of statements. Its error holds the findings.
func readStatements(path string) ([]query.Statement, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("statements: %w", err)
	}
	stmts, err := query.ParseAll(string(b), time.Now())
	return stmts, inFile(path, err)
}

// inFile adds the file to the findings of an error.
func inFile(path string, err error) error {
	var found config.Findings
	if errors.As(err, &found) {
		return found.WithFile(path)
	}
	return err
}
