package core

import "time"

// idlePatience is how long a long-running task without a run waits for a worker that its
// job does not avoid. It also spaces the runs of one that fails wherever it can be placed.
const idlePatience = 2 * time.Second

// idleSince returns since when a task has not run, as far as this entry knows. Orders that
// are refused don't change it.
func (j *jobView) idleSince(n int, now time.Time) time.Time {
	if since, ok := j.idle[n]; ok {
		return since
	}
	if j.idle == nil {
		j.idle = map[int]time.Time{}
	}
	j.idle[n] = now
	return now
}

// noteRun records that a task runs, or has just ended a run.
func (j *jobView) noteRun(n int) { delete(j.idle, n) }

// isOverdue reports whether a long-running task has waited for so long that workers which
// its job avoids are better than none.
func (e *Entry) isOverdue(j *jobView, q queuedTask) bool {
	return j.row.Spec.Step(q.task.N).LongRunning && e.at.Now.Sub(q.idleSince) >= idlePatience
}
