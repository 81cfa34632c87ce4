package core

import "time"

// Criteria of a straggler.
const (
	// stragglerFactor is the multiple of the longest run time of the step's completed
	// tasks that a task must exceed. Tasks of a step differ by a third.
	stragglerFactor = 3
	// stragglerMargin is added to that threshold, for short tasks.
	stragglerMargin = time.Second
	// stragglerDoneShare is the fraction of a step's tasks that must have completed.
	stragglerDoneShare = 0.5
	// maxStragglerAttempt is the last attempt of a task that is evicted as a straggler.
	maxStragglerAttempt = 2
)

// stepRuntimes holds the number and the longest run time of a step's completed tasks.
type stepRuntimes struct {
	done    int
	longest time.Duration
}

// recordCompletion records the run time of a completed task for its step. It ignores
// a task whose start this entry did not see.
func (j *jobView) recordCompletion(c *claim, now time.Time) {
	if c.startedAt.IsZero() {
		return
	}
	step, _ := j.row.Spec.Locate(c.attempt.Task.N)
	if j.stepTimes == nil {
		j.stepTimes = map[int]stepRuntimes{}
	}
	p := j.stepTimes[step]
	p.done++
	p.longest = max(p.longest, now.Sub(c.startedAt))
	j.stepTimes[step] = p
}

// isStraggler reports whether a task has run much longer than the completed tasks of
// its step. This finds workers that pass health checks while their tasks hang or are
// slow: the step, and the job, wait for the last task. The other tasks of the step are
// the reference, since declared run times are off by more than the difference among
// them. Best-effort tasks don't count: they are throttled, and so slow for other
// reasons.
func (e *Entry) isStraggler(j *jobView, c *claim) bool {
	n := c.attempt.Task.N
	st := j.row.Spec.Step(n)
	if len(j.row.Spec.Steps) == 0 || st.LongRunning || st.BestEffort || c.startedAt.IsZero() || c.attempt.Number > maxStragglerAttempt {
		return false
	}
	step, _ := j.row.Spec.Locate(n)
	p := j.stepTimes[step]
	if p.done == 0 || float64(p.done) < stragglerDoneShare*float64(st.Count) {
		return false
	}
	return e.at.Now.Sub(c.startedAt) > stragglerFactor*p.longest+stragglerMargin
}

// evictStraggler evicts a straggler, which resumes from its checkpoint on another
// worker.
func (e *Entry) evictStraggler(w *workerView, j *jobView, c *claim) {
	if !e.isStraggler(j, c) || e.at.Now.Sub(c.stopSent) < stopInterval || j.hasPendingEdit(c.attempt.Task.N) {
		return // a pending edit says that it has ended already
	}
	c.stopSent = e.at.Now
	j.avoidUntil[w.id] = e.at.Now.Add(stragglerAvoidTime)
	e.count("evict", "straggler")
	e.orderStop(w, c, EndEvicted, "runs much longer than its step")
}

// stragglerAvoidTime is how long a job avoids a worker on which it had a straggler.
const stragglerAvoidTime = 10 * time.Second
