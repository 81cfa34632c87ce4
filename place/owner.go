package place

// owner counts where the tasks of one job are.
type owner struct {
	tasks   int
	dcs     []int
	racks   map[int32]int
	workers map[string]holding
}

// holding is the tasks of one owner on one worker.
type holding struct {
	dc, rack int32
	tasks    int
}

// Assign notes that a task of the owner is on the worker; picks that spread
// keep that owner's further tasks apart from it. Unknown workers are ignored.
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
		o = &owner{racks: make(map[int32]int), workers: make(map[string]holding)}
		x.owners[name] = o
	}
	l := &x.at[s]
	h, ok := o.workers[id]
	if !ok {
		h = holding{dc: l.dc, rack: l.rack}
	}
	h.tasks++
	o.workers[id] = h
	o.add(h, 1)
}

// Unassign undoes one Hold, also after the worker was removed. Without a Hold
// to undo it does nothing.
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

// add changes the counts of the data centre and the rack by n tasks.
func (o *owner) add(h holding, n int) {
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

// inDC returns how many tasks the owner has in the data centre.
func (o *owner) inDC(dc int) int {
	if o == nil || dc >= len(o.dcs) {
		return 0
	}
	return o.dcs[dc]
}

// near returns how many tasks the owner has on the worker and in its rack.
func (o *owner) near(id string, rack int32) (worker, inRack int) {
	return o.workers[id].tasks, o.racks[rack]
}
