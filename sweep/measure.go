package sweep

import (
	"slices"
	"time"

	"jayloft/core"
	"jayloft/stand"
)

// Requests is what became of the requests that were sent in a time.
type Requests struct {
	Sent, Done, Refused, Failed, Unknown, Unanswered int
	P50, P99, P999                                   time.Duration // of those done
	DirectP50, DirectP99                             time.Duration // service and network alone
	RefusalP99                                       time.Duration
	Retries                                          float64 // further tries over requests
}

// Success returns the share of requests that were done.
func (r Requests) Success() float64 { return float64(r.Done) / float64(max(r.Sent, 1)) }

// network is the mean time of the four hops of a request and its answer.
const network = 2*500*time.Microsecond + 2*40*time.Microsecond

// Requests measures the requests sent from one time to another.
func (s *Sim) Requests(from, to time.Duration) Requests {
	var m Requests
	var took, direct, refused []time.Duration
	tries := 0
	for i := range s.tally.requests {
		r := &s.tally.requests[i]
		if r.at < from || r.at >= to {
			continue
		}
		m.Sent++
		tries += max(r.answer.Tries-1, 0)
		switch {
		case r.took < 0:
			m.Unanswered++
			continue
		case r.answer.Outcome == core.OutcomeDone:
			m.Done++
			took = append(took, r.took)
			direct = append(direct, r.service+network)
		case r.answer.Outcome == core.OutcomeRefused:
			m.Refused++
			refused = append(refused, r.took)
		case r.answer.Outcome == core.OutcomeFailed:
			m.Failed++
		default:
			m.Unknown++
		}
	}
	m.P50, m.P99, m.P999 = quantile(took, 0.5), quantile(took, 0.99), quantile(took, 0.999)
	m.DirectP50, m.DirectP99 = quantile(direct, 0.5), quantile(direct, 0.99)
	m.RefusalP99 = quantile(refused, 0.99)
	m.Retries = float64(tries) / float64(max(m.Sent, 1))
	return m
}

// returnsOver is the time over which returns of refused callers are counted.
const returnsOver = 100 * time.Millisecond

// Returns returns how many of the callers refused from one time to another
// would come back in the same tenth of a second, if all did as they were told.
func (s *Sim) Returns(from, to time.Duration) int {
	n := map[time.Duration]int{}
	peak := 0
	for i := range s.tally.requests {
		r := &s.tally.requests[i]
		if r.took < 0 || r.answer.Outcome != core.OutcomeRefused || !within(r.at, from, to) {
			continue
		}
		back := (r.at + r.took + r.answer.RetryAfter) / returnsOver
		n[back]++
		peak = max(peak, n[back])
	}
	return peak
}

// Share returns a worker's share of the runs that began in a time.
func (s *Sim) Share(n int, from, to time.Duration) float64 {
	all, here := 0, 0
	for _, b := range s.tally.begins {
		if within(b.at, from, to) {
			all++
			if b.worker == n {
				here++
			}
		}
	}
	return float64(here) / float64(max(all, 1))
}

// Begins returns how many requests began in a data centre in a time.
func (s *Sim) Begins(dc int, from, to time.Duration) int {
	n := 0
	for _, b := range s.tally.begins {
		if within(b.at, from, to) && s.vms[b.worker].dc == dc {
			n++
		}
	}
	return n
}

// quantile returns the q-quantile of ds, which it sorts; zero if there are none.
func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[min(int(q*float64(len(ds))), len(ds)-1)]
}

// Batch is the batch work of a time.
type Batch struct {
	Work      time.Duration // done at full speed, and kept
	Lost      time.Duration // done again later, or never kept
	Evictions int           // attempts that were stopped to go on elsewhere
	Launches  int
	Done      int // tasks
}

// Batch measures the batch tasks from one time to another. The work between
// the start and the stop of an attempt counts as done evenly.
func (s *Sim) Batch(from, to time.Duration) Batch {
	var m Batch
	for id, as := range s.tally.tries() {
		if s.tally.jobs[id.Job].urgent {
			continue
		}
		for i, a := range as {
			m.add(a, from, to, s.now)
			if i+1 < len(as) && within(as[i+1].resumed, from, to) {
				m.Lost += a.lost(as[i+1])
			}
		}
	}
	m.Work -= m.Lost
	return m
}

func within(at, from, to time.Duration) bool { return at >= from && at < to }

func (m *Batch) add(a *attempt, from, to, now time.Duration) {
	if within(a.launched, from, to) {
		m.Launches++
	}
	if within(a.endedAt, from, to) {
		switch a.ended {
		case core.EndDone:
			m.Done++
		case core.EndEvicted:
			m.Evictions++
		}
	}
	for _, r := range a.runs {
		if r.open {
			r.to = now
		}
		begin, end := max(r.from, from), min(r.to, to)
		if end > begin && r.to > r.from {
			m.Work += time.Duration(float64(r.after-r.before) * float64(end-begin) / float64(r.to-r.from))
		}
	}
}

// lost returns the work of an attempt that the next one does again.
func (a *attempt) lost(next *attempt) time.Duration {
	if len(a.runs) == 0 || len(next.runs) == 0 {
		return 0
	}
	return max(a.runs[len(a.runs)-1].after-next.runs[0].before, 0)
}

// UrgentStart returns a quantile of the times from an urgent job's submission
// to the start of its tasks, and the number of tasks that started.
func (s *Sim) UrgentStart(q float64) (time.Duration, int) {
	var ds []time.Duration
	for id, as := range s.tally.tries() {
		j := s.tally.jobs[id.Job]
		if !j.urgent {
			continue
		}
		for _, a := range as {
			if len(a.runs) > 0 {
				ds = append(ds, a.runs[0].from-j.at)
				break
			}
		}
	}
	return quantile(ds, q), len(ds)
}

// Commands returns how many answers commands sent in a time got, by outcome,
// and the longest time until an answer.
func (s *Sim) Commands(from, to time.Duration) (n map[core.CommandOutcome]int, longest time.Duration) {
	n = map[core.CommandOutcome]int{}
	for _, c := range s.tally.commands {
		if within(c.at, from, to) {
			n[c.outcome]++
			longest = max(longest, c.took)
		}
	}
	return n, longest
}

// Starts returns how many attempts were launched in a data centre in a time.
func (s *Sim) Starts(dc int, from, to time.Duration) int {
	n := 0
	for _, a := range s.tally.order {
		if within(a.launched, from, to) && s.dcOf(a.worker) == dc {
			n++
		}
	}
	return n
}

// Resume returns how long after a VM's death the last of its tasks ran again
// elsewhere, and how many tasks it had. Tasks that never did count as until now.
func (s *Sim) Resume(n int, died time.Duration) (last time.Duration, tasks int) {
	for _, as := range s.tally.tries() {
		for i, a := range as {
			if a.worker != workerName(n) || len(a.runs) == 0 || a.ended != "" || a.runs[len(a.runs)-1].to != died {
				continue
			}
			tasks++
			again := s.now
			for _, b := range as[i+1:] {
				if len(b.runs) > 0 {
					again = b.runs[0].from
					break
				}
			}
			last = max(last, again-died)
		}
	}
	return last, tasks
}

// Over returns how often a worker was given more than it holds.
func (s *Sim) Over() int { return s.tally.over }

// Overlaps returns where a task ran in two places at once.
func (s *Sim) Overlaps() []stand.Overlap { return stand.Overlaps(s.tally.kept) }

func (s *Sim) dcOf(w core.WorkerID) int {
	for i, v := range s.vms {
		if workerName(i) == w {
			return v.dc
		}
	}
	return -1
}
