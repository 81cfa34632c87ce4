package place

// none is the slot number that means no worker.
const none int32 = 0

// tree is a complete binary tree in a slice: the children of node i are
// 2i+1 and 2i+2. Each node holds one worker and the maximum room of its
// subtree in each dimension, so that a search can skip subtrees in which
// nothing fits.
type tree struct {
	nodes []node
}

type node struct {
	room  Size // of the worker
	bound Size // maximum over the subtree in each dimension
	slot  int32
}

// add appends a node for the worker and returns its index.
func (t *tree) add(slot int32, room Size) int32 {
	i := int32(len(t.nodes))
	t.nodes = append(t.nodes, node{room: room, bound: room, slot: slot})
	t.updateBounds(parent(i))
	return i
}

// remove deletes node i by moving the last node into its place. It returns the
// slot of the moved node, or none if i was the last one.
func (t *tree) remove(i int32) int32 {
	last := int32(len(t.nodes)) - 1
	n := t.nodes[last]
	t.nodes = t.nodes[:last]
	t.updateBounds(parent(last))
	if i == last {
		return none
	}
	t.nodes[i].slot = n.slot
	t.update(i, n.room)
	return n.slot
}

func (t *tree) update(i int32, room Size) {
	t.nodes[i].room = room
	t.updateBounds(i)
}

// updateBounds recomputes the bounds of node i and its ancestors, up to the
// first whose bound does not change.
func (t *tree) updateBounds(i int32) {
	for ; i >= 0; i = parent(i) {
		n := &t.nodes[i]
		b := n.room
		for c := 2*i + 1; c <= 2*i+2 && int(c) < len(t.nodes); c++ {
			b = b.Max(t.nodes[c].bound)
		}
		if n.bound == b {
			return
		}
		n.bound = b
	}
}

// parent returns the index of the parent of node i, or -1 for the root.
func parent(i int32) int32 {
	if i == 0 {
		return -1
	}
	return (i - 1) / 2
}
