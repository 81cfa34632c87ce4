package route

import (
	"math/bits"
	"slices"
	"time"
)

const (
	choices = 2

	// Additional draws to replace draws of workers to avoid or drawn before.
	extraDraws = 4

	// At most one of picksPerProbe requests is a probe, unless the probe has been
	// due for probeOverdue.
	picksPerProbe      = 200
	probeOverdue       = 10 * time.Second
	picksPerProbeCheck = 8 // picks between checks for a due probe

	// A refusal raises the cost of a worker for about one service time. Each
	// consecutive refusal doubles the increase and its half-life.
	refusalHalfLife    = 0.25 // service times
	maxRefusalHalfLife = time.Second
	maxRefusals        = 10

	// surplusHalfLife is the half-life, in service times, of the deviation of a
	// load report from the mean.
	surplusHalfLife = 2

	// latencyNoise is the standard deviation of the random differences between
	// workers' mean latencies, relative to the latency of the service. Differences
	// are scaled by signal/(signal+noise), as in a Wiener filter.
	latencyNoise = 0.4

	// A worker with a failure rate of 1 costs 1+failureCost times as much.
	failureCost = 20
)

// Pick chooses the worker for a request and returns the expected queueing time
// there. It reports false if every worker is closed or in avoid. A request with
// an empty avoid list may be used to probe an ejected worker.
func (s *Set) Pick(now time.Time, seed uint64, avoid []string) (id string, wait time.Duration, ok bool) {
	if len(avoid) == 0 && s.Policy == TwoChoices {
		if i := s.dueProbe(now, seed); i >= 0 {
			return s.workers[i].id, s.wait(i, s.at(now)), true
		}
	}
	return s.pick(s.at(now), seed, avoid)
}

// PickNoProbe is like Pick but never probes. It is for requests that can't be
// retried.
func (s *Set) PickNoProbe(now time.Time, seed uint64, avoid []string) (id string, wait time.Duration, ok bool) {
	return s.pick(s.at(now), seed, avoid)
}

func (s *Set) pick(now instant, seed uint64, avoid []string) (string, time.Duration, bool) {
	s.picks++
	var i int32
	switch s.Policy {
	case Random:
		i = s.firstNotAvoided(s.live, below(mix(seed), len(s.live)), avoid)
	case RoundRobin:
		s.roundRobin++
		i = s.firstNotAvoided(s.live, s.roundRobin%max(len(s.live), 1), avoid)
	default:
		i = s.choose(now, seed, avoid)
	}
	if i < 0 {
		i = s.firstNotAvoided(s.ejected, below(mix(seed), len(s.ejected)), avoid)
	}
	if i < 0 {
		return "", 0, false
	}
	return s.workers[i].id, s.wait(i, now), true
}

// choose returns the live worker with the lowest cost among a few random ones, or
// -1 if all are to be avoided.
func (s *Set) choose(now instant, seed uint64, avoid []string) int32 {
	n := len(s.live)
	if n == 0 {
		return -1
	}
	best, least, seen := int32(-1), 0.0, 0
	for range choices + extraDraws {
		seed += 0x9e3779b97f4a7c15
		i := s.drawLive(seed)
		if i == best || s.avoids(i, avoid) {
			continue
		}
		c := s.cost(i, now)
		if best < 0 || c < least {
			best, least = i, c
		}
		seen++
		if seen == choices {
			break
		}
	}
	if best < 0 {
		return s.firstNotAvoided(s.live, below(mix(seed), n), avoid)
	}
	return best
}

// drawLive returns a random live worker; there must be at least one. It first
// draws among all workers, as most are live, which saves an access to the list.
func (s *Set) drawLive(seed uint64) int32 {
	r := mix(seed)
	if i := below(r, len(s.stats)); s.stats[i].state == stateLive {
		return int32(i)
	}
	return s.live[below(mix(r), len(s.live))]
}

// firstNotAvoided returns the first worker of the list, from a position on and
// wrapping around, that is not to be avoided, or -1.
func (s *Set) firstNotAvoided(list []int32, from int, avoid []string) int32 {
	for k := range list {
		i := list[(from+k)%len(list)]
		if !s.avoids(i, avoid) {
			return i
		}
	}
	return -1
}

func (s *Set) avoids(i int32, avoid []string) bool {
	return len(avoid) > 0 && slices.Contains(avoid, s.workers[i].id)
}

// dueProbe returns an ejected worker to probe, or -1. It checks one random ejected
// worker, so that its time does not grow with their number.
func (s *Set) dueProbe(now time.Time, seed uint64) int32 {
	if len(s.ejected) == 0 || s.picks%picksPerProbeCheck != 0 {
		return -1
	}
	i := s.ejected[below(mix(seed), len(s.ejected))]
	w := &s.workers[i]
	overdue := !now.Before(w.nextProbe.Add(probeOverdue))
	if !overdue && (w.probing || now.Before(w.nextProbe) || s.picks < picksPerProbe) {
		return -1
	}
	s.picks = 0
	w.probing = true
	w.nextProbe = now
	return i
}

// cost returns the expected time in nanoseconds until a request that is sent to
// the worker now succeeds.
func (s *Set) cost(i int32, now instant) float64 {
	ls := &s.stats[i]
	typical := s.latency.orDefault(defaultLatency)
	latency, left := typical, fastDecay(now.since(ls.lastResult), resultHalfLife)
	if ls.latency > 0 {
		d := (ls.latency - typical) / typical
		latency += (ls.latency - typical) * left * d * d / (d*d + latencyNoise*latencyNoise)
	}
	if ls.inFlight > 0 {
		latency = max(latency, float64(now.since(ls.lastProgress)))
	}
	n, slots := ls.load(now), float64(ls.slots)
	c := latency * (1 + n/slots)
	if n+1 > slots {
		c += latency * (n + 1 - slots) / slots
	}
	c *= 1 + failureCost*float64(ls.failures)*left
	if ls.refusals > 0 {
		times := float64(int(1) << ls.refusals)
		halfLife := min(time.Duration(times*refusalHalfLife*s.serviceTime(ls)), maxRefusalHalfLife)
		c *= 1 + times*fastDecay(now.since(s.workers[i].lastRefusal), halfLife)
	}
	return c
}

// wait returns the expected queueing time on the worker.
func (s *Set) wait(i int32, now instant) time.Duration {
	ls := &s.stats[i]
	return expectedWait(s.serviceTime(ls), ls.load(now), float64(ls.slots))
}

// serviceTime returns the worker's mean service time in nanoseconds, or the mean
// of the whole service if the worker's is unknown.
func (s *Set) serviceTime(ls *loadStats) float64 {
	if ls.service > 0 {
		return ls.service
	}
	return s.service.orDefault(defaultLatency)
}

// mix is the finalizer of splitmix64 (Steele, Lea and Flood, "Fast splittable
// pseudorandom number generators", OOPSLA 2014).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// below maps a uniform random number to [0, n).
func below(r uint64, n int) int {
	hi, _ := bits.Mul64(r, uint64(n))
	return int(hi)
}
