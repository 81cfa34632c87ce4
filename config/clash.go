package config

import "net/netip"

// addrUse is how a process uses an address in its settings.
type addrUse uint8

const (
	listen    addrUse = iota // the process listens on the address
	advertise                // the process listens on it and publishes it to other processes
	dial                     // the process connects to another process there
)

// addrSetting is an address in the settings and its position in the file.
type addrSetting struct {
	key    string
	offset int
	addr   netip.AddrPort
	use    addrUse
}

// mayShareAddr holds the pairs of keys that may have the same address, because
// one process can serve both.
var mayShareAddr = map[[2]string]bool{
	{"table", "objects"}: true,
	{"objects", "table"}: true,
}

// checkAddrConflicts reports addresses that exclude each other: two listeners
// on one address, or one address that is dialed for two services.
func (r *reader) checkAddrConflicts() {
	for i, b := range r.addrs {
		for _, a := range r.addrs[:i] {
			if !addrsConflict(a, b) || mayShareAddr[[2]string{a.key, b.key}] {
				continue
			}
			line, _ := position(r.data, a.offset)
			r.reportf(b.offset, "%s %s conflicts with %s on line %d", b.key, b.addr, a.key, line)
			break
		}
	}
}

// addrsConflict reports whether two addresses denote the same socket. A listener
// on an unspecified IP address occupies the port on all addresses of the VM.
func addrsConflict(a, b addrSetting) bool {
	if a.addr == b.addr {
		return true
	}
	if a.addr.Port() != b.addr.Port() || a.use == dial || b.use == dial {
		return false
	}
	return a.addr.Addr().IsUnspecified() || b.addr.Addr().IsUnspecified()
}
