package fake

import (
	"sort"
	"time"

	"jayloft/core"
)

// Answered is what became of one caller's request.
type Answered struct {
	ID      core.RequestID
	Service string
	At      time.Time // World's clock, when it came
	Took    time.Duration
	Outcome core.Outcome // empty: none yet
	Reason  core.Reason
}

// Answers returns what became of the callers' requests, in order of arrival.
func (o *Oracle) Answers() []Answered {
	as := make([]Answered, 0, len(o.requests))
	for _, r := range o.requests {
		a := Answered{ID: r.id, Service: r.service, At: r.at}
		if len(r.answers) > 0 {
			a.Took, a.Outcome, a.Reason = r.took, r.answers[0].Outcome, r.answers[0].Reason
		}
		as = append(as, a)
	}
	sort.Slice(as, func(i, j int) bool {
		if !as[i].At.Equal(as[j].At) {
			return as[i].At.Before(as[j].At)
		}
		return as[i].ID < as[j].ID
	})
	return as
}

// Tasks returns the states of all accepted tasks as the table has them.
func (o *Oracle) Tasks() map[core.TaskID]core.TaskRow {
	m := make(map[core.TaskID]core.TaskRow)
	for _, r := range o.rows {
		for n, t := range r.Tasks {
			m[core.TaskID{Job: r.Spec.ID, N: n}] = t
		}
	}
	return m
}

// Launches returns how many attempts were really started.
func (o *Oracle) Launches() int { return len(o.attempts) }

// rate counts events and the most of them within one second.
type rate struct {
	total int
	peak  int
	last  []time.Time // within the last second
}

func (r *rate) add(now time.Time) {
	r.total++
	r.last = append(r.last, now)
	old := 0
	for now.Sub(r.last[old]) >= time.Second {
		old++
	}
	r.last = r.last[old:]
	r.peak = max(r.peak, len(r.last))
}

// Rates are calls of the table.
type Rates struct {
	Writes, Reads         int // all
	PeakWrites, PeakReads int // within any one second
}

// StoreRates returns the calls of the table since the last ResetRates.
func (w *World) StoreRates() Rates {
	s := w.store
	return Rates{s.writes.total, s.reads.total, s.writes.peak, s.reads.peak}
}

// ResetRates forgets the calls of the table so far.
func (w *World) ResetRates() { w.store.writes, w.store.reads = rate{}, rate{} }
