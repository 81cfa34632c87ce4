package core

import (
	"time"

	"jayloft/crash"
)

// noteWorkerDown records that a call to the worker has failed. If the worker has crashed, it
// did so between two times: the calls that fail first bound them closest.
func (a *Agent) noteWorkerDown(from, to time.Time) {
	if !a.ready || from.Before(a.inspectedAt) {
		return
	}
	if a.downSince.IsZero() {
		a.logEvent("worker down", string(a.inc), "held", len(a.held), "answered", a.at.Now.Sub(a.inspectedAt).String())
		a.expediteHeartbeats() // entries place no more tasks here
	}
	a.downSince, a.downBy = earliest(a.downSince, from), earliest(a.downBy, to)
	a.handBackUnlaunched()
}

// noteInspectFailed records a failed inspection. The worker may delay its answer until
// inspectUntil: a connection that breaks earlier breaks at the crash. Otherwise the worker may
// have been silent since it last answered any call.
func (a *Agent) noteInspectFailed() {
	if a.at.Now.Before(a.inspectUntil) {
		a.noteWorkerDown(a.at.Now, a.at.Now)
		return
	}
	a.noteWorkerDown(latest(a.inspectedAt, a.launchedAt), latest(a.inspectStartedAt, a.inspectUntil))
}

// handBackUnlaunched ends the tasks that were admitted and not launched while the worker is
// down: other workers can take them now.
func (a *Agent) handBackUnlaunched() {
	if !a.workerDown() {
		return
	}
	for _, t := range a.heldByUnsavedWork() {
		if !t.launched && t.stopping == "" {
			a.stop(t, EndEvicted, "its worker is down")
		}
	}
}

// launchMargin is how far apart launches may be that are sent at the same time.
const launchMargin = 10 * time.Millisecond

// mayHaveRun reports whether the worker may have run the task when it crashed. One that was
// launched after the crash and never confirmed can't have run.
func (t *heldTask) mayHaveRun(crashedAt time.Time) bool {
	return t.launched && (t.started || !t.launchedAt.After(crashedAt.Add(launchMargin)))
}

// crashedAt returns the estimated time of a crash that a new boot of the worker proves.
func (a *Agent) crashedAt() time.Time {
	if a.downSince.IsZero() {
		return a.at.Now
	}
	return a.downSince
}

// recordCrash ends the tasks that a crash of the worker has ended, with the evidence on
// which of them caused it. A worker that was about to leave has not crashed, and a task
// that was launched too late, or whose stop the worker had accepted, is not to blame.
// Tasks that were never launched are left to the entries.
func (a *Agent) recordCrash() {
	at := a.crashedAt()
	a.count("crash", ReasonWorker)
	a.logEvent("worker crashed", string(a.inc), "held", len(a.held), "draining", a.draining,
		"away", a.at.Now.Sub(at).String())
	evidence := a.crashEvidence(at)
	for _, t := range a.lost {
		a.recordLateCrash(t, evidence[t])
	}
	for _, t := range a.heldByUnsavedWork() {
		if !t.launched || t.stale {
			continue
		}
		e := End{Attempt: t.order.Attempt, Kind: EndCrashed, Reason: "its worker crashed", Saved: t.saved, Crash: evidence[t]}
		if a.draining || t.wasStopped(at) || !t.mayHaveRun(at) {
			e.Kind, e.Reason = EndLost, "its worker was restarted"
		}
		a.logEvent("run crashed", t.order.Attempt.String(), "ran", e.Crash.Ran.String(), "alone", e.Crash.Alone,
			"image", t.order.Class)
		a.recordEnd(t, e)
	}
}

// recordLateCrash reports the crash that has ended a task which was reported as lost before
// the worker came back.
func (a *Agent) recordLateCrash(t *heldTask, e crash.Evidence) {
	if a.draining || t.moved {
		return
	}
	a.logEvent("run crashed", t.order.Attempt.String(), "ran", e.Ran.String(), "alone", e.Alone, "image", t.order.Class)
	a.ends[t.order.Attempt] = End{
		Attempt: t.order.Attempt, Kind: EndCrashed, Reason: "its worker crashed", Saved: t.saved, Crash: e, Started: t.started,
	}
	a.lateEnds[t.order.Attempt] = a.at.Now
	a.reportEnd(t.order.By)
}

// atCrash returns the tasks that the worker may have run when it crashed.
func (a *Agent) atCrash(at time.Time) []*heldTask {
	var ts []*heldTask
	for _, t := range append(a.heldByUnsavedWork(), a.lost...) {
		if t.mayHaveRun(at) {
			ts = append(ts, t)
		}
	}
	return ts
}

// crashEvidence returns the evidence about each launched task for a crash at a time. That
// about an isolated task, which may be given up for it, counts up to the latest time at which
// the crash may have been.
func (a *Agent) crashEvidence(at time.Time) map[*heldTask]crash.Evidence {
	ran := map[JobID]time.Duration{} // the shortest run of each job
	for _, t := range a.atCrash(at) {
		job := t.order.Attempt.Task.Job
		if d, ok := ran[job]; !ok || t.ranUntil(at) < d {
			ran[job] = t.ranUntil(at)
		}
	}
	evidence := make(map[*heldTask]crash.Evidence, len(a.held))
	for _, t := range a.atCrash(at) {
		e := crash.Evidence{Ran: t.ranUntil(at), Alone: t.order.Isolated}
		if t.order.Isolated {
			e.Ran = t.ranUntil(latest(at, a.downBy))
		}
		for job, d := range ran {
			if job != t.order.Attempt.Task.Job && !crash.Outlived(d, e.Ran) {
				e.Alone = false
			}
		}
		evidence[t] = e
	}
	return evidence
}

// wasStopped reports whether the worker had accepted a stop of the task by a time.
func (t *heldTask) wasStopped(at time.Time) bool {
	return !t.stopAcceptedAt.IsZero() && !t.stopAcceptedAt.After(at)
}

// ranUntil returns how long before a time the task was launched; zero if it was not.
func (t *heldTask) ranUntil(at time.Time) time.Duration {
	if !t.launched || t.launchedAt.After(at) {
		return 0
	}
	return at.Sub(t.launchedAt)
}
