package route

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jayloft/limit"
)

// sim simulates the requests of one service through several entries and workers
// in virtual time. Each entry has its own Set.
type sim struct {
	cfg     simConfig
	now     time.Time
	start   time.Time
	order   int
	queue   events
	rng     *rand.Rand
	entries []*simEntry
	workers []*simWorker

	latencies []time.Duration // of successful requests, after warm-up
	arrivals  int
	done      int
	failed    int
	refused   int // by the entries
	late      int // done after the deadline
	sent      int // after warm-up
	retries   int
}

type simConfig struct {
	policy   Policy
	entries  int
	workers  int
	load     float64 // arrivals as a share of the capacity of all workers
	service  time.Duration
	deadline time.Duration
	length   time.Duration
	warm     time.Duration // warm-up time, not measured
	gate     bool
	change   func(w *simWorker) // applied to the first worker
}

type simEntry struct {
	set     Set
	retries *limit.Budget
	gate    limit.Gate
}

type simWorker struct {
	id       string
	slots    int
	maxQueue int // length limit of the queue
	slow     float64
	fail     float64 // fraction of requests that fail immediately
	refuse   bool
	running  int
	waiting  []*simRequest
	sent     int // requests sent there after warm-up
}

type simRequest struct {
	entry    *simEntry
	arrived  time.Time
	deadline time.Time
	sent     time.Time
	tried    []string
	retried  int
}

const (
	simHop       = 250 * time.Microsecond
	simHeartbeat = 500 * time.Millisecond
	simSlots     = 8
)

var simEpoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newSim(cfg simConfig) *sim {
	s := &sim{cfg: cfg, now: simEpoch, start: simEpoch, rng: rand.New(rand.NewPCG(1, 6))}
	for range cfg.entries {
		s.entries = append(s.entries, &simEntry{
			set:     Set{Policy: cfg.policy},
			retries: limit.NewBudget(0.1, 10),
		})
	}
	for i := range cfg.workers {
		w := &simWorker{id: fmt.Sprint("w", i), slots: simSlots, maxQueue: simSlots, slow: 1}
		if i == 0 && cfg.change != nil {
			cfg.change(w)
		}
		s.workers = append(s.workers, w)
		for k, e := range s.entries {
			e.set.Put(w.id, w.slots, s.now)
			s.after(time.Duration(i*7+k*11)*time.Millisecond, func() { s.heartbeat(e, w) })
		}
	}
	s.arrive()
	return s
}

func (s *sim) run() *sim {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at.Sub(s.start) > s.cfg.length {
			break
		}
		s.now = e.at
		e.do()
	}
	return s
}

func (s *sim) warm() bool { return s.now.Sub(s.start) >= s.cfg.warm }

// arrive schedules arrivals as a Poisson process.
func (s *sim) arrive() {
	rate := s.cfg.load * float64(s.cfg.workers*simSlots) / s.cfg.service.Seconds()
	gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	s.after(gap, func() {
		s.arrive()
		r := &simRequest{
			entry:    s.entries[s.rng.IntN(len(s.entries))],
			arrived:  s.now,
			deadline: s.now.Add(s.cfg.deadline),
		}
		r.entry.retries.Deposit()
		s.arrivals++
		if s.cfg.gate {
			wait := r.entry.set.ExpectedWait(s.now)
			ok, _ := r.entry.gate.Admit(s.now, "team", 1, wait, r.deadline, s.rng.Uint64())
			if !ok {
				s.refused++
				return
			}
		}
		s.send(r)
	})
}

func (s *sim) send(r *simRequest) {
	id, _, ok := r.entry.set.Pick(s.now, s.rng.Uint64(), r.tried)
	if !ok {
		s.end(r, false)
		return
	}
	r.entry.set.Sent(id, s.now)
	r.sent = s.now
	r.tried = append(r.tried, id)
	var n int
	_, _ = fmt.Sscanf(id, "w%d", &n)
	w := s.workers[n]
	if s.warm() {
		s.sent++
		w.sent++
	}
	s.after(simHop, func() { s.receive(w, r) })
}

// receive handles a request that arrives at the worker's agent.
func (s *sim) receive(w *simWorker, r *simRequest) {
	switch {
	case w.refuse || w.running >= w.slots && len(w.waiting) >= w.maxQueue:
		s.answer(w, r, Refused)
	case w.running < w.slots:
		s.serve(w, r)
	default:
		w.waiting = append(w.waiting, r)
	}
}

// serve runs the request for a lognormal time, a distribution with a longer tail
// than the exponential.
func (s *sim) serve(w *simWorker, r *simRequest) {
	const sigma = 0.6
	w.running++
	t := float64(s.cfg.service) * w.slow * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2)
	result := Success
	if s.rng.Float64() < w.fail {
		t, result = float64(200*time.Microsecond), Failure
	}
	s.after(time.Duration(t), func() {
		w.running--
		if len(w.waiting) > 0 {
			next := w.waiting[0]
			w.waiting = w.waiting[1:]
			s.serve(w, next)
		}
		s.answer(w, r, result)
	})
}

func (s *sim) answer(w *simWorker, r *simRequest, result Result) {
	s.after(simHop, func() {
		r.entry.set.Done(w.id, s.now, s.now.Sub(r.sent), result)
		switch {
		case result == Success:
			s.end(r, true)
		case result == Refused && len(r.tried) < 3:
			s.send(r)
		case result == Failure && r.retried == 0 && r.entry.retries.Spend():
			r.retried++
			s.retries++
			s.send(r)
		default:
			s.end(r, false)
		}
	})
}

func (s *sim) end(r *simRequest, ok bool) {
	r.entry.gate.Done(s.now, "team")
	if !s.warm() {
		return
	}
	if !ok {
		s.failed++
		return
	}
	s.done++
	s.latencies = append(s.latencies, s.now.Sub(r.arrived))
	if s.now.After(r.deadline) {
		s.late++
	}
}

func (s *sim) heartbeat(e *simEntry, w *simWorker) {
	e.set.SetLoad(w.id, w.running, len(w.waiting), s.now)
	s.after(simHeartbeat, func() { s.heartbeat(e, w) })
}

func (s *sim) quantile(q float64) time.Duration {
	slices.Sort(s.latencies)
	return s.latencies[int(q*float64(len(s.latencies)-1))]
}

// String summarizes the run.
func (s *sim) String() string {
	return fmt.Sprintf("p50 %.1fms p99 %.1fms; %d done, %d failed, %d refused, %d late; %.4f to the first worker, %.4f retried",
		s.quantile(0.5).Seconds()*1e3, s.quantile(0.99).Seconds()*1e3, s.done, s.failed, s.refused, s.late,
		float64(s.workers[0].sent)/float64(s.sent), float64(s.retries)/float64(s.arrivals))
}

func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, event{s.now.Add(d), s.order, do})
}

// event is an action at a point in virtual time.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(v any)   { *q = append(*q, v.(event)) }
func (q *events) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}
