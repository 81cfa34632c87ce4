package io

import (
	"net/http"
	"sync/atomic"

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

// ServeHTTP answers /metrics with all counters as JSON, and /healthz with 200
// once the process may be given work and 503 before that and while it leaves.
func (m *meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/metrics":
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
