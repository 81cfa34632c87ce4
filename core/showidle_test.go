package core_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// cell returns the first row's cell of a column.
func cell(t *testing.T, r core.CommandResult, column string) string {
	t.Helper()
	assert.Assert(t, len(r.Rows) > 0, "%q: no rows", r.Text)
	for i, c := range r.Columns {
		if c == column {
			return r.Rows[0][i]
		}
	}
	t.Fatalf("no column %q in %v", column, r.Columns)
	return ""
}

// A long-running task has no run: `show idle` must say which one, since when and why, as the
// log does.
func TestShowIdleListsTaskWithoutRun(t *testing.T) {
	s := newWorkerHarness(t)
	attempt := s.evictForRoom()
	s.heartbeatsFor(5 * time.Second)
	r := s.show("idle")
	assert.Equal(t, r.Outcome, core.CommandDone, r.Text)
	assert.Equal(t, len(r.Rows), 1, "%v", r.Rows)
	assert.Equal(t, cell(t, r, "task"), attempt.Task.String())
	assert.Equal(t, cell(t, r, "job"), string(testJob))
	assert.Equal(t, cell(t, r, "stage"), "queued")
	assert.Equal(t, cell(t, r, "reason"), string(core.ReasonRoom))
	assert.Equal(t, cell(t, r, "orders"), "0")
	assert.Equal(t, cell(t, r, "class"), testQueue)
	for _, column := range []string{"team", "worker", "refusal"} {
		assert.Equal(t, cell(t, r, column), "", column)
	}
	idle, err := time.ParseDuration(cell(t, r, "idle"))
	assert.NilError(t, err)
	assert.Assert(t, idle >= 4*time.Second && idle < 6*time.Second, "%s", idle)
}

// Orders that an agent refuses are why a task waits: `show idle` must tell them and the worker.
func TestShowIdleTellsRefusedOrders(t *testing.T) {
	s := newWorkerHarness(t)
	s.worker("a", "api", 0.4)
	s.heartbeatAll()
	s.place(longRunningStep)
	start, ok := s.lastStart()
	assert.Assert(t, ok)
	r := s.show("idle")
	assert.Equal(t, cell(t, r, "stage"), "ordered")
	assert.Equal(t, cell(t, r, "worker"), "a")
	s.run(core.StartAnswered{Token: start.Token, Reason: core.ReasonRoom})
	r = s.show("idle")
	assert.Equal(t, cell(t, r, "orders"), "1")
	assert.Equal(t, cell(t, r, "refusal"), string(core.ReasonRoom))
}

// lastStart returns the last start order of all effects so far.
func (s *workerHarness) lastStart() (last core.Start, ok bool) {
	for _, eff := range s.all {
		if start, is := eff.(core.Start); is {
			last, ok = start, true
		}
	}
	return last, ok
}

// A long-running task whose run its worker lists is not idle.
func TestShowIdleOmitsRunningTask(t *testing.T) {
	s := newWorkerHarness(t)
	s.worker("a", "api", 0.4)
	s.heartbeatAll()
	_, attempt := s.place(longRunningStep)
	assert.Equal(t, len(s.show("idle").Rows), 1)
	b := s.heartbeats["a"]
	b.Running = []core.Attempt{attempt}
	s.heartbeats["a"] = b
	s.heartbeatAll()
	assert.Equal(t, len(s.show("idle").Rows), 0)
}

// An entry knows the tasks of its own shards only. Nobody may take its list for one of the
// whole site, least of all an empty one.
func TestShowIdleSaysWhatItCovers(t *testing.T) {
	alone := newWorkerHarness(t).show("idle")
	all := strconv.Itoa(core.Shards) + " of " + strconv.Itoa(core.Shards)
	assert.Assert(t, strings.Contains(alone.Text, all), "%q", alone.Text)
	assert.Assert(t, !strings.Contains(alone.Text, "other homes"), "%q", alone.Text)

	unread := newEntryHarness(t).show("idle")
	assert.Assert(t, strings.Contains(unread.Text, "not read"), "%q", unread.Text)

	part := newEntryHarness(t, otherEntries()...).show("idle")
	assert.Equal(t, len(part.Rows), 0)
	assert.Assert(t, strings.Contains(part.Text, " of "+strconv.Itoa(core.Shards)+" shards"), "%q", part.Text)
	assert.Assert(t, !strings.Contains(part.Text, all), "%q", part.Text)
	assert.Assert(t, strings.Contains(part.Text, "other homes"), "%q", part.Text)
}

// `show idle` takes conditions like every other kind.
func TestShowIdleTakesConditions(t *testing.T) {
	s := newWorkerHarness(t)
	s.evictForRoom()
	s.heartbeatsFor(3 * time.Second)
	room := core.Match{Column: "reason", Op: "=", Value: string(core.ReasonRoom)}
	assert.Equal(t, len(s.ask(core.Show{Kind: "idle", Where: []core.Match{room}}).Rows), 1)
	room.Op = "!="
	r := s.ask(core.Show{Kind: "idle", Where: []core.Match{room}})
	assert.Equal(t, len(r.Rows), 0)
	assert.Assert(t, strings.Contains(r.Text, "shards"), "%q", r.Text)
}

// whyTask returns the rows of the answer to `why task` by their first column.
func (h *entryHarness) whyTask(id core.TaskID) map[string]string {
	h.t.Helper()
	r := h.ask(core.Why{Kind: "task", ID: id.String()})
	assert.Equal(h.t, r.Outcome, core.CommandDone, r.Text)
	reasons := map[string]string{}
	for _, row := range r.Rows {
		reasons[row[0]] = row[1]
	}
	return reasons
}

// `why task` must tell of a long-running task without a run what the log and `show idle` tell.
func TestWhyTaskTellsIdleTask(t *testing.T) {
	s := newWorkerHarness(t)
	attempt := s.evictForRoom()
	s.heartbeatsFor(5 * time.Second)
	why, shown := s.whyTask(attempt.Task), s.show("idle")
	assert.Equal(t, why["without a run for"], cell(t, shown, "idle"))
	assert.Equal(t, why["stage"], "queued")
	assert.Equal(t, why["waits for"], "room on a worker")
	assert.Equal(t, why["orders without a start"], "0")
	for _, what := range []string{"next worker", "last refusal"} {
		_, told := why[what]
		assert.Assert(t, !told, what)
	}
}

// `why task` must tell which worker the next run of a long-running task waits for, and which
// orders did not start it.
func TestWhyTaskTellsRefusedOrders(t *testing.T) {
	s := newWorkerHarness(t)
	s.worker("a", "api", 0.4)
	s.heartbeatAll()
	_, attempt := s.place(longRunningStep)
	start, ok := s.lastStart()
	assert.Assert(t, ok)
	why := s.whyTask(attempt.Task)
	assert.Equal(t, why["stage"], "ordered")
	assert.Equal(t, why["next worker"], "a")
	s.run(core.StartAnswered{Token: start.Token, Reason: core.ReasonRoom})
	why = s.whyTask(attempt.Task)
	assert.Equal(t, why["orders without a start"], "1")
	assert.Equal(t, why["last refusal"], string(core.ReasonRoom))
}

// A long-running task that runs, and a task of another kind, must have no such rows.
func TestWhyTaskOmitsIdleOfOthers(t *testing.T) {
	s := newWorkerHarness(t)
	s.worker("a", "api", 0.4)
	s.heartbeatAll()
	_, attempt := s.place(longRunningStep)
	b := s.heartbeats["a"]
	b.Running = []core.Attempt{attempt}
	s.heartbeats["a"] = b
	s.heartbeatAll()
	assert.Equal(t, s.whyTask(attempt.Task)["stage"], "")

	s = newWorkerHarness(t)
	s.worker("a", "api", 0.4)
	s.heartbeatAll()
	_, attempt = s.place(core.StepSpec{Image: "f"})
	assert.Equal(t, s.whyTask(attempt.Task)["stage"], "")
}

// An agent accepts an order and hands it back as no room has come within its permit: that
// order did not start the task either, and must be told.
func TestIdleTaskTellsOrderHandedBack(t *testing.T) {
	s := newWorkerHarness(t)
	s.worker("a", "api", 0.4)
	s.heartbeatAll()
	_, attempt := s.place(longRunningStep)
	start, ok := s.lastStart()
	assert.Assert(t, ok)
	s.run(core.StartAnswered{Token: start.Token, Started: true})
	assert.Equal(t, cell(t, s.show("idle"), "stage"), "admitted")
	s.endRun("a", core.End{Attempt: attempt, Kind: core.EndEvicted, Reason: "no room within its permit"})
	s.heartbeatsFor(3 * time.Second)
	r := s.show("idle")
	assert.Equal(t, cell(t, r, "orders"), "1")
	assert.Equal(t, cell(t, r, "refusal"), "no room within its permit")
	why := s.whyTask(attempt.Task)
	assert.Equal(t, why["orders without a start"], "1")
	lines := s.notes("task idle")
	assert.Assert(t, len(lines) > 0)
	assert.Equal(t, field(lines[0], "orders"), 1)
}

// Times must compare as times: as text, 4.5s is more than 10s.
func TestShowComparesTimes(t *testing.T) {
	s := newWorkerHarness(t)
	s.evictForRoom()
	s.heartbeatsFor(4500 * time.Millisecond)
	idle, err := time.ParseDuration(cell(t, s.show("idle"), "idle"))
	assert.NilError(t, err)
	same := strconv.FormatInt(idle.Milliseconds(), 10) + "ms"
	for _, tc := range []struct {
		op, value string
		rows      int
	}{{">", "10s", 0}, {"<", "10s", 1}, {">", "3500ms", 1}, {"<=", "2s", 0}, {"=", same, 1}, {"!=", same, 0}} {
		where := []core.Match{{Column: "idle", Op: tc.op, Value: tc.value}}
		r := s.ask(core.Show{Kind: "idle", Where: where})
		assert.Equal(t, len(r.Rows), tc.rows, "idle %s %s", tc.op, tc.value)
	}
}
