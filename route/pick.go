package route

import (
	"math/bits"
	"slices"
	"time"
)

const (
	choices = 2

	// Draws beyond the first choices that may hit a worker to avoid.
	extraDraws = 4

	// A request is a probe at most once in picksPerProbe picks, unless the probe
	// is overdue.
	picksPerProbe   = 200
	probeOverdue = 10 * time.Second
	picksPerProbeCheck    = 8 // picks between looks for a probe that is due

	// A refusal raises the cost of a worker for about a service time. Each
	// further one in a row doubles the cost and the time.
	refusalHalfLife = 0.25 // service times
	maxRefusalHalfLife  = time.Second
	maxRefusals     = 10

	// surplusHalfLife is the half-life, in service times, of what a report of the
	// load has beyond the usual.
	surplusHalfLife = 2

	// latencyNoise is the standard deviation, relative to the latency of the service,
	// by which a worker's mean may differ without cause. Differences are
	// shrunk by signal to signal plus latencyNoise (Wiener).
	latencyNoise = 0.4

	// A worker on which all requests fail costs 1+failureCost times as much.
	failureCost = 20
)

// Pick chooses the worker for a request and returns the expected wait there.
// It reports false if every worker is closed or to be avoided. A request that
// avoids no worker may be used to probe an ejected one.
func (s *Set) Pick(now time.Time, seed uint64, avoid []string) (id string, wait time.Duration, ok bool) {
	if len(avoid) == 0 && s.Policy == TwoChoices {
		if i := s.dueProbe(now, seed); i >= 0 {
			return s.workers[i].id, s.wait(i, s.at(now)), true
		}
	}
	return s.pick(s.at(now), seed, avoid)
}

// PickNoProbe is like Pick but never probes: it is for requests that can't be
// tried again.
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

// choose returns the cheapest of a few random live workers, or -1.
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

// drawLive returns a random live worker, of which there must be some. Mostly the
// first drawLive among all workers is live, which saves a look at the list.
func (s *Set) drawLive(seed uint64) int32 {
	r := mix(seed)
	if i := below(r, len(s.stats)); s.stats[i].state == stateLive {
		return int32(i)
	}
	return s.live[below(mix(r), len(s.live))]
}

// firstNotAvoided returns the first worker from the position on that is not to be
// avoided, or -1.
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

// dueProbe returns an ejected worker to be probed, or -1. A look is at one ejected
// worker, so that the time does not grow with their number.
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

// cost returns the expected time until a request that is sent to the worker
// now is answered well, in nanoseconds.
func (s *Set) cost(i int32, now instant) float64 {
	g := &s.stats[i]
	typical := s.latency.orDefault(defaultLatency)
	latency, left := typical, fastDecay(now.since(g.lastResult), resultHalfLife)
	if g.latency > 0 {
		d := (g.latency - typical) / typical
		latency += (g.latency - typical) * left * d * d / (d*d + latencyNoise*latencyNoise)
	}
	if g.inFlight > 0 {
		latency = max(latency, float64(now.since(g.lastProgress)))
	}
	n, slots := g.load(now), float64(g.slots)
	c := latency * (1 + n/slots)
	if n+1 > slots {
		c += latency * (n + 1 - slots) / slots
	}
	c *= 1 + failureCost*float64(g.failures)*left
	if g.refusals > 0 {
		times := float64(int(1) << g.refusals)
		halfLife := min(time.Duration(times*refusalHalfLife*s.serviceTime(g)), maxRefusalHalfLife)
		c *= 1 + times*fastDecay(now.since(s.workers[i].lastRefusal), halfLife)
	}
	return c
}

// wait returns the expected wait on the worker.
func (s *Set) wait(i int32, now instant) time.Duration {
	g := &s.stats[i]
	return expectedWait(s.serviceTime(g), g.load(now), float64(g.slots))
}

// serviceTime returns the worker's mean service time in nanoseconds, or that
// of the whole service if the worker's is not known.
func (s *Set) serviceTime(g *loadStats) float64 {
	if g.service > 0 {
		return g.service
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

// below maps a random number to [0, n).
func below(r uint64, n int) int {
	hi, _ := bits.Mul64(r, uint64(n))
	return int(hi)
}
