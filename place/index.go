package place

// Role says whether a worker serves: whether it runs tasks with a target for their
// tail latency.
type Role uint8

// The uses of a worker.
const (
	NonServing Role = iota // it does not serve
	Serving                // it serves
)

// Worker is what the index knows of one worker.
type Worker struct {
	// Capacity is all that the VM has, Committed what its tasks hold.
	Capacity  Size
	Committed Size
	// Penalty is added to the cost of the worker, from 0 for none; 1 is as
	// much as the difference between an empty and a full worker.
	Penalty float64
	// RampShare is the part of the capacity that may be used while the worker
	// ramps up after a return, in (0, 1]; the zero value means 1.
	RampShare float64
	// Preemptible is the part of Committed that urgent work may take. Set reduces
	// it to Committed where it is larger.
	Preemptible Size
	// Slack is the part of Committed that its tasks are likely to leave unused
	// and that fillers may use meanwhile.
	Slack Size
	// Role says what a worker runs that others may disturb.
	Role Role
	// Closed workers are never chosen.
	Closed bool
	DC     string
	Rack   string
}

// Free returns what no task holds.
func (w *Worker) Free() Size { return w.Capacity.Minus(w.Committed) }

// share returns the ramp-up share with its default.
func (w *Worker) share() float64 {
	if w.RampShare <= 0 || w.RampShare > 1 {
		return 1
	}
	return w.RampShare
}

// Index finds workers by their free capacity. The zero value is ready for
// use. It is not safe for concurrent use, Pick included.
type Index struct {
	slots   map[string]int32
	ids     []string
	workers []Worker
	at      []location
	unused  []int32

	dcs    map[string]int32
	dc     []dataCentre
	racks  map[rackKey]int32
	owners map[string]*owner
	grids  [views][pools]grid
	// kinds counts the workers of each capacity.
	kinds map[Size]int
	tried []bool
}

// view names one of the two ways to count free capacity.
type view uint8

const (
	viewFree    view = iota // capacity less all commitments
	viewReclaim             // capacity less the commitments of urgent work
	viewSlack               // capacity less what is likely to be used
	views
)

// location is where a worker stands in the index.
type location struct {
	dc     int32
	rack   int32
	pool   int8
	open   bool
	member int32
	cells  [views]cell
	nodes  [views]int32
}

type rackKey struct {
	dc   int32
	name string
}

// Workers with and without accelerators are kept apart, so that tasks which
// need none leave the former alone while they can; and so are those that serve,
// so that tasks which would disturb there go elsewhere while they can.
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
	members   [pools][]int32
	capacity  Size // of open workers, scaled by their share
	committed Size // of open workers
	batch     Size // the part of committed that urgent work may take
}

// open returns the number of open workers.
func (d *dataCentre) open() int {
	n := 0
	for _, m := range d.members {
		n += len(m)
	}
	return n
}

// Set adds the worker or replaces what is known of it.
func (x *Index) Set(id string, w Worker) {
	x.init()
	w.Preemptible = w.Preemptible.min(w.Committed)
	s, known := x.slots[id]
	if !known {
		s = x.slot(id)
	}
	old := x.workers[s]
	if known && old == w {
		return
	}
	if !known || old.Capacity != w.Capacity {
		x.kinds[w.Capacity]++
		if known {
			x.dropKind(old.Capacity)
		}
	}
	l := &x.at[s]
	to := *l
	if !known || old.DC != w.DC || old.Rack != w.Rack {
		to.dc, to.rack = x.place(w.DC, w.Rack)
	}
	to.pool = poolOf(&w)
	if l.open && !w.Closed && l.dc == to.dc && l.pool == to.pool {
		x.count(&old, l.dc, -1)
		x.workers[s] = w
		l.rack = to.rack
		x.count(&w, l.dc, 1)
		x.move(s)
		return
	}
	x.leave(s)
	x.workers[s] = w
	l.dc, l.rack, l.pool = to.dc, to.rack, to.pool
	if !w.Closed {
		x.join(s)
	}
}

// Remove forgets the worker. Unknown ids are ignored.
func (x *Index) Remove(id string) {
	s, ok := x.slots[id]
	if !ok {
		return
	}
	x.leave(s)
	x.dropKind(x.workers[s].Capacity)
	delete(x.slots, id)
	x.ids[s], x.workers[s], x.at[s] = "", Worker{}, location{}
	x.unused = append(x.unused, s)
}

// Get returns what is known of the worker.
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
// empty.
func (x *Index) Possible(s Size) bool {
	for c := range x.kinds {
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
	x.dcs = make(map[string]int32)
	x.racks = make(map[rackKey]int32)
	x.kinds = make(map[Size]int)
	x.grow("") // the slot that stands for none
}

// slot returns a place in the tables for a new worker.
func (x *Index) slot(id string) int32 {
	var s int32
	if n := len(x.unused); n > 0 {
		s = x.unused[n-1]
		x.unused = x.unused[:n-1]
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
	x.at = append(x.at, location{})
	return int32(len(x.ids) - 1)
}

// place returns the numbers of a data centre and of a rack in it.
func (x *Index) place(dc, rack string) (d, r int32) {
	d, ok := x.dcs[dc]
	if !ok {
		d = int32(len(x.dc))
		x.dcs[dc] = d
		x.dc = append(x.dc, dataCentre{})
		x.tried = append(x.tried, false)
	}
	k := rackKey{d, rack}
	r, ok = x.racks[k]
	if !ok {
		r = int32(len(x.racks))
		x.racks[k] = r
	}
	return d, r
}

func (x *Index) dropKind(c Size) {
	x.kinds[c]--
	if x.kinds[c] == 0 {
		delete(x.kinds, c)
	}
}

// count adds the worker sign times to the sums of its data centre.
func (x *Index) count(w *Worker, dc int32, sign int64) {
	d := &x.dc[dc]
	c := scaled(w.Capacity, w.share())
	d.capacity = d.capacity.Plus(Size{sign * c.Millicores, sign * c.MemoryMB, sign * c.Accelerators})
	u := w.Committed
	d.committed = d.committed.Plus(Size{sign * u.Millicores, sign * u.MemoryMB, sign * u.Accelerators})
	b := w.Preemptible
	d.batch = d.batch.Plus(Size{sign * b.Millicores, sign * b.MemoryMB, sign * b.Accelerators})
}

// NonServingFraction returns the part of the open workers that don't serve.
func (x *Index) NonServingFraction() float64 {
	quiet, all := 0, 0
	for i := range x.dc {
		all += x.dc[i].open()
		quiet += len(x.dc[i].members[poolPlain]) + len(x.dc[i].members[poolAccelerated])
	}
	if all == 0 {
		return 0
	}
	return float64(quiet) / float64(all)
}

// NonPreemptibleFraction returns the part of the open workers' capacity that is committed to work
// that nothing may take it from, by the scarcest of their resources.
func (x *Index) NonPreemptibleFraction() float64 {
	var firm, capacity Size
	for i := range x.dc {
		firm = firm.Plus(x.dc[i].committed.Minus(x.dc[i].batch))
		capacity = capacity.Plus(x.dc[i].capacity)
	}
	return fraction(firm, capacity)
}

func scaled(s Size, f float64) Size {
	if f == 1 {
		return s
	}
	return Size{int64(float64(s.Millicores) * f), int64(float64(s.MemoryMB) * f), int64(float64(s.Accelerators) * f)}
}

// room returns what the view counts as free on the worker.
func (x *Index) room(s int32, v view) Size {
	w := &x.workers[s]
	free := w.Free()
	switch v {
	case viewReclaim:
		free = free.Plus(w.Preemptible)
	case viewSlack:
		free = free.Plus(w.Slack)
	}
	return free
}

// join enters an open worker.
func (x *Index) join(s int32) {
	l := &x.at[s]
	p := &x.dc[l.dc].members[l.pool]
	l.open = true
	l.member = int32(len(*p))
	*p = append(*p, s)
	x.count(&x.workers[s], l.dc, 1)
	for v := range views {
		x.enter(s, v)
	}
}

// leave takes the worker out of all searches.
func (x *Index) leave(s int32) {
	l := &x.at[s]
	if !l.open {
		return
	}
	x.count(&x.workers[s], l.dc, -1)
	p := &x.dc[l.dc].members[l.pool]
	end := len(*p) - 1
	last := (*p)[end]
	(*p)[l.member] = last
	x.at[last].member = l.member
	*p = (*p)[:end]
	for v := range views {
		x.exit(s, v)
	}
	l.open = false
}

// move brings an open worker to the cell of its present room.
func (x *Index) move(s int32) {
	l := &x.at[s]
	for v := range views {
		room := x.room(s, v)
		if cellOf(room) == l.cells[v] {
			x.grids[v][l.pool].update(l.cells[v], l.nodes[v], room)
			continue
		}
		x.exit(s, v)
		x.enter(s, v)
	}
}

func (x *Index) enter(s int32, v view) {
	l := &x.at[s]
	room := x.room(s, v)
	l.cells[v] = cellOf(room)
	l.nodes[v] = x.grids[v][l.pool].add(l.cells[v], s, room)
}

func (x *Index) exit(s int32, v view) {
	l := &x.at[s]
	if moved := x.grids[v][l.pool].remove(l.cells[v], l.nodes[v]); moved != none {
		x.at[moved].nodes[v] = l.nodes[v]
	}
}
