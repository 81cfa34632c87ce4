// Package query reads the statements of jayloft's query and command language.
//
// A statement is a verb, what it is about, and options in any order:
//
//	show tasks where dc = "bog-1" and state = running
//	why task "import-1.3"
//	create service "lookup" team "fichero" idempotent timeout 2s cores 2 memory 4GB
//	create job "import-1" team "uni" class import cores 2 memory 4GB inputs "a.csv", "b.csv"
//	drain dc "med-1" by 10m if version 41
//
// A file holds several, each ended by ';' or by the end of its line; an
// indented line continues the statement before it. Comments begin with '#' or
// "--". Names need quotes only if they hold other than letters, digits, '-',
// '_' and '.', begin with a digit or are keywords.
//
// All faults of a statement or a file are reported together, each with its
// line and column.
//
// # Usage
//
//	cmd, err := query.Parse(`drain dc "med-1" by 10m`, time.Now())
//	if err != nil {
//		// err is a config.Findings
//	}
//	fmt.Println(query.String(cmd))
package query

import (
	"slices"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"jayloft/config"
	"jayloft/core"
)

// Statement is one statement of a file and its place.
type Statement struct {
	Line    int
	Text    string // as written
	Command core.Command
}

// Parse reads one statement. Times in it are relative to now. Its error is a
// config.Findings.
func Parse(src string, now time.Time) (core.Command, error) {
	tokens, found := tokenize(src)
	groups := split(tokens)
	var cmd core.Command
	for i, g := range groups {
		if i > 0 {
			found = append(found, at(g[0].Pos, "a second statement begins here"))
		}
		c, fs := parse(g, now)
		found = append(found, fs...)
		if i == 0 {
			cmd = c
		}
	}
	if len(groups) == 0 && len(found) == 0 {
		found = append(found, config.Finding{Line: 1, Column: 1, Text: "there is no statement"})
	}
	if err := found.Err(); err != nil {
		return nil, err
	}
	return cmd, nil
}

// ParseAll reads the statements of a file. Its error is a config.Findings.
func ParseAll(src string, now time.Time) ([]Statement, error) {
	tokens, found := tokenize(src)
	var stmts []Statement
	for _, g := range split(tokens) {
		cmd, fs := parse(g, now)
		found = append(found, fs...)
		if len(found) == 0 {
			stmts = append(stmts, Statement{Line: g[0].Pos.Line, Text: written(src, g), Command: cmd})
		}
	}
	if err := found.Err(); err != nil {
		return nil, err
	}
	return stmts, nil
}

// written returns the part of the source that a statement's tokens are from.
func written(src string, tokens []lexer.Token) string {
	last := tokens[len(tokens)-1]
	return src[tokens[0].Pos.Offset : last.Pos.Offset+len(last.Value)]
}

// parse reads the tokens of one statement.
func parse(tokens []lexer.Token, now time.Time) (core.Command, config.Findings) {
	c := &checker{now: now.Round(0).UTC(), start: tokens[0].Pos}
	if !slices.Contains(verbs, tokens[0].Value) {
		c.findf(tokens[0].Pos, "unknown statement %q; statements begin with %s", tokens[0].Value, verbList())
		return nil, c.found
	}
	s, err := parseTokens(tokens)
	if err != nil {
		c.found = append(c.found, syntax(err, tokens))
		return nil, c.found
	}
	cmd := c.statement(s)
	return cmd, c.found
}

// at returns a finding at a token's position.
func at(pos lexer.Position, text string) config.Finding {
	return config.Finding{Line: pos.Line, Column: pos.Column, Text: text}
}
