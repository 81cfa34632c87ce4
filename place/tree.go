package place

// none is the slot that stands for no worker.
const none int32 = 0

// tree is a complete binary tree in a slice: the children of node i are
// 2i+1 and 2i+2. Each node holds one worker and, for its whole subtree, an
// upper bound of the room in each dimension, so that a search can skip
// subtrees in which nothing fits.
type tree struct {
	nodes []node
}

type node struct {
	room  Size // of the worker
	bound Size // maximum over the subtree in each dimension
	slot  int32
}

// add returns the position of the new node.
func (t *tree) add(slot int32, room Size) int32 {
	i := int32(len(t.nodes))
	t.nodes = append(t.nodes, node{room: room, bound: room, slot: slot})
	t.raise(parent(i))
	return i
}

// remove deletes node i. The last node takes its place; remove returns the
// slot of that one, or none if i was the last one itself.
func (t *tree) remove(i int32) int32 {
	last := int32(len(t.nodes)) - 1
	n := t.nodes[last]
	t.nodes = t.nodes[:last]
	t.raise(parent(last))
	if i == last {
		return none
	}
	t.nodes[i].slot = n.slot
	t.update(i, n.room)
	return n.slot
}

func (t *tree) update(i int32, room Size) {
	t.nodes[i].room = room
	t.raise(i)
}

// raise computes the bounds of node i and its ancestors anew, up to the first
// that stays as it was.
func (t *tree) raise(i int32) {
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

// parent returns -1 for the root.
func parent(i int32) int32 {
	if i == 0 {
		return -1
	}
	return (i - 1) / 2
}
