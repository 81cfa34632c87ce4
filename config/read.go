package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"

	"jayloft/internal/unit"
)

// reader turns nodes into settings and collects findings.
type reader struct {
	*tree
	spots []spot
}

// field is one key of a table.
type field struct {
	key  string
	need bool
	set  setter
}

// setter checks a value and stores it.
type setter func(r *reader, n *node)

func (r *reader) findf(at int, format string, args ...any) {
	r.find(at, fmt.Sprintf(format, args...))
}

// fields reads a table: each key must be one of the fields.
func (r *reader) fields(t *node, name string, fs ...field) {
	if t.kind != unstable.Table {
		r.findf(t.at, "%s must be a table, not %s", name, kindName(t.kind))
		return
	}
	known := make([]string, len(fs))
	for i, f := range fs {
		known[i] = f.key
	}
	for _, p := range t.pairs {
		i := slices.Index(known, p.key)
		if i < 0 {
			r.findf(p.at, "unknown key %q in %s; its keys are %s", p.key, name, strings.Join(known, ", "))
			continue
		}
		fs[i].set(r, p.value)
	}
	for _, f := range fs {
		if f.need && t.get(f.key) == nil && !r.broken {
			r.findf(t.at, "%s lacks the key %q", name, f.key)
		}
	}
}

// is reports whether a value has the kind, with a finding if not.
func (r *reader) is(n *node, kind unstable.Kind, example string) bool {
	if n.kind == kind {
		return true
	}
	r.findf(n.at, "want %s such as %s, not %s", kindName(kind), example, kindName(n.kind))
	return false
}

func kindName(k unstable.Kind) string {
	switch k {
	case unstable.String:
		return "a string"
	case unstable.Integer:
		return "an integer"
	case unstable.Float:
		return "a decimal number"
	case unstable.Bool:
		return "a boolean"
	case unstable.Array:
		return "an array"
	case unstable.Table:
		return "a table"
	}
	return "a date or time"
}

// name stores a name.
func name[T ~string](dst *T) setter {
	return func(r *reader, n *node) {
		if !r.is(n, unstable.String, `"bog-1"`) {
			return
		}
		if err := CheckName(n.text); err != nil {
			r.find(n.at, err.Error())
			return
		}
		*dst = T(n.text)
	}
}

// names stores an array of distinct names.
func names(dst *[]string) setter {
	return func(r *reader, n *node) {
		if !r.is(n, unstable.Array, `["lookup"]`) {
			return
		}
		for _, item := range n.items {
			var s string
			name(&s)(r, item)
			if s != "" && slices.Contains(*dst, s) {
				r.findf(item.at, "%q is listed twice", s)
				continue
			}
			*dst = append(*dst, s)
		}
	}
}

// text stores a string that is not empty.
func text(dst *string) setter {
	return func(r *reader, n *node) {
		if !r.is(n, unstable.String, `"slips.csv"`) {
			return
		}
		if n.text == "" {
			r.find(n.at, "the string is empty")
			return
		}
		*dst = n.text
	}
}

// oneOf stores one of the choices.
func oneOf(dst *string, choices ...string) setter {
	return func(r *reader, n *node) {
		if !r.is(n, unstable.String, quote(choices[0])) {
			return
		}
		if !slices.Contains(choices, n.text) {
			r.findf(n.at, "%q is not one of %s", n.text, strings.Join(choices, ", "))
			return
		}
		*dst = n.text
	}
}

// length stores a length of time within bounds.
func length(dst *time.Duration, low, high time.Duration) setter {
	return func(r *reader, n *node) {
		if !r.is(n, unstable.String, `"15s"`) {
			return
		}
		d, err := unit.Duration(n.text)
		if err != nil {
			r.find(n.at, err.Error())
			return
		}
		if d < low || d > high {
			r.findf(n.at, "%s is not between %s and %s", n.text, unit.FormatDuration(low), unit.FormatDuration(high))
			return
		}
		*dst = d
	}
}

// integer stores a whole number within bounds.
func integer[T ~int | ~int64 | ~uint64](dst *T, low, high int64) setter {
	return func(r *reader, n *node) {
		if !r.is(n, unstable.Integer, itoa(int(low))) {
			return
		}
		v, err := strconv.ParseInt(n.text, 0, 64)
		if err != nil || v < low || v > high {
			r.findf(n.at, "%s is not between %d and %d", n.text, low, high)
			return
		}
		*dst = T(v)
	}
}

// cores stores a number of cores, a whole or decimal number, in thousandths.
func cores(dst *int64, low, high int64) setter {
	return func(r *reader, n *node) {
		if n.kind != unstable.Float && !r.is(n, unstable.Integer, "16") {
			return
		}
		v, err := unit.Cores(strings.ReplaceAll(n.text, "_", ""))
		if err != nil {
			r.find(n.at, err.Error())
			return
		}
		if v < low || v > high {
			r.findf(n.at, "%s is not between %s and %s cores", n.text, unit.FormatCores(low), unit.FormatCores(high))
			return
		}
		*dst = v
	}
}

// memory stores an amount of memory in MB.
func memory(dst *int64, low, high int64) setter {
	return func(r *reader, n *node) {
		if !r.is(n, unstable.String, `"60GB"`) {
			return
		}
		v, err := unit.Memory(n.text)
		if err != nil {
			r.find(n.at, err.Error())
			return
		}
		if v < low || v > high {
			r.findf(n.at, "%s is not between %s and %s", n.text, unit.FormatMemory(low), unit.FormatMemory(high))
			return
		}
		*dst = v
	}
}

// address stores an IP number and port, and remembers it as a spot.
func address(dst *netip.AddrPort, key string, use use) setter {
	return func(r *reader, n *node) {
		if !r.is(n, unstable.String, `"10.0.0.1:7001"`) {
			return
		}
		a, err := netip.ParseAddrPort(n.text)
		switch {
		case err != nil:
			r.findf(n.at, "%q is no IP number with a port, such as 10.0.0.1:7001", n.text)
		case a.Port() == 0:
			r.findf(n.at, "%s has no port", n.text)
		case a.Addr().IsMulticast():
			r.findf(n.at, "%s is a multicast address", n.text)
		case a.Addr().IsUnspecified() && use != listens:
			r.findf(n.at, "others can't reach %s; write an IP number of this VM", n.text)
		default:
			*dst = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
			r.spots = append(r.spots, spot{key: key, at: n.at, addr: *dst, use: use})
		}
	}
}

// addresses stores an array of addresses of other processes, at least one.
func addresses(dst *[]netip.AddrPort, key string, use use) setter {
	return func(r *reader, n *node) {
		if !r.is(n, unstable.Array, `["10.0.0.1:7001"]`) {
			return
		}
		if len(n.items) == 0 {
			r.find(n.at, "the array is empty")
		}
		for _, item := range n.items {
			var a netip.AddrPort
			address(&a, key, use)(r, item)
			if a.IsValid() {
				*dst = append(*dst, a)
			}
		}
	}
}

func quote(s string) string { return strconv.Quote(s) }

func itoa(n int) string { return strconv.Itoa(n) }
