package core

import (
	"slices"
	"sort"
	"time"

	"jayloft/place"
)

// idlePatience is how long a long-running task without a run waits for a worker other than
// the one that it has failed on. It also spaces the runs of one that fails wherever it can be placed.
const idlePatience = time.Second

// quarantinePatience is how long a long-running task without a run waits for room before it
// takes the room on a worker in quarantine.
const quarantinePatience = 3 * time.Second

// idleTask is what an entry knows of a long-running task that does not run.
type idleTask struct {
	since     time.Time // orders that are refused don't change it
	awaitedOn WorkerID  // where it has waited for room last; empty if nowhere
	orders    int       // orders that did not start it
	refusal   string    // why the last of them did not
	refused   bool      // one of them was not accepted at all
	loggedAt  time.Time
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
func (e *Entry) noteRun(j *jobView, n int) {
	if t := j.idle[n]; t != nil {
		e.measure("idle", t.since)
		delete(j.idle, n)
	}
}

// noteRefusal records that an order has not started a task.
func (j *jobView) noteRefusal(n int, r Reason) {
	if t := j.idle[n]; t != nil {
		t.orders++
		t.refusal = string(r)
		t.refused = true
	}
}

// hasBeenRefused reports whether an order of a long-running task was not accepted since its
// last run.
func (j *jobView) hasBeenRefused(n int) bool { return j.idle[n] != nil && j.idle[n].refused }

// noteHandedBack records that a worker has handed a long-running task back which has waited
// there for room. The room that is free by now is kept for it for a moment.
func (j *jobView) noteHandedBack(end End, w WorkerID) {
	if t := j.idle[end.Attempt.Task.N]; t != nil && end.Kind == EndEvicted && !end.Started {
		t.awaitedOn = w
		t.orders++
		t.refusal = end.Reason
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

// pickOverdue chooses a worker for an overdue long-running task: one with room on which the
// task has failed, else a full one, and one in quarantine last.
func (e *Entry) pickOverdue(need place.Need, j *jobView, q queuedTask, st StepSpec) (WorkerID, bool) {
	anywhere := need
	anywhere.Exclude = append(e.refusing(j), e.unfit(j, q.task.N, st)...)
	if id, ok := e.pickOne(anywhere, j, q, st); ok {
		return id, true
	}
	if e.mayLeaveForQuarantine(q, need) {
		return e.pickQuarantined(need)
	}
	for _, n := range []place.Need{need, anywhere} {
		if id, ok := e.pickAwaited(n); ok {
			return id, true
		}
	}
	return e.pickQuarantined(anywhere)
}

// mayLeaveForQuarantine reports whether a long-running task has waited for room for so long
// that a worker in quarantine with room is better than a full one.
func (e *Entry) mayLeaveForQuarantine(q queuedTask, need place.Need) bool {
	if e.at.Now.Sub(q.idleSince) < quarantinePatience {
		return false
	}
	id, ok := e.pickQuarantined(need)
	return ok && need.Size.Fits(e.workers[id].free())
}

// pickQuarantined chooses the worker in quarantine with the most free capacity, one with room
// if there is any.
func (e *Entry) pickQuarantined(need place.Need) (best WorkerID, ok bool) {
	var most int64
	hasRoom := false
	for _, id := range e.workerIDs() {
		w := e.workers[id]
		if !w.failures.isQuarantined(e.at.Now) || !e.couldHold(w, need) {
			continue
		}
		free := w.free()
		if fits := need.Size.Fits(free); best == "" || fits && !hasRoom || fits == hasRoom && free.Millicores > most {
			best, most, hasRoom = id, free.Millicores, fits
		}
	}
	return best, best != ""
}

// free returns the capacity of a worker that is not committed.
func (w *workerView) free() Size {
	all, _ := w.committed()
	return w.heartbeat.Capacity.Minus(all)
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
		free := w.free().Millicores
		if p := e.prefers(w); best == "" || p && !preferred || p == preferred && free > most {
			best, most, preferred = id, free, p
		}
	}
	return best, best != ""
}

// canAwait reports whether a long-running task may wait for room on a worker.
func (e *Entry) canAwait(w *workerView, need place.Need) bool {
	return !w.failures.isQuarantined(e.at.Now) && e.couldHold(w, need)
}

// couldHold reports whether a task could run on a worker if only the long-running tasks there
// were left, apart from a quarantine.
func (e *Entry) couldHold(w *workerView, need place.Need) bool {
	if _, ok := e.usable(w); !ok || w.heartbeat.LeaseLapsed || w.isolatedJob() != "" {
		return false
	}
	left := w.heartbeat.Capacity.Minus(Size{Millicores: w.longRunningMillicores()})
	return need.Size.Fits(left) && !slices.Contains(need.Exclude, string(w.id))
}

const (
	// idleCheckInterval is the time between two searches for long-running tasks without a run.
	idleCheckInterval = time.Second
	// idleLogAfter is how long such a task may wait before it is logged, and the time between
	// two log lines about it.
	idleLogAfter = 2 * time.Second
)

// advanceIdle logs the long-running tasks that have had no run for idleLogAfter.
func (e *Entry) advanceIdle() {
	if e.at.Now.Before(e.nextIdleCheck) {
		return
	}
	e.nextIdleCheck = e.at.Now.Add(idleCheckInterval)
	for _, id := range e.idleTasks() {
		j := e.jobs[id.Job]
		if t := j.idle[id.N]; e.at.Now.Sub(latest(t.since, t.loggedAt)) >= idleLogAfter {
			t.loggedAt = e.at.Now
			e.logIdle(id, e.explainIdle(j, id.N))
		}
	}
}

// idleTasks returns the long-running tasks without a run that this entry schedules, in order.
func (e *Entry) idleTasks() []TaskID {
	var ids []TaskID
	for id, j := range e.jobs {
		for n := range j.idle {
			if j.isIdle(n) {
				ids = append(ids, TaskID{Job: id, N: n})
			}
		}
	}
	sort.Slice(ids, func(i, k int) bool { return lessTask(ids[i], ids[k]) })
	return ids
}

// isIdle reports whether a long-running task that this entry schedules is to run and has no
// run. One that has ended, or whose job is cancelled, is not to run.
func (j *jobView) isIdle(n int) bool {
	if j.idle[n] == nil || j.foreign || j.row.Cancel || n >= len(j.row.Tasks) {
		return false
	}
	return !j.row.Tasks[n].State.Final()
}

// idleReasons is why a long-running task does not run, for logs and operators.
type idleReasons struct {
	idle    time.Duration // since its last run ended, as far as this entry knows
	stage   string
	worker  WorkerID // where it is to run; empty while queued
	reason  Reason   // that it waits for; empty unless it is queued
	orders  int      // that have not started it
	refusal string   // why the last of them did not
}

// explainIdle returns why a long-running task that has no run does not run.
func (e *Entry) explainIdle(j *jobView, n int) idleReasons {
	t := j.idle[n]
	stage, w := j.idleStage(n)
	return idleReasons{
		idle: e.at.Now.Sub(t.since), stage: stage, worker: w, reason: j.waitReasons[n], orders: t.orders, refusal: t.refusal,
	}
}

// logIdle logs since when a task has not run, and what it waits for.
func (e *Entry) logIdle(id TaskID, r idleReasons) {
	e.logEvent("task idle", id.String(), "since", r.idle.String(),
		"stage", r.stage, "reason", string(r.reason), "worker", string(r.worker), "orders", r.orders, "refusal", r.refusal)
}

// Stages of a long-running task without a run, for logs and operators.
const (
	idleQueued    = "queued"    // no worker has been chosen
	idleUnwritten = "unwritten" // the claim is not in the table yet
	idleOrdered   = "ordered"   // its agent has not answered the order
	idleAdmitted  = "admitted"  // its agent has not reported a run yet
	idleReleased  = "released"  // the release of the claim is not in the table yet
)

// idleStage returns how far the next run of a task has come, and where it is to run.
func (j *jobView) idleStage(n int) (stage string, w WorkerID) {
	c := j.claims[n]
	switch {
	case c == nil:
		return idleQueued, ""
	case c.releasing:
		return idleReleased, c.holder.Worker
	case !c.committed:
		return idleUnwritten, c.holder.Worker
	case c.startedAt.IsZero():
		return idleOrdered, c.holder.Worker
	}
	return idleAdmitted, c.holder.Worker
}
