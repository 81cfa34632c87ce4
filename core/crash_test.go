package core_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/crash"
	"jayloft/fake"
	"jayloft/table"
)

// steady is the run time of the tasks in the tests of crashes.
const steady = 800 * time.Millisecond

// crashWorld returns a world of 12 workers with tasks of equal length.
func crashWorld(seed uint64, opts ...fake.Option) *fake.World {
	return fake.New(seed, append([]fake.Option{
		fake.Workers(12, 3), fake.Work(func(core.TaskID) time.Duration { return steady }),
	}, opts...)...)
}

// crashLoad submits a job whose only task crashes each worker that starts it, amid other
// jobs for a while.
func crashLoad(w *fake.World) {
	w.Run(5 * time.Second)
	size := core.Size{Millicores: 400, MemoryMB: 400}
	for i := range 60 {
		w.Do(fake.Submit{Entry: i, Tasks: 6, Size: size, Class: "cut", Steps: true, Urgent: true})
		if i == 5 {
			w.Do(fake.Submit{Entry: 1, Tasks: 1, Size: size, Class: fake.ClassCrash, Urgent: true})
		}
		w.Run(500 * time.Millisecond)
	}
}

// A task that crashes each worker that starts it was placed again for ever.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	eachSeed(t, 20, func(t *testing.T, seed uint64) {
		w := crashWorld(seed)
		crashLoad(w)
		w.Settle(time.Minute)
		assert.Equal(t, len(w.Violations()), 0, "seed %d: %v", seed, w.Violations())
		assert.Equal(t, w.Oracle().WronglyGivenUp(), 0, "seed %d", seed)
	})
}

// A task that had crashed its worker was placed again beside others, with its former
// neighbours among them: each of its crashes cost the work of a whole worker.
func TestSecondCrashCostsNoNeighbours(t *testing.T) {
	eachSeed(t, 20, func(t *testing.T, seed uint64) {
		w := crashWorld(seed)
		crashLoad(w)
		w.Settle(time.Minute)
		assert.Equal(t, len(w.Violations()), 0, "seed %d: %v", seed, w.Violations())
		assert.Equal(t, w.Oracle().WronglyGivenUp(), 0, "seed %d", seed)
		crashes := w.Oracle().Crashes()
		assert.Assert(t, len(crashes) <= 2, "seed %d: %v", seed, crashes)
		for _, c := range crashes[1:] {
			assert.Equal(t, c.Neighbours, 0, "seed %d: %v", seed, crashes)
		}
	})
}

// Workers that crash for other causes, again and again, must not make an entry give up the
// tasks that were there.
func TestTasksOutliveCrashesOfOtherCauses(t *testing.T) {
	eachSeed(t, 20, func(t *testing.T, seed uint64) {
		w := crashWorld(seed)
		w.Run(5 * time.Second)
		size := core.Size{Millicores: 400, MemoryMB: 400}
		for i := range 80 {
			w.Do(fake.Submit{Entry: i, Tasks: 6, Size: size, Class: "cut", Steps: true, Urgent: true})
			if i%2 == 0 {
				w.Do(fake.CrashWorker{VM: i / 2 % 4, For: time.Second})
			}
			w.Run(250 * time.Millisecond)
		}
		w.Settle(time.Minute)
		assert.Equal(t, len(w.Violations()), 0, "seed %d: %v", seed, w.Violations())
		assert.Equal(t, w.Oracle().WronglyGivenUp(), 0, "seed %d", seed)
	})
}

// withCrashes returns the script with jobs that crash workers, workers that crash for other
// causes, and workers that shrink and grow, between its actions.
func (s script) withCrashes() script {
	var as []fake.Action
	for i, a := range s.Actions {
		as = append(as, a)
		switch i % 6 {
		case 1:
			as = append(as, fake.Submit{Entry: i, Tasks: 1 + i%3, Size: core.Size{Millicores: 300, MemoryMB: 300}, Class: fake.ClassCrash, Urgent: i%2 == 0})
		case 3:
			as = append(as, fake.CrashWorker{VM: i, For: time.Duration(1+i%4) * time.Second})
		case 5:
			as = append(as, fake.Resize{VM: i, Percent: 40 + 10*(i%5), For: time.Duration(1+i%7) * time.Second})
		}
	}
	s.Actions = as
	return s
}

// TestSeedsOfCrashes checks the scripts of TestSeeds with crashes and changes of capacity.
func TestSeedsOfCrashes(t *testing.T) { checkVariant(t, script.withCrashes) }

// A caller whose job is given up must learn why, and so must an operator who asks.
func TestGivenUpJobSaysWhy(t *testing.T) {
	h := newEntryHarness(t)
	row := core.JobRow{
		Spec: core.JobSpec{ID: testJob, Queue: testQueue, Service: "s", Steps: []core.StepSpec{{Count: 2, Size: core.Size{Millicores: 1}}}},
		Tasks: []core.TaskRow{{}, {
			State: core.TaskClaimed, Attempt: 2, Holder: core.Holder{Worker: "w", Inc: "first"},
			Crashes: crash.Record{Total: 1, Soon: 1}, CrashedOn: []core.WorkerID{"v"}, CrashedIn: []uint32{1},
		}},
	}
	h.readShardOf(row)
	h.post(core.HeartbeatReceived{Token: 1, Heartbeat: core.Heartbeat{
		Worker: "w", Inc: "second", Run: "r", DC: "dc", Sent: h.now, Capacity: core.Size{Millicores: 8000, MemoryMB: 1000},
		Services: []core.ServiceLoad{{Service: "s"}}, Dead: []core.Incarnation{"first"},
		Ends: []core.End{{
			Attempt: core.Attempt{Task: core.TaskID{Job: testJob, N: 1}, Number: 2}, Kind: core.EndCrashed,
			Crash: crash.Evidence{Ran: time.Millisecond, Alone: true},
		}},
	}})
	h.commitAll(testJob)
	h.post(core.JobRequested{Token: 90, Request: core.JobRequest{Verb: core.JobGet, Path: "/q/" + string(testJob), Deadline: h.now.Add(time.Second)}})
	ans := mustFind[core.JobReply](h).Answer
	assert.Equal(t, ans.State, core.JobFailed)
	assert.Equal(t, ans.Text, "task 1: 2 workers crashed as they ran it, the last ones: v, w")
	h.post(core.CommandAsked{Token: 91, Command: core.Why{Kind: "job", ID: string(testJob)}})
	found := false
	for _, cells := range mustFind[core.CommandReply](h).Result.Rows {
		found = found || cells[0] == "failed" && cells[1] == ans.Text
	}
	assert.Assert(t, found)
}

// readShardOf answers the entry's reads until it has read a job's row.
func (h *entryHarness) readShardOf(row core.JobRow) {
	h.readShardsWith(h.row(keyOfJob(row.Spec.ID), row))
}

// readShardsWith answers the entry's reads until it has read all rows of jobs.
func (h *entryHarness) readShardsWith(rows ...table.Row) {
	for range 3 { // not all shards are read in one round
		h.now = h.now.Add(time.Second)
		h.post(core.Tick{})
		for _, read := range allOf[core.ReadChanges](h) {
			view := table.View{Revision: h.rev}
			for _, r := range rows {
				if strings.HasPrefix(r.Key, read.Prefix) {
					view.Rows = append(view.Rows, r)
				}
			}
			h.post(core.ChangesAnswered{Token: read.Token, View: view})
		}
	}
}
