package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/table"
)

// stepSite is an entry with one worker that runs the four tasks of a job's step.
type stepSite struct {
	*entryHarness
	running []core.Attempt
	ends    []core.End
	silent  bool // the table does not answer
}

// newStepSite returns a site on which all tasks run.
func newStepSite(t *testing.T) *stepSite {
	t.Helper()
	s := &stepSite{entryHarness: newEntryHarness(t)}
	s.post(core.JobRequested{Token: 1, Request: core.JobRequest{
		Verb: core.JobSubmit, Path: testJobPath, Deadline: s.now.Add(time.Hour),
		Spec: core.JobSpec{Steps: []core.StepSpec{{Count: 4, Size: core.Size{Millicores: 1}}}},
	}})
	s.commitAll(testJob)
	for range 4 {
		s.heartbeat()
	}
	assert.Equal(t, len(s.running), 4)
	return s
}

// heartbeat delivers a heartbeat of the worker, carries out what the entry does then, and lets
// 250 ms pass. It reports whether the entry has ordered to stop a task.
func (s *stepSite) heartbeat() (stopped bool) {
	s.post(core.HeartbeatReceived{Token: 1, Heartbeat: core.Heartbeat{
		Worker: "w", Inc: "i", Run: "r", DC: "dc", Sent: s.now, Capacity: core.Size{Millicores: 8000, MemoryMB: 1000},
		Services: []core.ServiceLoad{{Service: "s"}}, Running: s.running, Ends: s.ends,
	}})
	var starts []core.Start
	for range 3 {
		for _, eff := range s.out {
			switch eff := eff.(type) {
			case core.Start:
				starts = append(starts, eff)
			case core.Stop:
				stopped = true
			}
		}
		commit, ok := find[core.Commit](s.entryHarness)
		if !ok || s.silent {
			break
		}
		s.rev++
		s.post(core.CommitAnswered{Token: commit.Token, Result: table.Result{Committed: true, Revision: s.rev}})
	}
	for _, x := range starts {
		s.running = append(s.running, x.Order.Attempt)
		s.post(core.StartAnswered{Token: x.Token, Started: true})
	}
	s.now = s.now.Add(250 * time.Millisecond)
	return stopped
}

// end ends the first n running tasks.
func (s *stepSite) end(n int) {
	for _, r := range s.running[:n] {
		s.ends = append(s.ends, core.End{Attempt: r, Kind: core.EndDone})
	}
	s.running = s.running[n:]
}

// A task that makes no progress while the others of its step are done is a straggler:
// it is evicted to be placed elsewhere, but not before 2 s.
func TestStragglerIsEvicted(t *testing.T) {
	s := newStepSite(t)
	s.end(3)
	startedAt := s.now
	for range 60 {
		if s.heartbeat() {
			assert.Assert(t, s.now.Sub(startedAt) > 2*time.Second, "evicted after %v", s.now.Sub(startedAt))
			return
		}
	}
	t.Fatal("the straggler is never evicted")
}

// The last task of a step ends while the table does not answer, so that its end can't be written:
// it is no straggler.
func TestEndThatIsNotWrittenIsNoStraggler(t *testing.T) {
	s := newStepSite(t)
	s.end(3)
	s.heartbeat()
	s.silent = true
	s.end(1)
	for range 60 {
		assert.Assert(t, !s.heartbeat(), "a task that has ended is stopped")
	}
}
