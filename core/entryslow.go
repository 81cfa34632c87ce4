package core

import (
	"time"

	"jayloft/place"
)

const (
	// maxSlowedAttempt is the attempt up to which a filler is moved for its speed: each
	// move costs what it did since its last checkpoint.
	maxSlowedAttempt = 4
	// slowedAvoidTime is how long a job's tasks keep away from where one was slowed.
	slowedAvoidTime = 5 * time.Second
)

// evictSlowed stops fillers that hardly run on a worker, to go on elsewhere from
// their checkpoints, where a worker is likely to bear them at full speed. It answers
// the load pattern of lasting tasks that come to a worker, or whose own load rises,
// after fillers that press on them were placed there.
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
		e.orderStop(w, c, EndEvicted, "hardly runs beside lasting tasks")
	}
}

// tolerableElsewhere reports whether another worker is likely to bear a filler at full speed.
func (e *Entry) tolerableElsewhere(w *workerView, j *jobView, c *claim) bool {
	st := j.row.Spec.Step(c.attempt.Task.N)
	need := e.need(j, queuedTask{task: c.attempt.Task}, st)
	need.Constraint = place.NonServingOnly
	need.Exclude = append(need.Exclude, string(w.id))
	_, ok := e.pickBestEffort(need, st.Image, false, e.at.Seed)
	return ok
}
