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

// handleWorkerGone handles a worker's notice that it leaves. The notice may be late, and of
// an earlier incarnation: the tasks of a worker with fenced calls are lost only once it
// accepts no connections.
func (a *Agent) handleWorkerGone() {
	if !a.pol.FencedCalls {
		a.drain()
		a.loseLeft()
		return
	}
	a.leftAt = a.at.Now
	a.nextInspect = a.at.Now
	a.expediteHeartbeats()
}

// leftTimeout is how long a worker may answer after its notice that it leaves. One that answers
// later has not left.
const leftTimeout = 2 * time.Second

// checkLeft handles the result of an inspection of a worker that has said that it leaves.
func (a *Agent) checkLeft(f Fault) {
	switch {
	case a.leftAt.IsZero():
	case f == FaultNotSent:
		a.draining, a.leftAt = true, time.Time{}
		a.loseLeft()
	case f == FaultNone && a.at.Now.Sub(a.leftAt) > leftTimeout:
		a.logNote("worker stays", string(a.inc), "it answers after its notice that it leaves")
		a.leftAt = time.Time{}
	}
}

// loseLeft records the tasks of a worker that has left as lost. Its process is over.
func (a *Agent) loseLeft() {
	a.logNote("worker gone", string(a.inc), "it has left")
	a.calls.forgetUnanswered()
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
