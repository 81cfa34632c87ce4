package core

import "slices"

// Guards lists the protections that DisableGuard can disable, except those of jobs
// with steps and of rows that another home has written, which need runs of their own.
var Guards = []string{
	"permit", "fencewait", "lease", "admission", "attempt", "dedupe", "tombstone",
	"readback", "config", "op", "incarnation", "claimdc", "claimfence", "ambiguous",
}

// DisableGuard disables one protection, to show that the checks detect its
// absence.
func DisableGuard(name string) Option {
	for i, g := range append(slices.Clone(Guards), "steps", "row") {
		if g == name {
			return func(p *Policy) { p.off |= guard(1) << i }
		}
	}
	panic("disable guard: no such guard: " + name)
}

// Tried returns the number of tasks for which the entry has looked for a worker.
func (e *Entry) Tried() int { return e.load.tried }

// Jobs returns the number of jobs in the entry's memory.
func (e *Entry) Jobs() int { return len(e.jobs) }
