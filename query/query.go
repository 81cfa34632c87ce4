// Package query reads the statements of jayloft's query and command language.
//
// A statement consists of a verb, the kind and name of an object, and options in
// any order:
//
//	show tasks where dc = "bog-1" and state = running
//	why task "import-1.3"
//	create service "lookup" team "fichero" idempotent timeout 2s cores 2 memory 4GB
//	create job "import-1" team "uni" class import cores 2 memory 4GB inputs "a.csv", "b.csv"
//	drain dc "med-1" by 10m if version 41
//
// A file may contain several statements, each terminated by ';' or by the end of
// its line; an indented line continues the previous statement. Comments begin
// with '#' or "--". A name must be quoted if it contains characters other than
// letters, digits, '-', '_' and '.', begins with a digit or is a keyword.
//
// All errors of a statement or a file are reported together, each with its line
// and column.
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

// Statement is one statement of a file.
type Statement struct {
	Line    int    // 1-based line of its first token
	Text    string // its source text
	Command core.Command
}

// Parse parses a single statement. Durations that denote a point in time are
// relative to now. The error is a config.Findings.
func Parse(src string, now time.Time) (core.Command, error) {
	tokens, found := tokenize(src)
	groups := split(tokens)
	var cmd core.Command
	for i, g := range groups {
		if i > 0 {
			found = append(found, findingAt(g[0].Pos, "unexpected second statement"))
		}
		c, fs := parseStatement(g, now)
		found = append(found, fs...)
		if i == 0 {
			cmd = c
		}
	}
	if len(groups) == 0 && len(found) == 0 {
		found = append(found, config.Finding{Line: 1, Column: 1, Text: "the text contains no statement"})
	}
	if err := found.Err(); err != nil {
		return nil, err
	}
	return cmd, nil
}

// ParseAll parses the statements of a file, with times relative to now as in
// Parse. A file without statements is valid. The error is a config.Findings.
func ParseAll(src string, now time.Time) ([]Statement, error) {
	tokens, found := tokenize(src)
	var stmts []Statement
	for _, g := range split(tokens) {
		cmd, fs := parseStatement(g, now)
		found = append(found, fs...)
		if len(found) == 0 {
			stmts = append(stmts, Statement{Line: g[0].Pos.Line, Text: sourceText(src, g), Command: cmd})
		}
	}
	if err := found.Err(); err != nil {
		return nil, err
	}
	return stmts, nil
}

// sourceText returns the part of src that the tokens of a statement span.
func sourceText(src string, tokens []lexer.Token) string {
	last := tokens[len(tokens)-1]
	return src[tokens[0].Pos.Offset : last.Pos.Offset+len(last.Value)]
}

// parseStatement parses and checks the tokens of one statement.
func parseStatement(tokens []lexer.Token, now time.Time) (core.Command, config.Findings) {
	c := &checker{now: now.Round(0).UTC(), start: tokens[0].Pos}
	if !slices.Contains(verbs, tokens[0].Value) {
		c.reportf(tokens[0].Pos, "unknown statement %q; the verbs are %s", tokens[0].Value, verbList())
		return nil, c.findings
	}
	s, err := parseTokens(tokens)
	if err != nil {
		c.findings = append(c.findings, syntaxFinding(err, tokens))
		return nil, c.findings
	}
	cmd := c.statement(s)
	return cmd, c.findings
}

// findingAt returns a finding at the position of a token.
func findingAt(pos lexer.Position, text string) config.Finding {
	return config.Finding{Line: pos.Line, Column: pos.Column, Text: text}
}
