package core

import (
	"cmp"
	"slices"
	"time"
)

// reconcileTasks compares the held tasks with those that the worker lists.
func (a *Agent) reconcileTasks(ev Inspected) {
	a.used, a.unmanaged = Size{}, Size{}
	for _, w := range ev.Tasks {
		a.used = a.used.Plus(w.Used)
		a.reconcileTask(w)
	}
	if !ev.Partial {
		a.reconcileUnlisted(ev)
	}
	a.makeRoom()
	a.paceBestEffort()
	a.rejoin()
}

// reconcileUnlisted handles the held tasks that are not among those that the worker lists.
// Nothing is known of one whose state can't be read.
func (a *Agent) reconcileUnlisted(ev Inspected) {
	listed := make(map[Attempt]bool, len(ev.Tasks))
	for _, w := range ev.Tasks {
		listed[w.Attempt] = true
	}
	for _, t := range a.heldByUnsavedWork() {
		if !listed[t.order.Attempt] && !slices.Contains(ev.Unread, t.order.Attempt.Task) {
			a.handleUnlisted(t)
		}
	}
}

// reconcileTask matches one task that the worker lists with the held ones. A
// running task that was not admitted is stopped.
func (a *Agent) reconcileTask(w WorkerTask) {
	t, ok := a.held[w.Attempt.Task]
	isHeld := ok && t.order.Attempt == w.Attempt
	if w.State == WorkerEnded {
		a.reconcileEnded(t, isHeld, w)
		return
	}
	if !isHeld && !ok && a.isOwn(w) && !a.launchesSettled() {
		t, isHeld = adoptedTask(w, a.at.Now.Add(a.pol.Lease)), true
		a.held[w.Attempt.Task] = t
	}
	if !isHeld {
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
	t.saved = cmp.Or(w.Saved, t.saved)
	if t.speedUnconfirmed && t.stopping == "" {
		a.setSpeed(t, t.percent)
	}
	if t.stopping != "" && a.at.Now.Sub(t.stopSentAt) >= stopRetryInterval {
		a.stop(t, t.stopping, "again")
	}
}

// reconcileEnded records the end of a task, and lets the worker forget a task
// whose end is no longer needed.
func (a *Agent) reconcileEnded(t *heldTask, isHeld bool, w WorkerTask) {
	if isHeld {
		t.started = true
		e := w.End
		e.Attempt = w.Attempt
		if e.Kind == EndEvicted && t.stopping == EndCancelled {
			e.Kind = EndCancelled
		}
		a.recordEnd(t, e)
		if t.moved && !e.outlastsIncarnation() {
			a.emit(Control{Attempt: w.Attempt, Verb: VerbForget})
		}
		return
	}
	done := w.End.Kind == EndDone
	if known, ok := a.ends[w.Attempt]; ok && (known.Kind == EndDone || !done) {
		return
	}
	if !a.isOwn(w) || a.wasRecorded(w.Attempt) && !done {
		a.emit(Control{Attempt: w.Attempt, Verb: VerbForget})
		return
	}
	// A run that is done may have been reported as lost before.
	e := w.End
	e.Attempt, e.Started = w.Attempt, true
	a.ends[w.Attempt], a.lateEnds[w.Attempt] = e, a.at.Now
}

// isOwn reports whether a task was started by this incarnation, as far as the
// worker can tell. A worker that does not report incarnations lists only tasks of
// its present boot.
func (a *Agent) isOwn(w WorkerTask) bool { return w.Inc == a.inc || w.Inc == "" && a.pol.IncFromBoot }

// wasRecorded reports whether the end of an attempt was reported and recorded
// during this run of the agent.
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
	case a.pol.FencedCalls:
		a.settleLaunch(t)
	case a.at.Now.After(t.deadline.Add(a.pol.Drift)):
		a.recordEnd(t, End{Attempt: t.order.Attempt, Kind: EndLost, Reason: "never seen at its worker"})
	}
}

// settleLaunch settles a launch whose task the worker does not list, once it can take no
// effect any more.
func (a *Agent) settleLaunch(t *heldTask) {
	switch {
	case !a.calls.isSettled(t.epoch):
	case t.started:
		a.recordEnd(t, End{Attempt: t.order.Attempt, Kind: EndLost, Reason: "vanished from its worker"})
	default:
		a.undoLaunch(t)
	}
}

// undoLaunch takes back a launch that has had no effect and never will. The task is launched
// again within its permit, unless it is to stop.
func (a *Agent) undoLaunch(t *heldTask) {
	a.logEvent("start void", t.order.Attempt.String(), "epoch", t.epoch, "stopping", string(t.stopping))
	t.launched = false
	if t.stopping == "" {
		return
	}
	kind := t.stopping
	t.stopping = ""
	a.stop(t, kind, "never started")
}

// workerTimeout is the time without a successful inspection after which the leases
// of tasks are no longer renewed and new work goes to other workers.
const workerTimeout = 2 * time.Second

// lostInspectFaults is the number of consecutive inspections that must fail before
// the tasks of a worker are recorded as lost. A single one may fail because the
// agent itself was paused.
const lostInspectFaults = 3

// maxCallDelay is how late a worker may carry out a call that it has not answered, and the
// time of the deadline that the call carries may count from then on. The platform delivers
// calls up to 12 s late.
const maxCallDelay = 13 * time.Second

// runsUntil returns the time until which the worker may run a task if it carries out all
// calls in time.
func (a *Agent) runsUntil(t *heldTask) time.Time {
	if a.pol.FencedCalls {
		return a.grantedUntil
	}
	return t.deadline
}

// workerDown reports whether the last call to the worker failed. It may be for a moment only,
// but an order that another worker can take should not wait for that.
func (a *Agent) workerDown() bool { return a.ready && !a.downSince.IsZero() }

// workerUnresponsive reports whether the worker's API has stopped answering.
func (a *Agent) workerUnresponsive() bool {
	return a.ready && a.at.Now.Sub(a.inspectedAt) > workerTimeout
}

// handleWorkerLost records the tasks of a worker that does not answer as lost, once it has
// ended or paused them by itself since their leases were not renewed.
func (a *Agent) handleWorkerLost() {
	if !a.workerUnresponsive() || a.inspectFaults < lostInspectFaults {
		return
	}
	for _, t := range a.heldByUnsavedWork() {
		lostAfter := latest(a.runsUntil(t), a.calls.extendedLateUntil()).Add(a.pol.Drift)
		if t.launched && a.at.Now.After(lostAfter) {
			a.lost = append(a.lost, t)
			a.recordEnd(t, End{Attempt: t.order.Attempt, Kind: EndLost, Reason: "its worker does not answer"})
		}
	}
}
