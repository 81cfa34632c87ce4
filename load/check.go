package load

import (
	"fmt"
	"math"
	"time"

	"jayloft/core"
)

// Ref narrows a measure down. What is empty is taken from the check itself, or
// means the first load, the whole run and all workers.
type Ref struct {
	Load   string
	Phase  string
	Worker core.WorkerID
	DC     core.DC
}

// Check is a bound on a measure, or on its ratio to, or difference from, the
// same measure elsewhere in the run.
type Check struct {
	Text    string
	Measure Measure
	Load    string
	Phase   string
	Worker  core.WorkerID
	DC      core.DC
	Over    *Ref // divide by it
	Less    *Ref // subtract it
	Min     *float64
	Max     *float64
}

// findings returns what is wrong with a check.
func (c Check) findings(loads, phases map[string]bool) []string {
	var found []string
	if _, ok := measures[c.Measure]; !ok {
		found = append(found, fmt.Sprintf("unknown measure %q; measures are %v", c.Measure, sortedMeasures()))
	}
	if c.Min == nil && c.Max == nil {
		found = append(found, "want min or max")
	}
	refs := []Ref{{Load: c.Load, Phase: c.Phase}}
	for _, r := range []*Ref{c.Over, c.Less} {
		if r != nil {
			refs = append(refs, *r)
		}
	}
	for _, r := range refs {
		if r.Load != "" && !loads[r.Load] {
			found = append(found, fmt.Sprintf("there is no load %q", r.Load))
		}
		if !phases[r.Phase] {
			found = append(found, fmt.Sprintf("there is no phase %q", r.Phase))
		}
	}
	return found
}

// Verdict is the result of a check.
type Verdict struct {
	Text  string  `json:"text"`
	Value float64 `json:"value"`
	Bound string  `json:"bound"`
	Pass  bool    `json:"pass"`
}

// judge takes a check's measures. A figure that can't be taken fails.
func (r *Report) judge(c Check) Verdict {
	self := Ref{Load: c.Load, Phase: c.Phase, Worker: c.Worker, DC: c.DC}
	v := Verdict{Text: c.Text, Value: r.take(c.Measure, self)}
	if v.Text == "" {
		v.Text = fmt.Sprintf("%s %s %s", c.Measure, c.Phase, c.Load)
	}
	if c.Over != nil {
		v.Value /= r.take(c.Measure, c.Over.or(self))
	}
	if c.Less != nil {
		v.Value -= r.take(c.Measure, c.Less.or(self))
	}
	v.Pass = !math.IsNaN(v.Value)
	if c.Min != nil {
		v.Bound += fmt.Sprintf(">= %g ", *c.Min)
		v.Pass = v.Pass && v.Value >= *c.Min
	}
	if c.Max != nil {
		v.Bound += fmt.Sprintf("<= %g ", *c.Max)
		v.Pass = v.Pass && v.Value <= *c.Max
	}
	if math.IsNaN(v.Value) || math.IsInf(v.Value, 0) {
		v.Value = -1 // JSON has no such number
	}
	return v
}

// or fills what is empty in a reference.
func (f Ref) or(other Ref) Ref {
	if f.Load == "" {
		f.Load = other.Load
	}
	if f.Phase == "" {
		f.Phase = other.Phase
	}
	if f.Worker == "" {
		f.Worker = other.Worker
	}
	if f.DC == "" {
		f.DC = other.DC
	}
	return f
}

// take takes one measure.
func (r *Report) take(m Measure, f Ref) float64 { return measures[m].take(r.window(f)) }

// window returns the part of the run that a reference names.
func (r *Report) window(f Ref) window {
	w := window{results: r.results, worker: f.Worker, dc: f.DC, to: r.x.length()}
	for _, p := range r.x.Phases {
		if p.Name == f.Phase {
			w.from, w.to = p.From.D(), p.To.D()
		}
	}
	for i, l := range r.loads {
		if l.load.Name == f.Load || f.Load == "" && i == 0 {
			w.load = l.load
			w.samples = between(l.samples, w.from, w.to)
		}
	}
	return w
}

// between returns the samples that arrived in [from, to); they are in order.
func between(s []Sample, from, to time.Duration) []Sample {
	lo, hi := 0, len(s)
	for lo < hi && s[lo].At < from {
		lo++
	}
	for hi > lo && s[hi-1].At >= to {
		hi--
	}
	return s[lo:hi]
}
