package fake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/table"
)

func TestQueueOrder(t *testing.T) {
	var q queue
	var got []int
	for i, d := range []time.Duration{3, 1, 1, 2} {
		q.push(Epoch.Add(d), func() { got = append(got, i) })
	}
	for {
		if _, ok := q.first(); !ok {
			break
		}
		_, do := q.pop()
		do()
	}
	assert.DeepEqual(t, got, []int{1, 2, 3, 0})
}

func TestClock(t *testing.T) {
	c := clock{offset: -time.Hour, rate: 1.01}
	at := Epoch.Add(100 * time.Second)
	assert.Equal(t, c.local(at).Sub(Epoch), 101*time.Second-time.Hour)
	assert.Assert(t, c.world(c.local(at)).Sub(at).Abs() < 2*time.Microsecond)
}

func TestStoreConditions(t *testing.T) {
	w := New(1, Entries(0), Workers(0, 1))
	s := w.store
	write := func(v uint64, del bool) table.Result {
		return s.apply(table.Txn{
			Conds:  []table.Cond{{Key: "x", Version: v}},
			Writes: []table.Write{{Key: "x", Value: []byte("v"), Delete: del}},
		})
	}
	o := w.oracle
	first := write(0, true) // a deletion leaves a tombstone
	assert.Assert(t, first.Committed)
	again := write(0, true)
	assert.Assert(t, again.Committed)
	assert.Equal(t, again.Revision, first.Revision+1)
	lost := write(again.Revision, true)
	assert.Assert(t, !lost.Committed)
	assert.Equal(t, len(lost.Conflicts), 1)
	assert.Equal(t, lost.Conflicts[0].Version, uint64(0))
	assert.Equal(t, len(s.changes("x", first.Revision).Rows), 1)
	assert.Equal(t, len(s.changes("x", 0).Rows), 0)
	assert.Equal(t, len(o.found), 0)
}

// newWorker returns a worker whose agent never starts anything by itself.
func newWorker(opts ...Option) (*World, *worker) {
	w := New(1, append([]Option{Entries(0), Workers(1, 1)}, opts...)...)
	w.vms[0].agent.kill()
	return w, w.vms[0].worker
}

func order(job core.JobID, n uint32) core.Order {
	return core.Order{
		Attempt: core.Attempt{Task: core.TaskID{Job: job}, Number: n},
		Size:    core.Size{Millicores: 1000, MemoryMB: 1000},
	}
}

func TestWorkerPausesAtDeadline(t *testing.T) {
	w, k := newWorker(Work(func(core.TaskID) time.Duration { return 10 * time.Second }))
	now := func() time.Time { return k.proc.clock.local(w.now) }
	o := order("a", 1)
	assert.Assert(t, k.launch(core.Launch{Order: o, Deadline: now().Add(4 * time.Second)}).ok)
	w.Run(6 * time.Second)
	assert.Equal(t, k.tasks[o.Attempt].state, core.WorkerPaused)
	k.renew(core.Renew{Attempts: []core.Attempt{o.Attempt}, Deadline: now().Add(time.Minute)})
	w.Run(5 * time.Second)
	assert.Equal(t, k.tasks[o.Attempt].state, core.WorkerRunning)
	w.Run(2 * time.Second)
	assert.Equal(t, k.tasks[o.Attempt].end.Kind, core.EndDone)
	assert.Equal(t, len(w.Violations()), 0)
}

func TestWorkerResumesFromCheckpoint(t *testing.T) {
	w, k := newWorker(Work(func(core.TaskID) time.Duration { return 10 * time.Second }))
	far := k.proc.clock.local(w.now).Add(time.Hour)
	o := order("a", 1)
	k.launch(core.Launch{Order: o, Deadline: far})
	w.Run(6 * time.Second)
	assert.Assert(t, k.control(core.Control{Attempt: o.Attempt, Verb: core.VerbStop, Kind: core.EndEvicted}).ok)
	next := order("a", 2)
	k.launch(core.Launch{Order: next, Deadline: far})
	w.Run(5 * time.Second)
	assert.Equal(t, k.tasks[next.Attempt].end.Kind, core.EndDone)
	assert.Equal(t, len(w.Violations()), 0)
}

func TestOracleFinds(t *testing.T) {
	long := Work(func(core.TaskID) time.Duration { return time.Hour })
	tests := []struct {
		name string
		want Point
		do   func(w *World, k *worker, far time.Time)
	}{
		{"too much on one VM", PointSize, func(_ *World, k *worker, far time.Time) {
			for _, job := range []core.JobID{"a", "b", "c", "d"} {
				k.launch(core.Launch{Order: order(job, 1), Deadline: far})
			}
		}},
		{"two attempts at once", PointTwice, func(_ *World, k *worker, far time.Time) {
			k.launch(core.Launch{Order: order("a", 1), Deadline: far})
			k.launch(core.Launch{Order: order("a", 2), Deadline: far})
		}},
		{"start in a data centre that is out", PointOut, func(w *World, k *worker, far time.Time) {
			w.oracle.dcWritten(core.DCRow{Name: dcName(0), Out: true})
			w.Run(OutFor + time.Second)
			k.launch(core.Launch{Order: order("a", 1), Deadline: far})
		}},
		{"a non-idempotent request twice", PointAtMost, func(w *World, k *worker, _ time.Time) {
			w.oracle.requests["r"] = &served{id: "r"}
			k.call(core.Call{ID: "r"}, func(core.Called) {})
			k.call(core.Call{ID: "r"}, func(core.Called) {})
		}},
		{"a run after a refusal", PointRefused, func(w *World, k *worker, _ time.Time) {
			w.oracle.requests["r"] = &served{id: "r", answers: []core.Answer{{Outcome: core.OutcomeRefused}}}
			k.call(core.Call{ID: "r"}, func(core.Called) {})
		}},
		{"a configuration that goes back", PointConfig, func(w *World, k *worker, _ time.Time) {
			w.oracle.config(k.proc, 7)
			w.oracle.config(k.proc, 6)
		}},
		{"a task recorded done that never ran", PointEnd, func(w *World, _ *worker, _ time.Time) {
			row := core.JobRow{Spec: core.JobSpec{ID: "a"}, Tasks: []core.TaskRow{{State: core.TaskWaiting}}}
			w.oracle.jobWritten(row)
			row.Tasks = []core.TaskRow{{State: core.TaskDone, Attempt: 1}}
			w.oracle.jobWritten(row)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w, k := newWorker(long)
			tc.do(w, k, k.proc.clock.local(w.now).Add(time.Hour))
			assert.Assert(t, len(w.Violations()) > 0)
			assert.Equal(t, w.Violations()[0].Point, tc.want)
		})
	}
}
