package core

// growth is how many times its declared size a task of a class uses.
type growth struct{ millicores, memory float64 }

// growthWeight is the weight of one more task in the growth of its class.
const growthWeight = 0.3

// learnGrowth takes what a task was seen to use into the growth of its class.
func (a *Agent) learnGrowth(t *heldTask) {
	d := t.order.Size
	if t.order.Urgent || t.peak == (Size{}) || d.Millicores <= 0 || d.MemoryMB <= 0 {
		return
	}
	seen := growth{
		millicores: float64(t.peak.Millicores) / float64(d.Millicores),
		memory:     float64(t.peak.MemoryMB) / float64(d.MemoryMB),
	}
	if old, ok := a.growth[t.order.Class]; ok {
		seen.millicores = old.millicores + growthWeight*(seen.millicores-old.millicores)
		seen.memory = old.memory + growthWeight*(seen.memory-old.memory)
	}
	a.growth[t.order.Class] = seen
}

// expected returns the size that a batch task is likely to grow to, or what it
// declared if this VM could never hold that.
func (a *Agent) expected(o Order) Size {
	g, ok := a.growth[o.Class]
	if !ok || o.Urgent {
		return o.Size
	}
	s := o.Size
	s.Millicores = int64(float64(s.Millicores) * max(g.millicores, 1))
	s.MemoryMB = int64(float64(s.MemoryMB) * max(g.memory, 1))
	if !s.Fits(a.capacity.Minus(a.reserved())) {
		return o.Size
	}
	return s
}
