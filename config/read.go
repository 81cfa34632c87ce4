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

// reader converts nodes to settings and collects findings.
type reader struct {
	*tree
	addrs []addrSetting
}

// field is one key of a table.
type field struct {
	key      string
	required bool
	set      setter
}

// setter validates a value and stores it.
type setter func(r *reader, n *node)

func (r *reader) reportf(at int, format string, args ...any) {
	r.report(at, fmt.Sprintf(format, args...))
}

// readTable applies the setters of fs to the keys of table t, and reports unknown
// keys and missing required ones. name denotes the table in findings.
func (r *reader) readTable(t *node, name string, fs ...field) {
	if t.kind != unstable.Table {
		r.reportf(t.offset, "%s must be a table, not %s", name, kindName(t.kind))
		return
	}
	known := make([]string, len(fs))
	for i, f := range fs {
		known[i] = f.key
	}
	for _, p := range t.pairs {
		i := slices.Index(known, p.key)
		if i < 0 {
			r.reportf(p.offset, "unknown key %q in %s; its keys are %s", p.key, name, strings.Join(known, ", "))
			continue
		}
		fs[i].set(r, p.value)
	}
	for _, f := range fs {
		if f.required && t.get(f.key) == nil && !r.syntaxError {
			r.reportf(t.offset, "%s is missing the key %q", name, f.key)
		}
	}
}

// checkKind reports whether n has the given kind, and records a finding if not.
func (r *reader) checkKind(n *node, kind unstable.Kind, example string) bool {
	if n.kind == kind {
		return true
	}
	r.reportf(n.offset, "want %s such as %s, not %s", kindName(kind), example, kindName(n.kind))
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

// name returns a setter that stores a name that CheckName accepts.
func name[T ~string](dst *T) setter {
	return func(r *reader, n *node) {
		if !r.checkKind(n, unstable.String, `"bog-1"`) {
			return
		}
		if err := CheckName(n.text); err != nil {
			r.report(n.offset, err.Error())
			return
		}
		*dst = T(n.text)
	}
}

// names returns a setter that stores an array of distinct names.
func names(dst *[]string) setter {
	return func(r *reader, n *node) {
		if !r.checkKind(n, unstable.Array, `["lookup"]`) {
			return
		}
		for _, item := range n.items {
			var s string
			name(&s)(r, item)
			if s != "" && slices.Contains(*dst, s) {
				r.reportf(item.offset, "%q is listed twice", s)
				continue
			}
			*dst = append(*dst, s)
		}
	}
}

// nonEmpty returns a setter that stores a string other than "".
func nonEmpty(dst *string) setter {
	return func(r *reader, n *node) {
		if !r.checkKind(n, unstable.String, `"slips.csv"`) {
			return
		}
		if n.text == "" {
			r.report(n.offset, "the string is empty")
			return
		}
		*dst = n.text
	}
}

// oneOf returns a setter that stores one of the choices.
func oneOf(dst *string, choices ...string) setter {
	return func(r *reader, n *node) {
		if !r.checkKind(n, unstable.String, quote(choices[0])) {
			return
		}
		if !slices.Contains(choices, n.text) {
			r.reportf(n.offset, "%q is not one of %s", n.text, strings.Join(choices, ", "))
			return
		}
		*dst = n.text
	}
}

// duration returns a setter that stores a duration from low to high.
func duration(dst *time.Duration, low, high time.Duration) setter {
	return amount(dst, low, high, `"15s"`, unit.Duration, unit.FormatDuration)
}

// integer returns a setter that stores an integer from low to high.
func integer[T ~int | ~int64 | ~uint64](dst *T, low, high int64) setter {
	return func(r *reader, n *node) {
		if !r.checkKind(n, unstable.Integer, itoa(int(low))) {
			return
		}
		v, err := strconv.ParseInt(n.text, 0, 64)
		if err != nil || v < low || v > high {
			r.reportf(n.offset, "%s is not between %d and %d", n.text, low, high)
			return
		}
		*dst = T(v)
	}
}

// cores returns a setter that converts an integer or decimal number of cores to
// millicores and stores it. The bounds are in millicores too.
func cores(dst *int64, low, high int64) setter {
	return func(r *reader, n *node) {
		if n.kind != unstable.Float && !r.checkKind(n, unstable.Integer, "16") {
			return
		}
		v, err := unit.Cores(strings.ReplaceAll(n.text, "_", ""))
		if err != nil {
			r.report(n.offset, err.Error())
			return
		}
		if v < low || v > high {
			r.reportf(n.offset, "%s is not between %s and %s cores", n.text, unit.FormatCores(low), unit.FormatCores(high))
			return
		}
		*dst = v
	}
}

// memory returns a setter that stores an amount of memory, with bounds, in MB.
func memory(dst *int64, low, high int64) setter {
	return amount(dst, low, high, `"60GB"`, unit.Memory, unit.FormatMemory)
}

// amount returns a setter that stores an amount with a unit, written as a string like
// the example, from low to high.
func amount[T ~int64](dst *T, low, high T, example string, parse func(string) (T, error), format func(T) string) setter {
	return func(r *reader, n *node) {
		if !r.checkKind(n, unstable.String, example) {
			return
		}
		v, err := parse(n.text)
		if err != nil {
			r.report(n.offset, err.Error())
			return
		}
		if v < low || v > high {
			r.reportf(n.offset, "%s is not between %s and %s", n.text, format(low), format(high))
			return
		}
		*dst = v
	}
}

// address returns a setter that stores an IP address with a port, and records it
// for checkAddrConflicts.
func address(dst *netip.AddrPort, key string, use addrUse) setter {
	return func(r *reader, n *node) {
		if !r.checkKind(n, unstable.String, `"10.0.0.1:7001"`) {
			return
		}
		a, err := netip.ParseAddrPort(n.text)
		switch {
		case err != nil:
			r.reportf(n.offset, "%q is not an IP address with a port, such as 10.0.0.1:7001", n.text)
		case a.Port() == 0:
			r.reportf(n.offset, "%s has no port", n.text)
		case a.Addr().IsMulticast():
			r.reportf(n.offset, "%s is a multicast address", n.text)
		case a.Addr().IsUnspecified() && use != listen:
			r.reportf(n.offset, "other processes can't reach the unspecified address %s; use an IP address of this VM", n.text)
		default:
			*dst = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
			r.addrs = append(r.addrs, addrSetting{key: key, offset: n.offset, addr: *dst, use: use})
		}
	}
}

// addresses returns a setter that stores a non-empty array of addresses.
func addresses(dst *[]netip.AddrPort, key string, use addrUse) setter {
	return func(r *reader, n *node) {
		if !r.checkKind(n, unstable.Array, `["10.0.0.1:7001"]`) {
			return
		}
		if len(n.items) == 0 {
			r.report(n.offset, "the array is empty")
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
