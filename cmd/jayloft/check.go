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

// statementsExt is the extension of statement files; all other files hold
// settings.
const statementsExt = ".jay"

// checkCommand validates settings files and statement files.
type checkCommand struct{}

// Name returns the name of the subcommand.
func (*checkCommand) Name() string { return "check" }

// Synopsis returns the subcommand's line in the command list.
func (*checkCommand) Synopsis() string { return "validate settings files and statement files" }

// Usage returns the subcommand's help text.
func (*checkCommand) Usage() string {
	return `jayloft check FILE...
  Validates settings files (TOML) and statement files (.jay) and prints every
  error with its file, line and column.

    jayloft check entry.toml agent.toml
    jayloft check setup.jay

  Exit codes: 0 no errors, 1 errors were found or a file can't be read,
  2 no file was given.
`
}

// SetFlags does nothing: the subcommand has no flags.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Execute checks the files.
func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return checkFiles(os.Stdout, os.Stderr, f.Args())
}

func checkFiles(out, errs io.Writer, paths []string) subcommands.ExitStatus {
	if len(paths) == 0 {
		printf(errs, "check: no file given; try jayloft help check\n")
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

// checkFile returns a summary of a file, or its findings as an error.
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

// readStatements parses a statement file. Its error holds the findings.
func readStatements(path string) ([]query.Statement, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("statements: %w", err)
	}
	stmts, err := query.ParseAll(string(b), time.Now())
	return stmts, inFile(path, err)
}

// inFile adds the path of the file to the findings in err, if it holds any.
func inFile(path string, err error) error {
	var found config.Findings
	if errors.As(err, &found) {
		return found.WithFile(path)
	}
	return err
}
