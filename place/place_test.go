package place

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// oracle is a reference implementation that examines every worker.
type oracle map[string]Worker

func (o oracle) fits(n Need, v view) map[string]bool {
	fit := map[string]bool{}
	for id, w := range o {
		free := w.Free()
		if v == viewPreempt {
			free = free.Plus(w.Preemptible)
		}
		if !w.Closed && n.Size.Fits(free) && !slices.Contains(n.Exclude, id) {
			fit[id] = true
		}
	}
	return fit
}

func drawSize(t *rapid.T, label string, top int64) Size {
	return Size{
		Millicores:   rapid.Int64Range(0, top*1000).Draw(t, label+" millicores"),
		MemoryMB:     rapid.Int64Range(0, top*4000).Draw(t, label+" memory"),
		Accelerators: rapid.Int64Range(0, 2).Draw(t, label+" accelerators"),
	}
}

func drawWorker(t *rapid.T) Worker {
	c := drawSize(t, "capacity", 16)
	w := Worker{
		DC:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "dc"),
		Rack:      rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "rack"),
		Capacity:  c,
		Committed: drawSize(t, "committed", 18),
		Closed:    rapid.IntRange(0, 3).Draw(t, "closed") == 0,
		Penalty:   rapid.Float64Range(0, 3).Draw(t, "penalty"),
		RampShare: rapid.Float64Range(0, 1).Draw(t, "share"),
	}
	w.Preemptible = Size{w.Committed.Millicores / 2, w.Committed.MemoryMB / 3, w.Committed.Accelerators}
	return w
}

// A pick succeeds if and only if some open worker fits, and returns such a
// worker. The totals of the data centres always match their workers.
func TestIndexAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Index
		o := oracle{}
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("w", rapid.IntRange(0, 40).Draw(t, "id")) })
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				k, w := id.Draw(t, "worker"), drawWorker(t)
				x.Set(k, w)
				w.Preemptible = w.Preemptible.min(w.Committed)
				o[k] = w
			},
			"commit": func(t *rapid.T) {
				k := id.Draw(t, "worker")
				w, ok := x.Get(k)
				_, known := o[k]
				assert.Equal(t, ok, known)
				if ok {
					w.Committed = drawSize(t, "committed", 18)
					x.Set(k, w)
					w.Preemptible = w.Preemptible.min(w.Committed)
					o[k] = w
				}
			},
			"remove": func(t *rapid.T) {
				k := id.Draw(t, "worker")
				x.Remove(k)
				delete(o, k)
			},
			"hold":    func(t *rapid.T) { x.Assign("job", id.Draw(t, "worker")) },
			"release": func(t *rapid.T) { x.Unassign("job", id.Draw(t, "worker")) },
			"": func(t *rapid.T) {
				checkPicks(t, &x, o)
			},
		})
	})
}

func checkPicks(t *rapid.T, x *Index, o oracle) {
	assert.Equal(t, x.Len(), len(o))
	n := Need{
		Size:    drawSize(t, "need", 10),
		Spread:  rapid.Bool().Draw(t, "spread"),
		Exclude: rapid.SliceOfN(rapid.SampledFrom([]string{"w1", "w2", "w3"}), 0, 2).Draw(t, "avoid"),
		Owner:   rapid.SampledFrom([]string{"", "job"}).Draw(t, "owner"),
	}
	seed := rapid.Uint64().Draw(t, "seed")
	for v := range views {
		fit := o.fits(n, v)
		got, ok := x.pick(&n, seed, v)
		assert.Equal(t, ok, len(fit) > 0, "fit: %v", fit)
		assert.Assert(t, !ok || fit[got], "%s of %v", got, fit)
		again, _ := x.pick(&n, seed, v)
		assert.Equal(t, again, got)
	}
	tally := x.Explain(n)
	assert.Equal(t, tally.Fit, len(o.fits(n, viewFree)))
	assert.Equal(t, tally.Fit+tally.NeedPreemption, len(o.fits(n, viewPreempt)))
	sum := tally.TooSmall + tally.Closed + tally.Excluded + tally.Full + tally.NeedPreemption + tally.Fit
	assert.Equal(t, sum, len(o))
	checkSums(t, x, o)
	possible := false
	for _, w := range o {
		possible = possible || n.Size.Fits(w.Capacity)
	}
	assert.Equal(t, x.Possible(n.Size), possible)
}

// checkSums compares the totals of each data centre with the sums over its workers.
func checkSums(t *rapid.T, x *Index, o oracle) {
	sums := make([]dataCentre, len(x.dcs))
	members := make([]int, len(x.dcs))
	for _, w := range o {
		if w.Closed {
			continue
		}
		d := x.dcNumbers[w.DC]
		sums[d].committed = sums[d].committed.Plus(w.Committed)
		sums[d].capacity = sums[d].capacity.Plus(scaled(w.Capacity, w.share()))
		members[d]++
	}
	for d := range x.dcs {
		assert.Equal(t, x.dcs[d].committed, sums[d].committed)
		assert.Equal(t, x.dcs[d].capacity, sums[d].capacity)
		assert.Equal(t, x.dcs[d].open(), members[d])
	}
}

// The only worker that fits shares its grid cell with many that lack either
// millicores or memory, so that an exhaustive search is needed to find it.
func TestFindsOnlyFittingWorker(t *testing.T) {
	x := &Index{}
	need := Need{Size: Size{Millicores: 1900, MemoryMB: 7500}}
	for i := range 4000 {
		c := Size{Millicores: 1899, MemoryMB: 8000}
		if i%2 == 0 {
			c = Size{Millicores: 2000, MemoryMB: 7499}
		}
		x.Set(fmt.Sprint("w", i), Worker{DC: fmt.Sprint(i % 3), Capacity: c})
	}
	for _, spread := range []bool{true, false} {
		need.Spread = spread
		_, ok := x.Pick(need, 1)
		assert.Assert(t, !ok)
	}
	x.Set("w1234", Worker{DC: "0", Capacity: need.Size})
	for seed := range uint64(20) {
		need.Spread = seed%2 == 0
		id, ok := x.Pick(need, seed)
		assert.Assert(t, ok)
		assert.Equal(t, id, "w1234")
	}
}

// The bound of each node equals the maximum room in its subtree.
func TestTreeBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr tree
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) { tr.add(int32(len(tr.nodes))+1, drawSize(t, "room", 9)) },
			"remove": func(t *rapid.T) {
				if n := len(tr.nodes); n > 0 {
					tr.remove(int32(rapid.IntRange(0, n-1).Draw(t, "node")))
				}
			},
			"update": func(t *rapid.T) {
				if n := len(tr.nodes); n > 0 {
					tr.update(int32(rapid.IntRange(0, n-1).Draw(t, "node")), drawSize(t, "room", 9))
				}
			},
			"": func(t *rapid.T) {
				for i := len(tr.nodes) - 1; i >= 0; i-- {
					want := tr.nodes[i].room
					for c := 2*i + 1; c <= 2*i+2 && c < len(tr.nodes); c++ {
						want = want.Max(tr.nodes[c].bound)
					}
					assert.Equal(t, tr.nodes[i].bound, want)
				}
			},
		})
	})
}

// fleet returns an index of empty workers of 16 cores, three to a rack.
func fleet(dcs, perDC int) *Index {
	x := &Index{}
	for i := range dcs * perDC {
		dc := i % dcs
		x.Set(fmt.Sprintf("w%d", i), Worker{
			DC:       fmt.Sprint("dc", dc),
			Rack:     fmt.Sprint("r", i/dcs/3),
			Capacity: Size{Millicores: 16000, MemoryMB: 60000},
		})
	}
	return x
}

// start picks a worker and adds the need to its commitments.
func start(t testing.TB, x *Index, n Need, seed uint64) (string, Worker) {
	id, ok := x.Pick(n, seed)
	assert.Assert(t, ok)
	w, _ := x.Get(id)
	w.Committed = w.Committed.Plus(n.Size)
	x.Set(id, w)
	if n.Owner != "" {
		x.Assign(n.Owner, id)
	}
	return id, w
}

func TestSpreadSeparatesTasksOfOneOwner(t *testing.T) {
	x := fleet(3, 4)
	need := Need{Size: Size{Millicores: 1000, MemoryMB: 1000}, Spread: true, Owner: "lookup"}
	dcs, workers := map[string]int{}, map[string]int{}
	for i := range 12 {
		id, w := start(t, x, need, uint64(i))
		dcs[w.DC]++
		workers[id]++
		most, least := 0, 12
		for d := range 3 {
			n := dcs[fmt.Sprint("dc", d)]
			most, least = max(most, n), min(least, n)
		}
		assert.Assert(t, most-least <= 1, "task %d: %v", i, dcs)
	}
	assert.Equal(t, len(workers), 12)
}

func TestSpreadFollowsReleases(t *testing.T) {
	x := fleet(2, 1)
	need := Need{Size: Size{Millicores: 100}, Spread: true, Owner: "lookup"}
	for range 3 {
		x.Assign("lookup", "w0")
	}
	id, _ := x.Pick(need, 1)
	assert.Equal(t, id, "w1")
	for range 5 {
		x.Unassign("lookup", "w0")
	}
	x.Assign("lookup", "w1")
	id, _ = x.Pick(need, 1)
	assert.Equal(t, id, "w0")
	x.Remove("w1")
	x.Unassign("lookup", "w1")
	assert.Equal(t, len(x.owners), 0)
}

func TestDenseLeavesRoomForLargeTasks(t *testing.T) {
	x := fleet(2, 5)
	small := Need{Size: Size{Millicores: 2000, MemoryMB: 7500}}
	for i := range 40 {
		start(t, x, small, uint64(i))
	}
	empty := 0
	for i := range 10 {
		if w, _ := x.Get(fmt.Sprint("w", i)); w.Committed == (Size{}) {
			empty++
		}
	}
	// 40 tasks of an eighth of a worker fill five workers.
	assert.Equal(t, empty, 5)
}

func TestCosts(t *testing.T) {
	half := Size{Millicores: 8000, MemoryMB: 30000}
	tests := []struct {
		name   string
		change func(w *Worker)
		spread bool
	}{
		{"penalty, spread", func(w *Worker) { w.Penalty = 2 }, true},
		{"penalty, dense", func(w *Worker) { w.Penalty = 2 }, false},
		{"use", func(w *Worker) { w.Committed = half }, true},
		{"ramp-up, spread", func(w *Worker) { w.RampShare = 0.01 }, true},
		{"ramp-up, dense", func(w *Worker) { w.RampShare = 0.01 }, false},
		{"accelerators kept free", func(w *Worker) { w.Capacity.Accelerators = 4 }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := fleet(1, 2)
			w, _ := x.Get("w0")
			tt.change(&w)
			x.Set("w0", w)
			for seed := range uint64(20) {
				id, ok := x.Pick(Need{Size: Size{Millicores: 1000}, Spread: tt.spread}, seed)
				assert.Assert(t, ok)
				assert.Equal(t, id, "w1")
			}
			x.Remove("w1")
			id, ok := x.Pick(Need{Size: Size{Millicores: 1000}, Spread: tt.spread}, 1)
			assert.Assert(t, ok, "the last resort")
			assert.Equal(t, id, "w0")
		})
	}
}

func TestPreemptionIsMinimal(t *testing.T) {
	x := &Index{}
	c := Size{Millicores: 16000, MemoryMB: 60000}
	x.Set("much", Worker{DC: "a", Capacity: c, Committed: c, Preemptible: c})
	x.Set("little", Worker{DC: "b", Capacity: c, Committed: Size{15500, 50000, 0}, Preemptible: Size{9000, 9000, 0}})
	need := Need{Size: Size{Millicores: 1000, MemoryMB: 1000}}
	_, ok := x.Pick(need, 1)
	assert.Assert(t, !ok)
	id, ok := x.PickPreempt(need, 1)
	assert.Assert(t, ok)
	assert.Equal(t, id, "little")
}

// A preferred worker is chosen before others as long as it has room, also by spread
// placement; a task that preempts compares all of them.
func TestPreferredWorkersFirst(t *testing.T) {
	var x Index
	size := Size{Millicores: 1000, MemoryMB: 1000}
	for i := range 20 {
		x.Set(fmt.Sprintf("w%02d", i), Worker{
			DC: fmt.Sprint("d", i%2), Capacity: Size{Millicores: 2000, MemoryMB: 2000}, Preferred: i == 7,
		})
	}
	for _, spread := range []bool{false, true} {
		for seed := range uint64(50) {
			id, ok := x.Pick(Need{Size: size, Spread: spread}, seed)
			assert.Assert(t, ok)
			assert.Equal(t, id, "w07", "spread %v", spread)
		}
	}
	chosen := map[string]bool{}
	for seed := range uint64(50) {
		id, _ := x.Pick(Need{Size: size, Shared: true, Spread: true}, seed)
		chosen[id] = true
	}
	assert.Assert(t, len(chosen) > 1, "a shared need is placed on %v only", chosen)
	full, _ := x.Get("w07")
	full.Committed = full.Capacity
	x.Set("w07", full)
	id, ok := x.Pick(Need{Size: size}, 1)
	assert.Assert(t, ok && id != "w07", "%s", id)
	x.Remove("w07")
	_, ok = x.Pick(Need{Size: size}, 1)
	assert.Assert(t, ok)
}
