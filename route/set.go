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
	Failure         // the worker answered with an error
	Refused         // the agent did not admit the request
	NoAnswer        // the connection broke or the request timed out
	Canceled        // the entry canceled the request, as another answer was faster
)

// Policy is a load-balancing policy.
type Policy uint8

// Load-balancing policies. Random and RoundRobin are baselines: they ignore load
// and results and eject no worker.
const (
	TwoChoices Policy = iota
	Random
	RoundRobin
)

// Stat holds the statistics of one worker.
type Stat struct {
	Slots    int
	InFlight int           // sent by this entry and not done
	Others   float64       // estimated requests of other entries
	Latency  time.Duration // mean of recent requests
	Failures float64       // recent fraction of requests that failed
	Closed   bool
	Ejected  bool
	Probe    time.Time // when an ejected worker may be probed
}

// Set holds the workers of one service. The zero value is ready for use.
type Set struct {
	// Policy must be set before the first Pick.
	Policy Policy

	epoch      time.Time
	slots      map[string]int32
	stats      []loadStats
	workers    []worker
	unused     []int32
	live       []int32 // open and not ejected
	ejected    []int32 // open and ejected
	roundRobin int     // counter of the RoundRobin policy
	picks      int     // since the last probe

	total    totals
	latency  mean // of successful requests, in nanoseconds
	service  mean // latency less the time in queues, in nanoseconds
	failures mean
	recent   recent
}

// loadStats holds the statistics of a worker that a pick reads. It fills one
// cache line, since fetching these from memory dominates the time of a pick among
// many workers.
type loadStats struct {
	slots        int32
	inFlight     int32
	latency      float64 // nanoseconds; 0 before the first answer
	service      float64 // latency less the time in the queue
	othersMean   float32 // requests of other entries, mean over the reports
	others       float32 // requests of other entries at reportedAt
	failures     float32 // failure rate at lastResult
	refusals     uint16  // consecutive
	state        state
	reportedAt   instant
	lastResult   instant // time of the last result other than a refusal
	lastProgress instant // when a request last ended, or was sent to the idle worker
}

// worker holds the remaining state of a worker.
type worker struct {
	id          string
	position    int32 // in live or ejected
	answers     int   // latencies recorded
	reports     int
	lastRefusal instant

	failStreak   int // consecutive failures
	goodProbes   int // consecutive successful probes
	failedProbes int // consecutive failed probes
	probing      bool
	nextProbe    time.Time
}

// instant is a point in time, in nanoseconds since the epoch of the Set.
type instant int64

// at converts a time to an instant. The first call sets the epoch of the Set.
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
	reportHalfLife = time.Second      // of the load in an agent's report
	resultHalfLife = 10 * time.Second // of a worker's latency and failure rate without new results

	reportWeight  = 1.0 / 8   // of one report in othersMean
	workerWeight  = 1.0 / 16  // of one result in a worker's means
	serviceWeight = 1.0 / 256 // of one result in the means of the service

	defaultLatency = float64(time.Millisecond) // until the first success
)

// Put adds the worker as open, or changes the slots of a known one.
func (s *Set) Put(id string, slots int, now time.Time) {
	slots = max(slots, 1)
	if i, ok := s.slots[id]; ok {
		ls := &s.stats[i]
		if s.stats[i].state == stateLive {
			s.total.slots += slots - int(ls.slots)
		}
		ls.slots = int32(slots)
		return
	}
	if s.slots == nil {
		s.slots = make(map[string]int32)
	}
	t := s.at(now)
	w, ls := worker{id: id}, loadStats{slots: int32(slots), reportedAt: t, lastResult: t, lastProgress: t}
	var i int32
	if n := len(s.unused); n > 0 {
		i = s.unused[n-1]
		s.unused = s.unused[:n-1]
		s.workers[i], s.stats[i] = w, ls
	} else {
		i = int32(len(s.workers))
		s.workers = append(s.workers, w)
		s.stats = append(s.stats, ls)
	}
	s.slots[id] = i
	s.setState(i, stateLive)
}

// Remove deletes the worker. Unknown ids are ignored.
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

// SetClosed closes the worker, so that it is not picked, or reopens it. Reopening
// ends an ejection.
func (s *Set) SetClosed(id string, closed bool) {
	i, ok := s.slots[id]
	if !ok {
		return
	}
	w, ls := &s.workers[i], &s.stats[i]
	switch {
	case closed && ls.state != stateClosed:
		s.setState(i, stateClosed)
		s.limitEjected()
	case !closed && ls.state == stateClosed:
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

// Stat returns the statistics of the worker as of its last result and report,
// or the zero Stat if the worker is unknown.
func (s *Set) Stat(id string) Stat {
	i, ok := s.slots[id]
	if !ok {
		return Stat{}
	}
	w, ls := &s.workers[i], &s.stats[i]
	st := Stat{
		Slots:    int(ls.slots),
		InFlight: int(ls.inFlight),
		Others:   float64(ls.others),
		Latency:  time.Duration(ls.latency),
		Failures: float64(ls.failures),
		Closed:   ls.state == stateClosed,
		Ejected:  ls.state == stateEjected,
	}
	if st.Ejected {
		st.Probe = w.nextProbe
	}
	return st
}

// setState changes the state of the worker and moves it to the list of that state.
func (s *Set) setState(i int32, to state) {
	w, ls := &s.workers[i], &s.stats[i]
	if list := s.listOf(ls.state); list != nil {
		end := len(*list) - 1
		last := (*list)[end]
		(*list)[w.position] = last
		s.workers[last].position = w.position
		*list = (*list)[:end]
	}
	if ls.state == stateLive {
		s.total.add(ls, -1)
	}
	ls.state = to
	if list := s.listOf(to); list != nil {
		w.position = int32(len(*list))
		*list = append(*list, i)
	}
	if to == stateLive {
		s.total.add(ls, 1)
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

// mean is an exponentially weighted moving average.
type mean struct {
	value float64
	count int
}

func (m *mean) add(v, weight float64) {
	m.count++
	updateMean(&m.value, v, weight, m.count)
}

// orDefault returns the mean, or v if there are no values.
func (m *mean) orDefault(v float64) float64 {
	if m.count == 0 {
		return v
	}
	return m.value
}

// updateMean adds the nth value to an exponentially weighted mean. The first
// 1/weight values have equal weights.
func updateMean(mean *float64, v, weight float64, n int) {
	*mean += (v - *mean) * max(weight, 1/float64(n))
}

// decay returns the factor of exponential decay after the time since.
func decay(since time.Duration, halfLife time.Duration) float64 {
	if since <= 0 {
		return 1
	}
	return math.Exp2(-float64(since) / float64(halfLife))
}

// fastDecay approximates decay with a relative error below 0.1%. It is for
// picks, which compute it several times per worker.
func fastDecay(since time.Duration, halfLife time.Duration) float64 {
	const maxHalfLives = 60 // from here on the result is 0
	if since <= 0 {
		return 1
	}
	x := float64(since) / float64(halfLife)
	if x >= maxHalfLives {
		return 0
	}
	n := int(x)
	f := x - float64(n)
	// The first terms of the Taylor series of 2^-f at 0.5.
	u := (f - 0.5) * math.Ln2
	fraction := math.Sqrt2 / 2 * (1 - u*(1-u/2*(1-u/3)))
	return math.Float64frombits(math.Float64bits(fraction) - uint64(n)<<52)
}
