package core_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/interf"
	"jayloft/table"
)

// workerHarness is an entryHarness with simulated workers, some of which run
// long-running tasks.
type workerHarness struct {
	*entryHarness
	effects    []core.EntryEffect // of the last run
	all        []core.EntryEffect // of all
	windows    uint64
	heartbeats map[core.WorkerID]core.Heartbeat
	order      []core.WorkerID
}

func newWorkerHarness(t *testing.T, opts ...core.Option) *workerHarness {
	s := &workerHarness{entryHarness: newEntryHarnessWith(t, opts), heartbeats: map[core.WorkerID]core.Heartbeat{}}
	for range 20 { // until all shards are read
		s.run(core.Tick{})
	}
	return s
}

// run posts an event and answers the entry's table calls until there are no more.
func (s *workerHarness) run(ev core.EntryEvent) {
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

// worker adds a worker that runs a long-running task of an image with the given tail
// latency, as a fraction of its target; an empty image adds a worker without one.
func (s *workerHarness) worker(id core.WorkerID, image string, tail float64) {
	b := core.Heartbeat{
		Worker: id, Inc: core.Incarnation(id), Run: core.Run(id), DC: "dc",
		Addr:     netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(len(s.heartbeats)+1)),
		Capacity: core.Size{Millicores: 32000, MemoryMB: 64000}, Services: []core.ServiceLoad{{Service: "s"}},
	}
	if image != "" {
		b.TargetedTasks, b.LongRunning, b.Committed = 1, 8000, core.Size{Millicores: 8000, MemoryMB: 8000}
		b.TailLatencies = []core.ImageTailLatency{{Image: image, Worst: tail, Utilization: interf.Utilization(tail), Tasks: 1}}
	}
	s.heartbeats[id] = b
	s.order = append(s.order, id)
}

// heartbeatAll delivers one heartbeat of each worker.
func (s *workerHarness) heartbeatAll() {
	s.now = s.now.Add(100 * time.Millisecond)
	s.windows++
	for _, id := range s.order {
		s.heartbeat(id)
	}
}

func (s *workerHarness) heartbeat(id core.WorkerID) {
	b := s.heartbeats[id]
	b.Sent, b.Window, b.Config = s.now, s.windows, 1
	s.run(core.HeartbeatReceived{Token: 1, Heartbeat: b})
}

// trainInterference alternates heartbeats with and without a best-effort task of the
// image. The utilization of the long-running task changes with it by rise.
func (s *workerHarness) trainInterference(id core.WorkerID, image string, rise float64) {
	unloaded := s.heartbeats[id]
	loaded := unloaded
	loaded.BestEffort = []core.BestEffortLoad{{Image: image, Millicores: 6400}}
	loaded.TailLatencies = []core.ImageTailLatency{unloaded.TailLatencies[0]}
	loaded.TailLatencies[0].Utilization += rise
	for range 6 {
		s.heartbeats[id] = loaded
		s.heartbeatAll()
		s.heartbeats[id] = unloaded
		s.heartbeatAll()
	}
}

// place submits a job of one step, with one task unless st.Count is set, and returns
// the worker and attempt of the first placement.
func (s *workerHarness) place(st core.StepSpec) (core.WorkerID, core.Attempt) {
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

// placed returns the workers on which tasks were placed in the last run.
func (s *workerHarness) placed() []core.WorkerID {
	var ids []core.WorkerID
	for _, eff := range s.effects {
		if n, ok := eff.(core.Note); ok && n.Text == "task placed" {
			ids = append(ids, placedWorker(n))
		}
	}
	return ids
}

func placedWorker(n core.Note) core.WorkerID {
	for _, f := range n.Fields {
		if f.Name == "worker" {
			return core.WorkerID(fmt.Sprint(f.Value))
		}
	}
	return ""
}

// A best-effort task goes to the worker on which it doesn't interfere, whichever of
// the two that is.
func TestBestEffortAvoidsInterference(t *testing.T) {
	for _, interfering := range []string{"api", "web"} {
		s := newWorkerHarness(t)
		s.worker("a", "api", 0.4)
		s.worker("w", "web", 0.4)
		s.trainInterference("a", "f", map[bool]float64{true: 0.35}[interfering == "api"])
		s.trainInterference("w", "f", map[bool]float64{true: 0.35}[interfering == "web"])
		got, _ := s.place(core.StepSpec{BestEffort: true, Image: "f"})
		assert.Equal(t, got, map[string]core.WorkerID{"api": "w", "web": "a"}[interfering])
	}
}

// While site utilization is high, a best-effort task that interferes on every worker
// waits for lower tail latencies.
func TestBestEffortWaitsForLowTailLatency(t *testing.T) {
	s := newWorkerHarness(t)
	s.worker("a", "api", 0.8)
	s.trainInterference("a", "f", 0.1)
	b := s.heartbeats["a"]
	b.Committed.Millicores = 24000
	s.heartbeats["a"] = b
	s.heartbeatAll()
	got, _ := s.place(core.StepSpec{BestEffort: true, Image: "f"})
	assert.Equal(t, got, core.WorkerID(""))
}

// Long-running tasks leave 30 % of the workers to best-effort tasks while they find
// room on others.
func TestLongRunningLeavesWorkersToBestEffort(t *testing.T) {
	for _, notServing := range []int{3, 4} {
		s := newWorkerHarness(t)
		for i := range 10 {
			image := ""
			if i >= notServing {
				image = "api"
			}
			s.worker(core.WorkerID(fmt.Sprintf("w%d", i)), image, 0.4)
		}
		s.heartbeatAll()
		got, _ := s.place(core.StepSpec{LongRunning: true, Target: 50 * time.Millisecond, Image: "web"})
		serves := s.heartbeats[got].TargetedTasks > 0
		assert.Equal(t, serves, notServing <= 3, "with %d workers without long-running tasks, it was placed on %s", notServing, got)
	}
}

// A best-effort task that is throttled until it hardly runs is stopped only if another
// worker tolerates it.
func TestSlowedBestEffortMoves(t *testing.T) {
	for _, tail := range []float64{0.3, 0.95} {
		s := newWorkerHarness(t)
		s.worker("a", "api", 0.3)
		s.heartbeatAll()
		got, attempt := s.place(core.StepSpec{BestEffort: true, Image: "f"})
		assert.Equal(t, got, core.WorkerID("a"))
		s.worker("w", "web", tail)
		s.now = s.now.Add(3 * time.Second)
		s.windows++
		s.heartbeat("w")
		b := s.heartbeats["a"]
		b.Running, b.Slowed = []core.Attempt{attempt}, []core.Attempt{attempt}
		s.heartbeats["a"] = b
		s.heartbeat("a")
		stopped := slices.ContainsFunc(s.effects, func(eff core.EntryEffect) bool {
			_, ok := eff.(core.Stop)
			return ok
		})
		assert.Equal(t, stopped, tail < 0.5)
	}
}
