package io

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"jayloft/core"
)

// meter records the counters, durations and log lines that a reducer emits, and
// serves /metrics and /healthz.
type meter struct {
	log      log.Interface
	registry metrics.Registry
	counters map[core.Count]metrics.Counter // guarded by the driver's mutex
	ready    func() bool                    // reports whether the process accepts work
	leaving  atomic.Bool
}

func newMeter(l log.Interface) *meter {
	return &meter{log: l, registry: metrics.NewRegistry(), counters: make(map[core.Count]metrics.Counter)}
}

func (m *meter) count(c core.Count) {
	n, ok := m.counters[c]
	if !ok {
		name := c.Name
		if c.Reason != core.ReasonNone {
			name += "." + string(c.Reason)
		}
		n = metrics.GetOrRegisterCounter(name, m.registry)
		m.counters[c] = n
	}
	n.Inc(1)
}

func (m *meter) logNote(n core.Note) {
	fields := log.Fields{}
	if n.Subject != "" {
		fields["subject"] = n.Subject
	}
	if n.Detail != "" {
		fields["detail"] = n.Detail
	}
	for _, f := range n.Fields {
		fields[f.Name] = f.Value
	}
	m.log.WithFields(fields).Info(n.Text)
}

// measure records a duration that the reducer reports.
func (m *meter) measure(c core.Measure) { m.observe(c.Name, c.Took) }

// observe adds d to the histogram time.name, in microseconds.
func (m *meter) observe(name string, d time.Duration) {
	metrics.GetOrRegisterHistogram("time."+name, m.registry, newSample()).Update(d.Microseconds())
}

// observeSince records the time since began under name.
func (m *meter) observeSince(name string, began time.Time) { m.observe(name, time.Since(began)) }

// sampleSize is the number of measurements that a histogram retains and
// sampleAlpha its exponential decay factor: together they weight a histogram
// towards the last few minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

func newSample() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, sampleAlpha) }

// quantiles lists the quantiles of each histogram that /metrics reports.
var quantiles = []float64{0.5, 0.9, 0.99}

// writeText writes a line for each counter, and for each histogram its count, its
// quantiles and its largest value, in microseconds.
func (m *meter) writeText(w http.ResponseWriter) {
	var lines []string
	m.registry.Each(func(name string, v any) {
		switch v := v.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case metrics.Histogram:
			s := v.Snapshot()
			lines = append(lines, fmt.Sprintf("%s.count %d", name, s.Count()), fmt.Sprintf("%s.max %d", name, s.Max()))
			for i, q := range s.Percentiles(quantiles) {
				lines = append(lines, fmt.Sprintf("%s.p%g %.0f", name, 100*quantiles[i], q))
			}
		}
	})
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, l := range lines {
		_, _ = fmt.Fprintln(w, l)
	}
}

// ServeHTTP serves /metrics with all counters and histograms, as JSON if the
// client accepts it and as text otherwise, and /healthz with status 200 while the
// process accepts work and 503 while it starts or leaves.
func (m *meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/metrics":
		if !strings.Contains(r.Header.Get("Accept"), "application/json") {
			m.writeText(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(m.registry, w)
	case "/healthz":
		m.health(w)
	default:
		http.NotFound(w, r)
	}
}

func (m *meter) health(w http.ResponseWriter) {
	text, code := "ready\n", http.StatusOK
	switch {
	case m.leaving.Load():
		text, code = "leaving\n", http.StatusServiceUnavailable
	case !m.ready():
		text, code = "starting\n", http.StatusServiceUnavailable
	}
	w.WriteHeader(code)
	_, _ = w.Write([]byte(text))
}
