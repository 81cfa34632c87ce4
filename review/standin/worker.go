package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold       = 6 * time.Second // of a worker's lease
	stopTime      = 100 * time.Millisecond
	beatInterval  = 1500 * time.Millisecond
	beatTimeout   = time.Second
	leasePoll     = 10 * time.Millisecond
	maxWaitMS     = 2000
	listedEnds    = 500
	tailMS        = 10    // of a task that lasts
	workerCPU     = 16000 // millicores
	workerMemory  = 64000 // MB
	firstClock    = 482_113
	serviceName   = "orders-1f"
	endDone       = "done"
	endFailed     = "failed"
	endStopped    = "stopped"
	endLapsed     = "lapsed"
	reasonFence   = "fence"
	reasonOld     = "old"
	reasonLate    = "late"
	reasonRefused = "unknown"
)

// worker is a stand-in for a worker: tasks under one lease, and ends that it lists until they
// are acknowledged. It does not guard its capacity.
type worker struct {
	id, zone, rack string
	address        string // of its calls
	control        string // where it sends its pings
	born           time.Time
	book           *book

	mu       sync.Mutex
	changed  chan struct{} // closed when a task ends
	token    uint64
	deadline int64 // of the lease, on the worker's clock
	lapsedAt int64 // deadline at which the lease last lapsed
	running  map[string]*run
	ended    []end
	ends     uint64
	highest  map[string]uint32 // run that ended or was stopped, by task
	sequence int
}

// run is a run of a task.
type run struct {
	task  string
	n     uint32
	cpu   int // millicores
	tail  int // latency of a task that lasts, in ms
	timer *time.Timer
}

// load returns the rough figure that a worker lists for a run: the latency of a task that
// serves, and otherwise the cpu in use.
func (r *run) load() int {
	if r.tail > 0 {
		return r.tail
	}
	return r.cpu
}

// end is the end of a run.
type end struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// order is the body of a call to a worker.
type order struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Spec     string `json:"task_spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	Seen     uint64 `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// newWorker returns a worker that serves calls at an address.
func newWorker(b *book, n int, zone, address, control string) *worker {
	return &worker{
		id: "i-" + strconv.FormatInt(0x7f3a91c0+int64(n), 16), zone: zone, rack: "r1-" + strconv.Itoa(n/3+1),
		address: address, control: control, born: time.Now(), book: b,
		changed: make(chan struct{}), running: map[string]*run{}, highest: map[string]uint32{},
	}
}

// live sends pings and ends leases until ctx ends.
func (w *worker) live(ctx context.Context) {
	go func() {
		for ctx.Err() == nil {
			w.mu.Lock()
			w.checkLease()
			w.mu.Unlock()
			time.Sleep(leasePoll)
		}
	}()
	for ctx.Err() == nil {
		w.ping(ctx, w.nextPing())
		time.Sleep(beatInterval)
	}
}

// clock returns the worker's clock in ms.
func (w *worker) clock() int64 { return firstClock + time.Since(w.born).Milliseconds() }

// nextPing returns the body of the worker's next ping.
func (w *worker) nextPing() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return map[string]any{
		"born": w.born.UnixMilli(), "service": serviceName, "address": w.address, "zone": w.zone, "version": "v1",
		"slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": w.sequence, "labels": []string{"a", w.rack},
		"capacity": map[string]any{"cpu": workerCPU, "mem_mb": workerMemory, "gpu": 0}, "clock_ms": w.clock(),
	}
}

// ping sends a ping to the daemon beside the worker.
func (w *worker) ping(ctx context.Context, body map[string]any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.control+"/instances/"+w.id, bytes.NewReader(b))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if res, err := http.DefaultClient.Do(req); err == nil {
		_ = res.Body.Close()
	}
}

// readBody reads the body of a request.
func readBody(r *http.Request) ([]byte, error) { return io.ReadAll(r.Body) }

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var in order
	b, err := readBody(r)
	if err == nil {
		err = json.Unmarshal(b, &in)
	}
	if err != nil {
		respond(rw, http.StatusBadRequest, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
		return
	}
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != w.id {
		respond(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
		return
	}
	if r.URL.Path == "/hold" {
		w.await(r.Context(), in)
	}
	code, body := w.serve(r.URL.Path, in)
	respond(rw, code, body)
}

// serve carries out a call.
func (w *worker) serve(path string, in order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	reason := reasonFence
	if in.Token >= w.token {
		w.token = in.Token
		reason = w.carryOut(path, in, body)
	}
	if reason == "" {
		return http.StatusOK, body
	}
	body["reason"] = reason
	return http.StatusConflict, body
}

// carryOut carries out a call whose fencing token is valid. It returns why it is refused.
func (w *worker) carryOut(path string, in order, body map[string]any) string {
	switch path {
	case "/run-start":
		return w.start(in)
	case "/run-stop":
		return w.stop(in)
	case "/hold":
		w.extend(in.Deadline)
		w.list(in, body)
		return ""
	case "/pace":
		return ""
	}
	return reasonRefused
}

// start starts a run.
func (w *worker) start(in order) string {
	r := w.running[in.Task]
	switch {
	case r != nil && r.n == in.Run:
		w.extend(in.Deadline)
		return ""
	case in.Run <= w.highest[in.Task] || r != nil && in.Run < r.n:
		w.extend(in.Deadline)
		return reasonOld
	case in.Deadline <= w.clock():
		return reasonLate
	}
	w.extend(in.Deadline)
	spec := parseSpec(in.Spec)
	how := endDone
	if w.book.failures(in.Task) < spec.fails {
		how = endFailed
	}
	r = &run{task: in.Task, n: in.Run, cpu: w.book.cpu(in.Task)}
	if spec.lasts {
		r.tail = tailMS
		r.timer = time.NewTimer(time.Hour)
	} else {
		r.timer = time.AfterFunc(spec.work, func() { w.finishLater(r, how) })
	}
	w.running[in.Task] = r
	w.book.started(w.id, in.Task, in.Run, r.cpu)
	return ""
}

// taskSpec is what the text of a task says: how long it works, how many of its runs fail, and
// whether it lasts until it is stopped.
type taskSpec struct {
	work  time.Duration
	fails int
	lasts bool
}

// parseSpec parses a text such as "work=200 fails=3", with the time in ms, or "lasts=1".
func parseSpec(text string) (s taskSpec) {
	for _, f := range strings.Fields(text) {
		name, value, _ := strings.Cut(f, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		switch name {
		case "work":
			s.work = time.Duration(n) * time.Millisecond
		case "fails":
			s.fails = n
		case "lasts":
			s.lasts = n == 1
		}
	}
	return s
}

// stop stops a run.
func (w *worker) stop(in order) string {
	w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	if r := w.running[in.Task]; r != nil && r.n <= in.Run {
		r.timer.Stop()
		r.timer = time.AfterFunc(stopTime, func() { w.finishLater(r, endStopped) })
	}
	return ""
}

// extend extends the lease.
func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxHold.Milliseconds()))
}

// checkLease ends all runs if the lease has lapsed.
func (w *worker) checkLease() {
	if w.deadline == 0 || w.clock() < w.deadline || w.lapsedAt == w.deadline {
		return
	}
	w.lapsedAt = w.deadline
	for _, r := range w.running {
		w.finish(r, endLapsed)
	}
}

func (w *worker) finishLater(r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finish(r, how)
}

// finish ends a run, unless it has ended.
func (w *worker) finish(r *run, how string) {
	if w.running[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.n)
	w.ends++
	w.ended = append(w.ended, end{w.ends, r.task, r.n, how})
	w.book.ended(w.id, r.task, r.n, r.cpu, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// await waits for an end that the caller has not seen, as long as a hold asks for.
func (w *worker) await(ctx context.Context, in order) {
	w.mu.Lock()
	if in.Token < w.token {
		w.mu.Unlock()
		return
	}
	w.token = in.Token
	w.extend(in.Deadline)
	changed, listed := w.changed, len(w.ended) > 0 && w.ended[len(w.ended)-1].number > in.Seen
	w.mu.Unlock()
	if in.Wait == 0 || listed {
		return
	}
	select {
	case <-changed:
	case <-ctx.Done():
	case <-time.After(time.Duration(min(in.Wait, maxWaitMS)) * time.Millisecond):
	}
}

// list forgets the ends that are acknowledged, and lists the others and what runs.
func (w *worker) list(in order, body map[string]any) {
	n := 0
	for n < len(w.ended) && w.ended[n].number <= in.Seen {
		n++
	}
	w.ended = w.ended[n:]
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.n, "", 100, r.load()})
	}
	for _, e := range w.ended[:min(len(w.ended), listedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	body["running"], body["ended"] = running, ended
}
