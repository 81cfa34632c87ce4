package main

import (
	"sync"
	"time"
)

const (
	largeSteps  = 5   // of the large job
	largeWidth  = 160 // tasks of each of its steps
	normalWidth = 20  // likewise, without the disruption
	smallJobs   = 30
)

// largeJob returns a job of some steps with as many tasks each.
func largeJob(steps, width int) *job {
	j := &job{id: newID(), spec: "work=300", count: steps * width, cpu: 250}
	for range steps {
		j.steps = append(j.steps, map[string]any{"count": width, "cpu": j.cpu, "mem_mb": 16, "estimated_ms": 300})
	}
	return j
}

// playRowSize submits a large job and then small ones. Without the disruption, the large job
// is an ordinary one.
func playRowSize(s *site, trouble bool) bool {
	width := normalWidth
	if trouble {
		width = largeWidth
	}
	large := largeJob(largeSteps, width)
	if !s.requester.submit(large) {
		s.rec.say("the large job was not accepted, as the pages allow")
		return false
	}
	s.submitSpread(smallJobs, 15*time.Second, func(int) *job { return &job{id: newID(), spec: "work=500", count: 4, cpu: 500} })
	return s.checkLost(time.Now())
}

// submitSpread submits a number of jobs, spread evenly over a time, and waits for the answers.
func (s *site) submitSpread(n int, over time.Duration, next func(n int) *job) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { s.requester.submit(next(i)) })
		time.Sleep(over / time.Duration(n))
	}
	wg.Wait()
}
