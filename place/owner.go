package place

// owner counts the tasks of one job by data centre, rack and worker.
type owner struct {
	tasks   int
	dcs     []int
	racks   map[int32]int
	workers map[string]ownerTasks
}

// ownerTasks counts the tasks of one owner on one worker. It stores the
// location so that the counts can be undone after the worker was removed.
type ownerTasks struct {
	dc, rack int32
	tasks    int
}

// Assign records a task of the owner on the worker. Spread placement keeps
// further tasks of that owner away from it. Unknown workers are ignored.
func (x *Index) Assign(name, id string) {
	s, ok := x.slots[id]
	if !ok {
		return
	}
	o := x.owners[name]
	if o == nil {
		if x.owners == nil {
			x.owners = make(map[string]*owner)
		}
		o = &owner{racks: make(map[int32]int), workers: make(map[string]ownerTasks)}
		x.owners[name] = o
	}
	l := &x.locations[s]
	h, ok := o.workers[id]
	if !ok {
		h = ownerTasks{dc: l.dc, rack: l.rack}
	}
	h.tasks++
	o.workers[id] = h
	o.add(h, 1)
}

// Unassign undoes one Assign, even after the worker was removed. Without a
// matching Assign it does nothing.
func (x *Index) Unassign(name, id string) {
	o := x.owners[name]
	if o == nil {
		return
	}
	h, ok := o.workers[id]
	if !ok {
		return
	}
	o.add(h, -1)
	h.tasks--
	o.workers[id] = h
	if h.tasks == 0 {
		delete(o.workers, id)
	}
	if o.tasks == 0 {
		delete(x.owners, name)
	}
}

// add changes the totals of the owner, the data centre and the rack by n tasks.
func (o *owner) add(h ownerTasks, n int) {
	for int(h.dc) >= len(o.dcs) {
		o.dcs = append(o.dcs, 0)
	}
	o.tasks += n
	o.dcs[h.dc] += n
	o.racks[h.rack] += n
	if o.racks[h.rack] == 0 {
		delete(o.racks, h.rack)
	}
}

// inDC returns the number of the owner's tasks in the data centre; 0 for a nil
// owner.
func (o *owner) inDC(dc int) int {
	if o == nil || dc >= len(o.dcs) {
		return 0
	}
	return o.dcs[dc]
}

// countsNear returns the numbers of the owner's tasks on the worker and in its
// rack.
func (o *owner) countsNear(id string, rack int32) (worker, inRack int) {
	return o.workers[id].tasks, o.racks[rack]
}
