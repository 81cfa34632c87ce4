package core_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/press"
	"jayloft/table"
)

// pressSite is an entry that hears workers of which some serve.
type pressSite struct {
	*entryHarness
	effects []core.EntryEffect // of the last run
	all     []core.EntryEffect // of all
	windows uint64
	beats   map[core.WorkerID]core.Heartbeat
	order   []core.WorkerID
}

func newPressSite(t *testing.T, opts ...core.Option) *pressSite {
	s := &pressSite{entryHarness: newEntryHarnessWith(t, opts), beats: map[core.WorkerID]core.Heartbeat{}}
	for range 20 { // until all shards are read
		s.run(core.Tick{})
	}
	return s
}

// run posts an event and plays the table until nothing more is asked of it.
func (s *pressSite) run(ev core.EntryEvent) {
	s.now = s.now.Add(50 * time.Millisecond)
	s.effects = nil
	evs := []core.EntryEvent{ev}
	for len(evs) > 0 {
		s.post(evs[0])
		evs = evs[1:]
		s.effects = append(s.effects, s.out...)
		s.all = append(s.all, s.out...)
		for _, eff := range s.out {
			switch eff := eff.(type) {
			case core.ReadChanges:
				evs = append(evs, core.ChangesAnswered{Token: eff.Token, View: table.View{Revision: s.rev}})
			case core.Commit:
				s.rev++
				evs = append(evs, core.CommitAnswered{Token: eff.Token, Result: table.Result{Committed: true, Revision: s.rev}})
			}
		}
	}
}

// worker adds a worker that serves an image with a tail, or none.
func (s *pressSite) worker(id core.WorkerID, image string, tail float64) {
	b := core.Heartbeat{
		Worker: id, Inc: core.Incarnation(id), Run: core.Run(id), DC: "dc",
		Addr:     netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(len(s.beats)+1)),
		Capacity: core.Size{Millicores: 32000, MemoryMB: 64000}, Services: []core.ServiceLoad{{Service: "s"}},
	}
	if image != "" {
		b.TargetedTasks, b.LongRunning, b.Committed = 1, 8000, core.Size{Millicores: 8000, MemoryMB: 8000}
		b.TailLatencies = []core.ImageTailLatency{{Image: image, Worst: tail, Utilization: press.Utilization(tail), Tasks: 1}}
	}
	s.beats[id] = b
	s.order = append(s.order, id)
}

// hear lets all workers beat once.
func (s *pressSite) hear() {
	s.now = s.now.Add(100 * time.Millisecond)
	s.windows++
	for _, id := range s.order {
		s.beat(id)
	}
}

func (s *pressSite) beat(id core.WorkerID) {
	b := s.beats[id]
	b.Sent, b.Window, b.Config = s.now, s.windows, 1
	s.run(core.HeartbeatReceived{Token: 1, Heartbeat: b})
}

// teach lets a worker's tail rise and fall with a filler, or stay.
func (s *pressSite) teach(id core.WorkerID, filler string, rise float64) {
	calm := s.beats[id]
	loaded := calm
	loaded.BestEffort = []core.BestEffortLoad{{Image: filler, Millicores: 6400}}
	loaded.TailLatencies = []core.ImageTailLatency{calm.TailLatencies[0]}
	loaded.TailLatencies[0].Utilization += rise
	for range 6 {
		s.beats[id] = loaded
		s.hear()
		s.beats[id] = calm
		s.hear()
	}
}

// place submits a job of one task, unless its step says more, and returns the worker
// that the first goes to.
func (s *pressSite) place(st core.StepSpec) (core.WorkerID, core.Attempt) {
	s.t.Helper()
	st.Count, st.Size = max(st.Count, 1), core.Size{Millicores: 3200, MemoryMB: 1000}
	ask := core.JobRequest{Verb: core.JobSubmit, Path: testJobPath, Spec: core.JobSpec{Steps: []core.StepSpec{st}}, Deadline: s.now.Add(time.Second)}
	s.run(core.JobRequested{Token: 77, Request: ask})
	for range 10 {
		if placed := s.placed(); len(placed) > 0 {
			return placed[0], core.Attempt{Task: core.TaskID{Job: testJob}, Number: 1}
		}
		s.run(core.Tick{})
	}
	return "", core.Attempt{}
}

// placed returns the workers that tasks went to in the last run.
func (s *pressSite) placed() []core.WorkerID {
	var ids []core.WorkerID
	for _, eff := range s.effects {
		if n, ok := eff.(core.Note); ok && n.Text == "task placed" {
			ids = append(ids, workerOf(n))
		}
	}
	return ids
}

func workerOf(n core.Note) core.WorkerID {
	for _, f := range n.Fields {
		if f.Name == "worker" {
			return core.WorkerID(fmt.Sprint(f.Value))
		}
	}
	return ""
}

// A filler goes where it does not press, however it is drawn among equals.
func TestFillerKeepsOffWhatItPresses(t *testing.T) {
	for _, hard := range []string{"api", "web"} {
		s := newPressSite(t)
		s.worker("a", "api", 0.4)
		s.worker("w", "web", 0.4)
		s.teach("a", "f", map[bool]float64{true: 0.35}[hard == "api"])
		s.teach("w", "f", map[bool]float64{true: 0.35}[hard == "web"])
		got, _ := s.place(core.StepSpec{BestEffort: true, Image: "f"})
		assert.Equal(t, got, map[string]core.WorkerID{"api": "w", "web": "a"}[hard])
	}
}

// While the site is busy, a filler that presses everywhere waits for calm tails.
func TestFillerWaitsForCalmTails(t *testing.T) {
	s := newPressSite(t)
	s.worker("a", "api", 0.8)
	s.teach("a", "f", 0.1)
	b := s.beats["a"]
	b.Committed.Millicores = 24000
	s.beats["a"] = b
	s.hear()
	got, _ := s.place(core.StepSpec{BestEffort: true, Image: "f"})
	assert.Equal(t, got, core.WorkerID(""))
}

// Lasting tasks leave three tenths of the workers to fillers while they find room
// on others.
func TestLastingTasksLeaveWorkersToFillers(t *testing.T) {
	for _, quiet := range []int{3, 4} {
		s := newPressSite(t)
		for i := range 10 {
			image := ""
			if i >= quiet {
				image = "api"
			}
			s.worker(core.WorkerID(fmt.Sprintf("w%d", i)), image, 0.4)
		}
		s.hear()
		got, _ := s.place(core.StepSpec{LongRunning: true, Target: 50 * time.Millisecond, Image: "web"})
		serves := s.beats[got].TargetedTasks > 0
		assert.Equal(t, serves, quiet <= 3, "with %d workers that don't serve, it went to %s", quiet, got)
	}
}

// A filler that hardly runs is stopped if another worker bears it, and else not.
func TestSlowedFillerMoves(t *testing.T) {
	for _, tail := range []float64{0.3, 0.95} {
		s := newPressSite(t)
		s.worker("a", "api", 0.3)
		s.hear()
		got, attempt := s.place(core.StepSpec{BestEffort: true, Image: "f"})
		assert.Equal(t, got, core.WorkerID("a"))
		s.worker("w", "web", tail)
		s.now = s.now.Add(3 * time.Second)
		s.windows++
		s.beat("w")
		b := s.beats["a"]
		b.Running, b.Slowed = []core.Attempt{attempt}, []core.Attempt{attempt}
		s.beats["a"] = b
		s.beat("a")
		stopped := slices.ContainsFunc(s.effects, func(eff core.EntryEffect) bool {
			_, ok := eff.(core.Stop)
			return ok
		})
		assert.Equal(t, stopped, tail < 0.5)
	}
}
