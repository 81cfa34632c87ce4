package query

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"jayloft/core"
	"jayloft/internal/unit"
)

// optionSpec describes an option that a statement accepts.
type optionSpec struct {
	key      string
	required bool
	set      func(c *checker, o option)
}

// checkOptions applies the options of a statement, and reports unknown, repeated
// and missing ones. what denotes the statement in findings.
func (c *checker) checkOptions(what string, rest []option, specs ...optionSpec) {
	seen := map[string]bool{}
	for i, o := range rest {
		if o.Key == "" {
			c.reportf(o.Pos, "unexpected %s", o.Stray)
			continue
		}
		if o.Key == "if" || o.Key == "version" {
			c.checkIfVersion(rest, i)
			if o.Key == "if" {
				continue
			}
		}
		s := findSpec(specs, o.Key)
		switch {
		case s == nil:
			c.reportf(o.Pos, "%s takes no %q%s", what, o.Key, supportedOptions(specs))
		case seen[o.Key]:
			c.reportf(o.Pos, "%s is given twice", o.Key)
		default:
			s.set(c, o)
		}
		seen[o.Key] = true
	}
	for _, s := range specs {
		if s.required && !seen[s.key] {
			c.reportf(c.start, "%s needs %s", what, s.key)
		}
	}
}

func findSpec(specs []optionSpec, key string) *optionSpec {
	for i := range specs {
		if specs[i].key == key {
			return &specs[i]
		}
	}
	return nil
}

func supportedOptions(specs []optionSpec) string {
	if len(specs) == 0 {
		return ""
	}
	keys := make([]string, len(specs))
	for i, s := range specs {
		keys[i] = s.key
		if s.key == "version" {
			keys[i] = "if version"
		}
	}
	return "; its options are " + strings.Join(keys, ", ")
}

// checkIfVersion reports an if that version does not follow, and a version without
// a preceding if.
func (c *checker) checkIfVersion(rest []option, i int) {
	o := rest[i]
	switch {
	case o.Key == "if" && (len(o.Values) > 0 || i+1 == len(rest) || rest[i+1].Key != "version"):
		c.reportf(o.Pos, "want version and a number after if")
	case o.Key == "version" && (i == 0 || rest[i-1].Key != "if"):
		c.reportf(o.Pos, "want if before version")
	}
}

// versionOption is the option "if version N", which makes a change conditional on
// the current version.
func versionOption(dst *core.VersionCond) optionSpec {
	return optionSpec{"version", false, func(c *checker, o option) {
		n, ok := singleValue(c, o, "version 41", func(s string) (uint64, error) {
			n, err := strconv.ParseUint(s, 10, 64)
			if err != nil {
				return 0, errors.New(strconv.Quote(s) + " is not a version; versions are non-negative integers")
			}
			return n, nil
		})
		if ok {
			*dst = core.VersionCond{Set: true, N: n}
		}
	}}
}

// singleValue parses the value of an option that takes exactly one. It returns
// false after a finding.
func singleValue[T any](c *checker, o option, example string, parse func(string) (T, error)) (T, bool) {
	var zero T
	switch {
	case len(o.Values) == 0:
		c.reportf(o.Pos, "%s needs a value, such as %s", o.Key, example)
		return zero, false
	case len(o.Values) > 1:
		c.reportf(o.Values[1].Pos, "%s takes only one value", o.Key)
		return zero, false
	}
	v := o.Values[0]
	before := len(c.findings)
	s := c.text(&v, "the value of "+o.Key, maxTextBytes)
	if len(c.findings) > before {
		return zero, false
	}
	x, err := parse(s)
	if err != nil {
		c.reportf(v.Pos, "%v", err)
		return zero, false
	}
	return x, true
}

// flagOption is a boolean option, which is true if present and takes no value.
func flagOption(key string, dst *bool) optionSpec {
	return optionSpec{key, false, func(c *checker, o option) {
		if len(o.Values) > 0 {
			c.reportf(o.Values[0].Pos, "%s takes no value", key)
		}
		*dst = true
	}}
}

// nameOption is a required option whose value is a name.
func nameOption[T ~string](key string, dst *T) optionSpec {
	return optionSpec{key, true, func(c *checker, o option) {
		if len(o.Values) != 1 {
			singleValue(c, o, key+` "uni"`, func(s string) (string, error) { return s, nil })
			return
		}
		*dst = T(c.name(&o.Values[0], "the value of "+key))
	}}
}

// amountOption is an option whose value is an integer amount from low to high, in
// the unit that parse returns.
type amountOption struct {
	key       string
	required  bool
	example   string
	low, high int64
	parse     func(string) (int64, error)
	format    func(int64) string
}

func (a amountOption) spec(dst *int64) optionSpec {
	return optionSpec{a.key, a.required, func(c *checker, o option) {
		n, ok := singleValue(c, o, a.key+" "+a.example, a.parse)
		if !ok {
			return
		}
		if n < a.low || n > a.high {
			c.reportf(o.Values[0].Pos, "%s is not between %s and %s", a.format(n), a.format(a.low), a.format(a.high))
			return
		}
		*dst = n
	}}
}

// sizeOptions returns the options cores, memory and accelerators. required applies
// to cores and memory.
func sizeOptions(dst *core.Size, required bool, low core.Size, high core.Size) []optionSpec {
	return []optionSpec{
		amountOption{"cores", required, "2", low.Millicores, high.Millicores, unit.Cores, unit.FormatCores}.spec(&dst.Millicores),
		amountOption{"memory", required, "4GB", low.MemoryMB, high.MemoryMB, unit.Memory, unit.FormatMemory}.spec(&dst.MemoryMB),
		countOption("accelerators", low.Accelerators, high.Accelerators).spec(&dst.Accelerators),
	}
}

// countOption is an optional option whose value is an integer.
func countOption(key string, low, high int64) amountOption {
	return amountOption{key, false, "1", low, high, parseInt, func(n int64) string { return strconv.FormatInt(n, 10) }}
}

func parseInt(s string) (int64, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, errors.New(strconv.Quote(s) + " is not an integer")
	}
	return n, nil
}

// durationOption is a required option whose value is a duration.
func durationOption(key string, dst *time.Duration, low, high time.Duration) optionSpec {
	parse := func(s string) (int64, error) {
		d, err := unit.Duration(s)
		return int64(d), err
	}
	format := func(n int64) string { return unit.FormatDuration(time.Duration(n)) }
	return amountOption{key, true, "2s", int64(low), int64(high), parse, format}.spec((*int64)(dst))
}

// list appends the values of an option, which must be separated by commas, to dst.
func (c *checker) list(o option, dst *[]string) {
	if len(o.Values) == 0 {
		c.reportf(o.Pos, `%s needs values, such as %s "a", "b"`, o.Key, o.Key)
	}
	for i, v := range o.Values {
		if i > 0 && !v.Comma {
			c.reportf(v.Pos, "missing ',' between values")
		}
		v.Comma = v.Comma && i == 0
		*dst = append(*dst, c.text(&v, "the value of "+o.Key, maxInputBytes))
	}
}

// drainDeadline parses the deadline of a drain, which is a time with a zone or a
// duration from now.
func (c *checker) drainDeadline(o option, dst *time.Time) {
	t, ok := singleValue(c, o, "by 10m", func(s string) (time.Time, error) {
		if t, err := time.Parse(time.RFC3339Nano, s); err == nil {
			return t.UTC(), nil
		}
		if strings.Count(s, "-") >= 2 {
			return time.Time{}, errors.New(strconv.Quote(s) + " is not a time; use a time with a zone, such as 2026-12-04T10:00:00Z")
		}
		d, err := unit.Duration(s)
		return c.now.Add(d), err
	})
	if !ok {
		return
	}
	switch in := t.Sub(c.now); {
	case in < 0:
		c.reportf(o.Values[0].Pos, "the time is %s in the past", unit.FormatDuration(-in))
	case in > maxDrain:
		c.reportf(o.Values[0].Pos, "the time is more than %s in the future", unit.FormatDuration(maxDrain))
	default:
		*dst = t
	}
}
