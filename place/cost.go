package place

// Weights of the parts of a worker's cost, in units of the difference between
// an empty and a full worker.
const (
	weightPreempt     = 4.0 // per fraction of the worker that must be preempted
	weightSameDC      = 1.0 // per fraction of the owner's tasks in the data centre
	weightSameRack    = 1.0 // per task of the owner in the rack
	weightSameVM      = 2.0 // per task of the owner on the worker
	weightRamp        = 2.0 // above the ramp-up share, of 1 + the utilization in excess
	negligiblePenalty = 0.05
)

// workerCost returns the cost of placing the need on the worker. The worker is
// good if its penalty is negligible and it stays within its ramp-up share.
func (s *search) workerCost(slot int32) (cost float64, good bool) {
	w := &s.x.workers[slot]
	after := w.Committed.Plus(s.need.Size)
	if s.view == viewSlack {
		after = after.Minus(w.Slack)
	}
	used := fraction(after, w.Capacity)
	cost = w.Penalty
	ramp := used - w.share()
	if w.share() < 1 && ramp > 0 {
		cost += weightRamp * (1 + ramp)
	}
	good = w.Penalty <= negligiblePenalty && cost == w.Penalty
	if s.view == viewPreempt {
		cost += weightPreempt * excess(after, w.Capacity)
	}
	if !s.need.Spread {
		return cost + leftover(after, w.Capacity), good
	}
	l := &s.x.locations[slot]
	if s.owner != nil {
		on, inRack := s.owner.countsNear(s.x.ids[slot], l.rack)
		cost += weightSameVM*float64(on) + weightSameRack*float64(inRack)
		cost += weightSameDC * float64(s.owner.inDC(int(l.dc))) / float64(s.owner.tasks)
	}
	return cost + used/w.share(), good
}

// fraction returns the dominant share: the largest fraction of capacity that
// is used in any dimension (Ghodsi et al., "Dominant resource fairness", NSDI
// 2011).
func fraction(used, capacity Size) float64 {
	return max(
		ratio(used.Millicores, capacity.Millicores),
		ratio(used.MemoryMB, capacity.MemoryMB),
		ratio(used.Accelerators, capacity.Accelerators),
	)
}

// excess returns the sum over the dimensions of the fraction by which used
// exceeds the capacity.
func excess(used, capacity Size) float64 {
	return max(ratio(used.Millicores, capacity.Millicores)-1, 0) +
		max(ratio(used.MemoryMB, capacity.MemoryMB)-1, 0) +
		max(ratio(used.Accelerators, capacity.Accelerators)-1, 0)
}

// leftover returns the mean square of the fractions left free, according to
// the norm-based greedy rule of Panigrahy et al., "Heuristics for vector bin
// packing" (Microsoft Research, 2011). Dimensions without capacity don't count.
func leftover(used, capacity Size) float64 {
	c := 1 - ratio(used.Millicores, capacity.Millicores)
	m := 1 - ratio(used.MemoryMB, capacity.MemoryMB)
	if capacity.Accelerators == 0 {
		return (c*c + m*m) / 2
	}
	a := 1 - ratio(used.Accelerators, capacity.Accelerators)
	return (c*c + m*m + a*a) / 3
}

func ratio(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}
