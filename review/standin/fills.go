package main

import "time"

const (
	watchCPU = 4000  // millicores of a task that lasts: a quarter of a worker
	fillsCPU = 15000 // of a task that fills: it may use nearly all that others leave
)

// watchJob returns a job with a task that lasts for each worker.
func watchJob(workers int) *job {
	return &job{id: newID(), spec: "lasts=1", count: workers, cpu: watchCPU, steps: []map[string]any{{
		"count": workers, "cpu": watchCPU, "mem_mb": 2000, "long_running": true, "image": "im-watch", "target_ms": 125,
		"anti_affinity": 1,
	}}}
}

// fillsJob returns a job whose tasks run on the capacity that others leave unused.
func fillsJob() *job {
	return &job{id: newID(), spec: "work=1000", count: 2, cpu: fillsCPU, fills: true, steps: []map[string]any{{
		"count": 2, "cpu": fillsCPU, "mem_mb": 2000, "estimated_ms": 1000, "fills": true, "image": "im-plan",
	}}}
}

// playFills submits a job that fills while a task that lasts runs on each worker.
func playFills(s *site, trouble bool) bool {
	if trouble {
		if !s.requester.submit(watchJob(len(s.workers))) {
			s.rec.say("the job that lasts was not accepted")
			return false
		}
		time.Sleep(6 * time.Second)
	}
	if !s.requester.submit(fillsJob()) {
		s.rec.say("the job that fills was not accepted, as the pages allow")
		return false
	}
	return s.checkLost(time.Now())
}
