package main

import (
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/google/subcommands"

	"jayloft/core"
	"jayloft/query"
	"jayloft/wire"
)

// exitUnknown says that a statement may have taken effect.
const exitUnknown subcommands.ExitStatus = 3

// defaultEntry is an entry of the example deployments.
const defaultEntry = "127.0.0.1:7012"

// queryCommand runs statements of the query and command language.
type queryCommand struct {
	entries addrList
	id      string
	json    bool
	file    string
	timeout time.Duration
}

// addrList is a flag that collects addresses.
type addrList []netip.AddrPort

// String returns the addresses, divided by commas.
func (l *addrList) String() string {
	var words []string
	for _, a := range *l {
		words = append(words, a.String())
	}
	return strings.Join(words, ",")
}

// Set adds addresses, divided by commas.
func (l *addrList) Set(s string) error {
	for _, word := range strings.Split(s, ",") {
		a, err := netip.ParseAddrPort(word)
		if err != nil {
			return fmt.Errorf("%q is no IP number with a port, such as %s", word, defaultEntry)
		}
		*l = append(*l, a)
	}
	return nil
}

// Name is the command's word.
func (*queryCommand) Name() string { return "query" }

// Synopsis is the command's line in the help.
func (*queryCommand) Synopsis() string { return "ask what runs where and why, and order changes" }

// Usage explains the command.
func (*queryCommand) Usage() string {
	return `jayloft query [-entry ADDR]... [-id ID] [-json] 'STATEMENT'
jayloft query [-entry ADDR]... [-id ID] [-json] -file FILE
  Runs a statement, or those of a file up to the first that is not done.

    jayloft query 'show workers'
    jayloft query 'show tasks where state = running and team = uni'
    jayloft query 'why task "import-1.3"'
    jayloft query 'drain dc "med-1" by 10m'
    jayloft query 'return dc "med-1" if version 41'
    jayloft query -id monday -file setup.jay

  Entries are asked in turn until one settles the statement. A command takes
  effect once for its id, so it can be repeated with the same -id after any
  failure. Without -id one is made; it is printed if the outcome is unknown.

  Exit codes: 0 done; 1 refused or conflict, nothing was changed; 2 wrong
  arguments or an invalid statement; 3 unknown, the statement may have taken
  effect.
`
}

// SetFlags declares the command's flags.
func (c *queryCommand) SetFlags(f *flag.FlagSet) {
	f.Var(&c.entries, "entry", "`address` of an entry's RPC, repeated for more (default "+defaultEntry+")")
	f.StringVar(&c.id, "id", "", "`id` under which the command takes effect once")
	f.BoolVar(&c.json, "json", false, "print one JSON object for each statement")
	f.StringVar(&c.file, "file", "", "`file` of statements")
	f.DurationVar(&c.timeout, "timeout", 30*time.Second, "`time` for each statement")
}

// Execute runs the statements.
func (c *queryCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, os.Stdout, os.Stderr, f.Args())
}

func (c *queryCommand) run(ctx context.Context, out, errs io.Writer, args []string) subcommands.ExitStatus {
	if len(c.entries) == 0 {
		c.entries = addrList{netip.MustParseAddrPort(defaultEntry)}
	}
	show := resultPrinter{out: out, errs: errs, json: c.json}
	stmts, err := c.statements(args)
	if err != nil {
		return show.invalid(c.id, err)
	}
	ids := c.ids(len(stmts))
	a := newStatementClient(c.entries)
	for i, s := range stmts {
		req := &wire.DoRequest{Id: ids[i], Statement: s.Text, Operator: operator(), First: c.id == ""}
		if status := show.print(req, c.ask(ctx, a, s, req)); status != subcommands.ExitSuccess {
			if i+1 < len(stmts) {
				printf(errs, "%s:%d: stopped here; %d statements were not run\n", c.file, s.Line, len(stmts)-i-1)
			}
			return status
		}
	}
	return subcommands.ExitSuccess
}

func (c *queryCommand) ask(ctx context.Context, a *statementClient, s query.Statement, req *wire.DoRequest) *wire.DoResponse {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return a.ask(ctx, req, isReadOnly(s.Command))
}

// isReadOnly reports whether a command changes nothing.
func isReadOnly(cmd core.Command) bool {
	switch cmd.(type) {
	case core.Show, core.Why:
		return true
	}
	return false
}

// statements returns what the arguments say to run.
func (c *queryCommand) statements(args []string) ([]query.Statement, error) {
	switch {
	case c.file != "" && len(args) > 0:
		return nil, errors.New("query: want a statement or -file, not both")
	case c.file != "":
		return readStatements(c.file)
	case len(args) == 0:
		return nil, errors.New("query: want a statement; try jayloft help query")
	}
	src := strings.Join(args, " ")
	cmd, err := query.Parse(src, time.Now())
	if err != nil {
		return nil, err
	}
	return []query.Statement{{Line: 1, Text: src, Command: cmd}}, nil
}

// ids returns an id for each statement, the same ones for the same -id.
func (c *queryCommand) ids(n int) []string {
	base := c.id
	if base == "" {
		base = rand.Text()
	}
	ids := make([]string, n)
	for i := range ids {
		ids[i] = base
		if c.file != "" {
			ids[i] = fmt.Sprintf("%s-%d", base, i+1)
		}
	}
	return ids
}

// operator returns who asks, for the log.
func operator() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}
