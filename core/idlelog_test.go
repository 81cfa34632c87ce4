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

// A long-running task has no run for long: on-call must see which one, since when and why.
func TestIdleLongRunningTaskIsLogged(t *testing.T) {
	s := newWorkerHarness(t)
	s.worker("a", "api", 0.4)
	s.heartbeatAll()
	first, attempt := s.place(longRunningStep)
	full := s.heartbeats["a"]
	full.Committed, full.LongRunning = full.Capacity, full.Capacity.Millicores
	s.heartbeats["a"] = full
	s.endRun(first, core.End{Attempt: attempt, Kind: core.EndEvicted, Reason: "room", Started: true})
	for began := s.now; s.now.Sub(began) < 5*time.Second; {
		s.heartbeatAll()
	}
	lines := s.notes("task idle")
	assert.Assert(t, len(lines) == 2, "%v", lines)
	assert.Equal(t, lines[0].Subject, attempt.Task.String())
	since, err := time.ParseDuration(field(lines[1], "since").(string))
	assert.NilError(t, err)
	assert.Assert(t, since >= 4*time.Second, "%s", since)
	assert.Equal(t, field(lines[0], "stage"), "queued")
	assert.Equal(t, field(lines[0], "reason"), string(core.ReasonRoom))
}
