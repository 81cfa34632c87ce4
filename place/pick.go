package place

import (
	"math/bits"
	"slices"
)

// Need describes what a task requires of a worker.
type Need struct {
	Size Size
	// Spread selects spread placement: the least utilized worker, apart from
	// other tasks of the owner. Otherwise placement is dense: the worker with
	// the least room left over.
	Spread bool
	// Exclude lists ids of workers that must not be chosen.
	Exclude []string
	// Constraint restricts the choice by the workers' role.
	Constraint Constraint
	// Shared chooses among all workers alike, preferred or not.
	Shared bool
	// Own restricts the choice to preferred workers.
	Own bool
	// Owner names the job whose tasks Assign and Unassign count.
	Owner string
}

// Constraint restricts the workers for a task by their role.
type Constraint uint8

// Constraints of a need.
const (
	AnyWorker      Constraint = iota // prefers workers that don't serve
	NonServingOnly                   // only workers that don't serve
	ServingOnly                      // only workers that serve
)

const (
	samples = 8 // workers sampled in a data centre before the grid is searched

	// A dense search ends once it has found stopAfterGood good workers or
	// stopAfterFits that fit.
	stopAfterGood = 4
	stopAfterFits = 24

	// Limits on the nodes that the first search visits in one tree and in
	// total. An exhaustive search follows only if it finds nothing.
	visitsPerTree   = 64
	visitsPerSearch = 512
	// visitsForPreferred limits the search for a preferred worker: on a large site,
	// another one is better than a long search.
	visitsForPreferred = 2048
)

// Pick returns an open worker with room for the need. It reports false only
// if there is none. Equal indexes, needs and seeds give equal results.
func (x *Index) Pick(n Need, seed uint64) (id string, ok bool) {
	return x.pick(&n, seed, viewFree)
}

// PickPreempt is like Pick but counts preemptible commitments as room. It
// prefers workers on which little has to be preempted.
func (x *Index) PickPreempt(n Need, seed uint64) (id string, ok bool) {
	return x.pick(&n, seed, viewPreempt)
}

// PickSlack is like Pick but counts slack as room. It is for best-effort tasks.
func (x *Index) PickSlack(n Need, seed uint64) (id string, ok bool) {
	return x.pick(&n, seed, viewSlack)
}

// pick chooses among the preferred workers first if the task takes free capacity. Workers
// to preempt on are compared by how much has to be preempted, and best-effort tasks, which
// reserve no processors, are spread over all.
func (x *Index) pick(n *Need, seed uint64, v view) (id string, ok bool) {
	if n.Own {
		return x.pickAmong(n, seed, v, true)
	}
	if v == viewFree && !n.Shared {
		if id, ok := x.pickAmong(n, seed, v, true); ok {
			return id, true
		}
	}
	return x.pickAmong(n, seed, v, false)
}

// pickAmong chooses among the preferred workers alone, or among all.
func (x *Index) pickAmong(n *Need, seed uint64, v view, preferred bool) (id string, ok bool) {
	if preferred && x.preferred == 0 {
		return "", false
	}
	s := search{preferred: preferred, x: x, need: n, view: v, rng: seed, best: none, cell: cellOf(n.Size)}
	if n.Owner != "" {
		s.owner = x.owners[n.Owner]
	}
	if n.Spread {
		s.searchSpread()
	} else {
		s.searchDense()
	}
	if s.best == none {
		s.searchAll()
	}
	if s.best == none {
		return "", false
	}
	return x.ids[s.best], true
}

// search is the state of one placement decision.
type search struct {
	x     *Index
	need  *Need
	view  view
	owner *owner
	rng   uint64

	preferred bool // only preferred workers are considered

	best     int32 // slot, or none
	bestCost float64
	fits     int // workers found that fit
	good     int // those of them that are good; see workerCost

	cell       cell // of the need
	treeVisits int  // node visits left in the current tree
	visits     int  // node visits left in total
	maxFits    int  // the search ends once this many workers fit
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

// poolsFor lists the pools to search, in order, by Constraint and by whether
// accelerators are needed.
var poolsFor = [...][2][]int{
	AnyWorker: {
		{poolPlain, poolAccelerated, poolServing, poolServingAccelerated},
		{poolAccelerated, poolServingAccelerated},
	},
	NonServingOnly: {{poolPlain, poolAccelerated}, {poolAccelerated}},
	ServingOnly:    {{poolServing, poolServingAccelerated}, {poolServingAccelerated}},
}

// pools returns the pools that the need can use, in search order.
func (s *search) pools() []int {
	accelerated := 0
	if s.need.Size.Accelerators > 0 {
		accelerated = 1
	}
	return poolsFor[s.need.Constraint][accelerated]
}

// searchDense searches the rows upwards from the need's own, one pool after the
// other until one has a worker that fits.
func (s *search) searchDense() {
	s.visits, s.maxFits = visitsPerSearch, stopAfterFits
	for _, p := range s.pools() {
		if s.best != none {
			break
		}
		g := &s.x.grids[s.view][p]
		for used := levelsFrom(g.used, s.cell.row); used != 0 && !s.done(); used &= used - 1 {
			s.searchRow(&g.rows[bits.TrailingZeros64(used)], visitsPerTree)
		}
	}
}

// searchRow considers the workers of the row that fit, in order of free memory,
// least first.
func (s *search) searchRow(r *row, visits int) {
	for used := levelsFrom(r.used, s.cell.column); used != 0 && !s.done(); used &= used - 1 {
		s.treeVisits = visits
		s.searchTree(&r.trees[bits.TrailingZeros64(used)])
	}
}

// searchSpread samples one data centre after another in the order of nextDC. If
// no sample fits, it searches the rows of all data centres, those with the most
// free millicores first.
func (s *search) searchSpread() {
	clear(s.x.triedDCs)
	for d := s.nextDC(); d >= 0; d = s.nextDC() {
		s.x.triedDCs[d] = true
		for _, p := range s.pools() {
			s.sample(s.x.dcs[d].members[p])
			if s.best != none {
				return
			}
		}
	}
	s.visits, s.maxFits = visitsPerSearch, samples
	for _, p := range s.pools() {
		if s.best != none {
			break
		}
		g := &s.x.grids[s.view][p]
		for used := levelsFrom(g.used, s.cell.row); used != 0 && !s.done(); {
			top := bits.Len64(used) - 1
			used &^= 1 << top
			s.searchRow(&g.rows[top], visitsPerTree)
		}
	}
}

// sample considers a random sample of the workers, or all if there are few.
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

// nextDC returns the data centre not yet tried with the lowest cost: its
// utilization plus the number of the owner's tasks relative to its capacity. It
// returns -1 if all were tried.
func (s *search) nextDC() int {
	x := s.x
	total := 0.0
	if s.owner != nil {
		for d := range x.dcs {
			total += float64(x.dcs[d].capacity.Millicores)
		}
	}
	best, least := -1, 0.0
	first := s.below(max(len(x.dcs), 1))
	for i := range x.dcs {
		d := first + i
		if d >= len(x.dcs) {
			d -= len(x.dcs)
		}
		c := &x.dcs[d]
		if x.triedDCs[d] || c.open() == 0 {
			continue
		}
		cost := fraction(c.committed, c.capacity)
		if tasks := s.owner.inDC(d); tasks > 0 {
			mean := total / float64(len(x.dcs))
			cost += float64(tasks) * mean / float64(max(c.capacity.Millicores, 1))
		}
		if best < 0 || cost < least {
			best, least = d, cost
		}
	}
	return best
}

// searchAll searches the grid exhaustively and ends at the first worker that
// fits.
func (s *search) searchAll() {
	const unlimited = 1 << 60
	s.visits, s.maxFits = unlimited, 1
	if s.preferred {
		s.visits = visitsForPreferred
	}
	for _, p := range s.pools() {
		g := &s.x.grids[s.view][p]
		for used := levelsFrom(g.used, s.cell.row); used != 0 && s.best == none; used &= used - 1 {
			s.searchRow(&g.rows[bits.TrailingZeros64(used)], unlimited)
		}
	}
}

// searchTree considers the workers of the tree that fit. It starts at a random
// node and works upwards through the subtrees of its ancestors.
func (s *search) searchTree(t *tree) {
	if !s.need.Size.Fits(t.nodes[0].bound) {
		return
	}
	i := int32(s.below(len(t.nodes)))
	s.searchSubtree(t, i)
	for i > 0 && s.treeVisits > 0 && !s.done() {
		up := parent(i)
		s.visit(&t.nodes[up])
		other := 2*up + 1
		if other == i {
			other++
		}
		s.searchSubtree(t, other)
		i = up
	}
}

func (s *search) searchSubtree(t *tree, i int32) {
	if int(i) >= len(t.nodes) || s.treeVisits <= 0 || s.done() {
		return
	}
	n := &t.nodes[i]
	if !s.need.Size.Fits(n.bound) {
		return
	}
	s.visit(n)
	s.searchSubtree(t, 2*i+1)
	s.searchSubtree(t, 2*i+2)
}

func (s *search) visit(n *node) {
	s.treeVisits--
	s.visits--
	if s.need.Size.Fits(n.room) {
		s.consider(n.slot)
	}
}

func (s *search) done() bool {
	return s.visits <= 0 || s.fits >= s.maxFits || s.good >= stopAfterGood
}

// consider evaluates the worker and keeps it as the best if it fits, is not
// excluded and has the lowest cost so far.
func (s *search) consider(slot int32) {
	if s.preferred && !s.x.workers[slot].Preferred {
		return
	}
	if !s.need.Size.Fits(s.x.room(slot, s.view)) {
		return
	}
	if len(s.need.Exclude) > 0 && slices.Contains(s.need.Exclude, s.x.ids[slot]) {
		return
	}
	s.fits++
	c, good := s.workerCost(slot)
	if good {
		s.good++
	}
	if s.best == none || c < s.bestCost {
		s.best, s.bestCost = slot, c
	}
}
