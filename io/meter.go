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

// meter counts and logs what a reducer tells.
type meter struct {
	log      log.Interface
	registry metrics.Registry
	counters map[core.Count]metrics.Counter // guarded by the driver's mutex
	ready    func() bool                    // the process may be given work
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

func (m *meter) note(n core.Note) {
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

// measure takes how long something took.
func (m *meter) measure(c core.Measure) { m.took(c.Name, c.Took) }

// took takes how long something took.
func (m *meter) took(name string, d time.Duration) {
	metrics.GetOrRegisterHistogram("time."+name, m.registry, newSample()).Update(d.Microseconds())
}

// since takes how long something took that has just ended.
func (m *meter) since(name string, began time.Time) { m.took(name, time.Since(began)) }

// sampleSize is the number of measurements that a histogram rests on, and
// sampleAlpha the weight of new ones: together the last minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

func newSample() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, sampleAlpha) }

// quantiles are those of the histograms that are served.
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

// ServeHTTP answers /metrics with all counters and histograms, as text or, if the
// caller accepts that, as JSON, and /healthz with 200 once the process may be given
// work and 503 before that and while it leaves.
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
