package core

// Guards lists the names of the protections that Off switches off.
var Guards = []string{
	"permit", "fencewait", "lease", "admission", "attempt", "dedupe", "tombstone",
	"readback", "config", "op", "incarnation", "claimdc", "claimfence", "ambiguous",
}

// Off switches one protection off.
func Off(name string) Option {
	for i, g := range Guards {
		if g == name {
			return func(p *Policy) { p.off |= guard(1) << i }
		}
	}
	panic("no guard " + name)
}
