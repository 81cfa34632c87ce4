package load

import (
	"encoding/json"
	stdio "io"
	"math"
	"net/http"
	"slices"
	"time"

	"jayloft/core"
)

// Report is what a run has measured.
type Report struct {
	Name     string           `json:"name"`
	Site     string           `json:"site"`
	Policy   string           `json:"policy"`
	Seed     uint64           `json:"seed"`
	Started  time.Time        `json:"started"`
	Phases   []Figures        `json:"phases"`
	Notes    []Noted          `json:"notes,omitempty"`
	Counters map[string]int64 `json:"counters,omitempty"` // of all entries and agents alive at the end
	Checks   []Verdict        `json:"checks"`
	Tasks    int              `json:"tasks"`

	*results `json:"-"`
	x        Experiment
	loads    []*loadRun
}

// Figures are the measures of one load in one phase. Times are milliseconds.
type Figures struct {
	Phase    string         `json:"phase"`
	Load     string         `json:"load"`
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"` // with the reasons of refusals
	P50      float64        `json:"p50"`
	P90      float64        `json:"p90"`
	P99      float64        `json:"p99"`
	P999     float64        `json:"p999"`
	Goodput  float64        `json:"goodput"` // per second
	Retries  float64        `json:"retries"` // share
	Tasks    float64        `json:"tasks"`   // per second
}

func newReport(r *run, open int) *Report {
	rep := &Report{
		Name: r.x.Name, Site: r.x.Site, Policy: r.opts.name, Seed: r.x.Seed, Started: r.start,
		Notes: r.notes, Tasks: r.tasks, x: r.x, loads: r.loads,
		results: &results{events: r.journals(), asked: map[core.JobID]time.Duration{}, unfinished: open},
	}
	for id, at := range r.asked {
		rep.asked[id] = at.Sub(r.start)
	}
	if r.site != nil {
		rep.Counters = r.site.counters()
		for _, v := range r.site.vms {
			rep.slots += v.slots
		}
	}
	phases := append([]Phase{{Name: "", To: Duration(r.x.length())}}, r.x.Phases...)
	for _, p := range phases {
		for _, l := range r.loads {
			rep.Phases = append(rep.Phases, rep.figures(p.Name, l.load.Name))
		}
	}
	for _, c := range r.x.Checks {
		rep.Checks = append(rep.Checks, rep.judge(c))
	}
	return rep
}

// figures returns the measures of a load in a phase.
func (r *Report) figures(phase, load string) Figures {
	w := r.window(Ref{Load: load, Phase: phase})
	f := Figures{
		Phase: phase, Load: load, Requests: len(w.samples), Outcomes: map[string]int{},
		P50: finite(w.latency(0.5)), P90: finite(w.latency(0.9)), P99: finite(w.latency(0.99)), P999: finite(w.latency(0.999)),
		Goodput: w.goodput(), Retries: w.retries(), Tasks: w.tasksDone(),
	}
	for _, s := range w.samples {
		name := string(s.Outcome)
		if s.Reason != core.ReasonNone {
			name += "." + string(s.Reason)
		}
		f.Outcomes[name]++
	}
	return f
}

func finite(f float64) float64 {
	if math.IsNaN(f) {
		return 0
	}
	return f
}

// counters sums the counters of all processes that are alive.
func (s *Site) counters() map[string]int64 {
	sum := map[string]int64{}
	var hosts []http.Handler
	for _, e := range s.entries {
		hosts = append(hosts, e.server.Metrics())
	}
	for _, v := range s.vms {
		hosts = append(hosts, v.agent.Metrics())
	}
	for _, h := range hosts {
		for name, n := range scrape(h) {
			sum[name] += n
		}
	}
	return sum
}

// Passed reports whether every check holds.
func (r *Report) Passed() bool {
	return !slices.ContainsFunc(r.Checks, func(v Verdict) bool { return !v.Pass })
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w stdio.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}
