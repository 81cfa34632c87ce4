package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// maxStill is how long a job may have nothing running while there is room for it.
const maxStill = 3 * time.Second

// stillFor returns the longest time for which a job had no run between its first one and a
// time.
func (s *sizeScene) stillFor(id core.JobID, until time.Time) time.Duration {
	var longest time.Duration
	var idle time.Time // since when nothing of the job has run
	for _, r := range s.runs {
		if r.Task.Job != id {
			continue
		}
		if !idle.IsZero() {
			longest = max(longest, r.at.Sub(idle))
		}
		idle = r.at.Add(sizeRunTime)
	}
	return max(longest, until.Sub(idle))
}

// workersOf returns the workers of the attempts of a job's first task, in order.
func (s *sizeScene) workersOf(id core.JobID) []core.WorkerID {
	var ids []core.WorkerID
	for _, r := range s.runs {
		if r.Task == (core.TaskID{Job: id}) {
			ids = append(ids, r.on)
		}
	}
	return ids
}

// playUntilEnd lets the workers work until the job has ended, or for a time.
func (s *sizeScene) playUntilEnd(id core.JobID, d time.Duration) core.JobState {
	for end := s.now.Add(d); s.now.Before(end); s.play(100 * time.Millisecond) {
		if row := s.job(id); row.State() != core.JobRunning && row.State() != core.JobQueued {
			return row.State()
		}
	}
	row := s.job(id)
	return row.State()
}

func smallSpec(tasks int) core.JobSpec {
	return core.JobSpec{Input: "i", Steps: []core.StepSpec{{Count: tasks, Size: core.Size{Millicores: 480, MemoryMB: 16}}}}
}

// Guards against LOST: a task that had failed once on each worker that may run it was never
// started again, though it had tries left.
func TestFailedTaskRunsAgainWithFewWorkers(t *testing.T) {
	const id = "00000000000000c0"
	for workers := 1; workers <= 5; workers++ {
		for _, fails := range []int{1, 3, 1000} {
			t.Run(fmt.Sprintf("%d workers, %d failures", workers, fails), func(t *testing.T) {
				s := newSizeScene(t, workers)
				s.fails = fails
				assert.Equal(t, s.submit(id, smallSpec(2)).Outcome, core.JobAccepted)
				state := s.playUntilEnd(id, 20*time.Second)
				still := s.stillFor(id, s.now)
				assert.Assert(t, still < maxStill, "nothing ran for %s, the job is %s", still, state)
				if fails < 4 {
					assert.Equal(t, state, core.JobDone)
					return
				}
				assert.Equal(t, state, core.JobFailed)
				assert.Equal(t, len(s.workersOf(id)), 4, "runs of the first task")
			})
		}
	}
}

// Guards what the exclusion is for: while other workers are free, the next try goes to one on
// which the task has not failed, and then to the one where that is longest ago.
func TestFailedTaskPrefersOtherWorkers(t *testing.T) {
	const id = "00000000000000c1"
	for _, workers := range []int{2, 3, 6} {
		s := newSizeScene(t, workers)
		s.fails = 3
		assert.Equal(t, s.submit(id, smallSpec(1)).Outcome, core.JobAccepted)
		assert.Equal(t, s.playUntilEnd(id, 20*time.Second), core.JobDone)
		on := s.workersOf(id)
		for i := range on {
			for k := max(i-min(workers, 4)+1, 0); k < i; k++ {
				assert.Assert(t, on[i] != on[k], "%d workers, runs on %v", workers, on)
			}
		}
	}
}

// Guards against a try that is wasted where the task has failed while others are full for a
// moment, and against a wait for others that stay full.
func TestFailedTaskWaitsBrieflyForOtherWorkers(t *testing.T) {
	for _, frees := range []bool{true, false} {
		s := newWaitScene(t, 4)
		for i := range s.hbs[1:] {
			half := s.hbs[i+1].Capacity.Millicores / 2 // of tasks that last: the site is not busy
			s.hbs[i+1].Committed.Millicores, s.hbs[i+1].LongRunning = half, half
		}
		s.run(100 * time.Millisecond)
		s.heartbeatAll(s.hbs)
		st := core.StepSpec{Count: 1, Size: core.Size{Millicores: 9000, MemoryMB: 1000}}
		s.table.put(t, keyOfJob("long"), core.JobRow{
			Spec:  core.JobSpec{ID: "long", Service: "s", Attempts: 4, Steps: []core.StepSpec{st}},
			Tasks: []core.TaskRow{{Attempt: 1, Failures: 1, FailedOn: []core.WorkerID{s.hbs[0].Worker}}},
		})
		s.heartbeatAll(s.hbs)
		s.run(time.Second)
		assert.Equal(t, s.task("long").State, core.TaskWaiting, "%+v", s.task("long"))
		want := s.hbs[0].Worker
		if frees {
			s.hbs[2].Committed, s.hbs[2].LongRunning, want = core.Size{}, 0, s.hbs[2].Worker
		}
		got, _ := s.awaitPlacement()
		assert.Equal(t, got, want)
	}
}

// Guards against LOST: with all workers in quarantine, jobs with tries left had nothing running
// for 10 s up to 5 minutes.
func TestJobsGoOnWithAllWorkersInQuarantine(t *testing.T) {
	for workers := 1; workers <= 2; workers++ {
		s := newSizeScene(t, workers)
		s.fails = 3
		var ids []core.JobID
		for i := range 8 {
			id := core.JobID(fmt.Sprintf("00000000000001%02d", i))
			assert.Equal(t, s.submit(id, smallSpec(1)).Outcome, core.JobAccepted)
			ids = append(ids, id)
		}
		for _, id := range ids {
			assert.Equal(t, s.playUntilEnd(id, 20*time.Second), core.JobDone, "%d workers, job %s", workers, id)
			still := s.stillFor(id, time.Time{})
			assert.Assert(t, still < maxStill, "%d workers, nothing of %s ran for %s", workers, id, still)
		}
	}
}

// Guards against a task that fails for good and for ever: without a number of attempts, it was
// parked only by the number of workers that it had failed on.
func TestTaskWithoutAttemptsFailsInTheEnd(t *testing.T) {
	const id = "00000000000000c3"
	for workers := 1; workers <= 4; workers++ {
		s := newSizeScene(t, workers)
		s.fails = 1000
		assert.Equal(t, s.submitTo("/unbounded/", id, smallSpec(1)).Outcome, core.JobAccepted)
		assert.Equal(t, s.playUntilEnd(id, time.Minute), core.JobFailed, "%d workers", workers)
		assert.Assert(t, len(s.workersOf(id)) >= 3, "runs on %v", s.workersOf(id))
	}
}

// Guards against LOST: a job avoided a worker on which it had a straggler for 10 s, also its only
// one.
func TestJobReturnsToOnlyWorkerThatWasSlow(t *testing.T) {
	const id = "00000000000000c4"
	s := newSizeScene(t, 1)
	s.slow = true
	assert.Equal(t, s.submit(id, smallSpec(4)).Outcome, core.JobAccepted)
	for len(s.stops) == 0 && len(s.runs) < 20 {
		s.play(sizeStep)
	}
	evicted := s.now
	assert.Equal(t, s.playUntilEnd(id, 20*time.Second), core.JobDone)
	assert.Assert(t, s.now.Sub(evicted) < maxStill, "done %s after the straggler was evicted", s.now.Sub(evicted))
}
