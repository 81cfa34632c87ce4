package core_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// start orders the start of an urgent task, and returns its attempt and the agent's reply.
func (s *agentHarness) start(job core.JobID, millicores int64, longRunning bool) (core.Attempt, core.StartReply) {
	a := core.Attempt{Task: core.TaskID{Job: job}, Number: 1}
	s.reduce(core.StartAsked{Token: 1, Order: core.Order{
		Attempt: a, Holder: core.Holder{Worker: "w", Inc: s.last.Inc}, Echo: s.now, Urgent: true, LongRunning: longRunning,
		Size: core.Size{Millicores: millicores, MemoryMB: 1000},
	}})
	return a, s.replies[len(s.replies)-1]
}

// end makes the worker list an attempt no more.
func (s *agentHarness) end(a core.Attempt) {
	s.runs = slices.DeleteFunc(s.runs, func(b core.Attempt) bool { return a == b })
}

// A long-running task must get the free capacity that short tasks leave before newer orders
// do, and never more than there is.
func TestLongRunningTaskGetsFreedRoom(t *testing.T) {
	s := newAgentHarness()
	short, _ := s.start("short", 1500, false)
	long, reply := s.start("long", 3500, true)
	assert.Assert(t, reply.Started, "refused: %s", reply.Reason)
	_, reply = s.start("newer", 1500, false)
	assert.Equal(t, reply.Reason, core.ReasonRoom)
	s.run(500 * time.Millisecond)
	assert.Assert(t, !slices.Contains(s.launches, long), "launched over the capacity")
	s.end(short)
	s.run(600 * time.Millisecond)
	assert.Assert(t, slices.Contains(s.launches, long))
}

// maxKeepTime bounds the time for which room is kept for a task that was handed back.
const maxKeepTime = 2500 * time.Millisecond

// A long-running task waits for room within its permit only: after that, and the time that its
// entry may take to order it anew, other tasks must get the free capacity.
func TestWaitForRoomEnds(t *testing.T) {
	s := newAgentHarness()
	s.start("short", 1500, false)
	long, reply := s.start("long", 3500, true)
	assert.Assert(t, reply.Started, "refused: %s", reply.Reason)
	_, reply = s.start("second", 3500, true)
	assert.Equal(t, reply.Reason, core.ReasonRoom)
	s.run(core.DefaultPolicy().Permit + 600*time.Millisecond)
	assert.Assert(t, !slices.Contains(s.launches, long))
	assert.Assert(t, slices.ContainsFunc(s.last.Ends, func(e core.End) bool { return e.Attempt == long && !e.Started }))
	s.run(maxKeepTime)
	_, reply = s.start("newer", 1500, false)
	assert.Assert(t, reply.Started, "refused: %s", reply.Reason)
}

// A long-running task does not wait for others that run as long as it does.
func TestNoWaitForLongRunningTasks(t *testing.T) {
	s := newAgentHarness()
	s.start("first", 1500, true)
	_, reply := s.start("long", 3500, true)
	assert.Equal(t, reply.Reason, core.ReasonRoom)
}

// Best-effort tasks reserve no processors, so they must start beside a task that waits for
// room.
func TestBestEffortStartsBesideWait(t *testing.T) {
	s := newAgentHarness()
	s.start("short", 1500, false)
	_, reply := s.start("long", 3500, true)
	assert.Assert(t, reply.Started, "refused: %s", reply.Reason)
	s.reduce(core.StartAsked{Token: 1, Order: core.Order{
		Attempt: core.Attempt{Task: core.TaskID{Job: "filler"}, Number: 1}, BestEffort: true, Echo: s.now,
		Holder: core.Holder{Worker: "w", Inc: s.last.Inc}, Size: core.Size{Millicores: 1000, MemoryMB: 1000},
	}})
	reply = s.replies[len(s.replies)-1]
	assert.Assert(t, reply.Started, "refused: %s", reply.Reason)
}

// A task that is handed back after a wait for room gets the room that is free by then if it
// comes back at once: no other long-running task may take its place.
func TestHandedBackTaskKeepsItsRoom(t *testing.T) {
	s := newAgentHarness()
	first, _ := s.start("short1", 1500, false)
	second, _ := s.start("short2", 1500, false)
	_, reply := s.start("long", 3500, true)
	assert.Assert(t, reply.Started, "refused: %s", reply.Reason)
	s.run(500 * time.Millisecond)
	s.end(first)
	for !slices.ContainsFunc(s.last.Ends, func(e core.End) bool { return e.Attempt.Task.Job == "long" }) {
		s.run(100 * time.Millisecond)
	}
	_, reply = s.start("newer", 1500, false)
	assert.Equal(t, reply.Reason, core.ReasonRoom)
	_, reply = s.start("other", 3500, true)
	assert.Equal(t, reply.Reason, core.ReasonRoom)
	again := core.Attempt{Task: core.TaskID{Job: "long"}, Number: 2}
	s.reduce(core.StartAsked{Token: 1, Order: core.Order{
		Attempt: again, Holder: core.Holder{Worker: "w", Inc: s.last.Inc}, Echo: s.now, Urgent: true, LongRunning: true,
		Size: core.Size{Millicores: 3500, MemoryMB: 1000},
	}})
	s.end(second)
	s.run(600 * time.Millisecond)
	assert.Assert(t, slices.Contains(s.launches, again))
}

// An order of a long-running task reaches its agent near the end of its permit, so that the task
// is handed back at once. The room that becomes free until its next order must be its own.
func TestLateOrderKeepsRoom(t *testing.T) {
	s := newAgentHarness()
	short, _ := s.start("short", 1500, false)
	order := core.Order{
		Attempt: core.Attempt{Task: core.TaskID{Job: "long"}, Number: 1}, Holder: core.Holder{Worker: "w", Inc: s.last.Inc},
		Urgent: true, LongRunning: true, Size: core.Size{Millicores: 3500, MemoryMB: 1000},
		Echo: s.now.Add(200*time.Millisecond - core.DefaultPolicy().Permit),
	}
	s.reduce(core.StartAsked{Token: 1, Order: order})
	s.run(1200 * time.Millisecond)
	s.end(short)
	s.run(600 * time.Millisecond)
	_, reply := s.start("newer", 1500, false)
	assert.Equal(t, reply.Reason, core.ReasonRoom)
	order.Attempt.Number, order.Echo = 2, s.now
	s.reduce(core.StartAsked{Token: 1, Order: order})
	s.run(100 * time.Millisecond)
	assert.Assert(t, slices.Contains(s.launches, order.Attempt))
}

// Two long-running tasks fit beside each other once the short task there is done: both must
// wait for it, and the first one must not wait for room for both.
func TestSeveralTasksAwaitRoom(t *testing.T) {
	s := newAgentHarness()
	first, _ := s.start("short1", 1500, false)
	s.start("short2", 1500, false)
	one, reply := s.start("one", 1900, true)
	assert.Assert(t, reply.Started, "refused: %s", reply.Reason)
	two, reply := s.start("two", 1900, true)
	assert.Assert(t, reply.Started, "refused: %s", reply.Reason)
	s.run(500 * time.Millisecond)
	s.end(first)
	s.run(600 * time.Millisecond)
	assert.Assert(t, slices.Contains(s.launches, one))
	assert.Assert(t, !slices.Contains(s.launches, two), "launched over the capacity")
}
