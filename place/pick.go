package place

import (
	"math/bits"
	"slices"
)

// Need is what a task asks of a worker.
type Need struct {
	Size Size
	// Spread puts the task on the least used workers, apart from other tasks
	// of its owner; otherwise it goes where the least room is left over.
	Spread bool
	// Avoid names workers that must not be chosen.
	Avoid []string
	// Owner names the job for which Hold and Release keep the counts.
	Owner string
}

const (
	samples = 8 // workers looked at in a data centre before its levels are searched

	// A dense search ends at the first level after which it has seen
	// enoughGood workers without a penalty or enoughAny with one.
	enoughGood = 4
	enoughAny  = 24

	// Nodes that a first search visits in one level and in all; a complete
	// search follows only if it finds nothing.
	visitsPerLevel = 64
	visitsInAll    = 512
)

// Pick returns an open worker with room for the need. It reports false only
// if there is none. Equal indexes and seeds give equal answers.
func (x *Index) Pick(n Need, seed uint64) (id string, ok bool) {
	return x.pick(&n, seed, viewFree)
}

// PickReclaim is like Pick but counts what batch tasks hold as room. It
// prefers workers on which little has to be taken from them.
func (x *Index) PickReclaim(n Need, seed uint64) (id string, ok bool) {
	return x.pick(&n, seed, viewReclaim)
}

func (x *Index) pick(n *Need, seed uint64, v view) (id string, ok bool) {
	s := search{x: x, need: n, view: v, rng: seed, best: none}
	if n.Owner != "" {
		s.owner = x.owners[n.Owner]
	}
	if n.Spread {
		s.spread()
	} else {
		s.dense()
	}
	if s.best == none {
		s.complete()
	}
	if s.best == none {
		return "", false
	}
	return x.ids[s.best], true
}

// search is the state of one decision.
type search struct {
	x     *Index
	need  *Need
	view  view
	owner *owner
	rng   uint64

	best int32 // slot, or none
	cost float64
	any  int // workers that fit
	good int // those of them without a penalty

	level  int // node visits left in this level
	visits int // node visits left in all
	limit  int // workers that fit after which the search ends
}

// next returns the next pseudo-random number.
func (s *search) next() uint64 {
	s.rng += 0x9e3779b97f4a7c15
	return mix(s.rng)
}

// below returns a pseudo-random number in [0, n).
func (s *search) below(n int) int {
	hi, _ := bits.Mul64(s.next(), uint64(n))
	return int(hi)
}

// firstPool skips the workers that the need can't use.
func (s *search) firstPool() int {
	if s.need.Size.Accelerators > 0 {
		return poolAccelerated
	}
	return poolPlain
}

// dense searches the levels upwards from the need's own.
func (s *search) dense() {
	s.visits, s.limit = visitsInAll, enoughAny
	for p := s.firstPool(); p < pools && s.best == none; p++ {
		ls := &s.x.levels[s.view][p]
		for used := s.from(ls); used != 0 && !s.ended(); used &= used - 1 {
			s.level = visitsPerLevel
			s.tree(ls.roots[bits.TrailingZeros64(used)])
		}
	}
}

// from returns the used levels from that of the need upwards.
func (s *search) from(ls *levels) uint64 {
	return ls.used & (^uint64(0) << level(s.need.Size))
}

// spread samples one data centre after another, the least used first. Without
// a sample that fits it searches the levels of all, the emptiest first.
func (s *search) spread() {
	clear(s.x.tried)
	for d := s.nextDC(); d >= 0; d = s.nextDC() {
		s.x.tried[d] = true
		for p := s.firstPool(); p < pools; p++ {
			s.sample(s.x.dc[d].members[p])
			if s.best != none {
				return
			}
		}
	}
	s.visits, s.limit = visitsInAll, samples
	for p := s.firstPool(); p < pools && s.best == none; p++ {
		ls := &s.x.levels[s.view][p]
		for used := s.from(ls); used != 0 && !s.ended(); {
			lv := bits.Len64(used) - 1
			used &^= 1 << lv
			s.level = visitsPerLevel
			s.tree(ls.roots[lv])
		}
	}
}

// sample considers a few of the workers.
func (s *search) sample(members []int32) {
	n := len(members)
	if n <= samples {
		for _, m := range members {
			s.consider(m)
		}
		return
	}
	for range samples {
		s.consider(members[s.below(n)])
	}
}

// nextDC returns the data centre not yet tried in which the owner has the
// fewest tasks for its capacity, ties broken by use; -1 if all were tried.
func (s *search) nextDC() int {
	x := s.x
	total := 0.0
	if s.owner != nil {
		for d := range x.dc {
			total += float64(x.dc[d].capacity.Millicores)
		}
	}
	best, least := -1, 0.0
	first := s.below(max(len(x.dc), 1))
	for i := range x.dc {
		d := first + i
		if d >= len(x.dc) {
			d -= len(x.dc)
		}
		c := &x.dc[d]
		if x.tried[d] || len(c.members[poolPlain])+len(c.members[poolAccelerated]) == 0 {
			continue
		}
		cost := fraction(c.committed, c.capacity)
		if held := s.owner.inDC(d); held > 0 {
			mean := total / float64(len(x.dc))
			cost += float64(held) * mean / float64(max(c.capacity.Millicores, 1))
		}
		if best < 0 || cost < least {
			best, least = d, cost
		}
	}
	return best
}

// complete searches all levels without a limit of visits.
func (s *search) complete() {
	const unlimited = 1 << 60
	s.visits, s.limit = unlimited, 1
	for p := s.firstPool(); p < pools; p++ {
		ls := &s.x.levels[s.view][p]
		for used := s.from(ls); used != 0 && s.best == none; used &= used - 1 {
			s.level = unlimited
			s.tree(ls.roots[bits.TrailingZeros64(used)])
		}
	}
}

// tree considers the workers of the tree that fit, in random order.
func (s *search) tree(i int32) {
	need := &s.need.Size
	for i != none && s.level > 0 && !s.ended() {
		n := &s.x.forests[s.view][i]
		if !need.Fits(n.bound) {
			return
		}
		s.level--
		s.visits--
		if n.room.MemoryMB < need.MemoryMB {
			i = n.right
			continue
		}
		first, second := n.left, n.right
		order := s.next()
		if order&1 != 0 {
			first, second = second, first
		}
		if order&6 != 0 {
			s.consider(i)
			s.tree(first)
		} else {
			s.tree(first)
			s.consider(i)
		}
		i = second
	}
}

func (s *search) ended() bool {
	return s.visits <= 0 || s.any >= s.limit || s.good >= enoughGood
}

// consider keeps the worker if it fits and costs least so far.
func (s *search) consider(slot int32) {
	if !s.need.Size.Fits(s.x.room(slot, s.view)) {
		return
	}
	if len(s.need.Avoid) > 0 && slices.Contains(s.need.Avoid, s.x.ids[slot]) {
		return
	}
	s.any++
	c, good := s.price(slot)
	if good {
		s.good++
	}
	if s.best == none || c < s.cost {
		s.best, s.cost = slot, c
	}
}
