package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of a worker, as a small site's settings name them.
const (
	pingInterval = 1500 * time.Millisecond
	maxHold      = 6 * time.Second // max_hold_ms
	stopTime     = 100 * time.Millisecond
	warmUp       = 300 * time.Millisecond // until a task that lasts is at work
	maxEnds      = 500                    // ends listed at a time
	leaseTick    = 20 * time.Millisecond
)

// run is one run of a task on a worker, with what became of it.
type run struct {
	Task   string
	Number uint32
	Spec   string
	Worker string
	Begun  time.Time
	Over   time.Time // zero while it runs
	How    string
	N      uint64    // number of its end
	Noted  time.Time // when last_seen reached its end
	Lapsed bool      // the worker's lease lapsed between the end and then

	stopAt time.Time // when a stop that was accepted ends it; zero if there is none
}

// atWork reports whether a task that lasts serves its users.
func (r *run) atWork(now time.Time) bool { return r.Over.IsZero() && now.Sub(r.Begun) >= warmUp }

// stopOrder is an accepted order to stop a run.
type stopOrder struct {
	At     time.Time
	Task   string
	Number uint32
	AtWork bool // the run was at work
}

// worker is a stand-in for one worker of the platform.
type worker struct {
	id     string
	kind   string // a label of its own
	zone   string
	beats  string // address of the control address on its machine
	addr   string
	cpu    int64
	record *recorder

	mu        sync.Mutex
	born      time.Time
	ping      uint64
	token     uint64
	deadline  time.Time // of the lease; zero before the first
	runs      []*run    // all that ever began here
	live      map[string]*run
	highest   map[string]uint32 // highest run that was stopped or has ended, by task
	ends      []*run            // not forgotten yet
	nextEnd   uint64
	returned  uint64 // highest number of an end that was returned
	stops     []stopOrder
	pingedAt  time.Time
	changed   chan struct{} // closed at the next end
	dieAt     string        // the worker dies as it is told to start a task with this prefix
	dead      bool
	lateUntil time.Time // until then orders are carried out late
	lateCalls int
	calls     int
	server    *http.Server
	cancel    context.CancelFunc
}

func newWorker(n int, zone, ip string, cpu int64, rec *recorder) *worker {
	return &worker{
		id: fmt.Sprintf("i-%08x", 0x7f3a91c0+n), kind: string(rune('a' + n)), zone: zone, beats: ip + ":8166", addr: ip + ":8165", cpu: cpu, record: rec,
		born: time.Now(), live: map[string]*run{}, highest: map[string]uint32{}, changed: make(chan struct{}),
	}
}

// start serves the worker's calls and sends its pings.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handleStart)
	mux.HandleFunc("POST /run-stop", w.handleStop)
	mux.HandleFunc("POST /hold", w.handleHold)
	mux.HandleFunc("POST /pace", w.handlePace)
	w.server = &http.Server{Handler: w.delayed(mux), ReadHeaderTimeout: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go func() { _ = w.server.Serve(l) }()
	go w.every(ctx, leaseTick, w.tick)
	go w.every(ctx, pingInterval, w.sendPing)
	return nil
}

func (w *worker) every(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// die ends the worker for good, without a word. What runs there ends.
func (w *worker) die() {
	w.mu.Lock()
	w.dead = true
	for _, r := range w.live {
		r.Over, r.How = time.Now(), "gone"
	}
	w.live = map[string]*run{}
	w.record.add("worker %s is gone", w.id)
	w.mu.Unlock()
	w.cancel()
	_ = w.server.Close()
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) sendPing() {
	w.mu.Lock()
	w.ping++
	body, _ := json.Marshal(map[string]any{
		"service": "huvo11a", "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": w.cpu, "mem_mb": 64000, "gpu": 0},
		"labels": []string{w.kind, "r1-1"}, "clock_ms": w.clock(), "sequence": w.ping, "born": w.born.UnixMilli(),
	})
	w.pingedAt = time.Now()
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.beats+"/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if res, err := http.DefaultClient.Do(req); err == nil {
		_ = res.Body.Close()
	}
}

// tick ends the runs whose time has come, and all of them once the lease has lapsed.
func (w *worker) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	lapsed := now.After(w.deadline)
	if lapsed {
		for _, r := range w.ends {
			r.Lapsed = true
		}
	}
	for _, r := range w.live {
		d, ends := duration(r.Spec)
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(r, "stopped")
		case ends && now.Sub(r.Begun) >= d:
			w.end(r, "done")
		}
	}
}

func (w *worker) sorted() []*run {
	var rs []*run
	for _, r := range w.live {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, func(a, b *run) int { return strings.Compare(a.Task, b.Task) })
	return rs
}

// duration returns how long a task of a specification runs, and whether it ends at all.
func duration(spec string) (time.Duration, bool) {
	d, err := time.ParseDuration(spec)
	return d, err == nil
}

func (w *worker) end(r *run, how string) {
	w.nextEnd++
	r.Over, r.How, r.N = time.Now(), how, w.nextEnd
	delete(w.live, r.Task)
	w.highest[r.Task] = max(w.highest[r.Task], r.Number)
	w.ends = append(w.ends, r)
	w.record.add("%s run %d on %s: %s", r.Task, r.Number, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// call is the body of a call to the worker.
type call struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Spec     string `json:"task_spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	Seen     uint64 `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// accept decodes a call and checks whom it is meant for and its token. The caller holds w.mu.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (call, bool) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(rw, "malformed", http.StatusBadRequest)
		return c, false
	}
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != w.id {
		http.Error(rw, "another worker", http.StatusMisdirectedRequest)
		return c, false
	}
	if c.Token < w.token {
		w.refuse(rw, "fence")
		return c, false
	}
	w.token = c.Token
	return c, true
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason, "born": w.born.UnixMilli()})
}

// extend extends the lease until a time on the worker's clock.
func (w *worker) extend(ms int64) {
	until := w.born.Add(time.Duration(ms) * time.Millisecond)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}
	if until.After(w.deadline) {
		w.deadline = until
	}
}

func (w *worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	c, ok := w.accept(rw, r)
	if ok && w.dieAt != "" && strings.HasPrefix(c.Task, w.dieAt) {
		w.mu.Unlock()
		w.die()
		return
	}
	defer w.mu.Unlock()
	if !ok {
		return
	}
	old, runs := w.live[c.Task]
	switch {
	case c.Deadline <= w.clock():
		w.refuse(rw, "late")
		return
	case runs && old.Number == c.Run:
	case runs || c.Run <= w.highest[c.Task]:
		w.extend(c.Deadline)
		w.refuse(rw, "old")
		return
	default:
		w.extend(c.Deadline)
		n := &run{Task: c.Task, Number: c.Run, Spec: c.Spec, Worker: w.id, Begun: time.Now()}
		w.live[c.Task] = n
		w.runs = append(w.runs, n)
		w.record.add("%s run %d on %s: started", c.Task, c.Run, w.id)
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.accept(rw, r)
	if !ok {
		return
	}
	if x := w.live[c.Task]; x != nil && x.Number == c.Run && x.stopAt.IsZero() {
		now := time.Now()
		w.stops = append(w.stops, stopOrder{At: now, Task: c.Task, Number: c.Run, AtWork: x.atWork(now)})
		x.stopAt = now.Add(stopTime)
		w.record.add("%s run %d on %s: told to stop", c.Task, c.Run, w.id)
	}
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *worker) handlePace(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.accept(rw, r); ok {
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
	}
}

func (w *worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.accept(rw, r)
	if !ok {
		return
	}
	if c.Deadline > 0 {
		w.extend(c.Deadline)
	}
	w.forget(c.Seen)
	w.await(r.Context(), time.Duration(min(c.Wait, 2000))*time.Millisecond)
	writeJSON(rw, http.StatusOK, w.lists())
}

// forget forgets the ends up to a number.
func (w *worker) forget(seen uint64) {
	w.ends = slices.DeleteFunc(w.ends, func(r *run) bool {
		if r.N <= seen {
			r.Noted = time.Now()
			w.record.add("%s run %d on %s: its end (%s) is taken note of", r.Task, r.Number, w.id, r.How)
		}
		return r.N <= seen
	})
}

// await waits for an end, unless there is one that was not returned yet.
func (w *worker) await(ctx context.Context, wait time.Duration) {
	if wait <= 0 || w.nextEnd > w.returned {
		return
	}
	changed := w.changed
	w.mu.Unlock()
	defer w.mu.Lock()
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// lists returns the lists of what runs and has ended, the first maxEnds ends only.
func (w *worker) lists() map[string]any {
	running, ended := []any{}, []any{}
	now := time.Now()
	for _, r := range w.sorted() {
		percent := 0
		if r.atWork(now) {
			percent = 100
		}
		running = append(running, []any{r.Task, r.Number, "", percent, 0})
	}
	for _, r := range w.ends[:min(len(w.ends), maxEnds)] {
		ended = append(ended, []any{r.N, r.Task, r.Number, r.How, ""})
		w.returned = max(w.returned, r.N)
	}
	return map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
}

// snapshot returns copies of all runs and stop orders so far.
func (w *worker) snapshot() (runs []run, stops []stopOrder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		runs = append(runs, *r)
	}
	return runs, slices.Clone(w.stops)
}

// lastPing returns when the worker last sent a ping.
func (w *worker) lastPing() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pingedAt
}

// dieAtStart makes the worker die as it is told to start a task whose name begins so.
func (w *worker) dieAtStart(prefix string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dieAt = prefix
}
