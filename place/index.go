package place

// Role says whether a worker runs serving tasks, which are those with a
// tail-latency target.
type Role uint8

// Roles of a worker.
const (
	NonServing Role = iota // no serving task runs there
	Serving                // at least one serving task runs there
)

// Worker describes one worker to the index.
type Worker struct {
	// Capacity is the total of the VM, Committed the sum reserved by its tasks.
	Capacity  Size
	Committed Size
	// Largest is the largest Capacity that the worker has had; the zero value means Capacity.
	Largest Size
	// Penalty is added to the cost of the worker. 0 means no penalty; 1 equals
	// the cost difference between an empty and a full worker.
	Penalty float64
	// RampShare is the fraction of the capacity that should be used while the
	// worker ramps up after its return, in (0, 1]; the zero value means 1.
	RampShare float64
	// Preemptible is the part of Committed that urgent tasks may preempt. Set
	// limits it to Committed in each dimension.
	Preemptible Size
	// Slack is the part of Committed that its tasks are expected to leave
	// unused. Best-effort tasks may use it in the meantime.
	Slack Size
	// Role says whether the worker runs tasks that are sensitive to interference.
	Role Role
	// Closed workers are never chosen.
	Closed bool
	// Preferred workers are chosen before others, as long as one of them has room.
	Preferred bool
	DC        string
	Rack      string
}

// Free returns the capacity that no task has reserved.
func (w *Worker) Free() Size { return w.Capacity.Minus(w.Committed) }

// largest returns the largest capacity that the worker is known to have had.
func (w *Worker) largest() Size { return w.Capacity.Max(w.Largest) }

// share returns RampShare, or 1 if it is out of range.
func (w *Worker) share() float64 {
	if w.RampShare <= 0 || w.RampShare > 1 {
		return 1
	}
	return w.RampShare
}

// Index finds workers by their free capacity. The zero value is ready for
// use. It is not safe for concurrent use; this includes Pick.
type Index struct {
	slots     map[string]int32
	ids       []string
	workers   []Worker
	locations []location
	freeSlots []int32

	dcNumbers   map[string]int32
	dcs         []dataCentre
	rackNumbers map[rackKey]int32
	owners      map[string]*owner
	grids       [views][pools]grid
	// capacities counts the workers by their largest capacity.
	capacities map[Size]int
	preferred  int // number of preferred workers
	triedDCs   []bool
}

// view selects how free capacity is computed.
type view uint8

const (
	viewFree    view = iota // capacity less all commitments
	viewPreempt             // capacity less the commitments that can't be preempted
	viewSlack               // capacity less the expected usage
	views
)

// location is the position of a worker in the tables of the index.
type location struct {
	dc     int32
	rack   int32
	pool   int8
	open   bool
	member int32 // position in the members of the data centre
	cells  [views]cell
	nodes  [views]int32
}

type rackKey struct {
	dc   int32
	name string
}

// Workers are pooled by whether they have accelerators and by whether they serve.
// Tasks that need no accelerators leave workers that have them free, and tasks
// that would interfere with serving tasks are placed elsewhere, while possible.
const (
	poolPlain = iota
	poolAccelerated
	poolServing
	poolServingAccelerated
	pools
)

func poolOf(w *Worker) int8 {
	p := int8(poolPlain)
	if w.Capacity.Accelerators > 0 {
		p = poolAccelerated
	}
	if w.Role == Serving {
		p += poolServing
	}
	return p
}

// dataCentre holds the open workers of one data centre.
type dataCentre struct {
	members     [pools][]int32
	capacity    Size // of open workers, scaled by their ramp-up share
	committed   Size // of open workers
	preemptible Size // the part of committed that urgent tasks may preempt
}

// open returns the number of open workers.
func (d *dataCentre) open() int {
	n := 0
	for _, m := range d.members {
		n += len(m)
	}
	return n
}

// Set adds the worker or replaces its entry.
func (x *Index) Set(id string, w Worker) {
	x.init()
	w.Preemptible = w.Preemptible.min(w.Committed)
	s, known := x.slots[id]
	if !known {
		s = x.allocSlot(id)
	}
	old := x.workers[s]
	if known && old == w {
		return
	}
	x.countPreferred(&old, -1)
	x.countPreferred(&w, 1)
	if !known || old.largest() != w.largest() {
		x.capacities[w.largest()]++
		if known {
			x.dropCapacity(old.largest())
		}
	}
	l := &x.locations[s]
	to := *l
	if !known || old.DC != w.DC || old.Rack != w.Rack {
		to.dc, to.rack = x.numbersOf(w.DC, w.Rack)
	}
	to.pool = poolOf(&w)
	if l.open && !w.Closed && l.dc == to.dc && l.pool == to.pool {
		x.addTotals(&old, l.dc, -1)
		x.workers[s] = w
		l.rack = to.rack
		x.addTotals(&w, l.dc, 1)
		x.updateGrids(s)
		return
	}
	x.deactivate(s)
	x.workers[s] = w
	l.dc, l.rack, l.pool = to.dc, to.rack, to.pool
	if !w.Closed {
		x.activate(s)
	}
}

// Remove deletes the worker. Unknown ids are ignored.
func (x *Index) Remove(id string) {
	s, ok := x.slots[id]
	if !ok {
		return
	}
	x.deactivate(s)
	x.countPreferred(&x.workers[s], -1)
	x.dropCapacity(x.workers[s].largest())
	delete(x.slots, id)
	x.ids[s], x.workers[s], x.locations[s] = "", Worker{}, location{}
	x.freeSlots = append(x.freeSlots, s)
}

// countPreferred adds n to the number of preferred workers if the worker is one.
func (x *Index) countPreferred(w *Worker, n int) {
	if w.Preferred {
		x.preferred += n
	}
}

// Get returns the worker; ok is false if the id is unknown.
func (x *Index) Get(id string) (w Worker, ok bool) {
	s, ok := x.slots[id]
	if !ok {
		return Worker{}, false
	}
	return x.workers[s], true
}

// Len returns the number of workers, closed ones included.
func (x *Index) Len() int { return len(x.slots) }

// Possible reports whether a worker, open or closed, could hold s if it were
// empty and had its largest capacity.
func (x *Index) Possible(s Size) bool {
	for c := range x.capacities {
		if s.Fits(c) {
			return true
		}
	}
	return false
}

func (x *Index) init() {
	if x.slots != nil {
		return
	}
	x.slots = make(map[string]int32)
	x.dcNumbers = make(map[string]int32)
	x.rackNumbers = make(map[rackKey]int32)
	x.capacities = make(map[Size]int)
	x.grow("") // slot 0 is none
}

// allocSlot returns a free slot of the tables for a new worker.
func (x *Index) allocSlot(id string) int32 {
	var s int32
	if n := len(x.freeSlots); n > 0 {
		s = x.freeSlots[n-1]
		x.freeSlots = x.freeSlots[:n-1]
		x.ids[s] = id
	} else {
		s = x.grow(id)
	}
	x.slots[id] = s
	return s
}

// grow appends a slot to the tables.
func (x *Index) grow(id string) int32 {
	x.ids = append(x.ids, id)
	x.workers = append(x.workers, Worker{})
	x.locations = append(x.locations, location{})
	return int32(len(x.ids) - 1)
}

// numbersOf returns the numbers of a data centre and of a rack in it. It
// assigns new numbers to names that it has not seen before.
func (x *Index) numbersOf(dc, rack string) (d, r int32) {
	d, ok := x.dcNumbers[dc]
	if !ok {
		d = int32(len(x.dcs))
		x.dcNumbers[dc] = d
		x.dcs = append(x.dcs, dataCentre{})
		x.triedDCs = append(x.triedDCs, false)
	}
	k := rackKey{d, rack}
	r, ok = x.rackNumbers[k]
	if !ok {
		r = int32(len(x.rackNumbers))
		x.rackNumbers[k] = r
	}
	return d, r
}

func (x *Index) dropCapacity(c Size) {
	x.capacities[c]--
	if x.capacities[c] == 0 {
		delete(x.capacities, c)
	}
}

// addTotals adds the worker to the totals of the data centre if sign is 1 and
// subtracts it if sign is -1.
func (x *Index) addTotals(w *Worker, dc int32, sign int64) {
	d := &x.dcs[dc]
	c := scaled(w.Capacity, w.share())
	d.capacity = d.capacity.Plus(Size{sign * c.Millicores, sign * c.MemoryMB, sign * c.Accelerators})
	u := w.Committed
	d.committed = d.committed.Plus(Size{sign * u.Millicores, sign * u.MemoryMB, sign * u.Accelerators})
	b := w.Preemptible
	d.preemptible = d.preemptible.Plus(Size{sign * b.Millicores, sign * b.MemoryMB, sign * b.Accelerators})
}

// NonServingFraction returns the fraction of the open workers that don't serve;
// 0 without open workers.
func (x *Index) NonServingFraction() float64 {
	nonServing, all := 0, 0
	for i := range x.dcs {
		all += x.dcs[i].open()
		nonServing += len(x.dcs[i].members[poolPlain]) + len(x.dcs[i].members[poolAccelerated])
	}
	if all == 0 {
		return 0
	}
	return float64(nonServing) / float64(all)
}

// NonPreemptibleFraction returns the fraction of the open workers' capacity that
// is committed and can't be preempted, for the resource where it is largest.
func (x *Index) NonPreemptibleFraction() float64 {
	var committed, capacity Size
	for i := range x.dcs {
		committed = committed.Plus(x.dcs[i].committed.Minus(x.dcs[i].preemptible))
		capacity = capacity.Plus(x.dcs[i].capacity)
	}
	return fraction(committed, capacity)
}

func scaled(s Size, f float64) Size {
	if f == 1 {
		return s
	}
	return Size{int64(float64(s.Millicores) * f), int64(float64(s.MemoryMB) * f), int64(float64(s.Accelerators) * f)}
}

// room returns the free capacity of the worker according to the view.
func (x *Index) room(s int32, v view) Size {
	w := &x.workers[s]
	free := w.Free()
	switch v {
	case viewPreempt:
		free = free.Plus(w.Preemptible)
	case viewSlack:
		free = free.Plus(w.Slack)
	}
	return free
}

// activate adds an open worker to its data centre and to the grids.
func (x *Index) activate(s int32) {
	l := &x.locations[s]
	p := &x.dcs[l.dc].members[l.pool]
	l.open = true
	l.member = int32(len(*p))
	*p = append(*p, s)
	x.addTotals(&x.workers[s], l.dc, 1)
	for v := range views {
		x.addToGrid(s, v)
	}
}

// deactivate removes the worker from its data centre and the grids. It does
// nothing if the worker is not active.
func (x *Index) deactivate(s int32) {
	l := &x.locations[s]
	if !l.open {
		return
	}
	x.addTotals(&x.workers[s], l.dc, -1)
	p := &x.dcs[l.dc].members[l.pool]
	end := len(*p) - 1
	last := (*p)[end]
	(*p)[l.member] = last
	x.locations[last].member = l.member
	*p = (*p)[:end]
	for v := range views {
		x.removeFromGrid(s, v)
	}
	l.open = false
}

// updateGrids moves an open worker to the cells of its current room.
func (x *Index) updateGrids(s int32) {
	l := &x.locations[s]
	for v := range views {
		room := x.room(s, v)
		if cellOf(room) == l.cells[v] {
			x.grids[v][l.pool].update(l.cells[v], l.nodes[v], room)
			continue
		}
		x.removeFromGrid(s, v)
		x.addToGrid(s, v)
	}
}

func (x *Index) addToGrid(s int32, v view) {
	l := &x.locations[s]
	room := x.room(s, v)
	l.cells[v] = cellOf(room)
	l.nodes[v] = x.grids[v][l.pool].add(l.cells[v], s, room)
}

func (x *Index) removeFromGrid(s int32, v view) {
	l := &x.locations[s]
	if moved := x.grids[v][l.pool].remove(l.cells[v], l.nodes[v]); moved != none {
		x.locations[moved].nodes[v] = l.nodes[v]
	}
}
