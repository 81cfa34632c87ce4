package query

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"jayloft/core"
	"jayloft/internal/unit"
)

// spec is an option that a statement takes.
type spec struct {
	key  string
	need bool
	set  func(c *checker, o option)
}

// options checks the options of a statement.
func (c *checker) options(what string, rest []option, specs ...spec) {
	seen := map[string]bool{}
	for i, o := range rest {
		if o.Key == "" {
			c.findf(o.Pos, "unexpected %s", o.Stray)
			continue
		}
		if o.Key == "if" || o.Key == "version" {
			c.ifVersion(rest, i)
			if o.Key == "if" {
				continue
			}
		}
		s := find(specs, o.Key)
		switch {
		case s == nil:
			c.findf(o.Pos, "%s takes no %q%s", what, o.Key, others(specs))
		case seen[o.Key]:
			c.findf(o.Pos, "%s is given twice", o.Key)
		default:
			s.set(c, o)
		}
		seen[o.Key] = true
	}
	for _, s := range specs {
		if s.need && !seen[s.key] {
			c.findf(c.start, "%s needs %s", what, s.key)
		}
	}
}

func find(specs []spec, key string) *spec {
	for i := range specs {
		if specs[i].key == key {
			return &specs[i]
		}
	}
	return nil
}

func others(specs []spec) string {
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

// ifVersion checks that the words if and version stand together.
func (c *checker) ifVersion(rest []option, i int) {
	o := rest[i]
	switch {
	case o.Key == "if" && (len(o.Values) > 0 || i+1 == len(rest) || rest[i+1].Key != "version"):
		c.findf(o.Pos, "want version and a number after if")
	case o.Key == "version" && (i == 0 || rest[i-1].Key != "if"):
		c.findf(o.Pos, "want if before version")
	}
}

// ifVersion is the option of a condition on the version.
func ifVersion(dst *core.VersionCond) spec {
	return spec{"version", false, func(c *checker, o option) {
		n, ok := one(c, o, "version 41", func(s string) (uint64, error) {
			n, err := strconv.ParseUint(s, 10, 64)
			if err != nil {
				return 0, errors.New(strconv.Quote(s) + " is no version; versions are whole numbers")
			}
			return n, nil
		})
		if ok {
			*dst = core.VersionCond{Set: true, N: n}
		}
	}}
}

// one returns the only value of an option.
func one[T any](c *checker, o option, example string, parse func(string) (T, error)) (T, bool) {
	var zero T
	switch {
	case len(o.Values) == 0:
		c.findf(o.Pos, "%s needs a value, such as %s", o.Key, example)
		return zero, false
	case len(o.Values) > 1:
		c.findf(o.Values[1].Pos, "%s takes one value", o.Key)
		return zero, false
	}
	v := o.Values[0]
	before := len(c.found)
	s := c.text(&v, "the value of "+o.Key, maxText)
	if len(c.found) > before {
		return zero, false
	}
	x, err := parse(s)
	if err != nil {
		c.findf(v.Pos, "%v", err)
		return zero, false
	}
	return x, true
}

// flag is an option without a value.
func flag(key string, dst *bool) spec {
	return spec{key, false, func(c *checker, o option) {
		if len(o.Values) > 0 {
			c.findf(o.Values[0].Pos, "%s takes no value", key)
		}
		*dst = true
	}}
}

// named is an option whose value is a name.
func named[T ~string](key string, dst *T) spec {
	return spec{key, true, func(c *checker, o option) {
		if len(o.Values) != 1 {
			one(c, o, key+` "uni"`, func(s string) (string, error) { return s, nil })
			return
		}
		*dst = T(c.name(&o.Values[0], "the value of "+key))
	}}
}

// amount is an option whose value is an amount within bounds.
type amount struct {
	key       string
	need      bool
	example   string
	low, high int64
	parse     func(string) (int64, error)
	format    func(int64) string
}

func (a amount) spec(dst *int64) spec {
	return spec{a.key, a.need, func(c *checker, o option) {
		n, ok := one(c, o, a.key+" "+a.example, a.parse)
		if !ok {
			return
		}
		if n < a.low || n > a.high {
			c.findf(o.Values[0].Pos, "%s is not between %s and %s", a.format(n), a.format(a.low), a.format(a.high))
			return
		}
		*dst = n
	}}
}

// size returns the options of a size.
func size(dst *core.Size, need bool, low core.Size, high core.Size) []spec {
	return []spec{
		amount{"cores", need, "2", low.Millicores, high.Millicores, unit.Cores, unit.FormatCores}.spec(&dst.Millicores),
		amount{"memory", need, "4GB", low.MemoryMB, high.MemoryMB, unit.Memory, unit.FormatMemory}.spec(&dst.MemoryMB),
		count("accelerators", low.Accelerators, high.Accelerators).spec(&dst.Accelerators),
	}
}

// count is an option whose value is a whole number.
func count(key string, low, high int64) amount {
	return amount{key, false, "1", low, high, whole, func(n int64) string { return strconv.FormatInt(n, 10) }}
}

func whole(s string) (int64, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, errors.New(strconv.Quote(s) + " is no whole number")
	}
	return n, nil
}

// length is an option whose value is a length of time.
func length(key string, dst *time.Duration, low, high time.Duration) spec {
	parse := func(s string) (int64, error) {
		d, err := unit.Duration(s)
		return int64(d), err
	}
	format := func(n int64) string { return unit.FormatDuration(time.Duration(n)) }
	return amount{key, true, "2s", int64(low), int64(high), parse, format}.spec((*int64)(dst))
}

// list reads the values of an option, with commas between them.
func (c *checker) list(o option, dst *[]string) {
	if len(o.Values) == 0 {
		c.findf(o.Pos, `%s needs values, such as %s "a", "b"`, o.Key, o.Key)
	}
	for i, v := range o.Values {
		if i > 0 && !v.Comma {
			c.findf(v.Pos, "want ',' between values")
		}
		v.Comma = v.Comma && i == 0
		*dst = append(*dst, c.text(&v, "the value of "+o.Key, maxInput))
	}
}

// by reads the time of a drain, absolute or from now.
func (c *checker) by(o option, dst *time.Time) {
	t, ok := one(c, o, "by 10m", func(s string) (time.Time, error) {
		if t, err := time.Parse(time.RFC3339Nano, s); err == nil {
			return t.UTC(), nil
		}
		if strings.Count(s, "-") >= 2 {
			return time.Time{}, errors.New(strconv.Quote(s) + " is no time; write one with its zone, such as 2026-12-04T10:00:00Z")
		}
		d, err := unit.Duration(s)
		return c.now.Add(d), err
	})
	if !ok {
		return
	}
	switch in := t.Sub(c.now); {
	case in < 0:
		c.findf(o.Values[0].Pos, "the time lies %s in the past", unit.FormatDuration(-in))
	case in > maxDrain:
		c.findf(o.Values[0].Pos, "the time is more than %s away", unit.FormatDuration(maxDrain))
	default:
		*dst = t
	}
}
