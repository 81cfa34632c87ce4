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

// drain refuses new work from now on, since the worker will leave, and evicts the
// long-running tasks.
func (a *Agent) drain() {
	if a.draining {
		return
	}
	a.draining = true
	a.logNote("draining", string(a.inc), "the worker will leave")
	for _, t := range a.heldByUnsavedWork() {
		if t.order.LongRunning {
			a.count("evict", ReasonLeaving)
			a.stop(t, EndEvicted, "the worker will leave")
		}
	}
	a.expediteHeartbeats()
}

// handleWorkerGone records the tasks of a worker that has left as lost.
func (a *Agent) handleWorkerGone() {
	a.drain()
	a.logNote("worker gone", string(a.inc), "it has left")
	for _, t := range a.heldByUnsavedWork() {
		a.recordEnd(t, End{Attempt: t.order.Attempt, Kind: EndLost, Reason: "its worker has left"})
	}
}

// dcOut reports whether the VM's data centre is out, and until when tasks may run
// there.
func (a *Agent) dcOut() (bool, time.Time) {
	row, ok := a.config.dc(a.self.DC)
	if !ok || !row.Out {
		return false, time.Time{}
	}
	return true, row.Deadline
}
