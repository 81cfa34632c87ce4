package route

import (
	"math"
	"time"
)

// Result is how a request ended.
type Result uint8

// Results of requests. Failure and NoAnswer count as failures.
const (
	Success  Result = iota
	Failure         // the worker failed
	Refused         // the agent did not admit the request
	NoAnswer        // the connection broke or the time was up
	Canceled        // the entry gave the request up, as another answer was faster
)

// Policy is a way to choose among the workers.
type Policy uint8

// Policies. Random and RoundRobin are baselines: they heed neither load nor
// results, and eject no worker.
const (
	TwoChoices Policy = iota
	Random
	RoundRobin
)

// Stat is what a Set knows of one worker.
type Stat struct {
	Slots    int
	InFlight int           // sent by this entry and not done
	Others   float64       // estimated requests of other entries
	Latency  time.Duration // mean of recent good answers
	Failures float64       // recent share of requests that failed
	Closed   bool
	Ejected  bool
	Probe    time.Time // when an ejected worker may be probed
}

// Set holds the workers of one service. The zero value is ready for use.
type Set struct {
	// Policy must be set before the first Pick.
	Policy Policy

	epoch   time.Time
	slots   map[string]int32
	stats  []loadStats
	workers []worker
	unused  []int32
	live    []int32 // open and not ejected
	ejected     []int32 // open and ejected
	roundRobin    int     // of RoundRobin
	picks   int     // since the last probe

	total    totals
	latency  mean // of good answers
	service  mean // latency less the time in queues
	failures mean
	recent   recent
}

// loadStats is what a pick reads of a worker. It fills one cache line, as the time
// of a pick among many workers is that of fetching them from memory.
type loadStats struct {
	slots    int32
	inFlight int32
	latency  float64 // nanoseconds; 0 before the first answer
	service  float64 // latency less the time in the queue
	othersMean    float32 // requests of other entries, mean over the reports
	others   float32 // requests of other entries at reported
	failures float32 // share at ended
	refusals uint16  // in a row
	state    state
	reportedAt instant
	lastResult    instant // the last result other than a refusal
	lastProgress    instant // the last end, or the start of the oldest wait
}

// worker is the rest of what is known of a worker.
type worker struct {
	id       string
	position int32 // in live or out
	answers  int   // good ones
	reports  int
	lastRefusal  instant

	failStreak  int // failures in a row
	goodProbes    int // good probes in a row
	failedProbes  int // failed probes in a row
	probing bool
	nextProbe   time.Time
}

// instant is a point in time, in nanoseconds since the epoch of the Set.
type instant int64

// at returns the time as an instant.
func (s *Set) at(now time.Time) instant {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	return instant(now.Sub(s.epoch))
}

// since returns the time from then to t.
func (t instant) since(then instant) time.Duration { return time.Duration(t - then) }

type state uint8

const (
	stateClosed state = iota
	stateLive
	stateEjected
)

const (
	reportHalfLife  = time.Second      // of the load in an agent's report
	resultHalfLife = 10 * time.Second // of latencies and failures without new results

	reportWeight  = 1.0 / 8   // of one report in the usual load
	workerWeight  = 1.0 / 16  // of one result in a worker's means
	serviceWeight = 1.0 / 256 // of one result in the means of the service

	defaultLatency = float64(time.Millisecond) // before the first answer
)

// Put adds the worker, open, or changes its slots.
func (s *Set) Put(id string, slots int, now time.Time) {
	slots = max(slots, 1)
	if i, ok := s.slots[id]; ok {
		g := &s.stats[i]
		if s.stats[i].state == stateLive {
			s.total.slots += slots - int(g.slots)
		}
		g.slots = int32(slots)
		return
	}
	if s.slots == nil {
		s.slots = make(map[string]int32)
	}
	t := s.at(now)
	w, g := worker{id: id}, loadStats{slots: int32(slots), reportedAt: t, lastResult: t, lastProgress: t}
	var i int32
	if n := len(s.unused); n > 0 {
		i = s.unused[n-1]
		s.unused = s.unused[:n-1]
		s.workers[i], s.stats[i] = w, g
	} else {
		i = int32(len(s.workers))
		s.workers = append(s.workers, w)
		s.stats = append(s.stats, g)
	}
	s.slots[id] = i
	s.setState(i, stateLive)
}

// Remove forgets the worker.
func (s *Set) Remove(id string) {
	i, ok := s.slots[id]
	if !ok {
		return
	}
	s.setState(i, stateClosed)
	s.limitEjected()
	delete(s.slots, id)
	s.workers[i], s.stats[i] = worker{}, loadStats{}
	s.unused = append(s.unused, i)
}

// SetClosed keeps the worker from being picked, or opens it again.
func (s *Set) SetClosed(id string, closed bool) {
	i, ok := s.slots[id]
	if !ok {
		return
	}
	w, g := &s.workers[i], &s.stats[i]
	switch {
	case closed && g.state != stateClosed:
		s.setState(i, stateClosed)
		s.limitEjected()
	case !closed && g.state == stateClosed:
		w.failStreak, w.probing = 0, false
		s.setState(i, stateLive)
	}
}

// Len returns the number of workers, closed ones included.
func (s *Set) Len() int { return len(s.slots) }

// Ejected reports whether the worker is ejected.
func (s *Set) Ejected(id string) bool {
	i, ok := s.slots[id]
	return ok && s.stats[i].state == stateEjected
}

// Stat returns what the set knows of the worker, as of its last result and
// report; the zero Stat if it is unknown.
func (s *Set) Stat(id string) Stat {
	i, ok := s.slots[id]
	if !ok {
		return Stat{}
	}
	w, g := &s.workers[i], &s.stats[i]
	st := Stat{
		Slots:    int(g.slots),
		InFlight: int(g.inFlight),
		Others:   float64(g.others),
		Latency:  time.Duration(g.latency),
		Failures: float64(g.failures),
		Closed:   g.state == stateClosed,
		Ejected:  g.state == stateEjected,
	}
	if st.Ejected {
		st.Probe = w.nextProbe
	}
	return st
}

// setState moves the worker to another state and its list.
func (s *Set) setState(i int32, to state) {
	w, g := &s.workers[i], &s.stats[i]
	if list := s.listOf(g.state); list != nil {
		end := len(*list) - 1
		last := (*list)[end]
		(*list)[w.position] = last
		s.workers[last].position = w.position
		*list = (*list)[:end]
	}
	if g.state == stateLive {
		s.total.add(g, -1)
	}
	g.state = to
	if list := s.listOf(to); list != nil {
		w.position = int32(len(*list))
		*list = append(*list, i)
	}
	if to == stateLive {
		s.total.add(g, 1)
	}
}

func (s *Set) listOf(st state) *[]int32 {
	switch st {
	case stateLive:
		return &s.live
	case stateEjected:
		return &s.ejected
	}
	return nil
}

// mean is an exponentially weighted mean.
type mean struct {
	value float64
	count int
}

func (m *mean) add(v, weight float64) {
	m.count++
	updateMean(&m.value, v, weight, m.count)
}

// orDefault returns the mean, orDefault v if there are no values.
func (m *mean) orDefault(v float64) float64 {
	if m.count == 0 {
		return v
	}
	return m.value
}

// updateMean takes the nth value into a mean with the weight that a value has once
// there are enough; before, the mean is a plain one.
func updateMean(mean *float64, v, weight float64, n int) {
	*mean += (v - *mean) * max(weight, 1/float64(n))
}

// decay returns the factor that is left of a value after the time since then.
func decay(since time.Duration, halfLife time.Duration) float64 {
	if since <= 0 {
		return 1
	}
	return math.Exp2(-float64(since) / float64(halfLife))
}

// fastDecay is decay within a thousandth, for picks.
func fastDecay(since time.Duration, halfLife time.Duration) float64 {
	const maxHalfLives = 60 // half-lives after which nothing is left
	if since <= 0 {
		return 1
	}
	x := float64(since) / float64(halfLife)
	if x >= maxHalfLives {
		return 0
	}
	n := int(x)
	f := x - float64(n)
	// The first terms of the series of 2^-f about 0.5.
	u := (f - 0.5) * math.Ln2
	fraction := math.Sqrt2 / 2 * (1 - u*(1-u/2*(1-u/3)))
	return math.Float64frombits(math.Float64bits(fraction) - uint64(n)<<52)
}
