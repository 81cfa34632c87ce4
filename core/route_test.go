package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// Tasks go to workers of their queue's service alone, and with the label that their
// step asks for.
func TestTasksKeepToServiceAndLabel(t *testing.T) {
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
			s := newPressSite(t)
			s.worker("a", "", 0)
			b := s.beats["a"]
			tc.fit(&b)
			s.beats["a"] = b
			s.hear()
			got, _ := s.place(tc.step)
			assert.Equal(t, got, tc.want)
		})
	}
}

// No worker gets more of a step's tasks than the step allows on one.
func TestTasksKeepApart(t *testing.T) {
	s := newPressSite(t)
	s.worker("a", "", 0)
	s.worker("b", "", 0)
	s.hear()
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

// A task that has failed as often as its queue allows is not started again.
func TestTasksKeepToTheirAttempts(t *testing.T) {
	s := newPressSite(t)
	for _, id := range []core.WorkerID{"a", "b", "c"} {
		s.worker(id, "", 0)
	}
	s.hear()
	at, attempt := s.place(core.StepSpec{})
	starts := 1
	for range 4 {
		b := s.beats[at]
		b.Ends = []core.End{{Attempt: attempt, Kind: core.EndFailed, Reason: "its own fault"}}
		s.beats[at] = b
		s.now = s.now.Add(time.Second)
		s.windows++
		s.beat(at)
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

// A task that was done before its worker's incarnation was given up is not started
// again: its end comes with the beat that says that the incarnation is gone.
func TestDoneBeforeItsIncarnationWent(t *testing.T) {
	s := newPressSite(t)
	s.worker("a", "", 0)
	s.hear()
	_, attempt := s.place(core.StepSpec{})
	b := s.beats["a"]
	b.Dead = []core.Incarnation{b.Inc}
	b.Inc = "next"
	b.Ends = []core.End{{Attempt: attempt, Kind: core.EndDone, Reason: "done"}}
	s.beats["a"] = b
	s.all = nil
	for range 30 {
		s.hear()
	}
	for _, eff := range s.all {
		n, ok := eff.(core.Note)
		assert.Assert(t, !ok || n.Text != "task placed", "started again")
	}
}
