package main

import (
	"sync"
	"time"
)

const (
	finishTime = 14 * time.Second // finish_s
	stillTime  = 3 * time.Second  // for which a job must not stand still

	lookInterval = 100 * time.Millisecond
)

// checkLost checks LOST after the traffic has ended: finish_s later each accepted job is known
// and answered, and none stands still for 3 s though there is room for it. It reports whether
// the rule was broken.
func (s *site) checkLost(ended time.Time) (broken bool) {
	time.Sleep(time.Until(ended.Add(finishTime)))
	s.rec.add("%v after the end of the traffic, jobs are asked for", finishTime)
	broken = !s.askAll()
	for _, j := range s.watchStalls() {
		s.rec.say("LOST: nothing of job %s has run for %.1f s, %d of %d tasks are done, it is shown as %q, and %d of %d millicores are in use",
			j.id, j.still.Seconds(), j.done, j.count, j.state, j.used, j.inTotal)
		broken = true
	}
	return broken
}

// watchStalls returns the jobs that stand still for 3 s from now on, with room for them at each
// look.
func (s *site) watchStalls() []stalled {
	began := time.Now()
	all := s.book.stalls(len(s.workers), 0)
	for time.Since(began) < stillTime {
		time.Sleep(lookInterval)
		now := map[string]stalled{}
		for _, j := range s.book.stalls(len(s.workers), time.Since(began)) {
			now[j.id] = j
		}
		left := all[:0]
		for _, j := range all {
			if n, ok := now[j.id]; ok {
				left = append(left, n)
			}
		}
		all = left
	}
	return all
}

// askAll asks for the states of all accepted jobs. It reports whether each is known and
// answered.
func (s *site) askAll() bool {
	var wg sync.WaitGroup
	var mu sync.Mutex
	ok := true
	for _, id := range s.book.accepted() {
		wg.Go(func() {
			state, answered := s.requester.ask(id)
			if answered && state != "unknown" {
				return
			}
			s.rec.say("LOST: job %s was accepted, and is not known or not answered for (%q)", id, state)
			mu.Lock()
			defer mu.Unlock()
			ok = false
		})
	}
	wg.Wait()
	return ok
}
