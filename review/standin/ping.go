package main

import "time"

const (
	foreignService  = "nobody-7c"
	foreignSequence = 1000 // ahead of the worker's own pings
)

// playForeignPing sends each daemon beside a worker one ping of another writer, with a service
// that isn't named in the configuration, and submits jobs afterwards.
func playForeignPing(s *site, trouble bool) bool {
	if trouble {
		for _, w := range s.workers {
			body := w.nextPing()
			body["service"], body["sequence"] = foreignService, foreignSequence
			s.rec.add("another writer sends a ping for %s with the service %s", w.id, foreignService)
			w.ping(s.ctx, body)
		}
	}
	time.Sleep(2 * beatInterval)
	s.submitSpread(10, 3*time.Second, func(int) *job { return &job{id: newID(), spec: "work=400", count: 2, cpu: 480} })
	return s.checkLost(time.Now())
}
