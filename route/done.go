package route

import "time"

// Done notes the end of a request that was sent to the worker: how long it
// took and how it went.
func (s *Set) Done(id string, now time.Time, took time.Duration, r Result) {
	i, ok := s.slots[id]
	if !ok {
		return
	}
	w, g, t := &s.workers[i], &s.stats[i], s.at(now)
	n := g.load(t)
	if g.inFlight > 0 {
		g.inFlight--
		if g.state == stateLive {
			s.total.inFlight--
		}
	}
	g.lastProgress = t
	probed := g.state == stateEjected && w.probing
	w.probing = false
	switch r {
	case Success:
		s.recordLatency(i, float64(took), n, t)
		s.recent.add(took, now)
		s.recordSuccess(i, now)
	case Refused:
		g.refusals = min(g.refusals+1, maxRefusals)
		w.lastRefusal = t
	case Failure:
		s.recordFailure(i, probed, now)
	case NoAnswer:
		s.recordLowerBound(i, took)
		s.recordFailure(i, probed, now)
	case Canceled:
		s.recordLowerBound(i, took)
		g.lastResult = t
	}
}

// recordLowerBound takes the time of a request without an answer into the latency if
// the answer would have raised it.
func (s *Set) recordLowerBound(i int32, took time.Duration) {
	if w, g := &s.workers[i], &s.stats[i]; float64(took) > g.latency {
		w.answers++
		updateMean(&g.latency, float64(took), workerWeight, w.answers)
	}
}

// recordLatency takes a good answer into the latencies. The time in the queue is
// taken to be the load's part beyond the slots.
func (s *Set) recordLatency(i int32, took, load float64, t instant) {
	w, g := &s.workers[i], &s.stats[i]
	if s.latency.count > 0 && w.answers > 0 {
		left := decay(t.since(g.lastResult), resultHalfLife)
		g.latency = s.latency.value + (g.latency-s.latency.value)*left
	}
	w.answers++
	alone := took / max(1, load/float64(g.slots))
	updateMean(&g.latency, took, workerWeight, w.answers)
	if g.service == 0 {
		g.service = alone
	}
	updateMean(&g.service, alone, workerWeight, w.answers)
	s.latency.add(took, serviceWeight)
	s.service.add(alone, serviceWeight)
}

// recordOutcome takes a result into the failure rates.
func (s *Set) recordOutcome(i int32, failure float64, t instant) {
	g := &s.stats[i]
	rate := float64(g.failures) * decay(t.since(g.lastResult), resultHalfLife)
	g.failures = float32(rate + (failure-rate)*workerWeight)
	g.lastResult = t
	if s.stats[i].state == stateLive {
		s.failures.add(failure, serviceWeight)
	}
}
