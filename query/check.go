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

// DefaultDrainTimeout is the time until the deadline of a drain if the statement
// has no by option.
const DefaultDrainTimeout = time.Minute

// Limits of values in statements.
const (
	maxDrain          = 7 * 24 * time.Hour
	minTimeout        = time.Millisecond
	maxTimeout        = 10 * time.Minute
	maxWeight         = 1000
	maxTaskMillicores = 4096 * 1000       // of a task or a service
	maxTaskMemoryMB   = 64 * 1_000_000    // of a task or a service
	maxAccelerators   = 1024              // of a task or a service
	maxQuota          = 1_000_000_000_000 // of a team, for each resource
	maxTextBytes      = 4096              // of an id or an option or condition value
	maxInputBytes     = 64 * 1024         // of one task input
)

// Object kinds and comparison operators that statements accept.
var (
	showKinds   = []string{"workers", "tasks", "jobs", "idle", "services", "dcs", "teams", "policy", "entries"}
	whyKinds    = []string{"task", "job", "worker", "request", "dc"}
	createKinds = []string{"service", "dc", "team", "job"}
	comparisons = []string{"=", "!=", "<", ">", "<=", ">="}
)

// checker converts a parsed statement to a command and collects findings.
type checker struct {
	now      time.Time
	start    lexer.Position
	findings config.Findings
}

func (c *checker) reportf(pos lexer.Position, format string, args ...any) {
	c.findings = append(c.findings, findingAt(pos, fmt.Sprintf(format, args...)))
}

// statement returns the command of s, which is valid only if there are no
// findings.
func (c *checker) statement(s *statement) core.Command {
	switch {
	case s.Show != nil:
		return c.show(s.Show)
	case s.Why != nil:
		kind := c.objectKind("why", s.Why.Kind, whyKinds)
		id := c.text(s.Why.Name, "the id", maxTextBytes)
		c.checkOptions("why", s.Why.Rest)
		return core.Why{Kind: kind, ID: id}
	case s.Create != nil:
		return c.create(s.Create)
	case s.Cancel != nil:
		c.objectKind("cancel", s.Cancel.Kind, []string{"job"})
		job := c.jobID(s.Cancel.Name)
		c.checkOptions("cancel", s.Cancel.Rest)
		return core.CancelJob{Job: job}
	case s.Drain != nil:
		return c.drain(s.Drain)
	case s.Return != nil:
		c.objectKind("return", s.Return.Kind, []string{"dc"})
		r := core.Return{DC: core.DC(c.name(s.Return.Name, "the name"))}
		c.checkOptions("return", s.Return.Rest, versionOption(&r.If))
		return r
	case s.Set != nil:
		return c.set(s.Set)
	}
	return nil
}

func (c *checker) show(s *showStmt) core.Command {
	cmd := core.Show{Kind: c.objectKind("show", s.Kind, showKinds)}
	for _, x := range s.Conds {
		if m, ok := c.condition(x); ok {
			cmd.Where = append(cmd.Where, m)
		}
	}
	c.checkOptions("show", s.Rest)
	return cmd
}

func (c *checker) condition(x condition) (core.Match, bool) {
	const form = `a condition is a column, a comparison and a value, such as dc = "bog-1"`
	if len(x.Parts) != 3 || x.Parts[0].Word == "" || x.Parts[1].Op == "" || x.Parts[2].Op+x.Parts[2].Comma != "" {
		c.reportf(x.Pos, form)
		return core.Match{}, false
	}
	m := core.Match{Column: x.Parts[0].Word, Op: x.Parts[1].Op}
	if !slices.Contains(comparisons, m.Op) {
		c.reportf(x.Parts[1].Pos, "unknown comparison operator %q; the operators are %s", m.Op, strings.Join(comparisons, ", "))
	}
	last := x.Parts[2]
	m.Value = c.text(&value{Pos: last.Pos, Text: last.Word + last.Text, Quote: last.Quote}, "the value", maxTextBytes)
	return m, true
}

func (c *checker) drain(a *objectStmt) core.Command {
	c.objectKind("drain", a.Kind, []string{"dc"})
	d := core.Drain{DC: core.DC(c.name(a.Name, "the name")), Deadline: c.now.Add(DefaultDrainTimeout)}
	c.checkOptions("drain", a.Rest,
		optionSpec{"by", false, func(c *checker, o option) { c.drainDeadline(o, &d.Deadline) }},
		versionOption(&d.If))
	return d
}

func (c *checker) set(a *objectStmt) core.Command {
	s := core.SetPolicy{}
	c.checkOptions("set", a.Rest, versionOption(&s.If))
	if a.Kind == nil {
		c.reportf(c.start, "set needs the name of a policy parameter: %s", settableParams())
		return s
	}
	s.Row.Name = a.Kind.Text
	n, ok := config.FindParam(s.Row.Name)
	if _, can := core.PolicyNames[s.Row.Name]; !can {
		if ok {
			c.reportf(a.Kind.Pos, "%s must be the same in every process at all times and can only be changed in the settings; set takes %s", s.Row.Name, settableParams())
		} else {
			c.reportf(a.Kind.Pos, "unknown policy parameter %q; set takes %s", s.Row.Name, settableParams())
		}
		return s
	}
	if a.Name == nil {
		c.reportf(a.Kind.Pos, "set %s needs a value", s.Row.Name)
		return s
	}
	v, err := n.Parse(c.text(a.Name, "the value", maxTextBytes))
	if err != nil {
		c.reportf(a.Name.Pos, "%v", err)
	}
	s.Row.Value = v
	return s
}

func settableParams() string {
	var names []string
	for n := range core.PolicyNames {
		names = append(names, n)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// objectKind returns the kind after a verb, which must be one of kinds.
func (c *checker) objectKind(verb string, w *word, kinds []string) string {
	switch {
	case w == nil:
		c.reportf(c.start, "%s needs one of %s", verb, strings.Join(kinds, ", "))
		return ""
	case !slices.Contains(kinds, w.Text):
		c.reportf(w.Pos, "%s takes %s, not %q", verb, strings.Join(kinds, ", "), w.Text)
		return ""
	}
	return w.Text
}

// name returns the name of an object, checked by config.CheckName.
func (c *checker) name(v *value, what string) string {
	before := len(c.findings)
	s := c.text(v, what, config.MaxNameBytes)
	if len(c.findings) > before {
		return ""
	}
	if err := config.CheckName(s); err != nil {
		c.reportf(v.Pos, "%v", err)
	}
	return s
}

// jobID returns the id of a job. It must not contain a dot, which separates the
// id from the task number in the id of a task.
func (c *checker) jobID(v *value) core.JobID {
	s := c.name(v, "the id")
	if strings.Contains(s, ".") {
		c.reportf(v.Pos, "%q contains a dot, which is not allowed in the id of a job", s)
	}
	return core.JobID(s)
}

// text returns the unquoted text of a value of at most limit bytes. Only a task
// input may be empty.
func (c *checker) text(v *value, what string, limit int) string {
	if v == nil {
		c.reportf(c.start, "%s is missing", what)
		return ""
	}
	s := v.Text
	if v.Quote != "" {
		var err error
		if s, err = strconv.Unquote(v.Quote); err != nil {
			c.reportf(v.Pos, "%s is not a valid string; escape sequences are those of Go", v.Quote)
			return ""
		}
	}
	switch {
	case s == "" && limit != maxInputBytes:
		c.reportf(v.Pos, "%s is empty", what)
	case len(s) > limit:
		c.reportf(v.Pos, "%s is longer than %d bytes", what, limit)
	case invalidUTF8(s) >= 0:
		c.reportf(v.Pos, "%s is not valid UTF-8", what)
	}
	if v.Comma {
		c.reportf(v.Pos, "unexpected ',' before %s", what)
	}
	return s
}
