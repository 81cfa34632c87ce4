package core_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/crash"
	"jayloft/fake"
)

// maxIdle is how long a long-running task may be without a run while there is room for it.
const maxIdle = 6 * time.Second

var longRunningStep = core.StepSpec{LongRunning: true, Target: 50 * time.Millisecond, Image: "api"}

// endRun reports the end of an attempt in the heartbeats of its worker from now on, and
// delivers the first of them.
func (s *workerHarness) endRun(id core.WorkerID, end core.End) {
	b := s.heartbeats[id]
	b.Running, b.Ends = nil, append(b.Ends, end)
	s.heartbeats[id] = b
	s.heartbeat(id)
}

// placedWithin returns the worker on which the attempt after the given one is placed, and how
// long that took.
func (s *workerHarness) placedWithin(d time.Duration, before core.Attempt) (core.WorkerID, time.Duration) {
	next := core.Attempt{Task: before.Task, Number: before.Number + 1}
	for began := s.now; ; s.heartbeatAll() {
		for _, n := range s.notes("task placed") {
			if n.Subject == next.String() {
				return placedWorker(n), s.now.Sub(began)
			}
		}
		if s.now.Sub(began) > d {
			return "", d
		}
	}
}

// fill commits all capacity of a worker.
func (s *workerHarness) fill(id core.WorkerID) {
	b := s.heartbeats[id]
	b.Committed = b.Capacity
	s.heartbeats[id] = b
}

// A long-running task fails on the only worker with room for it: it must run there again
// rather than wait for room elsewhere.
func TestFailedLongRunningTaskReturnsToOnlyRoom(t *testing.T) {
	s := newWorkerHarness(t)
	s.worker("a", "api", 0.4)
	s.worker("b", "api", 0.4)
	s.fill("b")
	s.heartbeatAll()
	got, attempt := s.place(longRunningStep)
	assert.Equal(t, got, core.WorkerID("a"))
	s.endRun("a", core.End{Attempt: attempt, Kind: core.EndFailed, Reason: "exit status 1", Started: true})
	again, after := s.placedWithin(maxIdle, attempt)
	assert.Equal(t, again, core.WorkerID("a"), "not placed within %s", after)
}

// A long-running task fails on one of two workers with room: it must go to the other one.
func TestFailedLongRunningTaskAvoidsItsWorker(t *testing.T) {
	s := newWorkerHarness(t)
	s.worker("a", "api", 0.4)
	s.worker("b", "api", 0.4)
	s.heartbeatAll()
	first, attempt := s.place(longRunningStep)
	s.endRun(first, core.End{Attempt: attempt, Kind: core.EndFailed, Reason: "exit status 1", Started: true})
	again, after := s.placedWithin(time.Second, attempt)
	assert.Assert(t, again != "" && again != first, "placed on %q after %s, failed on %s", again, after, first)
}

// commit sets the size that a worker has committed, with the job that runs apart there.
func (s *workerHarness) commit(id core.WorkerID, millicores int64, isolated core.JobID) {
	b := s.heartbeats[id]
	b.Committed.Millicores, b.Isolated = millicores, isolated
	s.heartbeats[id] = b
}

// A long-running task that may crash workers finds none of its own on a busy site: it must
// not wait for one longer than any long-running task may.
func TestSuspectedLongRunningTaskDoesNotWaitTooLong(t *testing.T) {
	s := newWorkerHarness(t)
	for _, id := range []core.WorkerID{"a", "b", "c", "d", "e", "f"} {
		s.worker(id, "api", 0.4)
	}
	s.commit("a", 32000, "other1")
	s.commit("b", 32000, "other2")
	s.commit("c", 32000, "")
	s.commit("d", 32000, "")
	s.commit("e", 16000, "")
	s.commit("f", 16000, "")
	s.heartbeatAll()
	first, attempt := s.place(longRunningStep)
	s.endRun(first, core.End{
		Attempt: attempt, Kind: core.EndCrashed, Started: true, Crash: crash.Evidence{Ran: time.Millisecond},
	})
	again, after := s.placedWithin(maxIdle, attempt)
	assert.Assert(t, again != "", "not placed within %s", after)
	assert.Assert(t, after > time.Second, "placed beside others at once")
}

// longRunningJob is the first job of a World, in tests of long-running tasks.
const longRunningJob = "job0."

// workBesideLongRunning makes the tasks of longRunningJob run on, and all others for 1 to 3 s.
var workBesideLongRunning = fake.Work(func(id core.TaskID) time.Duration {
	if strings.HasPrefix(id.String(), longRunningJob) {
		return time.Hour
	}
	return time.Duration(1000+id.N*200) * time.Millisecond
})

// idleTimes records how long the tasks of longRunningJob are without a run.
type idleTimes struct {
	endedAt map[string]time.Time // of tasks without a run
	longest time.Duration
}

// trace observes what the workers of a World do.
func (x *idleTimes) trace(at time.Time, who, what string) {
	if !strings.HasPrefix(who, "worker") || !strings.HasPrefix(what, longRunningJob) {
		return
	}
	task, event, _ := strings.Cut(what, "#")
	if strings.Contains(event, " is ended") {
		x.endedAt[task] = at
		return
	}
	if ended, ok := x.endedAt[task]; ok && strings.Contains(event, " is launched") {
		x.longest = max(x.longest, at.Sub(ended))
		delete(x.endedAt, task)
	}
}

// idleFor returns the longest time that a task was or has been without a run.
func (x *idleTimes) idleFor(now time.Time) time.Duration {
	longest := x.longest
	for _, at := range x.endedAt {
		longest = max(longest, now.Sub(at))
	}
	return longest
}

// A drain evicts long-running tasks while several homes place short tasks that take each bit
// of free capacity. The long-running ones must not lose all races for it.
func TestEvictedLongRunningTasksRunAgain(t *testing.T) {
	eachSeed(t, 2, func(t *testing.T, seed uint64) {
		x := &idleTimes{endedAt: map[string]time.Time{}}
		w := homeWorld(seed, 9, 40, 5, workBesideLongRunning, fake.Trace(x.trace))
		w.Run(5 * time.Second)
		w.Do(fake.Submit{Tasks: 24, LongRunning: true, Size: core.Size{Millicores: 2500, MemoryMB: 1000}, Class: "api"})
		w.Run(5 * time.Second)
		for i := range 25 {
			if i == 10 {
				w.Do(fake.Drain{DC: 0})
			}
			w.Do(fake.Submit{Tasks: 8, Steps: true})
			w.Do(fake.Submit{Tasks: 8, Steps: true})
			w.Run(time.Second)
		}
		assert.Equal(t, len(w.Violations()), 0, "%v", w.Violations())
		idle := x.idleFor(w.Now())
		t.Logf("seed %d: without a run for up to %s; %d ends of tasks, %d orders refused",
			seed, idle, w.Counts()["end done"], w.Counts()["restart room"])
		assert.Assert(t, idle > 0, "no task was evicted")
		assert.Assert(t, idle < maxIdle, "seed %d: a task had no run for %s", seed, idle)
	})
}

// Long-running tasks wait for room while workers crash, shrink, pause and restart: no start
// may bring a worker over its capacity, and no task may run twice.
func TestWaitsForRoomAreSafeUnderFaults(t *testing.T) {
	t.Parallel()
	waits := 0
	count := fake.Trace(func(_ time.Time, _, what string) {
		if strings.Contains(what, "start awaits room") {
			waits++
		}
	})
	for seed := range uint64(4) {
		r := rand.New(rand.NewPCG(seed, 1))
		w := homeWorld(seed, 5, 12, 3, workBesideLongRunning, count)
		w.Run(5 * time.Second)
		w.Do(fake.Submit{Tasks: 9, LongRunning: true, Size: core.Size{Millicores: 2500, MemoryMB: 1000}, Class: "api"})
		for range 40 {
			vm, d := r.IntN(12), time.Duration(500+r.IntN(3000))*time.Millisecond
			faults := []fake.Action{
				fake.CrashWorker{VM: vm, For: d}, fake.KillVM{VM: vm, For: d}, fake.KillAgent{VM: vm, For: d / 4},
				fake.PauseAgent{VM: vm, For: d}, fake.PauseVM{VM: vm, For: d}, fake.Resize{VM: vm, Percent: 60, For: d},
				fake.KillEntry{Entry: vm, For: d}, fake.CutVM{VM: vm, Entry: -1, For: d}, fake.Net{Delay: d / 2, Double: 0.3, For: d},
			}
			w.Do(faults[r.IntN(len(faults))])
			w.Do(fake.Submit{Entry: vm, Tasks: 6, Steps: true})
			w.Run(time.Second)
		}
		assert.Equal(t, len(w.Violations()), 0, "seed %d: %v", seed, w.Violations())
	}
	t.Logf("%d waits for room", waits)
	assert.Assert(t, waits > 0)
}

// A worker refuses each order of a long-running task for want of room, though its heartbeats
// show some: the task must not be sent there over and over.
func TestRefusedLongRunningTaskIsNotSentInALoop(t *testing.T) {
	s := newWorkerHarness(t)
	s.worker("a", "api", 0.4)
	s.heartbeatAll()
	s.place(longRunningStep)
	orders, seen := 0, 0
	for began := s.now; s.now.Sub(began) < maxIdle; s.heartbeatAll() {
		for ; seen < len(s.all); seen++ {
			if start, ok := s.all[seen].(core.Start); ok {
				orders++
				s.run(core.StartAnswered{Token: start.Token, Reason: core.ReasonRoom})
			}
		}
	}
	assert.Assert(t, orders > 1 && orders <= 4, "%d orders", orders)
}
