package load

import (
	"fmt"
	stdio "io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// printer writes text and keeps the first error.
type printer struct {
	w   stdio.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

// WriteText writes the report for people.
func (r *Report) WriteText(w stdio.Writer) error {
	p := &printer{w: w}
	p.printf("%s at %s, policy %s, seed %d, %s\n\n", r.Name, r.Site, r.Policy, r.Seed, r.Started.Format(time.RFC3339))
	r.writeFigures(p)
	if len(r.Notes) > 0 {
		p.printf("\n")
	}
	for _, n := range r.Notes {
		p.printf("%6.1f s  %s\n", n.At.D().Seconds(), n.Text)
	}
	if len(r.Checks) > 0 {
		p.printf("\n")
	}
	for _, v := range r.Checks {
		word := "ok    "
		if !v.Pass {
			word = "FAILED"
		}
		p.printf("%s %s: %.4g, want %s\n", word, v.Text, v.Value, v.Bound)
	}
	return p.err
}

func (r *Report) writeFigures(p *printer) {
	table := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	t := &printer{w: table}
	t.printf("phase\tload\trequests\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tgood/s\tretries\ttasks/s\toutcomes\n")
	for _, f := range r.Phases {
		phase := f.Phase
		if phase == "" {
			phase = "all"
		}
		t.printf("%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.2f%%\t%.2f\t%s\n", phase, f.Load, f.Requests,
			f.P50, f.P90, f.P99, f.P999, f.Goodput, 100*f.Retries, f.Tasks, outcomes(f.Outcomes))
	}
	if err := table.Flush(); p.err == nil {
		p.err = err
	}
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
