package core

import (
	"time"

	"jayloft/crash"
)

// isolateGrace is how long an isolated task waits for the tasks of other jobs to complete
// before they are evicted.
const isolateGrace = 600 * time.Millisecond

// isIsolated reports whether the task runs apart from those of other jobs. A long-running
// one does so until it has shown that it can run.
func (t *heldTask) isIsolated(now time.Time) bool {
	proven := t.order.LongRunning && t.launched && now.Sub(t.launchedAt) > crash.Trial
	return t.order.Isolated && !proven
}

// isolationPending reports whether the task waits for its launch until those of other jobs
// are gone. It takes no resources until then.
func (t *heldTask) isolationPending() bool { return t.order.Isolated && !t.launched }

// isolatedJob returns the job whose tasks run apart from others here; empty if there is
// none.
func (a *Agent) isolatedJob() JobID {
	for _, t := range a.held {
		if t.isIsolated(a.at.Now) {
			return t.order.Attempt.Task.Job
		}
	}
	return ""
}

// checkIsolation returns ReasonIsolated if the order's task must not share the VM with the
// tasks of a job that is isolated here.
func (a *Agent) checkIsolation(o Order) Reason {
	if job := a.isolatedJob(); job != "" && job != o.Attempt.Task.Job {
		return ReasonIsolated
	}
	return ReasonNone
}

// staysBeside reports whether a task stays while one of the job is isolated: a crash must
// cost other jobs nothing but their long-running tasks, which some VMs are never without.
func (t *heldTask) staysBeside(job JobID) bool {
	return t.order.LongRunning || t.order.Attempt.Task.Job == job
}

// isolationRoom returns the size that an isolated task can have here, once the tasks
// that don't stay beside it are gone.
func (a *Agent) isolationRoom(job JobID) Size {
	room := a.capacity.Minus(a.reservedByServices()).Minus(a.unmanaged)
	for _, t := range a.held {
		if t.staysBeside(job) {
			room = room.Minus(t.reserved())
		}
	}
	return room
}

// isApart reports whether all tasks that don't stay beside the job's are gone.
func (a *Agent) isApart(job JobID) bool {
	for _, t := range a.held {
		if t.launched && !t.staysBeside(job) {
			return false
		}
	}
	return true
}

// advanceIsolation clears the VM for isolated tasks that wait for their launch: tasks that
// were not launched yet are handed back at once, the others are evicted after a grace
// period.
func (a *Agent) advanceIsolation() {
	job, evict := a.isolationWait()
	if job == "" {
		return
	}
	for _, t := range a.heldByUnsavedWork() {
		if t.staysBeside(job) || t.stopping != "" || t.launched && !evict {
			continue
		}
		a.count("evict", ReasonIsolated)
		a.stop(t, EndEvicted, "a task that may crash its worker runs apart")
	}
}

// trialPending reports whether an isolated task has just been launched. The worker is
// inspected often then, so that the time of a crash is known.
func (a *Agent) trialPending() bool {
	for _, t := range a.held {
		if t.order.Isolated && t.launched && a.at.Now.Sub(t.launchedAt) <= 2*crash.Soon {
			return true
		}
	}
	return false
}

// isolationWait returns the job of isolated tasks that wait for their launch, empty if there
// are none, and whether one of them has waited for the grace period.
func (a *Agent) isolationWait() (job JobID, evict bool) {
	for _, t := range a.held {
		if t.isolationPending() && t.stopping == "" {
			job = t.order.Attempt.Task.Job
			evict = evict || !a.at.Now.Before(t.admittedAt.Add(isolateGrace))
		}
	}
	return job, evict
}
