// Package route chooses the worker for a request of one service.
//
// A [Set] belongs to one entry. It knows of each worker the requests that it
// has sent there itself, the load that the worker's agent has last reported,
// and how recent requests went. [Set.Pick] takes two random workers and
// chooses the one where the request is expected to end sooner (Mitzenmacher,
// "The power of two choices in randomized load balancing", IEEE TPDS 12(10),
// 2001). Two choices need no order over all workers, so a pick takes the same
// time for any number, and several entries with the same reports don't flock
// to the same worker.
//
// The expected end follows from the latency of the worker times its load.
// The load of other entries is taken from the agent's report and decays with
// the report's age. A latency that is far from that of the service decays to
// it as well, so that a worker which has recovered is tried again. While
// requests are under way and none ends, the time since the last end is a lower
// bound of the latency, so a hung worker is noticed before its first answer.
// Only answers that succeeded count for latency: a worker that fails quickly
// looks no faster for it.
//
// # Ejection
//
// A worker whose last requests all failed is ejected once such a streak is
// unlikely for the failure rate of the whole service; if all workers fail
// alike, none is ejected. At most half of the workers are ejected at a time.
// Single requests probe an ejected worker, with exponential back-off between
// the probes, and a few good probes in a row end the ejection. Retries and
// requests from [Set.PickNoProbe] are never probes.
//
// # Usage
//
//	var s route.Set
//	s.Put("w-1", 8, now)
//	s.Load("w-1", running, queued, now) // with each report of the agent
//	id, wait, ok := s.Pick(now, seed, nil)
//	if ok {
//		s.Sent(id, now)
//		// When the answer has come:
//		s.Done(id, now, took, route.Good)
//	}
//
// The package has no clock and no random source: times and seeds are
// arguments. A Set is not safe for concurrent use.
package route
