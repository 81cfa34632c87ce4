package query

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"jayloft/config"
	"jayloft/core"
)

// DefaultDrainTimeout is the time to a drain's end if the statement gives none.
const DefaultDrainTimeout = time.Minute

// Limits on what statements ask for.
const (
	maxDrain        = 7 * 24 * time.Hour
	minTimeout      = time.Millisecond
	maxTimeout      = 10 * time.Minute
	maxWeight       = 1000
	maxTaskCores    = 4096 * 1000       // millicores
	maxTaskMemory   = 64 * 1_000_000    // MB
	maxAccelerators = 1024              // of a task
	maxQuota        = 1_000_000_000_000 // of a team, in any dimension
	maxText         = 4096              // bytes of an id or a value of where
	maxInput        = 64 * 1024         // bytes of a task's input
)

// Kinds that statements take.
var (
	showKinds   = []string{"workers", "tasks", "jobs", "services", "dcs", "teams", "policy", "entries"}
	whyKinds    = []string{"task", "job", "worker", "request", "dc"}
	createKinds = []string{"service", "dc", "team", "job"}
	comparisons = []string{"=", "!=", "<", ">", "<=", ">="}
)

// checker turns a parsed statement into a command and collects findings.
type checker struct {
	now   time.Time
	start lexer.Position
	found config.Findings
}

func (c *checker) findf(pos lexer.Position, format string, args ...any) {
	c.found = append(c.found, at(pos, fmt.Sprintf(format, args...)))
}

// statement returns the command; it is of use only if there are no findings.
func (c *checker) statement(s *statement) core.Command {
	switch {
	case s.Show != nil:
		return c.show(s.Show)
	case s.Why != nil:
		kind := c.kind("why", s.Why.Kind, whyKinds)
		id := c.text(s.Why.Name, "the id", maxText)
		c.options("why", s.Why.Rest)
		return core.Why{Kind: kind, ID: id}
	case s.Create != nil:
		return c.create(s.Create)
	case s.Cancel != nil:
		c.kind("cancel", s.Cancel.Kind, []string{"job"})
		job := c.job(s.Cancel.Name)
		c.options("cancel", s.Cancel.Rest)
		return core.CancelJob{Job: job}
	case s.Drain != nil:
		return c.drain(s.Drain)
	case s.Return != nil:
		c.kind("return", s.Return.Kind, []string{"dc"})
		r := core.Return{DC: core.DC(c.name(s.Return.Name, "the name"))}
		c.options("return", s.Return.Rest, ifVersion(&r.If))
		return r
	case s.Set != nil:
		return c.set(s.Set)
	}
	return nil
}

func (c *checker) show(s *show) core.Command {
	cmd := core.Show{Kind: c.kind("show", s.Kind, showKinds)}
	for _, x := range s.Conds {
		if m, ok := c.cond(x); ok {
			cmd.Where = append(cmd.Where, m)
		}
	}
	c.options("show", s.Rest)
	return cmd
}

func (c *checker) cond(x cond) (core.Match, bool) {
	const form = `a condition is a column, a comparison and a value, such as dc = "bog-1"`
	if len(x.Parts) != 3 || x.Parts[0].Word == "" || x.Parts[1].Op == "" || x.Parts[2].Op+x.Parts[2].Comma != "" {
		c.findf(x.Pos, form)
		return core.Match{}, false
	}
	m := core.Match{Column: x.Parts[0].Word, Op: x.Parts[1].Op}
	if !slices.Contains(comparisons, m.Op) {
		c.findf(x.Parts[1].Pos, "unknown comparison %q; comparisons are %s", m.Op, strings.Join(comparisons, ", "))
	}
	last := x.Parts[2]
	m.Value = c.text(&value{Pos: last.Pos, Text: last.Word + last.Text, Quote: last.Quote}, "the value", maxText)
	return m, true
}

func (c *checker) drain(a *about) core.Command {
	c.kind("drain", a.Kind, []string{"dc"})
	d := core.Drain{DC: core.DC(c.name(a.Name, "the name")), Deadline: c.now.Add(DefaultDrainTimeout)}
	c.options("drain", a.Rest,
		spec{"by", false, func(c *checker, o option) { c.by(o, &d.Deadline) }},
		ifVersion(&d.If))
	return d
}

func (c *checker) set(a *about) core.Command {
	s := core.SetPolicy{}
	c.options("set", a.Rest, ifVersion(&s.If))
	if a.Kind == nil {
		c.findf(c.start, "set needs the name of a number: %s", settable())
		return s
	}
	s.Row.Name = a.Kind.Text
	n, ok := config.FindParam(s.Row.Name)
	if _, can := core.PolicyNames[s.Row.Name]; !can {
		if ok {
			c.findf(a.Kind.Pos, "%s is the same for every process at all times, so it is changed in settings only; set takes %s", s.Row.Name, settable())
		} else {
			c.findf(a.Kind.Pos, "unknown number %q; set takes %s", s.Row.Name, settable())
		}
		return s
	}
	if a.Name == nil {
		c.findf(a.Kind.Pos, "set %s needs a value", s.Row.Name)
		return s
	}
	v, err := n.Parse(c.text(a.Name, "the value", maxText))
	if err != nil {
		c.findf(a.Name.Pos, "%v", err)
	}
	s.Row.Value = v
	return s
}

func settable() string {
	var names []string
	for n := range core.PolicyNames {
		names = append(names, n)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// kind checks the word after a verb.
func (c *checker) kind(verb string, w *word, kinds []string) string {
	switch {
	case w == nil:
		c.findf(c.start, "%s needs one of %s", verb, strings.Join(kinds, ", "))
		return ""
	case !slices.Contains(kinds, w.Text):
		c.findf(w.Pos, "%s takes %s, not %q", verb, strings.Join(kinds, ", "), w.Text)
		return ""
	}
	return w.Text
}

// name checks the name of a thing.
func (c *checker) name(v *value, what string) string {
	before := len(c.found)
	s := c.text(v, what, config.MaxNameBytes)
	if len(c.found) > before {
		return ""
	}
	if err := config.CheckName(s); err != nil {
		c.findf(v.Pos, "%v", err)
	}
	return s
}

// job checks the id of a job. A dot divides it from the number of a task.
func (c *checker) job(v *value) core.JobID {
	s := c.name(v, "the id")
	if strings.Contains(s, ".") {
		c.findf(v.Pos, "%q has a dot, which ids of jobs must not", s)
	}
	return core.JobID(s)
}

// text returns a value's text, unquoted.
func (c *checker) text(v *value, what string, limit int) string {
	if v == nil {
		c.findf(c.start, "%s is missing", what)
		return ""
	}
	s := v.Text
	if v.Quote != "" {
		var err error
		if s, err = strconv.Unquote(v.Quote); err != nil {
			c.findf(v.Pos, "%s is no string: its escapes are those of Go", v.Quote)
			return ""
		}
	}
	switch {
	case s == "" && limit != maxInput:
		c.findf(v.Pos, "%s is empty", what)
	case len(s) > limit:
		c.findf(v.Pos, "%s is longer than %d bytes", what, limit)
	case invalidUTF8(s) >= 0:
		c.findf(v.Pos, "%s is not valid UTF-8", what)
	}
	if v.Comma {
		c.findf(v.Pos, "unexpected ',' before %s", what)
	}
	return s
}
