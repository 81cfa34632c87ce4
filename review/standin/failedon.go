package main

import "time"

const (
	poisonJobs  = 20 // submitted while poison comes, of which one can never be done
	poisonSpan  = 3 * time.Second
	poisonIndex = 10
)

// playFailedOn submits jobs, one of which can never be done. It is to be shown as failed once
// a task has failed max_attempts times.
func playFailedOn(s *site, trouble bool) bool {
	s.submitSpread(poisonJobs, poisonSpan, func(n int) *job {
		j := &job{id: newID(), spec: "work=400", count: 2, cpu: 480}
		if trouble && n == poisonIndex {
			j.spec = "work=400 fails=1000"
		}
		return j
	})
	return s.checkLost(time.Now())
}
