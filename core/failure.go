package core

import "time"

// Parameters of the quarantine of workers on which tasks of several jobs fail.
const (
	// quarantineJobs is the number of distinct jobs that must have a failed task on a
	// worker, with no task done in between.
	quarantineJobs = 3
	// firstQuarantine is the length of the first quarantine. Each further one is twice
	// as long, up to maxQuarantine.
	firstQuarantine = 10 * time.Second
	maxQuarantine   = 5 * time.Minute
	// failurePenalty is the placement penalty for each job with a failed task.
	failurePenalty = 0.25
)

// workerFailures counts failures of distinct jobs on one worker. A single faulty job
// can't quarantine a worker, and a single faulty worker can't park a job.
type workerFailures struct {
	jobs        []JobID   // distinct jobs that failed since the last task that was done, or quarantine
	until       time.Time // end of the last quarantine
	quarantines int       // number since the last task that was done
}

// recordEnd updates the counts with the end of an attempt, and starts a quarantine at
// the quarantineJobs-th failed job. A task that is done resets the counts; ends other
// than done and failed don't matter.
func (f *workerFailures) recordEnd(end End, now time.Time) {
	switch end.Kind {
	case EndDone:
		f.jobs, f.quarantines = nil, 0
		return
	case EndFailed:
	default:
		return
	}
	for _, id := range f.jobs {
		if id == end.Attempt.Task.Job {
			return
		}
	}
	f.jobs = append(f.jobs, end.Attempt.Task.Job)
	if len(f.jobs) < quarantineJobs {
		return
	}
	f.jobs = nil
	f.until = now.Add(min(firstQuarantine<<min(f.quarantines, 8), maxQuarantine))
	f.quarantines++
}

// isQuarantined reports whether the worker is in quarantine. Afterwards it gets tasks
// again; if they fail too, the next quarantine is longer.
func (f *workerFailures) isQuarantined(now time.Time) bool { return now.Before(f.until) }

// penalty returns the placement penalty for the jobs that have failed.
func (f *workerFailures) penalty() float64 { return failurePenalty * float64(len(f.jobs)) }
