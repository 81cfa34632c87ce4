package route

import (
	"math"
	"time"
)

const (
	// A worker is ejected once its streak of failures has a probability below
	// streakProbability at the failure rate of the whole service.
	streakProbability = 1e-4
	minStreak         = 3
	maxStreak         = 100

	minProbeInterval = time.Second
	maxProbeInterval = 30 * time.Second
	// goodProbeInterval is the time from a successful probe to the next.
	goodProbeInterval = 100 * time.Millisecond
	// probesToReadmit is the number of consecutive successful probes that end an
	// ejection.
	probesToReadmit = 2
	// readmitFailureRate is the initial failure rate of a readmitted worker. It
	// makes its load grow slowly.
	readmitFailureRate = 0.3
)

func (s *Set) recordSuccess(i int32, now time.Time) {
	w := &s.workers[i]
	w.failStreak, s.stats[i].refusals = 0, 0
	s.recordOutcome(i, 0, s.at(now))
	if s.stats[i].state != stateEjected {
		return
	}
	w.goodProbes++
	w.failedProbes = 0
	w.nextProbe = now.Add(goodProbeInterval)
	if w.goodProbes >= probesToReadmit {
		s.readmit(i)
	}
}

func (s *Set) recordFailure(i int32, probed bool, now time.Time) {
	w := &s.workers[i]
	w.failStreak++
	s.recordOutcome(i, 1, s.at(now))
	if s.Policy != TwoChoices {
		return
	}
	switch s.stats[i].state {
	case stateEjected:
		w.goodProbes = 0
		if probed {
			w.failedProbes++
			w.nextProbe = now.Add(s.probeBackoff(w))
		}
	case stateLive:
		if w.failStreak < s.streakLimit() || 2*(len(s.ejected)+1) > len(s.live)+len(s.ejected) {
			return
		}
		w.goodProbes, w.failedProbes, w.probing = 0, 0, false
		w.nextProbe = now.Add(s.probeBackoff(w))
		s.setState(i, stateEjected)
	}
}

// streakLimit returns the length of a failure streak whose probability at the
// failure rate of the whole service is below streakProbability.
func (s *Set) streakLimit() int {
	rate := s.failures.value
	if rate <= 0 {
		return minStreak
	}
	if rate >= 1 {
		return maxStreak
	}
	n := math.Ceil(math.Log(streakProbability) / math.Log(rate))
	return int(min(max(n, minStreak), maxStreak))
}

// probeBackoff returns the time to the next probe of the worker. Jitter by worker
// id keeps workers that were ejected together from being probed together.
func (s *Set) probeBackoff(w *worker) time.Duration {
	d := maxProbeInterval
	if w.failedProbes < 5 {
		d = min(minProbeInterval<<w.failedProbes, maxProbeInterval)
	}
	seed := uint64(w.failedProbes)
	for _, c := range []byte(w.id) {
		seed = mix(seed*31 + uint64(c))
	}
	return d - time.Duration(below(mix(seed), int(d/4)))
}

func (s *Set) readmit(i int32) {
	w := &s.workers[i]
	w.failStreak, w.probing = 0, false
	s.stats[i].failures = readmitFailureRate
	s.setState(i, stateLive)
}

// limitEjected readmits workers while more than half of the open ones are ejected,
// in the order of their next probes.
func (s *Set) limitEjected() {
	for 2*len(s.ejected) > len(s.live)+len(s.ejected) {
		first := s.ejected[0]
		for _, i := range s.ejected[1:] {
			if s.workers[i].nextProbe.Before(s.workers[first].nextProbe) {
				first = i
			}
		}
		s.readmit(first)
	}
}
