// Package route balances the requests of one service over its workers.
//
// A [Set] belongs to one entry. For each worker it tracks the requests that it
// has sent there and that are in flight, the load in the last report of the
// worker's agent, and the results of recent requests. [Set.Pick] draws two random
// workers and chooses the one where the request is expected to end sooner
// (Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
// TPDS 12(10), 2001). Two choices need no order over all workers, so a pick takes
// the same time for any number, and several entries with the same reports don't
// all choose the same worker.
//
// The expected end follows from the latency of the worker times its load.
// The load from other entries is taken from the agent's report and decays with
// the report's age. A worker's latency decays towards that of the service without
// new results, so that a worker that has recovered gets requests again. While
// requests are in flight and none ends, the time since the last end is a lower
// bound of the latency, so a hung worker is detected before its first answer.
// A failure does not lower the latency, so a worker that fails fast does not look
// fast.
//
// # Ejection
//
// A worker whose recent requests all failed is ejected once such a streak is
// improbable at the failure rate of the whole service; if all workers fail alike,
// none is ejected. At most half of the workers are ejected at a time. Single
// requests probe an ejected worker with exponential back-off, and a few
// consecutive successful probes end the ejection. Retries and requests from
// [Set.PickNoProbe] are never probes.
//
// # Usage
//
//	var s route.Set
//	s.Put("w-1", 8, now)
//	s.SetLoad("w-1", running, queued, now) // with each report of the agent
//	id, wait, ok := s.Pick(now, seed, nil)
//	if ok {
//		s.Sent(id, now)
//		// When the answer arrives:
//		s.Done(id, now, took, route.Success)
//	}
//
// The package has no clock and no random source: times and seeds are
// arguments. A Set is not safe for concurrent use.
package route
