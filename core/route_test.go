package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// Tasks are placed only on workers that run their queue's service and have the label
// that their step requires.
func TestPlacementByServiceAndLabel(t *testing.T) {
	tests := []struct {
		name string
		fit  func(*core.Heartbeat)
		step core.StepSpec
		want core.WorkerID
	}{
		{"service", func(b *core.Heartbeat) { b.Services = []core.ServiceLoad{{Service: "other"}} }, core.StepSpec{}, ""},
		{"no label", func(*core.Heartbeat) {}, core.StepSpec{Label: "fast"}, ""},
		{"label", func(b *core.Heartbeat) { b.Labels = []string{"fast"} }, core.StepSpec{Label: "fast"}, "a"},
		{"neither", func(*core.Heartbeat) {}, core.StepSpec{}, "a"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newWorkerHarness(t)
			s.worker("a", "", 0)
			b := s.heartbeats["a"]
			tc.fit(&b)
			s.heartbeats["a"] = b
			s.heartbeatAll()
			got, _ := s.place(tc.step)
			assert.Equal(t, got, tc.want)
		})
	}
}

// No worker gets more of a step's tasks than the step's maximum per worker.
func TestMaxTasksPerWorker(t *testing.T) {
	s := newWorkerHarness(t)
	s.worker("a", "", 0)
	s.worker("b", "", 0)
	s.heartbeatAll()
	s.place(core.StepSpec{Count: 6, MaxPerWorker: 2})
	placed := map[core.WorkerID]int{}
	for range 20 {
		for _, id := range s.placed() {
			placed[id]++
		}
		s.run(core.Tick{})
	}
	assert.DeepEqual(t, placed, map[core.WorkerID]int{"a": 2, "b": 2})
}

// A task that has used up the attempts of its queue is not started again.
func TestMaxAttempts(t *testing.T) {
	s := newWorkerHarness(t)
	for _, id := range []core.WorkerID{"a", "b", "c"} {
		s.worker(id, "", 0)
	}
	s.heartbeatAll()
	at, attempt := s.place(core.StepSpec{})
	starts := 1
	for range 4 {
		b := s.heartbeats[at]
		b.Ends = []core.End{{Attempt: attempt, Kind: core.EndFailed, Reason: "its own fault"}}
		s.heartbeats[at] = b
		s.now = s.now.Add(time.Second)
		s.windows++
		s.heartbeat(at)
		var next core.WorkerID
		for range 60 {
			if placed := s.placed(); len(placed) > 0 {
				next = placed[0]
				break
			}
			s.run(core.Tick{})
		}
		if next == "" {
			break
		}
		starts++
		at, attempt.Number = next, attempt.Number+1
	}
	assert.Equal(t, starts, 2, "the queue allows two attempts")
}

// A task that was done before its worker's incarnation ended is not started again: the
// heartbeat that reports the incarnation as gone also carries the end of the task.
func TestDoneBeforeIncarnationGone(t *testing.T) {
	s := newWorkerHarness(t)
	s.worker("a", "", 0)
	s.heartbeatAll()
	_, attempt := s.place(core.StepSpec{})
	b := s.heartbeats["a"]
	b.Dead = []core.Incarnation{b.Inc}
	b.Inc = "next"
	b.Ends = []core.End{{Attempt: attempt, Kind: core.EndDone, Reason: "done"}}
	s.heartbeats["a"] = b
	s.all = nil
	for range 30 {
		s.heartbeatAll()
	}
	for _, eff := range s.all {
		n, ok := eff.(core.Note)
		assert.Assert(t, !ok || n.Text != "task placed", "started again")
	}
}
