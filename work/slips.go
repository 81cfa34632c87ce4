package work

import (
	"encoding/csv"
	"errors"
	"fmt"
	"strings"
	"time"

	"jayloft/config"
)

// Slip is one citation: a sentence that shows how a word is used.
type Slip struct {
	ID        string `json:"id"`
	Headword  string `json:"headword"`
	Quotation string `json:"quotation"`
	Source    string `json:"source"`
	Place     string `json:"place"`
	Date      string `json:"date"` // year-month-day
}

// slipHeader is the first line of a CSV text of slips.
const slipHeader = "id,headword,quotation,source,place,date"

// slipFields is the number of columns of a slip.
const slipFields = 6

// ParseSlips reads a CSV text with one slip on each line after the header. It
// returns the valid slips and, as a config.Findings, the errors of all invalid
// lines. The findings report name as their file.
func ParseSlips(name, text string) ([]Slip, error) {
	p := parseSlips(name, text)
	return p.slips, p.findings.Err()
}

func parseSlips(name, text string) slipParser {
	p := slipParser{name: name, seen: map[string]int{}}
	line := 0
	for l := range strings.Lines(text) {
		line++
		l = strings.TrimRight(l, "\r\n")
		if line == 1 {
			l = strings.TrimPrefix(l, "\ufeff")
			if l == slipHeader {
				continue
			}
			p.addFinding(line, 1, "the header is missing: "+slipHeader)
		}
		if strings.TrimSpace(l) != "" && !p.parse(line, l) {
			p.rejected++
		}
	}
	if line == 0 {
		p.addFinding(1, 1, "the header is missing: "+slipHeader)
	}
	return p
}

// slipParser accumulates the slips and findings of one text.
type slipParser struct {
	name     string
	seen     map[string]int // line number by slip id
	slips    []Slip
	rejected int // lines
	findings config.Findings
}

func (p *slipParser) addFinding(line, column int, text string) {
	p.findings = append(p.findings, config.Finding{File: p.name, Line: line, Column: column, Text: text})
}

// parse parses one line and reports whether it is a valid slip. A slip can't
// contain line breaks, so that an unbalanced quotation mark invalidates its own
// line only.
func (p *slipParser) parse(line int, text string) bool {
	r := csv.NewReader(strings.NewReader(text))
	r.FieldsPerRecord = -1
	rec, err := r.Read()
	var pe *csv.ParseError
	switch {
	case errors.As(err, &pe):
		p.addFinding(line, pe.Column, pe.Err.Error())
		return false
	case err != nil:
		p.addFinding(line, 1, err.Error())
		return false
	case len(rec) != slipFields:
		p.addFinding(line, 1, fmt.Sprintf("%d fields, want %d", len(rec), slipFields))
		return false
	}
	before := len(p.findings)
	for i, v := range rec[:3] {
		if strings.TrimSpace(v) == "" {
			p.addFindingAt(r, line, i, strings.Split(slipHeader, ",")[i]+" is empty")
		}
	}
	if _, err := time.Parse(time.DateOnly, rec[5]); err != nil {
		p.addFindingAt(r, line, 5, fmt.Sprintf("date %q is not of the form 2006-01-31", rec[5]))
	}
	if first, ok := p.seen[rec[0]]; ok {
		p.addFindingAt(r, line, 0, fmt.Sprintf("id %q is taken by line %d", rec[0], first))
	}
	if len(p.findings) > before {
		return false
	}
	p.seen[rec[0]] = line
	p.slips = append(p.slips, Slip{rec[0], rec[1], rec[2], rec[3], rec[4], rec[5]})
	return true
}

func (p *slipParser) addFindingAt(r *csv.Reader, line, field int, text string) {
	_, column := r.FieldPos(field)
	p.addFinding(line, column, text)
}
