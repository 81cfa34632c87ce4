package core

import (
	"slices"
	"sort"
	"time"

	"jayloft/place"
)

// A task avoids some workers: those on which it has failed, those that have refused, lost or
// delayed tasks of its job lately, and those in quarantine. That is a preference. With no other
// worker to run on, or after a long wait for one, it runs on a worker that it avoids rather than
// nowhere.

const (
	// avoidedWait is how long a task that has failed waits for room on other workers while a
	// site that is not busy has room only where it has failed.
	avoidedWait = 1500 * time.Millisecond
	// refusedWait is how long a task waits before it goes back to a worker that has just refused
	// it, or to one in quarantine, with no other worker to run on.
	refusedWait = time.Second
	// maxAvoidedWait is how long a task avoids workers at all.
	maxAvoidedWait = 10 * time.Second
	// maxFailedOn bounds TaskRow.FailedOn, unless Policy.ParkFailures is more.
	maxFailedOn = 8
)

// pickAvoided chooses a worker that a task avoids, if it has waited for another one for long
// enough. Of those that it has failed on, the one where that is longest ago comes first.
func (e *Entry) pickAvoided(need place.Need, j *jobView, q queuedTask, st StepSpec) (WorkerID, bool) {
	n := q.task.N
	failedOn := j.row.Tasks[n].FailedOn
	if len(failedOn) == 0 && len(j.avoidUntil) == 0 && !e.mayUseQuarantined(q) {
		return "", false
	}
	unfit := e.unfit(j, n, st)
	waited := e.at.Now.Sub(q.since)
	if len(failedOn) > 0 && e.mayReturn(st, slices.Concat(unfit, workerNames(failedOn)), waited) {
		for i := range failedOn {
			need.Exclude = slices.Concat(unfit, e.refusing(j), workerNames(failedOn[i+1:]))
			if id, ok := e.pickOne(need, j, q, st); ok {
				return id, true
			}
		}
	}
	if waited < refusedWait {
		return "", false
	}
	need.Exclude = unfit
	if len(j.avoidUntil) > 0 && !e.hasWorkerFor(st, slices.Concat(unfit, e.refusing(j))) {
		if id, ok := e.pickOne(need, j, q, st); ok {
			return id, true
		}
	}
	if !e.mayUseQuarantined(q) {
		return "", false
	}
	return e.pickInQuarantine(need, st, workerNames(failedOn), waited)
}

// mayReturn reports whether a task may run on a worker on which it has failed: no other worker
// could hold it, or it has waited for room on the others for long enough.
func (e *Entry) mayReturn(st StepSpec, avoided []string, waited time.Duration) bool {
	switch {
	case waited >= maxAvoidedWait:
		return true
	case waited >= avoidedWait && e.index.NonPreemptibleFraction() < busySiteUtilization:
		return true
	}
	return !e.hasWorkerFor(st, avoided)
}

// hasWorkerFor reports whether a worker that is in use, and not among the excluded ones, could
// hold a task of the step if it were empty.
func (e *Entry) hasWorkerFor(st StepSpec, excluded []string) bool {
	return slices.ContainsFunc(e.workerIDs(), func(id WorkerID) bool {
		w := e.workers[id]
		_, ok := e.usable(w)
		return ok && !w.heartbeat.LeaseLapsed && !w.failures.isQuarantined(e.at.Now) &&
			st.Reserved().Fits(w.heartbeat.Capacity) && !slices.Contains(excluded, string(id))
	})
}

// pickInQuarantine chooses a worker in quarantine with room for a task, one on which it has not
// failed if there is any. It does so if no other worker could hold the task, or after a long wait
// on a site that is not busy.
func (e *Entry) pickInQuarantine(need place.Need, st StepSpec, failedOn []string, waited time.Duration) (WorkerID, bool) {
	need.Size = st.Reserved()
	idle := waited >= maxAvoidedWait && e.index.NonPreemptibleFraction() < busySiteUtilization
	if !idle && e.hasWorkerFor(st, need.Exclude) {
		return "", false
	}
	elsewhere := need
	elsewhere.Exclude = slices.Concat(need.Exclude, failedOn)
	for _, n := range []place.Need{elsewhere, need} {
		if id, ok := e.pickQuarantined(n); ok && n.Size.Fits(e.workers[id].free()) {
			return id, true
		}
	}
	return "", false
}

// mayUseQuarantined reports whether a short task has waited for so long that it may run on a
// worker in quarantine; for long-running ones, see pickOverdue.
func (e *Entry) mayUseQuarantined(q queuedTask) bool {
	return !q.longRunning && e.at.Now.Before(e.quarantinedUntil) && e.at.Now.Sub(q.since) >= refusedWait
}

// refusing returns the workers that a job avoids for now, in order. It drops expired
// entries of j.avoidUntil.
func (e *Entry) refusing(j *jobView) []string {
	var ids []string
	for w, until := range j.avoidUntil {
		if e.at.Now.Before(until) {
			ids = append(ids, string(w))
		} else {
			delete(j.avoidUntil, w)
		}
	}
	sort.Strings(ids)
	return ids
}

// avoided returns the workers that the task's job avoids for now, and those on which
// the task has failed.
func (e *Entry) avoided(j *jobView, n int) []string {
	ids := append(e.refusing(j), workerNames(j.row.Tasks[n].FailedOn)...)
	sort.Strings(ids)
	return ids
}

// workerNames returns the ids as the placement index spells them.
func workerNames(ids []WorkerID) []string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return names
}

// noteFailedOn lists a worker as the one on which the task has failed last.
func (t *TaskRow) noteFailedOn(w WorkerID, limit int) {
	list := slices.DeleteFunc(slices.Clone(t.FailedOn), func(id WorkerID) bool { return id == w })
	list = append(list, w)
	t.FailedOn = list[max(len(list)-limit, 0):]
}
