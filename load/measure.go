package load

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jayloft/core"
)

// window is what one measure is taken over.
type window struct {
	*results
	samples  []Sample // of the load
	load     Load
	from, to time.Duration
	worker   core.WorkerID
	dc       core.DC
}

// results is all that a run left behind.
type results struct {
	events     []event
	asked      map[core.JobID]time.Duration
	unfinished int // tasks
	slots      int // of all workers
}

func (w window) has(at time.Duration) bool { return at >= w.from && at < w.to }

func (w window) length() time.Duration { return w.to - w.from }

// Measure names a figure of a phase.
type Measure string

// measures maps every measure to its meaning and how it is taken.
var measures = map[Measure]struct {
	about string
	take  func(window) float64
}{
	"requests":   {"requests that arrived", func(w window) float64 { return float64(len(w.samples)) }},
	"p50":        {"median latency of answers in milliseconds", func(w window) float64 { return w.latency(0.5) }},
	"p90":        {"90% quantile of latency in milliseconds", func(w window) float64 { return w.latency(0.9) }},
	"p99":        {"99% quantile of latency in milliseconds", func(w window) float64 { return w.latency(0.99) }},
	"p999":       {"99.9% quantile of latency in milliseconds", func(w window) float64 { return w.latency(0.999) }},
	"goodput":    {"answers within their deadline, per second", window.goodput},
	"capacity":   {"goodput as a share of what all slots can do", func(w window) float64 { return w.goodput() / w.slotCapacity() }},
	"busy":       {"time that requests ran, as a share of all slots' time", window.busy},
	"late":       {"share of answers after their deadline", window.late},
	"success":    {"share of requests that were answered", func(w window) float64 { return w.outcome(core.OutcomeDone) }},
	"refused":    {"share of requests that were refused", func(w window) float64 { return w.outcome(core.OutcomeRefused) }},
	"failed":     {"share of requests that failed", func(w window) float64 { return w.outcome(core.OutcomeFailed) }},
	"unknown":    {"share of requests with an unknown outcome", func(w window) float64 { return w.outcome(core.OutcomeUnknown) }},
	"broken":     {"share of requests whose connection broke", func(w window) float64 { return w.outcome(core.Outcome(OutcomeBroken)) }},
	"wrong":      {"answers that are not whole or not the request's own", func(w window) float64 { return float64(w.count(OutcomeWrong)) }},
	"unsent":     {"requests that the load tool could not send", func(w window) float64 { return float64(w.count(OutcomeUnsent)) }},
	"refusalp99": {"99% quantile of the time to a refusal in milliseconds", window.refusal},
	"spread":     {"range of the middle 90% of times to come back, over their median", window.spread},
	"retries":    {"further tries as a share of requests", window.retries},
	"share":      {"share of all runs of requests at the named worker or data centre", window.share},
	"tasks":      {"batch tasks done per second", window.tasksDone},
	"work":       {"seconds of batch work done per second", window.work},
	"evictions":  {"batch tasks stopped to run elsewhere", window.evictions},
	"starts":     {"batch tasks started at the named worker or data centre", window.starts},
	"twice":      {"tasks that were done twice or ran in two places", window.twice},
	"lost":       {"seconds of batch work done again after a planned move", window.lost},
	"recovery":   {"seconds until the last task of a dead VM ran again", window.recovery},
	"urgentp99":  {"99% quantile of the time to an urgent task's start in milliseconds", window.urgent},
	"unfinished": {"tasks that were not done in the end", func(w window) float64 { return float64(w.unfinished) }},
}

// Measures lists all measures with their meanings, a line each.
func Measures() string {
	var b strings.Builder
	for _, m := range sortedMeasures() {
		fmt.Fprintf(&b, "    %-11s %s\n", m, measures[m].about)
	}
	return b.String()
}

func sortedMeasures() []Measure {
	var names []Measure
	for m := range measures {
		names = append(names, m)
	}
	slices.Sort(names)
	return names
}

// latest is the longest time that a histogram tells apart.
const latest = 2 * time.Minute

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, latest.Microseconds(), 3)
}

// record notes a time to the microsecond.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), latest).Microseconds()) // never out of range
}

// quantile returns a quantile in milliseconds, or NaN if there is none.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return math.NaN()
	}
	return float64(h.ValueAtQuantile(q*100)) / 1000
}

func (w window) latency(q float64) float64 {
	h := newHistogram()
	for i := range w.samples {
		if s := &w.samples[i]; s.Outcome == Outcome(core.OutcomeDone) {
			record(h, s.Took)
		}
	}
	return quantile(h, q)
}

func (w window) count(o Outcome) int {
	n := 0
	for i := range w.samples {
		if w.samples[i].Outcome == o {
			n++
		}
	}
	return n
}

func (w window) outcome(o core.Outcome) float64 {
	return float64(w.count(Outcome(o))) / float64(max(len(w.samples), 1))
}

// timely returns the answers within and after their deadline.
func (w window) timely() (in, after int) {
	for i := range w.samples {
		s := &w.samples[i]
		if s.Outcome != Outcome(core.OutcomeDone) {
			continue
		}
		if s.Took <= w.load.Timeout.D() {
			in++
		} else {
			after++
		}
	}
	return in, after
}

func (w window) goodput() float64 {
	in, _ := w.timely()
	return float64(in) / w.length().Seconds()
}

func (w window) late() float64 {
	in, after := w.timely()
	return float64(after) / float64(max(in+after, 1))
}

func (w window) refusal() float64 {
	h := newHistogram()
	for i := range w.samples {
		if s := &w.samples[i]; s.Outcome == Outcome(core.OutcomeRefused) {
			record(h, s.Took)
		}
	}
	return quantile(h, 0.99)
}

func (w window) spread() float64 {
	h := newHistogram()
	for i := range w.samples {
		if s := &w.samples[i]; s.Outcome == Outcome(core.OutcomeRefused) && s.Retry > 0 {
			record(h, s.Retry)
		}
	}
	return (quantile(h, 0.95) - quantile(h, 0.05)) / quantile(h, 0.5)
}

func (w window) retries() float64 {
	again, fresh := 0, 0
	for i := range w.samples {
		if t := w.samples[i].Tries; t > 0 {
			fresh++
			again += t - 1
		}
	}
	return float64(again) / float64(max(fresh, 1))
}
