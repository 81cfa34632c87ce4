package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// The deployment of the cases: as many machines as the smallest sites have.
const (
	serviceName = "orders"
	oldService  = "orders-old" // of the case moved
	numEntries  = 3
	numAgents   = 11
	host        = "nony24.example"
	// Bounds of the pages, in ms.
	cancelMillis  = 3000
	contactMillis = 3000
	noticeMillis  = 4500
	visibleMillis = 3000
)

// Queues, by their path prefixes.
const (
	queueShort   = "/lohu930/" // max_attempts 4
	queuePlan    = "/pufi791/" // max_attempts 2
	queueLasting = "/pule252/"
)

var zones = []string{"dar-kariakoo", "dar-mikocheni", "dar-temeke"}

// entry is a process that takes the callers' calls.
type entry struct {
	*process
	front, ready string
	store        *proxy // between the entry and the store
}

// agent is the process beside a worker.
type agent struct {
	*process
	control string
	worker  *worker
}

// site is a running deployment.
type site struct {
	dir    string
	rec    *record
	old    bool // see newSite
	store  *store
	server *http.Server
	addr   string // of the store

	entries []*entry
	agents  []*agent

	mu     sync.Mutex
	events []event
}

// eventKind is what a worker has done with a run.
type eventKind string

const (
	evStart eventKind = "start"
	evStop  eventKind = "stop ordered"
	evEnd   eventKind = "end"
	evSeen  eventKind = "end noted"
	evLapse eventKind = "lease lapsed"
)

// event is an event at a worker.
type event struct {
	at     time.Time
	kind   eventKind
	worker string
	task   string
	run    int
	how    string // of an end
	order  bool   // of an end: a stop had been ordered
	lasts  bool
	began  time.Time // of the run
}

func (s *site) add(e event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.at = time.Now()
	s.events = append(s.events, e)
	s.rec.note("worker %s: %s %s run %d %s", e.worker, e.kind, e.task, e.run, e.how)
}

func (s *site) noteStart(w *worker, r *run) {
	s.add(event{kind: evStart, worker: w.id, task: r.task, run: r.number, lasts: r.lasts, began: r.began})
}

func (s *site) noteStop(w *worker, r *run) {
	s.add(event{kind: evStop, worker: w.id, task: r.task, run: r.number, lasts: r.lasts, began: r.began})
}

func (s *site) noteEnd(w *worker, r *run, _ int, how string) {
	s.add(event{kind: evEnd, worker: w.id, task: r.task, run: r.number, how: how, order: r.isOrder && how == "stopped", lasts: r.lasts, began: r.began})
}

func (s *site) noteLapse(w *worker) { s.add(event{kind: evLapse, worker: w.id}) }

func (s *site) noteSeen(w *worker, e ended) {
	s.add(event{kind: evSeen, worker: w.id, task: e.task, run: e.run, how: e.how})
}

// eventsNow returns the events so far.
func (s *site) eventsNow() []event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]event{}, s.events...)
}

// newSite starts a deployment and waits until its entries are ready. With old, the last worker
// is the only one of oldService, to which queuePlan belongs.
func newSite(rec *record, old bool) (*site, error) {
	dir, err := os.MkdirTemp("", "jayloft-review")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, rec: rec, store: newStore(), old: old}
	if s.server, s.addr, err = serve(s.store.handler()); err != nil {
		return s, err
	}
	if err := s.putConfig(7, s.planService()); err != nil {
		return s, err
	}
	for n := range numEntries {
		if err := s.addEntry(n); err != nil {
			return s, err
		}
	}
	for n := range numAgents {
		if err := s.addAgent(n); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady()
}

// planService returns the service of queuePlan in the first configuration.
func (s *site) planService() string {
	if s.old {
		return oldService
	}
	return serviceName
}

// putConfig writes the operator's configuration with the service of queuePlan.
func (s *site) putConfig(version int, planService string) error {
	route := func(name, prefix, service string, priority, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": priority, "service": service, "max_attempts": attempts, "stretch": 2.0,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "max_connections": 64, "protocol": "h1", "rejects_overload": false}
	}
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("r-short", queueShort, serviceName, 0, 4), route("r-plan", queuePlan, planService, 2, 2),
			route("r-last", queueLasting, serviceName, 0, 4),
		},
		"services": []any{service(serviceName), service(oldService)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
	})
	if err != nil {
		return err
	}
	s.store.put("config", b)
	return nil
}

// settings fills in a template of the deploy folder and writes the result to a file.
func (s *site) settings(role, name string, values map[string]string) (string, error) {
	b, err := os.ReadFile(filepath.Join("deploy", role+".toml"))
	if err != nil {
		return "", err
	}
	text := strings.ReplaceAll(string(b), `[{{#zones}}"{{@}}"{{,}}{{/zones}}]`, `["`+strings.Join(zones, `","`)+`"]`)
	text = regexp.MustCompile(`\{\{[#/].*?\}\}`).ReplaceAllString(text, "")
	for from, to := range values {
		text = strings.ReplaceAll(text, from, to)
	}
	text = strings.ReplaceAll(text, "{{bounds.visible_ms}}", fmt.Sprint(visibleMillis))
	if i := strings.Index(text, "{{"); i >= 0 {
		return "", fmt.Errorf("settings of %s: no value for %.30s", role, text[i:])
	}
	path := filepath.Join(s.dir, name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// ports returns free addresses.
func ports(n int) ([]string, error) {
	addrs := make([]string, n)
	for i := range addrs {
		var err error
		if addrs[i], err = freeAddr(); err != nil {
			return nil, err
		}
	}
	return addrs, nil
}

func (s *site) addEntry(n int) error {
	addrs, err := ports(4)
	if err != nil {
		return err
	}
	p, err := newProxy(s.addr)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("front-%s-1", zones[n%len(zones)])
	path, err := s.settings("entry", name, map[string]string{
		"{{node}}": name, "{{ip}}:7720": addrs[0], "{{ip}}:7722": addrs[1], "{{zone}}": zones[n%len(zones)], "{{limits.cpu_share}}": "0.4",
		"{{platform.address}}": p.addr(), "{{listen.front}}": addrs[2], "{{listen.ready}}": addrs[3],
	})
	if err != nil {
		return err
	}
	pr, err := startProcess(name, filepath.Join(s.dir, name+".log"), "entry", "-config", path)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, &entry{process: pr, front: addrs[2], ready: addrs[3], store: p})
	return nil
}

func (s *site) addAgent(n int) error {
	addrs, err := ports(3)
	if err != nil {
		return err
	}
	w, err := newWorker(s, n)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("side-%s-%d", w.zone, n)
	path, err := s.settings("agent", name, map[string]string{
		"{{node}}": name, "{{ip}}:7720": addrs[0], "{{ip}}:7722": addrs[1], "{{zone}}": w.zone,
		"{{platform.address}}": s.addr, "{{listen.control}}": addrs[2], "{{app}}": w.addr,
	})
	if err != nil {
		return err
	}
	pr, err := startProcess(name, filepath.Join(s.dir, name+".log"), "agent", "-config", path)
	if err != nil {
		return err
	}
	s.agents = append(s.agents, &agent{process: pr, control: addrs[2], worker: w})
	s.rec.note("%s controls worker %s in %s", name, w.id, w.zone)
	w.join(addrs[2])
	return nil
}

// startLimit bounds the start of a deployment.
const startLimit = 20 * time.Second

// settleTime is how long a deployment runs before a case begins.
const settleTime = 5 * time.Second

// awaitReady waits until all entries say that they are ready, and the agents have joined.
func (s *site) awaitReady() error {
	until := time.Now().Add(startLimit)
	c := &http.Client{Timeout: time.Second}
	for _, e := range s.entries {
		for !isReady(c, e.ready) {
			if time.Now().After(until) {
				return errors.New("an entry is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	return nil
}

func isReady(c *http.Client, addr string) bool {
	res, err := c.Get("http://" + addr + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// close ends all that the site has started.
func (s *site) close() {
	for _, a := range s.agents {
		a.close()
		a.worker.close()
	}
	for _, e := range s.entries {
		e.close()
		_ = e.store.listener.Close()
	}
	if s.server != nil {
		_ = s.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs are in", s.dir)
	}
}
