package place

import "math/bits"

// Levels divide the free millicores logarithmically: everything below
// firstLevel is level 0, and each doubling from there has stepsPerDoubling
// levels.
const (
	firstLevelBits   = 6 // 64 millicores
	stepBits         = 2
	stepsPerDoubling = 1 << stepBits
	levelCount       = 64
)

// level returns the level of a worker with that much room. It grows with the
// free millicores.
func level(room Size) int8 {
	if room.Millicores < 1<<firstLevelBits {
		return 0
	}
	n := bits.Len64(uint64(room.Millicores)) - 1
	step := int(room.Millicores>>(n-stepBits)) & (stepsPerDoubling - 1)
	return int8(min((n-firstLevelBits)*stepsPerDoubling+step+1, levelCount-1))
}

// levels keeps the root of one tree of workers for each level.
type levels struct {
	used  uint64 // bit i is set if roots[i] is not none
	roots [levelCount]int32
}

// none is the slot that stands for no worker.
const none int32 = 0

// forest holds the nodes of all trees of one view, by slot. Each tree is a
// treap (Seidel and Aragon, "Randomized search trees", Algorithmica 16, 1996)
// ordered by free memory in which each node knows the most of everything that
// is free in its subtree: a priority search tree, which finds a worker with enough of both memory and processors, or that there is
// none, in logarithmic time (McCreight, SIAM J. Comput. 14(2), 1985).
type forest []node

type node struct {
	room        Size
	bound       Size // maximum over the subtree in each dimension
	left, right int32
	priority    uint32
}

// less orders nodes by free memory and then by slot.
func (f forest) less(a, b int32) bool {
	if f[a].room.MemoryMB != f[b].room.MemoryMB {
		return f[a].room.MemoryMB < f[b].room.MemoryMB
	}
	return a < b
}

// add inserts the slot with its room into the tree.
func (f forest) add(root, slot int32, room Size) int32 {
	f[slot] = node{room: room, bound: room, priority: uint32(mix(uint64(slot)))}
	return f.insert(root, slot)
}

func (f forest) insert(root, slot int32) int32 {
	if root == none {
		return slot
	}
	if f[slot].priority > f[root].priority {
		f[slot].left, f[slot].right = f.split(root, slot)
		f.sum(slot)
		return slot
	}
	if f.less(slot, root) {
		f[root].left = f.insert(f[root].left, slot)
	} else {
		f[root].right = f.insert(f[root].right, slot)
	}
	f.sum(root)
	return root
}

// remove takes the slot, which must be in it, out of the tree.
func (f forest) remove(root, slot int32) int32 {
	if root == slot {
		return f.merge(f[root].left, f[root].right)
	}
	if f.less(slot, root) {
		f[root].left = f.remove(f[root].left, slot)
	} else {
		f[root].right = f.remove(f[root].right, slot)
	}
	f.sum(root)
	return root
}

// split divides the tree into the nodes before the slot and those after it.
func (f forest) split(root, slot int32) (before, after int32) {
	if root == none {
		return none, none
	}
	if f.less(root, slot) {
		f[root].right, after = f.split(f[root].right, slot)
		before = root
	} else {
		before, f[root].left = f.split(f[root].left, slot)
		after = root
	}
	f.sum(root)
	return before, after
}

// merge joins two trees, all nodes of a being before those of b.
func (f forest) merge(a, b int32) int32 {
	if a == none {
		return b
	}
	if b == none {
		return a
	}
	if f[a].priority > f[b].priority {
		f[a].right = f.merge(f[a].right, b)
		f.sum(a)
		return a
	}
	f[b].left = f.merge(a, f[b].left)
	f.sum(b)
	return b
}

// sum computes the maxima of the subtree from the node and its children.
func (f forest) sum(i int32) {
	n := &f[i]
	n.bound = n.room
	if n.left != none {
		n.bound = n.bound.Max(f[n.left].bound)
	}
	if n.right != none {
		n.bound = n.bound.Max(f[n.right].bound)
	}
}

// mix is the finalizer of splitmix64 (Steele, Lea and Flood, "Fast splittable
// pseudorandom number generators", OOPSLA 2014).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
