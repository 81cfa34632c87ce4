package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/fake"
)

// Workers whose capacity shrinks and grows must get no start beyond it, and every job must
// end.
func TestCapacityThatShrinksAndGrows(t *testing.T) {
	eachSeed(t, 20, func(t *testing.T, seed uint64) {
		w := fake.New(seed, fake.Workers(6, 3), fake.Work(func(core.TaskID) time.Duration { return 2 * time.Second }))
		w.Run(5 * time.Second)
		for i := range 60 {
			w.Do(fake.Submit{Entry: i, Tasks: 3, Size: core.Size{Millicores: 700, MemoryMB: 700}, Urgent: i%2 == 0, Class: "cut"})
			w.Do(fake.Resize{VM: i, Percent: 30 + 10*(i%7), For: time.Duration(500+i*37%3000) * time.Millisecond})
			w.Run(300 * time.Millisecond)
		}
		w.Settle(time.Minute)
		assert.Equal(t, len(w.Violations()), 0, "seed %d: %v", seed, w.Violations())
	})
}

// All workers shrink for a while. A job that fits them at their full size must wait and not
// be refused: nobody knows that they won't grow again.
func TestShrunkWorkersRefuseNoJob(t *testing.T) {
	h := newEntryHarness(t)
	h.sendHeartbeat(8)
	h.commitAll("")
	h.pass(4*core.DefaultPolicy().HeartbeatInterval, true)
	h.sendHeartbeat(2)
	h.commitAll("")
	h.post(core.JobRequested{Token: 91, Request: core.JobRequest{
		Verb: core.JobSubmit, Path: "/q/large", Deadline: h.now.Add(time.Second),
		Spec: core.JobSpec{Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 6000}}}},
	}})
	ans, ok := find[core.JobReply](h)
	assert.Assert(t, !ok, "answered at once: %v", ans)
	assert.Equal(t, h.commitAll("large"), 0, "placed on a worker that has shrunk")
}

// resizedAgent returns an agent that runs an urgent and a best-effort task.
func resizedAgent(t *testing.T) *crashAgent {
	s := newCrashAgent()
	urgent, filler := s.order("urgent"), s.order("filler")
	urgent.Size.Millicores = 6000
	filler.Urgent, filler.BestEffort = false, true
	assert.Assert(t, s.start(urgent))
	assert.Assert(t, s.start(filler))
	s.run(time.Second)
	return s
}

// resize makes the worker report another capacity.
func (s *crashAgent) resize(c core.Size) {
	s.size = c
	s.reduce(core.WorkerResized{Boot: s.boot, Capacity: c})
}

// A capacity that shrinks must count for the next start, before the next inspection.
func TestStartRestsOnCapacityJustReported(t *testing.T) {
	s := resizedAgent(t)
	assert.Equal(t, s.last.Capacity.Millicores, int64(8000))
	s.resize(core.Size{Millicores: 6500, MemoryMB: 16000})
	assert.Equal(t, s.last.Capacity.Millicores, int64(6500), "the entries are not told at once")
	assert.Assert(t, !s.start(s.order("too large")))
	s.resize(core.Size{Millicores: 8000, MemoryMB: 16000})
	assert.Assert(t, s.start(s.order("fits again")))

	s.reduce(core.WorkerResized{Boot: "other", Capacity: core.Size{}})
	assert.Equal(t, s.last.Capacity.Millicores, int64(8000), "capacity of another boot is applied")
}

// What is being stopped still counts, also towards a capacity that has shrunk meanwhile.
func TestStoppingTaskCountsTowardsShrunkCapacity(t *testing.T) {
	s := resizedAgent(t)
	s.slowStops = true
	s.reduce(core.StopAsked{Attempt: s.order("urgent").Attempt, Inc: s.last.Inc, Kind: core.EndCancelled})
	s.resize(core.Size{Millicores: 6500, MemoryMB: 16000})
	assert.Assert(t, !s.start(s.order("too early")))
	s.slowStops = false
	delete(s.running, s.order("urgent").Attempt)
	s.run(2 * time.Second)
	assert.Assert(t, s.start(s.order("after the end")))
}

// A best-effort task reserves no processors: when these shrink below what urgent tasks
// reserve, its eviction frees none and only loses its work.
func TestShrunkProcessorsEvictNoBestEffortTask(t *testing.T) {
	s := resizedAgent(t)
	s.resize(core.Size{Millicores: 3000, MemoryMB: 16000})
	s.run(time.Second)
	assert.Equal(t, len(s.stopped), 0)
	s.resize(core.Size{Millicores: 3000, MemoryMB: 1500})
	assert.Equal(t, len(s.stopped), 1, "memory that has shrunk is freed")
}
