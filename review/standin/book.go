package main

import (
	"strings"
	"sync"
	"time"
)

// job is what a requester knows of a job that it has submitted, and what the workers have run
// of it.
type job struct {
	id       string
	spec     string
	steps    []map[string]any // as submitted; empty for one step of count tasks
	count    int              // of its tasks
	cpu      int              // of one task, in millicores
	fills    bool             // its cpu is not counted against a worker's capacity
	accepted bool
	state    string // as last shown to the requester
	running  int    // tasks at work
	done     map[string]bool
	failures map[string]int // by task
	idle     time.Time      // since when nothing of it has run
}

// book holds what requesters and workers have seen.
type book struct {
	rec *record

	mu   sync.Mutex
	jobs map[string]*job
	used int // millicores of all that runs
	runs int // runs that were started
}

func newBook(rec *record) *book { return &book{rec: rec, jobs: map[string]*job{}} }

// add records a job that is about to be submitted.
func (b *book) add(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j.done, j.failures, j.idle = map[string]bool{}, map[string]int{}, time.Now()
	b.jobs[j.id] = j
}

// of returns the job of a task. The caller holds b.mu.
func (b *book) of(task string) *job {
	id, _, _ := strings.Cut(task, ".")
	return b.jobs[id]
}

// cpu returns the millicores of a task that count against a worker's capacity.
func (b *book) cpu(task string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if j := b.of(task); j != nil {
		return j.counted()
	}
	return 0
}

// counted returns the millicores of one task that count against a worker's capacity.
func (j *job) counted() int {
	if j.fills {
		return 0
	}
	return j.cpu
}

// body returns the body of the job's submission.
func (j *job) body() map[string]any {
	steps := j.steps
	if len(steps) == 0 {
		steps = []map[string]any{{"count": j.count, "cpu": j.cpu, "mem_mb": 16, "estimated_ms": 200}}
	}
	return map[string]any{"task_spec": j.spec, "steps": steps}
}

// failures returns how many runs of a task have failed.
func (b *book) failures(task string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if j := b.of(task); j != nil {
		return j.failures[task]
	}
	return 0
}

// started records the start of a run.
func (b *book) started(worker, task string, n uint32, cpu int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rec.add("worker %s starts %s, run %d", worker, task, n)
	b.runs++
	b.used += cpu
	j := b.of(task)
	if j == nil {
		return
	}
	j.running++
}

// ended records the end of a run.
func (b *book) ended(worker, task string, n uint32, cpu int, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rec.add("worker %s ends %s, run %d, %s", worker, task, n, how)
	b.used -= cpu
	j := b.of(task)
	if j == nil {
		return
	}
	j.running--
	switch how {
	case endDone:
		j.done[task] = true
	case endFailed:
		j.failures[task]++
	}
	if j.running == 0 {
		j.idle = time.Now()
	}
}

// setAccepted records that a job was accepted.
func (b *book) setAccepted(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[id].accepted = true
}

// setState records the state of a job as it was shown.
func (b *book) setState(id, state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[id].state = state
}

// accepted returns the ids of the jobs that were accepted.
func (b *book) accepted() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, j := range b.jobs {
		if j.accepted {
			ids = append(ids, id)
		}
	}
	return ids
}

// stalled is a job that stands still though there is room for it.
type stalled struct {
	id, state     string
	done, count   int
	still         time.Duration // since something of it ran
	used, inTotal int           // millicores in use, and of all workers
}

// stalls returns the accepted jobs that are not over, of which nothing has run for at least a
// time, while there is room for a task twice over and under half of the room is in use. No step
// of the jobs here waits for another one, so that the turn of each of their tasks has come.
func (b *book) stalls(workers int, least time.Duration) []stalled {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := workers * workerCPU
	var list []stalled
	for _, j := range b.jobs {
		over := j.state == "done" || j.state == "failed" || j.state == "cancelled"
		if !j.accepted || over || len(j.done) == j.count || j.running > 0 || time.Since(j.idle) < least {
			continue
		}
		if 2*b.used < total && total-b.used >= 2*j.counted()*workers {
			list = append(list, stalled{j.id, j.state, len(j.done), j.count, time.Since(j.idle), b.used, total})
		}
	}
	return list
}

// running returns how many tasks of a job are at work.
func (b *book) running(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.jobs[id].running
}
