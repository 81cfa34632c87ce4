package core

import "time"

// matchTasks compares what is held with the worker's account.
func (a *Agent) matchTasks(tasks []WorkerTask) {
	a.used, a.stray = Size{}, Size{}
	for _, w := range tasks {
		a.used = a.used.Plus(w.Used)
		a.matchTask(w)
	}
	listed := make(map[Attempt]bool, len(tasks))
	for _, w := range tasks {
		listed[w.Attempt] = true
	}
	for _, t := range a.heldInOrder() {
		if !listed[t.order.Attempt] {
			a.missing(t)
		}
	}
	a.makeRoom()
	a.paceFillers()
	a.rejoin()
}

func (a *Agent) matchTask(w WorkerTask) {
	t, ok := a.held[w.Attempt.Task]
	mine := ok && t.order.Attempt == w.Attempt
	if w.State == WorkerEnded {
		a.matchEnded(t, mine, w)
		return
	}
	if !mine && !ok && a.own(w) && !a.settledIn() {
		t, mine = adopted(w, a.at.Now.Add(a.pol.Lease)), true
		a.held[w.Attempt.Task] = t
	}
	if !mine {
		a.stray = a.stray.Plus(w.Size.Max(w.Used))
		a.orderStop(w.Attempt, EndCancelled, "not admitted")
		return
	}
	if !t.listed {
		t.listed, t.started = true, true
		a.renewTask(t)
	}
	t.tail, t.used = w.TailLatency, w.Used.Millicores
	t.peak = t.peak.Max(w.Used)
	t.saved = latest(t.saved, w.Checkpointed)
	if t.stopping != "" && a.at.Now.Sub(t.stopSent) >= restopAfter {
		a.stop(t, t.stopping, "again")
	}
}

// matchEnded takes the end of a task, and lets the worker forget one whose end
// is of no more use.
func (a *Agent) matchEnded(t *heldTask, mine bool, w WorkerTask) {
	if mine {
		e := w.End
		e.Attempt = w.Attempt
		if e.Kind == EndEvicted && t.stopping == EndCancelled {
			e.Kind = EndCancelled
		}
		a.ended(t, e)
		if t.moved {
			a.emit(Control{Attempt: w.Attempt, Verb: VerbForget})
		}
		return
	}
	if _, ok := a.ends[w.Attempt]; ok {
		return
	}
	if !a.own(w) || a.knows(w.Attempt) {
		a.emit(Control{Attempt: w.Attempt, Verb: VerbForget})
		return
	}
	e := w.End
	e.Attempt = w.Attempt
	a.ends[w.Attempt] = e
}

// own reports whether a task was started by this incarnation, as far as the
// worker can tell: one that names no incarnations lists only tasks of its own
// present life.
func (a *Agent) own(w WorkerTask) bool { return w.Inc == a.inc || w.Inc == "" && a.pol.IncFromBoot }

// knows reports whether an ended attempt was reported and recorded by this
// life of the agent.
func (a *Agent) knows(t Attempt) bool {
	_, ok := a.tombstones[t]
	return ok
}

// missing handles a held task that the worker doesn't list.
func (a *Agent) missing(t *heldTask) {
	switch {
	case !t.launched:
	case t.listed:
		a.ended(t, End{Attempt: t.order.Attempt, Kind: EndLost, Reason: "vanished from its worker"})
	case a.pol.StopUnanswered:
		a.settleStart(t)
	case a.at.Now.After(t.deadline.Add(a.pol.Drift)):
		a.ended(t, End{Attempt: t.order.Attempt, Kind: EndLost, Reason: "never seen at its worker"})
	}
}

// settleStart settles a start that the worker does not list and that may still
// be on its way there. A stop makes the worker refuse it from then on; an account
// that was asked for after the stop shows whether it ran after all.
func (a *Agent) settleStart(t *heldTask) {
	overdue := a.at.Now.After(t.deadline.Add(a.pol.Drift))
	switch {
	case !t.stopped.IsZero() && a.inspectBegan.After(t.stopped):
		a.ended(t, End{Attempt: t.order.Attempt, Kind: EndLost, Reason: "start unanswered, then stopped"})
	case t.stopping == "" && (overdue || !t.cutAt.IsZero() && a.inspectBegan.After(t.cutAt)):
		a.stop(t, EndEvicted, "start unanswered")
	case t.stopping != "" && t.stopped.IsZero() && a.at.Now.Sub(t.stopSent) >= restopAfter:
		a.stop(t, t.stopping, "again")
	}
}

// workerSilent is how long the worker may give no account of itself until the
// leases of its tasks are no longer renewed and new work goes elsewhere.
const workerSilent = 2 * time.Second

// lostFaults is the number of looks in a row that must fail before the tasks of
// a worker are given up; one may fail because the agent itself was paused.
const lostFaults = 3

// lateMost is how long after its deadline a worker may still carry out a start
// whose answer was lost: the platform delivers orders up to 12 s late. A task that
// the worker has listed can't be started by a late order any more.
const lateMost = 13 * time.Second

// workerQuiet reports whether the worker's interface has stopped to answer.
func (a *Agent) workerQuiet() bool {
	return a.ready && a.at.Now.Sub(a.inspectedAt) > workerSilent
}

// workerLost gives up the tasks of a worker that doesn't answer. Their leases
// were not renewed, so the worker itself has paused them at their deadlines.
func (a *Agent) workerLost() {
	if !a.workerQuiet() || a.inspectFaults < lostFaults {
		return
	}
	for _, t := range a.heldInOrder() {
		over := t.deadline.Add(a.pol.Drift)
		if a.pol.StopUnanswered && !t.listed {
			over = over.Add(lateMost)
		}
		if t.launched && a.at.Now.After(over) {
			a.ended(t, End{Attempt: t.order.Attempt, Kind: EndLost, Reason: "its worker does not answer"})
		}
	}
}
