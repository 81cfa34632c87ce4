package route

import (
	"math"
	"time"
)

const (
	// A worker is ejected once a streak of its length would be less likely
	// than unlikely at the failure rate of the service.
	unlikely       = 1e-4
	shortestStreak = 3
	longestStreak  = 100

	firstProbe = time.Second
	lastProbe  = 30 * time.Second
	// nextGoodProbe is the time from a good probe to the next.
	nextGoodProbe = 100 * time.Millisecond
	// goodProbes in a row end an ejection.
	goodProbes = 2
	// returnFailures is the failure rate with which a worker comes back, so
	// that its load grows slowly.
	returnFailures = 0.3
)

func (s *Set) succeed(i int32, now time.Time) {
	w := &s.workers[i]
	w.streak, s.gauges[i].refusals = 0, 0
	s.note(i, 0, s.at(now))
	if s.gauges[i].state != stateOut {
		return
	}
	w.good++
	w.probes = 0
	w.probe = now.Add(nextGoodProbe)
	if w.good >= goodProbes {
		s.readmit(i)
	}
}

func (s *Set) fail(i int32, probed bool, now time.Time) {
	w := &s.workers[i]
	w.streak++
	s.note(i, 1, s.at(now))
	if s.Policy != TwoChoices {
		return
	}
	switch s.gauges[i].state {
	case stateOut:
		w.good = 0
		if probed {
			w.probes++
			w.probe = now.Add(s.backOff(w))
		}
	case stateLive:
		if w.streak < s.streakLimit() || 2*(len(s.out)+1) > len(s.live)+len(s.out) {
			return
		}
		w.good, w.probes, w.probing = 0, 0, false
		w.probe = now.Add(s.backOff(w))
		s.shift(i, stateOut)
	}
}

// streakLimit returns the length of a streak of failures that is unlikely for
// a worker that fails as often as the whole service does.
func (s *Set) streakLimit() int {
	rate := s.failures.value
	if rate <= 0 {
		return shortestStreak
	}
	if rate >= 1 {
		return longestStreak
	}
	n := math.Ceil(math.Log(unlikely) / math.Log(rate))
	return int(min(max(n, shortestStreak), longestStreak))
}

// backOff returns the time to the next probe of the worker. It differs
// between workers, so that those ejected together are not probed together.
func (s *Set) backOff(w *worker) time.Duration {
	d := lastProbe
	if w.probes < 5 {
		d = min(firstProbe<<w.probes, lastProbe)
	}
	seed := uint64(w.probes)
	for _, c := range []byte(w.id) {
		seed = mix(seed*31 + uint64(c))
	}
	return d - time.Duration(below(mix(seed), int(d/4)))
}

func (s *Set) readmit(i int32) {
	w := &s.workers[i]
	w.streak, w.probing = 0, false
	s.gauges[i].failures = returnFailures
	s.shift(i, stateLive)
}

// limitEjected ends ejections while more than half of the open workers are
// ejected, those first whose probe is due first.
func (s *Set) limitEjected() {
	for 2*len(s.out) > len(s.live)+len(s.out) {
		first := s.out[0]
		for _, i := range s.out[1:] {
			if s.workers[i].probe.Before(s.workers[first].probe) {
				first = i
			}
		}
		s.readmit(first)
	}
}
