package place

import "math/bits"

// Amounts are quantized into levels on a logarithmic scale. Amounts below the
// unit of their dimension are level 0; above it, each doubling spans
// stepsPerDoubling levels.
const (
	stepBits         = 2
	stepsPerDoubling = 1 << stepBits
	levelCount       = 64

	millicoresBits = 6 // the unit is 64 millicores
	memoryBits     = 7 // the unit is 128 MB
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

// cell is a position in a grid: a level of millicores and a level of memory.
type cell struct {
	row, column int8
}

func cellOf(room Size) cell {
	return cell{level(room.Millicores, millicoresBits), level(room.MemoryMB, memoryBits)}
}

// grid stores workers by the cell of their room. All workers that fit a need
// are in the rows and columns from the need's cell upwards. Beyond that first
// row the millicores are sure to fit, and beyond that first column the memory.
type grid struct {
	used uint64 // bit i is set if row i is not empty
	rows [levelCount]row
}

type row struct {
	used  uint64 // bit i is set if column i is not empty
	trees []tree // by column; nil until the row is first used
}

// add adds the worker to the cell's tree and returns its node there.
func (g *grid) add(c cell, slot int32, room Size) int32 {
	r := &g.rows[c.row]
	if r.trees == nil {
		r.trees = make([]tree, levelCount)
	}
	g.used |= 1 << c.row
	r.used |= 1 << c.column
	return r.trees[c.column].add(slot, room)
}

// remove deletes node i of the cell's tree and returns the slot of the worker
// that was moved into its place, or none.
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

// levelsFrom returns the bits of used for level lv and above.
func levelsFrom(used uint64, lv int8) uint64 {
	return used & (^uint64(0) << lv)
}
