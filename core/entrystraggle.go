package core

import "time"

// Numbers by which a task counts as a straggler.
const (
	// stragglerFactor is how many times as long as the longest of its step's other
	// tasks a task must have run: tasks of a step differ by a third.
	stragglerFactor = 3
	// stragglerMargin is added to that, for short tasks.
	stragglerMargin = time.Second
	// stragglerDoneShare is the part of a step's tasks that must be done first.
	stragglerDoneShare = 0.5
	// maxStragglerAttempt is the attempt up to which a task is moved for this.
	maxStragglerAttempt = 2
)

// stepRuntimes is how long the tasks of a step took that are done.
type stepRuntimes struct {
	done    int
	longest time.Duration
}

// recordCompletion takes how long a task took that is done.
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

// isStraggler reports whether a task runs much longer than the others of its step
// did. It answers the load pattern of a worker on which tasks stand still or are
// slow while its health is good: the step, and the job, wait for the last task. The
// measure is the step itself, since declared run times are off by more than that.
// Fillers are slow for other reasons.
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

// evictStraggler stops a straggler, to go on elsewhere from its checkpoint.
func (e *Entry) evictStraggler(w *workerView, j *jobView, c *claim) {
	if !e.isStraggler(j, c) || e.at.Now.Sub(c.stopSent) < stopInterval {
		return
	}
	c.stopSent = e.at.Now
	j.avoidUntil[w.id] = e.at.Now.Add(stragglerAvoidTime)
	e.count("evict", "straggler")
	e.orderStop(w, c, EndEvicted, "runs much longer than its step")
}

// stragglerAvoidTime is how long a job's tasks keep away from where one straggled.
const stragglerAvoidTime = 10 * time.Second
