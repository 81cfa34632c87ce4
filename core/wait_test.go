package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// waitScene is an entry with workers that the test controls.
type waitScene struct {
	*bench
	hbs []core.Heartbeat
}

// newWaitScene returns a scene with this number of workers, which are empty.
func newWaitScene(t *testing.T, workers int) *waitScene {
	s := &waitScene{bench: newBench(t), hbs: make([]core.Heartbeat, workers)}
	for i := range s.hbs {
		s.hbs[i] = benchHeartbeat(i, s.now)
		s.hbs[i].Services = []core.ServiceLoad{{Service: "s"}}
	}
	s.run(3 * time.Second)
	s.heartbeatAll(s.hbs)
	return s
}

// put stores a job of one step.
func (s *waitScene) put(id core.JobID, priority int, st core.StepSpec) {
	row := core.JobRow{Tasks: make([]core.TaskRow, st.Count), Spec: core.JobSpec{
		ID: id, Service: "s", Priority: priority, Attempts: 1, Steps: []core.StepSpec{st},
	}}
	s.table.put(s.tb, keyOfJob(id), row)
}

// task returns the row of a job's first task.
func (s *waitScene) task(id core.JobID) core.TaskRow {
	s.tb.Helper()
	rec, err := core.Decode(keyOfJob(id), s.table.rows[keyOfJob(id)].Value)
	assert.NilError(s.tb, err)
	return rec.(core.JobRow).Tasks[0]
}

// awaitPlacement returns the worker on which the task of the job "long" is placed within maxIdle.
func (s *waitScene) awaitPlacement() (core.WorkerID, time.Duration) {
	began := s.now
	for s.now.Sub(began) < maxIdle {
		s.heartbeatAll(s.hbs)
		s.run(100 * time.Millisecond)
		if t := s.task("long"); t.State == core.TaskClaimed {
			return t.Holder.Worker, s.now.Sub(began)
		}
	}
	return "", maxIdle
}

// quarantine makes a task of each of three jobs fail on each of the workers.
func (s *waitScene) quarantine(workers ...int) {
	for _, w := range workers {
		for j := range 3 {
			id := core.JobID(fmt.Sprintf("fails%d-%d", w, j))
			h := core.Holder{Worker: s.hbs[w].Worker, Inc: s.hbs[w].Inc}
			s.table.put(s.tb, keyOfJob(id), core.JobRow{
				Spec: core.JobSpec{ID: id, Service: "s", Attempts: 1, Steps: []core.StepSpec{
					{Count: 1, Size: core.Size{Millicores: 100, MemoryMB: 100}},
				}},
				Tasks: []core.TaskRow{{State: core.TaskClaimed, Attempt: 1, Holder: h}},
			})
			end := core.End{Attempt: core.Attempt{Task: core.TaskID{Job: id}, Number: 1}, Kind: core.EndFailed, Started: true}
			s.hbs[w].Ends = append(s.hbs[w].Ends, end)
		}
	}
	s.run(time.Second)
	s.heartbeatAll(s.hbs)
	s.run(100 * time.Millisecond)
	for _, w := range workers {
		assert.Equal(s.tb, s.task(core.JobID(fmt.Sprintf("fails%d-2", w))).State, core.TaskFailed)
	}
}

var waitingStep = core.StepSpec{Count: 1, LongRunning: true, Image: "api", Target: 50 * time.Millisecond, Size: core.Size{Millicores: 2000, MemoryMB: 1000}}

// All workers are in quarantine: a long-running task must run on one of them rather than
// nowhere, and so must a short one, within the time for which a job may have nothing running.
func TestTasksRunInQuarantine(t *testing.T) {
	s := newWaitScene(t, 2)
	s.quarantine(0, 1)
	s.put("short", 0, core.StepSpec{Count: 1, Size: core.Size{Millicores: 2000, MemoryMB: 1000}})
	s.put("long", 0, waitingStep)
	began := s.now
	got, after := s.awaitPlacement()
	assert.Assert(t, got != "", "not placed within %s", after)
	for s.task("short").State == core.TaskWaiting && s.now.Sub(began) < maxStill {
		s.heartbeatAll(s.hbs)
		s.run(100 * time.Millisecond)
	}
	assert.Equal(t, s.task("short").State, core.TaskClaimed, "after %s", s.now.Sub(began))
}

// One worker is in quarantine and the other one is full for now: a short task must wait for
// room there.
func TestShortTaskWaitsRatherThanRunInQuarantine(t *testing.T) {
	s := newWaitScene(t, 2)
	s.quarantine(0)
	s.hbs[1].Committed = s.hbs[1].Capacity
	s.heartbeatAll(s.hbs)
	s.put("short", 0, core.StepSpec{Count: 1, Size: core.Size{Millicores: 2000, MemoryMB: 1000}})
	for range 50 {
		s.heartbeatAll(s.hbs)
		s.run(100 * time.Millisecond)
	}
	assert.Equal(t, s.task("short").State, core.TaskWaiting)
	s.hbs[1].Committed = core.Size{}
	s.heartbeatAll(s.hbs)
	s.run(500 * time.Millisecond)
	assert.Equal(t, s.task("short").Holder.Worker, s.hbs[1].Worker)
}

// One worker is in quarantine: a long-running task must run on the other one while that has
// room.
func TestQuarantinedWorkerComesLast(t *testing.T) {
	s := newWaitScene(t, 2)
	s.quarantine(0)
	s.put("long", 0, waitingStep)
	got, _ := s.awaitPlacement()
	assert.Equal(t, got, s.hbs[1].Worker)
}

// One worker is in quarantine and has room, the other one is full of short tasks that run on:
// a long-running task must not wait there for longer than any may.
func TestLongRunningTaskRunsInQuarantineRatherThanWaitForRoom(t *testing.T) {
	s := newWaitScene(t, 2)
	s.quarantine(0)
	s.hbs[1].Committed = s.hbs[1].Capacity
	s.put("long", 0, waitingStep)
	began := s.now
	got, _ := s.awaitPlacement()
	for number := uint32(1); got == s.hbs[1].Worker && s.now.Sub(began) < maxIdle; number++ {
		got = s.handBack(1, core.Attempt{Task: core.TaskID{Job: "long"}, Number: number})
	}
	assert.Equal(t, got, s.hbs[0].Worker, "not placed within %s", maxIdle)
	assert.Assert(t, s.now.Sub(began) < maxIdle, "placed after %s", s.now.Sub(began))
}

// More steps of short tasks than one scan tries find no room, and rank before a long-running
// task that waits too: it must get the room that it needs as soon as there is some.
func TestLongRunningTaskIsPlacedBehindManySteps(t *testing.T) {
	s := newWaitScene(t, 2)
	s.commit(s.hbs[0].Capacity.Millicores)
	for i := range 60 { // none fits where another one does not for sure, so each is searched for
		size := core.Size{Millicores: int64(8000 - 10*i), MemoryMB: int64(1000 + i)}
		s.put(core.JobID(fmt.Sprintf("before%02d", i)), 0, core.StepSpec{Count: 1, Size: size})
	}
	s.put("long", 9, waitingStep)
	s.run(time.Second)
	assert.Equal(t, s.task("long").State, core.TaskWaiting)
	s.commit(12000)
	got, after := s.awaitPlacement()
	assert.Assert(t, got != "", "not placed within %s", after)
}

// commit sets the processors that all workers have committed to long-running tasks.
func (s *waitScene) commit(millicores int64) {
	for i := range s.hbs {
		s.hbs[i].Committed.Millicores, s.hbs[i].LongRunning = millicores, millicores
	}
	s.step(50 * time.Millisecond) // an agent sends no two heartbeats at the same time
	s.heartbeatAll(s.hbs)
}

// More long-running tasks than one scan tries find no room, and have waited longer than one
// that has room: it must be placed nevertheless.
func TestLongRunningTaskIsPlacedBehindManyOthers(t *testing.T) {
	s := newWaitScene(t, 2)
	for i := range 130 { // no worker has the label
		st := waitingStep
		st.Label, st.Size = "none", core.Size{Millicores: int64(8000 - 10*i), MemoryMB: int64(1000 + i)}
		s.put(core.JobID(fmt.Sprintf("before%02d", i)), 0, st)
	}
	s.run(2 * time.Second)
	s.commit(s.hbs[0].Capacity.Millicores)
	s.put("long", 0, waitingStep)
	s.run(time.Second)
	assert.Equal(t, s.task("long").State, core.TaskWaiting)
	s.commit(12000)
	got, after := s.awaitPlacement()
	assert.Assert(t, got != "", "not placed within %s", after)
}

// A long-running task has failed on the only worker that could hold it, which is full of short
// tasks by then: it must wait for room there.
func TestFailedLongRunningTaskAwaitsOnlyRoom(t *testing.T) {
	s := newWaitScene(t, 1)
	s.put("long", 0, waitingStep)
	got, _ := s.awaitPlacement()
	assert.Equal(t, got, s.hbs[0].Worker)
	a := core.Attempt{Task: core.TaskID{Job: "long"}, Number: 1}
	s.hbs[0].Committed = s.hbs[0].Capacity
	s.hbs[0].Ends = []core.End{{Attempt: a, Kind: core.EndFailed, Reason: "exit status 1", Started: true}}
	s.heartbeatAll(s.hbs)
	assert.Equal(t, s.task("long").State, core.TaskWaiting)
	got, after := s.awaitPlacement()
	assert.Assert(t, got != "", "not placed within %s", after)
}

// settleHarness is a workerHarness whose agent loses each order and the first queries.
type settleHarness struct {
	*workerHarness
	seen    int
	lost    int // queries that get no answer
	queries []time.Time
	due     []lateAnswer
}

// lateAnswer is an answer of the agent that comes at a time.
type lateAnswer struct {
	at time.Time
	ev core.EntryEvent
}

// advance delivers heartbeats and the answers that are due, and answers new calls.
func (s *settleHarness) advance() {
	for ; s.seen < len(s.all); s.seen++ {
		switch eff := s.all[s.seen].(type) {
		case core.Start:
			s.due = append(s.due, lateAnswer{s.now.Add(callTimeout), core.StartAnswered{Token: eff.Token, Fault: core.FaultNoAnswer}})
		case core.Settle:
			s.queries = append(s.queries, s.now)
			ans := lateAnswer{s.now, core.SettleAnswered{Token: eff.Token, State: core.SettleNever}}
			if len(s.queries) <= s.lost {
				ans = lateAnswer{s.now.Add(callTimeout), core.SettleAnswered{Token: eff.Token, Fault: core.FaultNoAnswer}}
			}
			s.due = append(s.due, ans)
		}
	}
	var later []lateAnswer
	for _, a := range s.due {
		if s.now.Before(a.at) {
			later = append(later, a)
			continue
		}
		s.run(a.ev)
	}
	s.due = later
	s.heartbeatAll()
}

// callTimeout is how long a call to an agent is waited for, as in package io.
const callTimeout = 2 * time.Second

// newSettleHarness returns a harness in which this number of queries is lost.
func newSettleHarness(t *testing.T, lost int) *settleHarness {
	p := core.DefaultPolicy()
	p.SettleAfter = 2 * time.Second
	s := &settleHarness{workerHarness: newWorkerHarness(t, core.WithPolicy(p)), lost: lost}
	s.worker("a", "api", 0.4)
	s.worker("b", "api", 0.4)
	s.heartbeatAll()
	return s
}

// The order of a long-running task and two queries about it get no answer: the task must be
// placed anew in time, and not before its agent has said that it never starts there.
func TestUnansweredLongRunningTaskIsPlacedAgain(t *testing.T) {
	s := newSettleHarness(t, 2)
	_, attempt := s.place(longRunningStep)
	began := s.now
	next := core.Attempt{Task: attempt.Task, Number: 2}
	placed := func() bool {
		return slices.ContainsFunc(s.notes("task placed"), func(n core.Note) bool { return n.Subject == next.String() })
	}
	for !placed() && s.now.Sub(began) < 20*time.Second {
		s.advance()
	}
	t.Logf("placed again after %s, %d queries", s.now.Sub(began), len(s.queries))
	assert.Assert(t, placed() && s.now.Sub(began) < maxIdle, "placed again after %s", s.now.Sub(began))
	assert.Assert(t, len(s.queries) > 2, "%d queries", len(s.queries))
}

// No query gets an answer: the task must not be placed anew, and queries must not flood the
// agent.
func TestUnansweredQueriesAreSpaced(t *testing.T) {
	s := newSettleHarness(t, 1000)
	s.place(longRunningStep)
	for began := s.now; s.now.Sub(began) < 20*time.Second; {
		s.advance()
	}
	assert.Equal(t, len(s.notes("task placed")), 1)
	assert.Assert(t, len(s.queries) >= 4 && len(s.queries) <= 20, "%d queries", len(s.queries))
}

// A great many short tasks wait on a full site: the rest between two scans must not keep a
// long-running task from the room that becomes free.
func TestLongRunningTaskIsPlacedBesideHugeQueue(t *testing.T) {
	s := newWaitScene(t, 2)
	s.commit(s.hbs[0].Capacity.Millicores)
	s.put("long", 0, waitingStep)
	for i := range 200 {
		st := core.StepSpec{Count: 1000, Size: core.Size{Millicores: 8000, MemoryMB: 1000}}
		s.put(core.JobID(fmt.Sprintf("beside%03d", i)), 0, st)
	}
	s.run(time.Second)
	assert.Equal(t, s.task("long").State, core.TaskWaiting)
	s.commit(12000)
	got, after := s.awaitPlacement()
	assert.Assert(t, got != "", "not placed within %s", after)
}

// A long-running task waits for room on a full worker and is handed back, over and over: it must
// go to another worker as soon as that has room.
func TestHandedBackTaskGoesWhereRoomIs(t *testing.T) {
	s := newWaitScene(t, 2)
	for i := range s.hbs {
		s.hbs[i].Committed = s.hbs[i].Capacity
	}
	s.step(50 * time.Millisecond)
	s.heartbeatAll(s.hbs)
	s.put("long", 0, waitingStep)
	first, _ := s.awaitPlacement()
	assert.Assert(t, first != "", "waits nowhere")
	full, other := 0, 1
	if first == s.hbs[1].Worker {
		full, other = 1, 0
	}
	s.hbs[other].Committed = core.Size{}
	began, got := s.now, first
	for number := uint32(1); got == first && s.now.Sub(began) < maxIdle; number++ {
		got = s.handBack(full, core.Attempt{Task: core.TaskID{Job: "long"}, Number: number})
	}
	assert.Equal(t, got, s.hbs[other].Worker, "still waits for room on %s", first)
	assert.Assert(t, s.now.Sub(began) < maxIdle, "placed after %s", s.now.Sub(began))
}

// handBack makes a worker hold an attempt for 2 s and hand it back, and returns where the next
// one is placed.
func (s *waitScene) handBack(worker int, a core.Attempt) core.WorkerID {
	hb := &s.hbs[worker]
	hb.Running, hb.Launching = []core.Attempt{a}, []core.Attempt{a}
	for range 20 {
		s.heartbeatAll(s.hbs)
		s.run(100 * time.Millisecond)
	}
	hb.Running, hb.Launching = nil, nil
	hb.Ends = append(hb.Ends, core.End{Attempt: a, Kind: core.EndEvicted, Reason: "no room within its permit"})
	s.heartbeatAll(s.hbs)
	got, _ := s.awaitPlacement()
	return got
}

// Guards against LOST: a best-effort task that declares more CPU than long-running tasks leave was
// accepted and never started, though its CPU is not reserved.
func TestLargeBestEffortTaskRunsBesideLongRunning(t *testing.T) {
	for _, cpu := range []int64{15000, 40000} {
		s := newWaitScene(t, 2)
		s.run(100 * time.Millisecond)
		for i := range s.hbs {
			s.hbs[i].Committed, s.hbs[i].LongRunning = core.Size{Millicores: 4000, MemoryMB: 2000}, 4000
			s.hbs[i].TargetedTasks = 1
			s.hbs[i].TailLatencies = []core.ImageTailLatency{{Image: "api", Worst: 0.3, Tasks: 1}}
		}
		s.heartbeatAll(s.hbs)
		s.put("long", 0, core.StepSpec{Count: 1, BestEffort: true, Image: "plan", Size: core.Size{Millicores: cpu, MemoryMB: 2000}})
		got, after := s.awaitPlacement()
		assert.Assert(t, got != "" && after < maxStill, "%d millicores: on %q after %s", cpu, got, after)
	}
}

// A best-effort task goes first where others leave the CPU that it declares.
func TestBestEffortTaskPrefersWorkerWithItsCPU(t *testing.T) {
	s := newWaitScene(t, 2)
	s.run(100 * time.Millisecond)
	s.hbs[0].Committed = core.Size{Millicores: 12000, MemoryMB: 2000}
	s.heartbeatAll(s.hbs)
	s.put("long", 0, core.StepSpec{Count: 1, BestEffort: true, Image: "plan", Size: core.Size{Millicores: 15000, MemoryMB: 2000}})
	got, _ := s.awaitPlacement()
	assert.Equal(t, got, s.hbs[1].Worker)
}
