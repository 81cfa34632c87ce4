package place

import (
	"fmt"
	"slices"
)

// Tally counts the workers by what keeps a need from them. Each worker is
// counted once, under the first cause that applies in the order of fields.
type Tally struct {
	TooSmall int // could not hold the need if empty
	Closed   int
	Avoided  int
	Full     int // no room, not even with the batch tasks gone
	Batch    int // room only with batch tasks gone
	Fit      int // room now
}

// Explain counts all workers by what keeps the need from them. It looks at
// each worker and is meant for reports to operators.
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
			t.Avoided++
		case n.Size.Fits(x.room(s, viewFree)):
			t.Fit++
		case n.Size.Fits(x.room(s, viewReclaim)):
			t.Batch++
		default:
			t.Full++
		}
	}
	return t
}

// String returns the counts as a sentence for operators.
func (t Tally) String() string {
	return fmt.Sprintf("%d workers have room, %d only without their batch tasks; %d full, %d closed, %d to avoid, %d too small",
		t.Fit, t.Batch, t.Full, t.Closed, t.Avoided, t.TooSmall)
}
