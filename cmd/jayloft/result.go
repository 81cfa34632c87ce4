package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"jayloft/config"
	"jayloft/core"
	"jayloft/wire"
)

// printf writes to a standard stream. There is nowhere to report a failure to.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

// resultPrinter writes the results of statements.
type resultPrinter struct {
	out, errs io.Writer
	json      bool
}

// jsonResult is a statement's result as JSON.
type jsonResult struct {
	ID       string        `json:"id,omitempty"`
	Outcome  string        `json:"outcome"`
	Text     string        `json:"text,omitempty"`
	Version  uint64        `json:"version,omitempty"`
	Retry    int64         `json:"retry,omitempty"` // milliseconds
	Columns  []string      `json:"columns,omitempty"`
	Rows     [][]string    `json:"rows,omitempty"`
	Findings []jsonFinding `json:"findings,omitempty"`
}

// jsonFinding is a fault of a statement and its place.
type jsonFinding struct {
	Line   int32  `json:"line"`
	Column int32  `json:"column"`
	Text   string `json:"text"`
}

// print writes a result and returns the exit code that it stands for.
func (p resultPrinter) print(req *wire.DoRequest, res *wire.DoResponse) subcommands.ExitStatus {
	if p.json {
		p.printJSON(req, res)
	} else {
		p.printText(res)
	}
	switch res.GetOutcome() {
	case string(core.CommandDone):
		return subcommands.ExitSuccess
	case string(core.CommandRefused), string(core.CommandConflict):
		return subcommands.ExitFailure
	case outcomeInvalid:
		return subcommands.ExitUsageError
	}
	return exitUnknown
}

// invalid writes what is wrong with the arguments or statements.
func (p resultPrinter) invalid(id string, err error) subcommands.ExitStatus {
	var found config.Findings
	if !p.json || !errors.As(err, &found) {
		printf(p.errs, "%v\n", err)
		return subcommands.ExitUsageError
	}
	res := &wire.DoResponse{Outcome: outcomeInvalid, Text: "nothing was run"}
	for _, f := range found {
		res.Findings = append(res.Findings, &wire.Finding{Line: int32(f.Line), Column: int32(f.Column), Text: f.Text})
	}
	return p.print(&wire.DoRequest{Id: id}, res)
}

func (p resultPrinter) printJSON(req *wire.DoRequest, res *wire.DoResponse) {
	r := jsonResult{
		ID:      req.GetId(),
		Outcome: res.GetOutcome(),
		Text:    res.GetText(),
		Version: res.GetVersion(),
		Retry:   res.GetRetryAfterMs(),
		Columns: res.GetColumns(),
	}
	for _, row := range res.GetRows() {
		r.Rows = append(r.Rows, row.GetCells())
	}
	for _, f := range res.GetFindings() {
		r.Findings = append(r.Findings, jsonFinding{f.GetLine(), f.GetColumn(), f.GetText()})
	}
	if err := json.NewEncoder(p.out).Encode(r); err != nil {
		printf(p.errs, "%v\n", err)
	}
}

func (p resultPrinter) printText(res *wire.DoResponse) {
	if res.GetOutcome() != string(core.CommandDone) {
		p.printFailure(res)
		return
	}
	if len(res.GetColumns()) == 0 {
		printf(p.out, "done: %s (version %d)\n", res.GetText(), res.GetVersion())
		return
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	printf(w, "%s\n", tableLine(res.GetColumns()))
	for _, row := range res.GetRows() {
		printf(w, "%s\n", tableLine(row.GetCells()))
	}
	if err := w.Flush(); err != nil {
		printf(p.errs, "%v\n", err)
	}
	printf(p.out, "%d rows (version %d)\n", len(res.GetRows()), res.GetVersion())
	if res.GetText() != "" {
		printf(p.errs, "note: %s\n", res.GetText())
	}
}

// tableLine returns cells as one line of a table. Line breaks and tabs within a
// cell would break the table, and an empty cell would be easy to miss.
func tableLine(cells []string) string {
	clean := strings.NewReplacer("\n", " ", "\t", " ", "\r", " ")
	words := make([]string, len(cells))
	for i, c := range cells {
		words[i] = clean.Replace(c)
		if c == "" {
			words[i] = "-"
		}
	}
	return strings.Join(words, "\t")
}

func (p resultPrinter) printFailure(res *wire.DoResponse) {
	printf(p.errs, "%s: %s", res.GetOutcome(), res.GetText())
	if v := res.GetVersion(); v > 0 {
		printf(p.errs, " (version %d)", v)
	}
	if ms := res.GetRetryAfterMs(); ms > 0 {
		printf(p.errs, "; try again in %s", time.Duration(ms)*time.Millisecond)
	}
	printf(p.errs, "\n")
	for _, f := range res.GetFindings() {
		printf(p.errs, "%d:%d: %s\n", f.GetLine(), f.GetColumn(), f.GetText())
	}
}
