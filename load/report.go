package load

import (
	"encoding/json"
	"fmt"
	stdio "io"
	"math"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
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

// WriteText writes the report for people.
func (r *Report) WriteText(w stdio.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s at %s, policy %s, seed %d, %s\n\n", r.Name, r.Site, r.Policy, r.Seed, r.Started.Format(time.RFC3339))
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "phase\tload\trequests\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tgood/s\tretries\ttasks/s\toutcomes")
	for _, f := range r.Phases {
		phase := f.Phase
		if phase == "" {
			phase = "all"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.2f%%\t%.2f\t%s\n", phase, f.Load, f.Requests,
			f.P50, f.P90, f.P99, f.P999, f.Goodput, 100*f.Retries, f.Tasks, outcomes(f.Outcomes))
	}
	_ = t.Flush() // a Builder doesn't fail
	if len(r.Notes) > 0 {
		fmt.Fprintln(&b)
	}
	for _, n := range r.Notes {
		fmt.Fprintf(&b, "%6.1f s  %s\n", n.At.D().Seconds(), n.Text)
	}
	if len(r.Checks) > 0 {
		fmt.Fprintln(&b)
	}
	for _, v := range r.Checks {
		word := "ok    "
		if !v.Pass {
			word = "FAILED"
		}
		fmt.Fprintf(&b, "%s %s: %.4g, want %s\n", word, v.Text, v.Value, v.Bound)
	}
	_, err := stdio.WriteString(w, b.String())
	return err
}

// outcomes writes counts, the largest first.
func outcomes(m map[string]int) string {
	var names []string
	for n := range m {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b string) int {
		if m[a] != m[b] {
			return m[b] - m[a]
		}
		return strings.Compare(a, b)
	})
	for i, n := range names {
		names[i] = fmt.Sprintf("%s %d", n, m[n])
	}
	return strings.Join(names, ", ")
}
