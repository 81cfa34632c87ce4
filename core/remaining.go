package core

import "time"

// Estimates of what is left of a job. They rest on the claims that this entry knows of.
const (
	// minRunFraction is the least part of a task's estimated run time that is left while it
	// runs: declared run times are too short about as often as too long.
	minRunFraction = 0.25
	// runningUndone is the part of a running task's work that counts as undone.
	runningUndone = 0.5
)

// remaining returns the estimated time until the job is done if every task that waits starts as
// soon as its dependencies are done. A step whose tasks all run is left with the longest of them.
func (j *jobView) remaining(now time.Time) time.Duration {
	first := 0
	left := make([]time.Duration, len(j.row.Spec.Steps))
	for i, st := range j.row.Spec.Steps {
		for n := first; n < first+st.Count; n++ {
			left[i] = max(left[i], j.taskLeft(n, st.Estimate, now))
		}
		first += st.Count
	}
	return j.row.Spec.criticalPathBy(func(i int) time.Duration { return left[i] })
}

// taskLeft returns the estimated time that a task still takes once it runs.
func (j *jobView) taskLeft(n int, estimate time.Duration, now time.Time) time.Duration {
	if j.row.Tasks[n].State == TaskDone {
		return 0
	}
	c := j.claims[n]
	if c == nil || c.startedAt.IsZero() {
		return estimate
	}
	least := time.Duration(minRunFraction * float64(estimate))
	return max(estimate-now.Sub(c.startedAt), least)
}

// undone returns the part of the job's work, in processor time as declared, that is not done.
func (j *jobView) undone() float64 {
	var all, left float64
	n := 0
	for _, st := range j.row.Spec.Steps {
		work := st.Estimate.Seconds() * float64(max(st.Size.Millicores, 1))
		for range st.Count {
			all += work
			switch {
			case j.row.Tasks[n].State == TaskDone:
			case j.claims[n] != nil:
				left += runningUndone * work
			default:
				left += work
			}
			n++
		}
	}
	if all == 0 {
		return 1
	}
	return left / all
}
