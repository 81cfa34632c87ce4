package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// notes returns the log lines of a text in all effects so far.
func (s *workerHarness) notes(text string) []core.Note {
	var ns []core.Note
	for _, eff := range s.all {
		if n, ok := eff.(core.Note); ok && n.Text == text {
			ns = append(ns, n)
		}
	}
	return ns
}

// field returns the value of a log line's field.
func field(n core.Note, name string) any {
	for _, f := range n.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return nil
}

// ask returns the answer to a statement.
func (h *entryHarness) ask(cmd core.Command) core.CommandResult {
	h.t.Helper()
	h.post(core.CommandAsked{Token: 9, ID: "c", Command: cmd})
	return mustFind[core.CommandReply](h).Result
}

// evictForRoom runs a long-running task and evicts it from its worker, which is full then.
func (s *workerHarness) evictForRoom() core.Attempt {
	s.worker("a", "api", 0.4)
	s.heartbeatAll()
	first, attempt := s.place(longRunningStep)
	full := s.heartbeats["a"]
	full.Committed, full.LongRunning = full.Capacity, full.Capacity.Millicores
	s.heartbeats["a"] = full
	s.endRun(first, core.End{Attempt: attempt, Kind: core.EndEvicted, Reason: "room", Started: true})
	return attempt
}

// heartbeatsFor delivers heartbeats of all workers for a time.
func (s *workerHarness) heartbeatsFor(d time.Duration) {
	for began := s.now; s.now.Sub(began) < d; {
		s.heartbeatAll()
	}
}

// A long-running task has no run for long: on-call must see which one, since when and why.
func TestIdleLongRunningTaskIsLogged(t *testing.T) {
	s := newWorkerHarness(t)
	attempt := s.evictForRoom()
	s.heartbeatsFor(5 * time.Second)
	lines := s.notes("task idle")
	assert.Assert(t, len(lines) == 2, "%v", lines)
	assert.Equal(t, lines[0].Subject, attempt.Task.String())
	since, err := time.ParseDuration(field(lines[1], "since").(string))
	assert.NilError(t, err)
	assert.Assert(t, since >= 4*time.Second, "%s", since)
	assert.Equal(t, field(lines[0], "stage"), "queued")
	assert.Equal(t, field(lines[0], "reason"), string(core.ReasonRoom))
}

// A long-running task whose job is cancelled while it waits will not run: it must be neither
// listed nor logged.
func TestCancelledTaskIsNotIdle(t *testing.T) {
	s := newWorkerHarness(t)
	s.evictForRoom()
	s.heartbeatsFor(time.Second)
	stop := core.JobRequest{Verb: core.JobStop, Path: testJobPath, Deadline: s.now.Add(time.Second)}
	s.run(core.JobRequested{Token: 78, Request: stop})
	s.heartbeatsFor(5 * time.Second)
	why := s.ask(core.Why{Kind: "task", ID: core.TaskID{Job: testJob}.String()})
	assert.DeepEqual(t, why.Rows[0], []string{"state", "cancelled"})
	r := s.show("idle")
	assert.Equal(t, r.Outcome, core.CommandDone, r.Text)
	assert.Equal(t, len(r.Rows), 0, "%v", r.Rows)
	assert.Equal(t, len(s.notes("task idle")), 0, "%v", s.notes("task idle"))
}
