package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
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

// placedWithin returns the worker on which the next task is placed, and how long that took.
func (s *workerHarness) placedWithin(d time.Duration) (core.WorkerID, time.Duration) {
	began := s.now
	for {
		if ids := s.placed(); len(ids) > 0 {
			return ids[0], s.now.Sub(began)
		}
		if s.now.Sub(began) > d {
			return "", d
		}
		s.heartbeatAll()
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
	again, after := s.placedWithin(maxIdle)
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
	again, after := s.placedWithin(time.Second)
	assert.Assert(t, again != "" && again != first, "placed on %q after %s, failed on %s", again, after, first)
}
