package config

import "net/netip"

// use is what a process does with an address of its settings.
type use uint8

const (
	listens   use = iota // the process serves there
	announces            // it serves there and tells others so
	calls                // another process serves there
)

// spot is an address of the settings and its place.
type spot struct {
	key  string
	at   int
	addr netip.AddrPort
	use  use
}

// mayEqual are the keys that may name the same address, as one process can
// serve both.
var mayEqual = map[[2]string]bool{
	{"table", "objects"}: true,
	{"objects", "table"}: true,
}

// clashes reports addresses that can't both be meant: two servers at one
// address, or the same address called for two purposes.
func (r *reader) clashes() {
	for i, b := range r.spots {
		for _, a := range r.spots[:i] {
			if !overlap(a, b) || mayEqual[[2]string{a.key, b.key}] {
				continue
			}
			line, _ := position(r.data, a.at)
			r.findf(b.at, "%s %s clashes with %s on line %d", b.key, b.addr, a.key, line)
			break
		}
	}
}

// overlap reports whether two addresses are the same socket. An unspecified
// IP number covers every one of the VM's own.
func overlap(a, b spot) bool {
	if a.addr == b.addr {
		return true
	}
	if a.addr.Port() != b.addr.Port() || a.use == calls || b.use == calls {
		return false
	}
	return a.addr.Addr().IsUnspecified() || b.addr.Addr().IsUnspecified()
}
