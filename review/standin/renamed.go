package main

import (
	"net/http"
	"time"
)

const (
	configApply  = 2 * time.Second // config_apply_ms
	visibleTime  = visibleMS * time.Millisecond
	cancelTime   = 3 * time.Second        // cancel_ms
	stopBound    = 400 * time.Millisecond // stop_ms
	renamedJobs  = 6
	longWork     = "work=60000"
	renamedQueue = "r-k2m0q8x"
)

// playRenamed changes the configuration while jobs run: one version removes the route and adds
// another one with the same host and prefix. Without the disruption the version changes
// nothing but its number.
func playRenamed(s *site, trouble bool) bool {
	var jobs []*job
	for range renamedJobs {
		j := &job{id: newID(), spec: longWork, count: 1, cpu: 500}
		if s.requester.submit(j) {
			jobs = append(jobs, j)
		}
	}
	time.Sleep(visibleTime)
	queue := "r-wrr6x73"
	if trouble {
		queue = renamedQueue
	}
	s.configure(7, queue)
	time.Sleep(configApply + visibleTime)
	broken := s.checkKnown(jobs)
	return s.checkCancelled(jobs) || broken
}

// checkKnown checks LOST: no daemon answers 410 for an accepted job that nobody has cancelled.
// It reports whether the rule was broken.
func (s *site) checkKnown(jobs []*job) (broken bool) {
	for _, j := range jobs {
		for _, front := range s.requester.fronts {
			if status, _ := s.requester.call(http.MethodGet, j.id, nil, front); status == http.StatusGone {
				s.rec.say("LOST: %s answers 410 for job %s, which was accepted and runs", front, j.id)
				broken = true
			}
		}
	}
	return broken
}

// checkCancelled checks UNASKED: no task runs cancel_ms and stop_ms after the cancelling of
// its job was answered. It reports whether the rule was broken.
func (s *site) checkCancelled(jobs []*job) (broken bool) {
	var acknowledged []*job
	for i, j := range jobs {
		status, _ := s.requester.call(http.MethodDelete, j.id, nil, s.requester.front(i))
		if status == http.StatusOK || status == http.StatusGone {
			acknowledged = append(acknowledged, j)
		}
	}
	time.Sleep(cancelTime + stopBound)
	for _, j := range acknowledged {
		if n := s.book.running(j.id); n > 0 {
			s.rec.say("UNASKED: %d tasks of job %s run %v after its cancelling was answered", n, j.id, cancelTime+stopBound)
			broken = true
		}
	}
	return broken
}
