package core

import "time"

// Numbers by which a worker that fails what it starts is set aside.
const (
	// quarantineJobs is the number of distinct jobs whose tasks must fail in
	// a row on a worker.
	quarantineJobs = 3
	// firstQuarantine is how long the first quarantine lasts; each later one
	// lasts twice as long, up to maxQuarantine.
	firstQuarantine = 10 * time.Second
	maxQuarantine   = 5 * time.Minute
	// failurePenalty is the cost of one failure in a row to placement.
	failurePenalty = 0.25
)

// workerFailures counts failures of distinct jobs on one worker. One bad job
// can't set a worker aside, and one bad worker can't park a job.
type workerFailures struct {
	jobs  []JobID // distinct, in a row
	until time.Time
	times int
}

// recordEnd counts the end of an attempt.
func (f *workerFailures) recordEnd(end End, now time.Time) {
	switch end.Kind {
	case EndDone:
		f.jobs, f.times = nil, 0
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
	f.until = now.Add(min(firstQuarantine<<min(f.times, 8), maxQuarantine))
	f.times++
}

// isQuarantined reports whether the worker is set aside. Afterwards it gets
// tasks again; if they fail too, the next quarantine is longer.
func (f *workerFailures) isQuarantined(now time.Time) bool { return now.Before(f.until) }

func (f *workerFailures) penalty() float64 { return failurePenalty * float64(len(f.jobs)) }
