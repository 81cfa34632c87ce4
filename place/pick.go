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
	// Exclude names workers that must not be chosen.
	Exclude []string
	// Constraint says which workers come into question.
	Constraint Constraint
	// Owner names the job for which Hold and Release keep the counts.
	Owner string
}

// Constraint says which workers come into question for a task.
type Constraint uint8

// The workers that may come into question.
const (
	AnyWorker      Constraint = iota // those that don't serve first
	NonServingOnly                   // those that don't serve
	ServingOnly                      // those that serve
)

const (
	samples = 8 // workers looked at in a data centre before the grid is searched

	// A dense search ends at the first row after which it has seen
	// enoughGood workers without a penalty or enoughAny with one.
	enoughGood = 4
	enoughAny  = 24

	// Nodes that a first search visits in one tree and in all; a complete
	// search follows only if it finds nothing.
	visitsPerTree = 64
	visitsInAll   = 512
)

// Pick returns an open worker with room for the need. It reports false only
// if there is none. Equal indexes and seeds give equal answers.
func (x *Index) Pick(n Need, seed uint64) (id string, ok bool) {
	return x.pick(&n, seed, viewFree)
}

// PickPreempt is like Pick but counts what batch tasks hold as room. It
// prefers workers on which little has to be taken from them.
func (x *Index) PickPreempt(n Need, seed uint64) (id string, ok bool) {
	return x.pick(&n, seed, viewReclaim)
}

// PickSlack is like Pick but counts what tasks are likely to leave unused as
// room, for fillers.
func (x *Index) PickSlack(n Need, seed uint64) (id string, ok bool) {
	return x.pick(&n, seed, viewSlack)
}

func (x *Index) pick(n *Need, seed uint64, v view) (id string, ok bool) {
	s := search{x: x, need: n, view: v, rng: seed, best: none, cell: cellOf(n.Size)}
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

	cell   cell // of the need
	tree   int  // node visits left in this tree
	visits int  // node visits left in all
	limit  int  // workers that fit after which the search ends
}

// next returns the next pseudo-random number, by splitmix64 (Steele, Lea and
// Flood, "Fast splittable pseudorandom number generators", OOPSLA 2014).
func (s *search) next() uint64 {
	s.rng += 0x9e3779b97f4a7c15
	z := s.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// below returns a pseudo-random number in [0, n).
func (s *search) below(n int) int {
	hi, _ := bits.Mul64(s.next(), uint64(n))
	return int(hi)
}

// poolsFor holds the pools to search, by Where and by whether accelerators are
// needed.
var poolsFor = [...][2][]int{
	AnyWorker: {
		{poolPlain, poolAccelerated, poolServing, poolServingAccelerated},
		{poolAccelerated, poolServingAccelerated},
	},
	NonServingOnly: {{poolPlain, poolAccelerated}, {poolAccelerated}},
	ServingOnly:    {{poolServing, poolServingAccelerated}, {poolServingAccelerated}},
}

// pools returns the pools that the need can use, in the order of search.
func (s *search) pools() []int {
	accelerated := 0
	if s.need.Size.Accelerators > 0 {
		accelerated = 1
	}
	return poolsFor[s.need.Constraint][accelerated]
}

// dense searches the rows upwards from the need's own.
func (s *search) dense() {
	s.visits, s.limit = visitsInAll, enoughAny
	for _, p := range s.pools() {
		if s.best != none {
			break
		}
		g := &s.x.grids[s.view][p]
		for used := from(g.used, s.cell.row); used != 0 && !s.ended(); used &= used - 1 {
			s.row(&g.rows[bits.TrailingZeros64(used)], visitsPerTree)
		}
	}
}

// row considers the workers of the row that fit, those with the least memory
// first.
func (s *search) row(r *row, visits int) {
	for used := from(r.used, s.cell.column); used != 0 && !s.ended(); used &= used - 1 {
		s.tree = visits
		s.walk(&r.trees[bits.TrailingZeros64(used)])
	}
}

// spread samples one data centre after another, the least used first. Without
// a sample that fits it searches the rows of all, the emptiest first.
func (s *search) spread() {
	clear(s.x.tried)
	for d := s.nextDC(); d >= 0; d = s.nextDC() {
		s.x.tried[d] = true
		for _, p := range s.pools() {
			s.sample(s.x.dc[d].members[p])
			if s.best != none {
				return
			}
		}
	}
	s.visits, s.limit = visitsInAll, samples
	for _, p := range s.pools() {
		if s.best != none {
			break
		}
		g := &s.x.grids[s.view][p]
		for used := from(g.used, s.cell.row); used != 0 && !s.ended(); {
			top := bits.Len64(used) - 1
			used &^= 1 << top
			s.row(&g.rows[top], visitsPerTree)
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
		if x.tried[d] || c.open() == 0 {
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

// complete searches the grid without a limit of visits.
func (s *search) complete() {
	const unlimited = 1 << 60
	s.visits, s.limit = unlimited, 1
	for _, p := range s.pools() {
		g := &s.x.grids[s.view][p]
		for used := from(g.used, s.cell.row); used != 0 && s.best == none; used &= used - 1 {
			s.row(&g.rows[bits.TrailingZeros64(used)], unlimited)
		}
	}
}

// walk considers the workers of the tree that fit, from a random node on.
func (s *search) walk(t *tree) {
	if !s.need.Size.Fits(t.nodes[0].bound) {
		return
	}
	i := int32(s.below(len(t.nodes)))
	s.subtree(t, i)
	for i > 0 && s.tree > 0 && !s.ended() {
		up := parent(i)
		s.visit(&t.nodes[up])
		other := 2*up + 1
		if other == i {
			other++
		}
		s.subtree(t, other)
		i = up
	}
}

func (s *search) subtree(t *tree, i int32) {
	if int(i) >= len(t.nodes) || s.tree <= 0 || s.ended() {
		return
	}
	n := &t.nodes[i]
	if !s.need.Size.Fits(n.bound) {
		return
	}
	s.visit(n)
	s.subtree(t, 2*i+1)
	s.subtree(t, 2*i+2)
}

func (s *search) visit(n *node) {
	s.tree--
	s.visits--
	if s.need.Size.Fits(n.room) {
		s.consider(n.slot)
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
	if len(s.need.Exclude) > 0 && slices.Contains(s.need.Exclude, s.x.ids[slot]) {
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
