package route

import "time"

// Done records the end of a request that was sent to the worker, with its
// duration and result. Unknown ids are ignored.
func (s *Set) Done(id string, now time.Time, took time.Duration, r Result) {
	i, ok := s.slots[id]
	if !ok {
		return
	}
	w, ls, t := &s.workers[i], &s.stats[i], s.at(now)
	n := ls.load(t)
	if ls.inFlight > 0 {
		ls.inFlight--
		if ls.state == stateLive {
			s.total.inFlight--
		}
	}
	ls.lastProgress = t
	probed := ls.state == stateEjected && w.probing
	w.probing = false
	switch r {
	case Success:
		s.recordLatency(i, float64(took), n, t)
		s.recent.add(took, now)
		s.recordSuccess(i, now)
	case Refused:
		ls.refusals = min(ls.refusals+1, maxRefusals)
		w.lastRefusal = t
	case Failure:
		s.recordFailure(i, probed, now)
	case NoAnswer:
		s.recordLowerBound(i, took)
		s.recordFailure(i, probed, now)
	case Canceled:
		s.recordLowerBound(i, took)
		ls.lastResult = t
	}
}

// recordLowerBound adds the time of a request without an answer to the worker's
// latency if it exceeds the mean. The true latency would be at least as long.
func (s *Set) recordLowerBound(i int32, took time.Duration) {
	if w, ls := &s.workers[i], &s.stats[i]; float64(took) > ls.latency {
		w.answers++
		updateMean(&ls.latency, float64(took), workerWeight, w.answers)
	}
}

// recordLatency adds the latency of a successful request to the means of the
// worker and the service. It estimates the service time as the latency divided by
// the load per slot, if that is above one.
func (s *Set) recordLatency(i int32, took, load float64, t instant) {
	w, ls := &s.workers[i], &s.stats[i]
	if s.latency.count > 0 && w.answers > 0 {
		left := decay(t.since(ls.lastResult), resultHalfLife)
		ls.latency = s.latency.value + (ls.latency-s.latency.value)*left
	}
	w.answers++
	service := took / max(1, load/float64(ls.slots))
	updateMean(&ls.latency, took, workerWeight, w.answers)
	if ls.service == 0 {
		ls.service = service
	}
	updateMean(&ls.service, service, workerWeight, w.answers)
	s.latency.add(took, serviceWeight)
	s.service.add(service, serviceWeight)
}

// recordOutcome adds a result to the failure rates; failure is 1 or 0.
func (s *Set) recordOutcome(i int32, failure float64, t instant) {
	ls := &s.stats[i]
	rate := float64(ls.failures) * decay(t.since(ls.lastResult), resultHalfLife)
	ls.failures = float32(rate + (failure-rate)*workerWeight)
	ls.lastResult = t
	if s.stats[i].state == stateLive {
		s.failures.add(failure, serviceWeight)
	}
}
