package fake

import "time"

// queue orders what is to be done by time, and by arrival within the same
// time. The heap holds no pointers; the functions lie in slots.
type queue struct {
	heap  []item
	slots []func()
	free  []uint32
	seq   uint64
}

// item is something to be done at a time, in nanoseconds since Epoch.
type item struct {
	at   int64
	seq  uint64
	slot uint32
}

func (a item) before(b item) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}

func (q *queue) push(at time.Time, do func()) {
	q.seq++
	it := item{at: int64(at.Sub(Epoch)), seq: q.seq}
	if n := len(q.free); n > 0 {
		it.slot = q.free[n-1]
		q.free = q.free[:n-1]
		q.slots[it.slot] = do
	} else {
		it.slot = uint32(len(q.slots))
		q.slots = append(q.slots, do)
	}
	q.heap = append(q.heap, it)
	q.up(len(q.heap) - 1)
}

// pop takes the first item out.
func (q *queue) pop() (time.Time, func()) {
	it := q.heap[0]
	n := len(q.heap) - 1
	q.heap[0] = q.heap[n]
	q.heap = q.heap[:n]
	q.down(0)
	do := q.slots[it.slot]
	q.slots[it.slot] = nil
	q.free = append(q.free, it.slot)
	return Epoch.Add(time.Duration(it.at)), do
}

// first returns the time of the first item.
func (q *queue) first() (time.Time, bool) {
	if len(q.heap) == 0 {
		return time.Time{}, false
	}
	return Epoch.Add(time.Duration(q.heap[0].at)), true
}

func (q *queue) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !q.heap[i].before(q.heap[p]) {
			return
		}
		q.heap[i], q.heap[p] = q.heap[p], q.heap[i]
		i = p
	}
}

func (q *queue) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(q.heap) {
			return
		}
		if c+1 < len(q.heap) && q.heap[c+1].before(q.heap[c]) {
			c++
		}
		if !q.heap[c].before(q.heap[i]) {
			return
		}
		q.heap[i], q.heap[c] = q.heap[c], q.heap[i]
		i = c
	}
}
