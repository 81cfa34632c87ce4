package core

import "time"

// reconcileTasks compares what is held with the worker's account.
func (a *Agent) reconcileTasks(tasks []WorkerTask) {
	a.used, a.unmanaged = Size{}, Size{}
	for _, w := range tasks {
		a.used = a.used.Plus(w.Used)
		a.reconcileTask(w)
	}
	listed := make(map[Attempt]bool, len(tasks))
	for _, w := range tasks {
		listed[w.Attempt] = true
	}
	for _, t := range a.heldByUnsavedWork() {
		if !listed[t.order.Attempt] {
			a.handleUnlisted(t)
		}
	}
	a.makeRoom()
	a.paceBestEffort()
	a.rejoin()
}

func (a *Agent) reconcileTask(w WorkerTask) {
	t, ok := a.held[w.Attempt.Task]
	mine := ok && t.order.Attempt == w.Attempt
	if w.State == WorkerEnded {
		a.reconcileEnded(t, mine, w)
		return
	}
	if !mine && !ok && a.isOwn(w) && !a.launchesSettled() {
		t, mine = adoptedTask(w, a.at.Now.Add(a.pol.Lease)), true
		a.held[w.Attempt.Task] = t
	}
	if !mine {
		a.unmanaged = a.unmanaged.Plus(w.Size.Max(w.Used))
		a.stopAtWorker(w.Attempt, EndCancelled, "not admitted")
		return
	}
	if !t.listed {
		t.listed, t.started = true, true
		a.renewTask(t)
	}
	t.tailLatency, t.usedMillicores = w.TailLatency, w.Used.Millicores
	t.peakUsage = t.peakUsage.Max(w.Used)
	t.savedAt = latest(t.savedAt, w.Checkpointed)
	if t.stopping != "" && a.at.Now.Sub(t.stopSentAt) >= stopRetryInterval {
		a.stop(t, t.stopping, "again")
	}
}

// reconcileEnded takes the end of a task, and lets the worker forget one whose end
// is of no more use.
func (a *Agent) reconcileEnded(t *heldTask, mine bool, w WorkerTask) {
	if mine {
		e := w.End
		e.Attempt = w.Attempt
		if e.Kind == EndEvicted && t.stopping == EndCancelled {
			e.Kind = EndCancelled
		}
		a.recordEnd(t, e)
		if t.moved {
			a.emit(Control{Attempt: w.Attempt, Verb: VerbForget})
		}
		return
	}
	if _, ok := a.ends[w.Attempt]; ok {
		return
	}
	if !a.isOwn(w) || a.wasRecorded(w.Attempt) {
		a.emit(Control{Attempt: w.Attempt, Verb: VerbForget})
		return
	}
	e := w.End
	e.Attempt = w.Attempt
	a.ends[w.Attempt] = e
}

// isOwn reports whether a task was started by this incarnation, as far as the
// worker can tell: one that names no incarnations lists only tasks of its isOwn
// present life.
func (a *Agent) isOwn(w WorkerTask) bool { return w.Inc == a.inc || w.Inc == "" && a.pol.IncFromBoot }

// wasRecorded reports whether an ended attempt was reported and recorded by this
// life of the agent.
func (a *Agent) wasRecorded(t Attempt) bool {
	_, ok := a.tombstones[t]
	return ok
}

// handleUnlisted handles a held task that the worker doesn't list.
func (a *Agent) handleUnlisted(t *heldTask) {
	switch {
	case !t.launched:
	case t.listed:
		a.recordEnd(t, End{Attempt: t.order.Attempt, Kind: EndLost, Reason: "vanished from its worker"})
	case a.pol.StopUnanswered:
		a.settleLaunch(t)
	case a.at.Now.After(t.deadline.Add(a.pol.Drift)):
		a.recordEnd(t, End{Attempt: t.order.Attempt, Kind: EndLost, Reason: "never seen at its worker"})
	}
}

// settleLaunch settles a start that the worker does not list and that may still
// be on its way there. A stop makes the worker refuse it from then on; an account
// that was asked for after the stop shows whether it ran after all.
func (a *Agent) settleLaunch(t *heldTask) {
	overdue := a.at.Now.After(t.deadline.Add(a.pol.Drift))
	switch {
	case !t.stopAcceptedAt.IsZero() && a.inspectStartedAt.After(t.stopAcceptedAt):
		a.recordEnd(t, End{Attempt: t.order.Attempt, Kind: EndLost, Reason: "start unanswered, then stopped"})
	case t.stopping == "" && (overdue || !t.launchLostAt.IsZero() && a.inspectStartedAt.After(t.launchLostAt)):
		a.stop(t, EndEvicted, "start unanswered")
	case t.stopping != "" && t.stopAcceptedAt.IsZero() && a.at.Now.Sub(t.stopSentAt) >= stopRetryInterval:
		a.stop(t, t.stopping, "again")
	}
}

// workerTimeout is how long the worker may give no account of itself until the
// leases of its tasks are no longer renewed and new work goes elsewhere.
const workerTimeout = 2 * time.Second

// lostInspectFaults is the number of looks in a row that must fail before the tasks of
// a worker are given up; one may fail because the agent itself was paused.
const lostInspectFaults = 3

// maxLaunchDelay is how long after its deadline a worker may still carry out a start
// whose answer was lost: the platform delivers orders up to 12 s late. A task that
// the worker has listed can't be started by a late order any more.
const maxLaunchDelay = 13 * time.Second

// workerUnresponsive reports whether the worker's interface has stopped to answer.
func (a *Agent) workerUnresponsive() bool {
	return a.ready && a.at.Now.Sub(a.inspectedAt) > workerTimeout
}

// handleWorkerLost gives up the tasks of a worker that doesn't answer. Their leases
// were not renewed, so the worker itself has paused them at their deadlines.
func (a *Agent) handleWorkerLost() {
	if !a.workerUnresponsive() || a.inspectFaults < lostInspectFaults {
		return
	}
	for _, t := range a.heldByUnsavedWork() {
		over := t.deadline.Add(a.pol.Drift)
		if a.pol.StopUnanswered && !t.listed {
			over = over.Add(maxLaunchDelay)
		}
		if t.launched && a.at.Now.After(over) {
			a.recordEnd(t, End{Attempt: t.order.Attempt, Kind: EndLost, Reason: "its worker does not answer"})
		}
	}
}
