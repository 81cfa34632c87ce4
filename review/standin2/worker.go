package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a worker.
const (
	tickTime     = 5 * time.Millisecond
	beatInterval = 1500 * time.Millisecond
	maxHold      = 6000 // ms, the longest lease
	stopTime     = 250 * time.Millisecond
	startupTime  = 400 * time.Millisecond // until a task that lasts is at work
	readTimeout  = 5 * time.Second
)

// taskSpec is what the task_spec of a case's jobs says about the work of its tasks.
type taskSpec struct {
	Millis int64  `json:"ms"`     // run time of task 0
	Gap    int64  `json:"gap_ms"` // added for each further index
	End    string `json:"end"`    // done or failed
	Lasts  bool   `json:"lasts"`
}

// run is a run of a task at a worker.
type run struct {
	task    string
	number  int
	began   time.Time
	ends    time.Time // zero if it lasts
	how     string    // by which it ends at ends
	percent int
	stopAt  time.Time // when a stop takes effect; zero if there is none
	isOrder bool      // the stop was ordered by the agent
	lasts   bool
}

// ended is an element of the list of ended runs.
type ended struct {
	number int
	task   string
	run    int
	how    string
}

// worker stands in for a worker of the platform. It starts whatever it is given.
type worker struct {
	id, zone, rack string
	service        string
	born           time.Time
	site           *site

	handler  http.Handler
	mu       sync.Mutex
	late     lateGrants
	token    uint64
	lease    int64 // deadline on its clock, in ms
	lapsed   bool  // the deadline had passed at the last look
	running  map[string]*run
	over     map[string]int // highest run that was stopped or has ended, by task
	ended    []ended
	numbered int
	state    string
	seen     int
	sequence int
	server   *http.Server
	addr     string
	done     context.CancelFunc
}

// newWorker starts a worker that waits for its agent.
func newWorker(s *site, n int) (*worker, error) {
	w := &worker{
		id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), zone: zones[n%len(zones)], rack: fmt.Sprintf("r%d-%d", n%len(zones), n/len(zones)/3),
		service: serviceName, born: time.Now(), site: s, running: map[string]*run{}, over: map[string]int{}, state: "ready",
	}
	if s.old && n == numAgents-1 {
		w.service = oldService
	}
	mux := http.NewServeMux()
	w.handler = mux
	mux.HandleFunc("POST /run-start", w.serveStart)
	mux.HandleFunc("POST /run-stop", w.serveStop)
	mux.HandleFunc("POST /hold", w.serveHold)
	mux.HandleFunc("POST /pace", w.servePace)
	var err error
	w.server, w.addr, err = serve(mux)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.done = cancel
	go w.work(ctx)
	return w, nil
}

// join sends heartbeats to the agent at an address from now on.
func (w *worker) join(control string) { go w.beat(control) }

func (w *worker) close() {
	w.done()
	_ = w.server.Close()
}

// clock returns the time on the worker's clock in ms.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// work ends runs whose time has come.
func (w *worker) work(ctx context.Context) {
	for t := time.NewTicker(tickTime); ; {
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
			w.advance(time.Now())
		}
	}
}

func (w *worker) advance(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lapsed := w.clock() > w.lease
	if lapsed && !w.lapsed {
		w.site.noteLapse(w)
	}
	w.lapsed = lapsed
	for _, r := range w.sortedRuns() {
		switch {
		case !r.ends.IsZero() && !now.Before(r.ends):
			w.end(r, r.how)
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.end(r, "stopped")
		case lapsed:
			w.end(r, "lapsed")
		}
	}
}

func (w *worker) sortedRuns() []*run {
	var rs []*run
	for _, r := range w.running {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, func(a, b *run) int { return compareText(a.task, b.task) })
	return rs
}

// end ends a run. The caller holds w.mu.
func (w *worker) end(r *run, how string) {
	delete(w.running, r.task)
	w.numbered++
	w.over[r.task] = max(w.over[r.task], r.number)
	w.ended = append(w.ended, ended{number: w.numbered, task: r.task, run: r.number, how: how})
	w.site.noteEnd(w, r, w.numbered, how)
}

// order is the body of a call to the worker.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"task_spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	Seen     int    `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
	Percent  int    `json:"percent"`
}

// read reads a call and checks the instance and the token that it names. It reports false if
// the call was answered. The caller holds w.mu if it reports true.
func (w *worker) read(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return o, false
	}
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != w.id {
		writeJSON(rw, http.StatusMisdirectedRequest, w.answer(""))
		return o, false
	}
	w.mu.Lock()
	if o.Token < w.token {
		w.mu.Unlock()
		writeJSON(rw, http.StatusConflict, w.answer("fence"))
		return o, false
	}
	return o, true
}

// see notes the token of a call that is carried out. The caller holds w.mu.
func (w *worker) see(o order) { w.token = max(w.token, o.Token) }

// answer returns the fields of each answer.
func (w *worker) answer(reason string) map[string]any {
	a := map[string]any{"born": w.born.UnixMilli(), "clock_ms": w.clock()}
	if reason != "" {
		a["reason"] = reason
	}
	return a
}

// extend extends the lease. The caller holds w.mu.
func (w *worker) extend(deadline int64) { w.lease = max(w.lease, min(deadline, w.clock()+maxHold)) }

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.see(o)
	reason := w.start(o)
	w.mu.Unlock()
	if reason != "" {
		writeJSON(rw, http.StatusConflict, w.answer(reason))
		return
	}
	writeJSON(rw, http.StatusOK, w.answer(""))
}

// start starts a run, or returns why not. The caller holds w.mu.
func (w *worker) start(o order) string {
	if o.Deadline <= w.clock() {
		return "late"
	}
	w.extend(o.Deadline)
	old := w.running[o.Task]
	switch {
	case old != nil && old.number == o.Run:
		return ""
	case o.Run <= w.over[o.Task], old != nil && old.number > o.Run:
		return "old"
	}
	var spec taskSpec
	// A specification that is none describes work without a length.
	_ = json.Unmarshal([]byte(o.Spec), &spec)
	now := time.Now()
	n := &run{task: o.Task, number: o.Run, began: now, how: spec.End, percent: 100, lasts: spec.Lasts}
	if !spec.Lasts {
		n.ends = now.Add(time.Duration(spec.Millis+spec.Gap*indexOf(o.Task)) * time.Millisecond)
	}
	w.running[o.Task] = n
	w.site.noteStart(w, n)
	return ""
}

// indexOf returns the index of a task within its step.
func indexOf(task string) int64 {
	n, _ := strconv.ParseInt(task[strings.LastIndexByte(task, '.')+1:], 10, 64)
	return n
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.see(o)
	w.over[o.Task] = max(w.over[o.Task], o.Run)
	if n := w.running[o.Task]; n != nil && n.number <= o.Run && n.stopAt.IsZero() {
		n.stopAt, n.isOrder = time.Now().Add(stopTime), true
		w.site.noteStop(w, n)
	}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, w.answer(""))
}

func (w *worker) servePace(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.see(o)
	if n := w.running[o.Task]; n != nil && n.number == o.Run {
		n.percent = o.Percent
	}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, w.answer(""))
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	if o.Deadline > 0 && w.late.draw() {
		w.carryOutLate(o)
		w.mu.Unlock()
		<-r.Context().Done() // the caller gets no answer
		return
	}
	w.see(o)
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	w.acknowledge(o.Seen)
	until := time.Now().Add(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(until) {
		w.mu.Unlock()
		time.Sleep(tickTime)
		w.mu.Lock()
	}
	ans := w.answer("")
	ans["running"], ans["ended"] = w.lists()
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, ans)
}

// carryOutLate extends the lease later, by the time that the call gave when it was sent. The
// caller holds w.mu.
func (w *worker) carryOutLate(o order) {
	after := w.late.delay()
	span := min(o.Deadline-w.clock(), maxHold)
	w.site.rec.note("worker %s: a hold with a deadline in %d ms gets no answer and is carried out in %s", w.id, span, after)
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if o.Token < w.token {
			return // it has seen a later one
		}
		w.lease = max(w.lease, w.clock()+span)
		w.site.rec.note("worker %s: the late hold extends the lease by %d ms", w.id, span)
	})
}

// refuse makes the worker refuse all connections for a time, as a partition that refuses them
// does. It runs on.
func (w *worker) refuse(d time.Duration) error {
	_ = w.server.Close()
	time.Sleep(d)
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.server = &http.Server{Handler: w.handler, ReadHeaderTimeout: readTimeout}
	srv := w.server
	w.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	return nil
}

// acknowledge forgets the ends that the agent has taken note of. The caller holds w.mu.
func (w *worker) acknowledge(seen int) {
	if seen <= w.seen {
		return
	}
	w.seen = seen
	w.ended = slices.DeleteFunc(w.ended, func(e ended) bool {
		if e.number > seen {
			return false
		}
		w.site.noteSeen(w, e)
		return true
	})
}

// lists returns the lists of running and ended runs. The caller holds w.mu.
func (w *worker) lists() (running, over [][]any) {
	running, over = [][]any{}, [][]any{}
	for _, r := range w.sortedRuns() {
		load := 0
		if r.lasts {
			load = 20 // ms, below each target of the cases
		}
		running = append(running, []any{r.task, r.number, "", r.percentNow(), load})
	}
	for _, e := range w.ended[:min(len(w.ended), maxRows)] {
		over = append(over, []any{e.number, e.task, e.run, e.how, ""})
	}
	return running, over
}

// percentNow returns the speed: a task that lasts is at work after its startup.
func (r *run) percentNow() int {
	if r.lasts && time.Since(r.began) < startupTime {
		return 0
	}
	return r.percent
}

// beat sends heartbeats until the worker has left.
func (w *worker) beat(control string) {
	c := &http.Client{Timeout: time.Second}
	for !w.hasLeft() {
		w.sendBeat(c, control)
		time.Sleep(beatInterval)
	}
}

func (w *worker) hasLeft() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == stateLeft
}

// States of a worker.
const (
	stateDraining = "draining"
	stateLeft     = "left"
)

func (w *worker) setState(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}

// leave empties the worker and takes it away: it says that it drains, serves on for a time after
// that was acknowledged, takes its leave and ends with all that runs on it.
func (w *worker) leave(control string, serves time.Duration) {
	c := &http.Client{Timeout: time.Second}
	w.setState(stateDraining)
	w.sendBeat(c, control)
	w.site.rec.note("worker %s drains", w.id)
	time.Sleep(serves)
	if req, err := http.NewRequest(http.MethodDelete, "http://"+control+"/instances/"+w.id, http.NoBody); err == nil {
		if res, err := c.Do(req); err == nil {
			_ = res.Body.Close()
		}
	}
	w.setState(stateLeft)
	w.done()
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.sortedRuns() {
		w.end(r, "gone with its worker")
	}
	w.site.rec.note("worker %s has left", w.id)
}

func (w *worker) sendBeat(c *http.Client, control string) {
	w.mu.Lock()
	w.sequence++
	body := map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": w.state,
		"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": 32000, "mem_mb": 128000, "gpu": 0},
		"labels": []string{"a", w.rack}, "clock_ms": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	}
	w.mu.Unlock()
	b, err := json.Marshal(body)
	if err != nil {
		return
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+control+"/instances/"+w.id, bytes.NewReader(b))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if res, err := c.Do(req); err == nil {
		_ = res.Body.Close()
	}
}
