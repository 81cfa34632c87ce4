package core

// usageRatio is the ratio of observed to declared usage of the tasks of a class.
type usageRatio struct{ millicores, memory float64 }

// usageRatioWeight is the weight of a new sample in the moving average of a usage
// ratio.
const usageRatioWeight = 0.3

// updateUsageRatio updates the usage ratio of a class from the peak usage of a
// task.
func (a *Agent) updateUsageRatio(t *heldTask) {
	d := t.order.Size
	if t.order.Urgent || t.peakUsage == (Size{}) || d.Millicores <= 0 || d.MemoryMB <= 0 {
		return
	}
	ratio := usageRatio{
		millicores: float64(t.peakUsage.Millicores) / float64(d.Millicores),
		memory:     float64(t.peakUsage.MemoryMB) / float64(d.MemoryMB),
	}
	if old, ok := a.usageRatios[t.order.Class]; ok {
		ratio.millicores = old.millicores + usageRatioWeight*(ratio.millicores-old.millicores)
		ratio.memory = old.memory + usageRatioWeight*(ratio.memory-old.memory)
	}
	a.usageRatios[t.order.Class] = ratio
}

// expectedSize returns the size that a batch task is likely to grow to, or its
// declared size if this VM could never hold that.
func (a *Agent) expectedSize(o Order) Size {
	ratio, ok := a.usageRatios[o.Class]
	if !ok || o.Urgent {
		return o.Size
	}
	s := o.Size
	s.Millicores = int64(float64(s.Millicores) * max(ratio.millicores, 1))
	s.MemoryMB = int64(float64(s.MemoryMB) * max(ratio.memory, 1))
	if !s.Fits(a.capacity.Minus(a.reservedByServices())) {
		return o.Size
	}
	return s
}
