package core

import "slices"

// Guards lists the names of the protections that Off switches off, less the one of
// jobs of steps, which needs runs of its own.
var Guards = []string{
	"permit", "fencewait", "lease", "admission", "attempt", "dedupe", "tombstone",
	"readback", "config", "op", "incarnation", "claimdc", "claimfence", "ambiguous",
}

// DisableGuard switches one protection off.
func DisableGuard(name string) Option {
	for i, g := range append(slices.Clone(Guards), "steps") {
		if g == name {
			return func(p *Policy) { p.off |= guard(1) << i }
		}
	}
	panic("no guard " + name)
}
