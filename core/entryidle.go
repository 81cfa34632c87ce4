package core

import (
	"slices"
	"time"

	"jayloft/place"
)

// idlePatience is how long a long-running task without a run waits for a worker other than
// the one that it has failed on. It also spaces the runs of one that fails wherever it can be placed.
const idlePatience = time.Second

// idleTask is what an entry knows of a long-running task that does not run.
type idleTask struct {
	since     time.Time // orders that are refused don't change it
	awaitedOn WorkerID  // where it has waited for room last; empty if nowhere
}

// idleSince returns since when a task has not run, as far as this entry knows.
func (j *jobView) idleSince(n int, now time.Time) time.Time {
	if t := j.idle[n]; t != nil {
		return t.since
	}
	if j.idle == nil {
		j.idle = map[int]*idleTask{}
	}
	j.idle[n] = &idleTask{since: now}
	return now
}

// noteRun records that a task runs, or has just ended a run.
func (j *jobView) noteRun(n int) { delete(j.idle, n) }

// noteHandedBack records that a worker has handed a long-running task back which has waited
// there for room. The room that is free by now is kept for it for a moment.
func (j *jobView) noteHandedBack(end End, w WorkerID) {
	if t := j.idle[end.Attempt.Task.N]; t != nil && end.Kind == EndEvicted && !end.Started {
		t.awaitedOn = w
	}
}

// takeAwaited returns where a task has waited for room last, once.
func (j *jobView) takeAwaited(n int) (id WorkerID) {
	if t := j.idle[n]; t != nil {
		id, t.awaitedOn = t.awaitedOn, ""
	}
	return id
}

// isOverdue reports whether a long-running task has waited for so long that a worker on which
// it has failed, or one that is full, is better than none.
func (e *Entry) isOverdue(j *jobView, q queuedTask) bool {
	return j.row.Spec.Step(q.task.N).LongRunning && e.at.Now.Sub(q.idleSince) >= idlePatience
}

// pickAwaited chooses a full worker on which an overdue long-running task waits until short
// tasks complete: the one where least has to complete, among those of this home if it has
// any. The agent there decides whether the task may wait.
func (e *Entry) pickAwaited(need place.Need) (best WorkerID, ok bool) {
	var most int64
	preferred := false
	for _, id := range e.workerIDs() {
		w := e.workers[id]
		if !e.canAwait(w, need) {
			continue
		}
		all, _ := w.committed()
		free := w.heartbeat.Capacity.Minus(all).Millicores
		if p := e.prefers(w); best == "" || p && !preferred || p == preferred && free > most {
			best, most, preferred = id, free, p
		}
	}
	return best, best != ""
}

// canAwait reports whether a task could run on a worker if only the long-running tasks there
// were left.
func (e *Entry) canAwait(w *workerView, need place.Need) bool {
	if _, ok := e.usable(w); !ok || w.heartbeat.LeaseLapsed || w.failures.isQuarantined(e.at.Now) || w.isolatedJob() != "" {
		return false
	}
	left := w.heartbeat.Capacity.Minus(Size{Millicores: w.longRunningMillicores()})
	return need.Size.Fits(left) && !slices.Contains(need.Exclude, string(w.id))
}
