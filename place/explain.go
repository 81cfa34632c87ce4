package place

import (
	"fmt"
	"slices"
)

// Tally counts workers by the reason that they can't take a need. Each worker
// is counted once, under the first reason that applies.
type Tally struct {
	TooSmall       int // the need exceeds the capacity
	Closed         int
	Excluded       int
	Full           int // no room, even if all batch tasks were preempted
	NeedPreemption int // room only if batch tasks are preempted
	Fit            int // room without preemption
}

// Explain counts all workers by the reason that they can't take the need. It
// examines every worker and is meant for reports to operators.
func (x *Index) Explain(n Need) Tally {
	var t Tally
	for id, s := range x.slots {
		w := &x.workers[s]
		switch {
		case !n.Size.Fits(w.Capacity):
			t.TooSmall++
		case w.Closed:
			t.Closed++
		case slices.Contains(n.Exclude, id):
			t.Excluded++
		case n.Size.Fits(x.room(s, viewFree)):
			t.Fit++
		case n.Size.Fits(x.room(s, viewPreempt)):
			t.NeedPreemption++
		default:
			t.Full++
		}
	}
	return t
}

// String returns the counts as a sentence for operators.
func (t Tally) String() string {
	return fmt.Sprintf("%d workers have room, %d only after preempting batch tasks; %d full, %d closed, %d excluded, %d too small",
		t.Fit, t.NeedPreemption, t.Full, t.Closed, t.Excluded, t.TooSmall)
}
