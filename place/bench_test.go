package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// taskSizes has a mean with about the same ratio of millicores to memory as the
// workers; the single sizes are far from that ratio.
var taskSizes = []Size{
	{Millicores: 500, MemoryMB: 4000},
	{Millicores: 1000, MemoryMB: 2000},
	{Millicores: 2000, MemoryMB: 8000},
	{Millicores: 4000, MemoryMB: 12000},
}

// loaded returns an index of n workers in 11 data centres with about the
// given fraction committed to tasks of mixed sizes. One worker in 20 has
// accelerators.
func loaded(n int, committed float64) *Index {
	rng := rand.New(rand.NewPCG(1, 2))
	x := &Index{}
	for i := range n {
		c := Size{Millicores: 32000, MemoryMB: 125000}
		if i%20 == 0 {
			c.Accelerators = 8
		}
		w := Worker{DC: fmt.Sprint("dc", i%11), Rack: fmt.Sprint("r", i/33), Capacity: c}
		goal := min(committed+rng.NormFloat64()*0.15, 1)
		for fraction(w.Committed, c) < goal {
			s := taskSizes[rng.IntN(len(taskSizes))]
			if !w.Committed.Plus(s).Fits(c) {
				break
			}
			w.Committed = w.Committed.Plus(s)
		}
		w.Preemptible = Size{w.Committed.Millicores / 2, w.Committed.MemoryMB / 2, 0}
		x.Set(fmt.Sprint("w", i), w)
	}
	return x
}

// firstFit is the baseline: the first worker by slot that fits.
func firstFit(x *Index, n Need) (string, bool) {
	for s := range x.workers {
		if !x.workers[s].Closed && n.Size.Fits(x.workers[s].Free()) {
			return x.ids[s], true
		}
	}
	return "", false
}

var fleetSizes = []int{100, 1000, 10000, 29000}

// BenchmarkPlace measures a decision with about 70% of the capacity committed.
// Between rounds, with the timer stopped, the picks of the last round are
// committed and those of the round before are released.
func BenchmarkPlace(b *testing.B) {
	for _, n := range fleetSizes {
		x := loaded(n, 0.7)
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			rounds(b, x, x.Pick)
		})
	}
}

// BenchmarkFirstFit is BenchmarkPlace with the baseline.
func BenchmarkFirstFit(b *testing.B) {
	for _, n := range fleetSizes {
		x := loaded(n, 0.7)
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			rounds(b, x, func(n Need, _ uint64) (string, bool) { return firstFit(x, n) })
		})
	}
}

// BenchmarkSet measures adding a commitment to a worker and releasing it.
func BenchmarkSet(b *testing.B) {
	for _, n := range fleetSizes {
		x := loaded(n, 0.7)
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			rng := rand.New(rand.NewPCG(5, 6))
			for i := range b.N {
				id := x.ids[1+rng.IntN(n)]
				w, _ := x.Get(id)
				old := w
				w.Committed = w.Committed.Plus(taskSizes[i%len(taskSizes)])
				x.Set(id, w)
				x.Set(id, old)
			}
		})
	}
}

// full returns an index in which no worker has room for fullNeed: each lacks
// either millicores or memory.
func full(n int) *Index {
	rng := rand.New(rand.NewPCG(7, 8))
	x := loaded(n, 0.7)
	for i := range n {
		id := fmt.Sprint("w", i)
		w, _ := x.Get(id)
		free := Size{Millicores: rng.Int64N(fullNeed.Size.Millicores), MemoryMB: rng.Int64N(60000)}
		if i%2 == 0 {
			free = Size{Millicores: rng.Int64N(16000), MemoryMB: rng.Int64N(fullNeed.Size.MemoryMB)}
		}
		w.Committed = w.Capacity.Minus(free)
		x.Set(id, w)
	}
	return x
}

var fullNeed = Need{Size: Size{Millicores: 2000, MemoryMB: 8000}}

// BenchmarkPlaceFull measures a need for which there is no room.
func BenchmarkPlaceFull(b *testing.B) {
	for _, n := range fleetSizes {
		x := full(n)
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				if _, ok := x.Pick(fullNeed, uint64(i)); ok {
					b.Fatal("picked a worker, but none has room")
				}
			}
		})
	}
}

// BenchmarkFirstFitFull is BenchmarkPlaceFull with the baseline.
func BenchmarkFirstFitFull(b *testing.B) {
	for _, n := range fleetSizes {
		x := full(n)
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			for range b.N {
				if _, ok := firstFit(x, fullNeed); ok {
					b.Fatal("picked a worker, but none has room")
				}
			}
		})
	}
}

// rounds picks b.N times and commits the picks in rounds of 32.
func rounds(b *testing.B, x *Index, pick func(Need, uint64) (string, bool)) {
	const size = 32
	var ids, old [size]string
	commit := func(ids *[size]string, sign int64) {
		for i, id := range ids {
			if w, ok := x.Get(id); ok {
				s := taskSizes[i%len(taskSizes)]
				w.Committed = w.Committed.Plus(Size{sign * s.Millicores, sign * s.MemoryMB, 0})
				x.Set(id, w)
			}
		}
	}
	for i := range b.N {
		k := i % size
		if k == 0 && i > 0 {
			b.StopTimer()
			commit(&old, -1)
			commit(&ids, 1)
			old, ids = ids, [size]string{}
			b.StartTimer()
		}
		id, ok := pick(Need{Size: taskSizes[k%len(taskSizes)], Spread: k%8 < 4}, uint64(i))
		if !ok {
			b.Fatal("no worker has room")
		}
		ids[k] = id
	}
	b.StopTimer()
	commit(&old, -1)
}

// fill places tasks until one does not fit and returns the fraction of all
// millicores that is then committed.
func fill(x *Index, pick func(Need, uint64) (string, bool)) float64 {
	rng := rand.New(rand.NewPCG(3, 4))
	for i := uint64(0); ; i++ {
		n := Need{Size: taskSizes[rng.IntN(len(taskSizes))]}
		if i%64 == 0 {
			n.Size = Size{Millicores: 24000, MemoryMB: 80000}
		}
		id, ok := pick(n, i)
		if !ok {
			break
		}
		w, _ := x.Get(id)
		w.Committed = w.Committed.Plus(n.Size)
		x.Set(id, w)
	}
	used, all := 0.0, 0.0
	for i := range x.workers {
		used += float64(x.workers[i].Committed.Millicores)
		all += float64(x.workers[i].Capacity.Millicores)
	}
	return used / all
}

func TestDensePacksNoWorseThanFirstFit(t *testing.T) {
	for _, n := range []int{11, 200} {
		x, y := loaded(n, -1), loaded(n, -1)
		ours, baseline := fill(x, x.Pick), fill(y, func(n Need, _ uint64) (string, bool) { return firstFit(y, n) })
		t.Logf("%d workers: %.3f committed, first fit %.3f", n, ours, baseline)
		assert.Assert(t, ours >= 0.97*baseline, "%d workers: %.3f, first fit %.3f", n, ours, baseline)
	}
}
