package route

import "time"

// Done notes the end of a request that was sent to the worker: how long it
// took and how it went.
func (s *Set) Done(id string, now time.Time, took time.Duration, r Result) {
	i, ok := s.slots[id]
	if !ok {
		return
	}
	w, g, t := &s.workers[i], &s.gauges[i], s.at(now)
	n := g.load(t)
	if g.inFlight > 0 {
		g.inFlight--
		if g.state == stateLive {
			s.total.inFlight--
		}
	}
	g.moved = t
	probed := g.state == stateOut && w.probing
	w.probing = false
	switch r {
	case Success:
		s.learn(i, float64(took), n, t)
		s.recent.add(took, now)
		s.succeed(i, now)
	case Refused:
		g.refusals = min(g.refusals+1, maxRefusals)
		w.refused = t
	case Failure:
		s.fail(i, probed, now)
	case NoAnswer:
		s.atLeast(i, took)
		s.fail(i, probed, now)
	case Canceled:
		s.atLeast(i, took)
		g.ended = t
	}
}

// atLeast takes the time of a request without an answer into the latency if
// the answer would have raised it.
func (s *Set) atLeast(i int32, took time.Duration) {
	if w, g := &s.workers[i], &s.gauges[i]; float64(took) > g.latency {
		w.answers++
		blend(&g.latency, float64(took), workerWeight, w.answers)
	}
}

// learn takes a good answer into the latencies. The time in the queue is
// taken to be the load's part beyond the slots.
func (s *Set) learn(i int32, took, load float64, t instant) {
	w, g := &s.workers[i], &s.gauges[i]
	if s.latency.count > 0 && w.answers > 0 {
		left := decay(t.since(g.ended), opinionHalfLife)
		g.latency = s.latency.value + (g.latency-s.latency.value)*left
	}
	w.answers++
	alone := took / max(1, load/float64(g.slots))
	blend(&g.latency, took, workerWeight, w.answers)
	if g.service == 0 {
		g.service = alone
	}
	blend(&g.service, alone, workerWeight, w.answers)
	s.latency.add(took, serviceWeight)
	s.service.add(alone, serviceWeight)
}

// note takes a result into the failure rates.
func (s *Set) note(i int32, failure float64, t instant) {
	g := &s.gauges[i]
	rate := float64(g.failures) * decay(t.since(g.ended), opinionHalfLife)
	g.failures = float32(rate + (failure-rate)*workerWeight)
	g.ended = t
	if s.gauges[i].state == stateLive {
		s.failures.add(failure, serviceWeight)
	}
}
