package place

import "math/bits"

// Amounts are divided logarithmically into levels: all below the unit of
// their dimension are level 0, and each doubling from there has
// stepsPerDoubling levels.
const (
	stepBits         = 2
	stepsPerDoubling = 1 << stepBits
	levelCount       = 64

	millicoresBits = 6 // 64 millicores
	memoryBits     = 7 // 128 MB
)

// level returns the level of an amount whose unit is 1<<unitBits.
func level(amount int64, unitBits int) int8 {
	if amount < 1<<unitBits {
		return 0
	}
	n := bits.Len64(uint64(amount)) - 1
	step := int(amount>>(n-stepBits)) & (stepsPerDoubling - 1)
	return int8(min((n-unitBits)*stepsPerDoubling+step+1, levelCount-1))
}

// cell is a place in a grid: levels of millicores and of memory.
type cell struct {
	row, column int8
}

func cellOf(room Size) cell {
	return cell{level(room.Millicores, millicoresBits), level(room.MemoryMB, memoryBits)}
}

// grid holds workers by the cell of their room. Whatever fits a need is in
// the rows and columns from its cell upwards, and in all of these but the
// first row and the first column the processors and the memory do fit.
type grid struct {
	used uint64 // bit i is set if row i has workers
	rows [levelCount]row
}

type row struct {
	used  uint64 // bit i is set if column i has workers
	trees []tree // by column, nil before the row is first used
}

// add returns the position in the tree of the cell.
func (g *grid) add(c cell, slot int32, room Size) int32 {
	r := &g.rows[c.row]
	if r.trees == nil {
		r.trees = make([]tree, levelCount)
	}
	g.used |= 1 << c.row
	r.used |= 1 << c.column
	return r.trees[c.column].add(slot, room)
}

// remove returns the slot that has taken the position, or none.
func (g *grid) remove(c cell, i int32) int32 {
	r := &g.rows[c.row]
	t := &r.trees[c.column]
	moved := t.remove(i)
	if len(t.nodes) == 0 {
		r.used &^= 1 << c.column
	}
	if r.used == 0 {
		g.used &^= 1 << c.row
	}
	return moved
}

func (g *grid) update(c cell, i int32, room Size) {
	g.rows[c.row].trees[c.column].update(i, room)
}

// from returns the bits of the levels from lv upwards.
func from(used uint64, lv int8) uint64 {
	return used & (^uint64(0) << lv)
}
