package core

import "time"

// advanceDrain evicts tasks while the VM's data centre is out. They run until
// shortly before the deadline, so that those that end by then need not move.
// Without a deadline they run to their end.
func (a *Agent) advanceDrain() {
	out, deadline := a.dcOut()
	if !out || deadline.IsZero() {
		for _, t := range a.held {
			t.evictAt = time.Time{}
		}
		return
	}
	ts := a.heldByUnsavedWork()
	last := latest(a.at.Now, deadline.Add(-evictMargin))
	if a.pol.DrainAtOnce {
		last = a.at.Now
	}
	for i, t := range ts {
		if t.evictAt.IsZero() {
			t.evictAt = latest(a.at.Now, last.Add(-evictSpread*time.Duration(i)/time.Duration(len(ts))))
		}
		if t.stopping == "" && !t.evictAt.After(a.at.Now) {
			a.count("evict", ReasonLeaving)
			a.stop(t, EndEvicted, "data centre "+string(a.self.DC)+" is out")
		}
	}
}
