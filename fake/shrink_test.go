package fake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// A worker shrinks twice within the grace: a start may rest on what it was before the first
// time, and no longer than the grace after it.
func TestEachShrinkHasItsGrace(t *testing.T) {
	w := New(1, Workers(1, 1))
	k := w.vms[0].worker
	full := k.size()
	half := core.Size{Millicores: full.Millicores / 2, MemoryMB: full.MemoryMB / 2, Accelerators: full.Accelerators}
	began := w.now
	k.resize(half)
	w.now = began.Add(time.Second)
	k.resize(core.Size{Millicores: 1})
	assert.Equal(t, k.largestSince(w.now.Add(-shrinkGrace)), full)
	w.now = began.Add(shrinkGrace)
	assert.Equal(t, k.largestSince(w.now.Add(-shrinkGrace)), half)
	w.now = began.Add(time.Second + shrinkGrace)
	assert.Equal(t, k.largestSince(w.now.Add(-shrinkGrace)), core.Size{Millicores: 1})
}
