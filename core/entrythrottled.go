package core

import (
	"time"

	"jayloft/place"
)

const (
	// maxSlowedAttempt is the last attempt of a best-effort task that is evicted for
	// its low speed: each eviction loses the work since the last checkpoint.
	maxSlowedAttempt = 4
	// slowedAvoidTime is how long a job avoids a worker on which a task was slowed.
	slowedAvoidTime = 5 * time.Second
)

// evictSlowed evicts best-effort tasks that are throttled so far that they hardly run,
// if another worker is likely to tolerate them at full speed; they resume there from
// their checkpoints. This happens when long-running tasks arrive at a worker, or their
// load rises, after best-effort tasks that interfere with them were placed there.
func (e *Entry) evictSlowed(w *workerView) {
	for _, t := range w.heartbeat.Slowed {
		j := e.jobs[t.Task.Job]
		if j == nil {
			continue
		}
		c := j.claims[t.Task.N]
		if c == nil || c.attempt != t || c.holder.Inc != w.inc || e.at.Now.Sub(c.stopSent) < stopInterval {
			continue
		}
		if t.Number > maxSlowedAttempt || !e.tolerableElsewhere(w, j, c) {
			continue
		}
		c.stopSent = e.at.Now
		j.avoidUntil[w.id] = e.at.Now.Add(slowedAvoidTime)
		e.count("evict", "slowed")
		e.orderStop(w, c, EndEvicted, "hardly runs beside long-running tasks")
	}
}

// tolerableElsewhere reports whether another worker is likely to tolerate a
// best-effort task at full speed.
func (e *Entry) tolerableElsewhere(w *workerView, j *jobView, c *claim) bool {
	st := j.row.Spec.Step(c.attempt.Task.N)
	need := e.need(j, queuedTask{task: c.attempt.Task}, st)
	need.Constraint = place.NonServingOnly
	need.Exclude = append(need.Exclude, string(w.id))
	_, ok := e.pickBestEffort(need, st.Image, false, e.at.Seed)
	return ok
}
