package core_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// taskAfterEnd returns the row of a job's only task after a heartbeat that reports an end.
func taskAfterEnd(t *testing.T, task core.TaskRow, hb core.Heartbeat, end core.End) core.TaskRow {
	t.Helper()
	h := newEntryHarness(t)
	steps := []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}
	h.readShardOf(core.JobRow{
		Spec: core.JobSpec{ID: testJob, Queue: testQueue, Attempts: 5, Steps: steps}, Tasks: []core.TaskRow{task},
	})
	hb.Worker, hb.Run, hb.DC, hb.Sent, hb.Ends = "w", "r", "dc", h.now, []core.End{end}
	h.post(core.HeartbeatReceived{Token: 1, Heartbeat: hb})
	for _, w := range mustFind[core.Commit](h).Txn.Writes {
		rec, err := core.Decode(w.Key, w.Value)
		assert.NilError(t, err)
		if row, ok := rec.(core.JobRow); ok && strings.HasPrefix(w.Key, core.PrefixJob) {
			return row.Tasks[0]
		}
	}
	t.Fatal("the job's row is not written")
	return core.TaskRow{}
}

// A run was done though its agent had reported it as lost: the work was done again.
func TestDoneCountsAfterLost(t *testing.T) {
	end := core.End{Attempt: core.Attempt{Task: core.TaskID{Job: testJob}, Number: 1}, Kind: core.EndDone, Started: true}
	task := core.TaskRow{State: core.TaskWaiting, Attempt: 1}
	assert.Equal(t, taskAfterEnd(t, task, core.Heartbeat{Inc: "i"}, end).State, core.TaskDone)
}

// A failure that was reported together with the death of its incarnation was acknowledged and
// not counted: the task could fail more often than its job allows.
func TestFailureOfDeadIncarnationCounts(t *testing.T) {
	end := core.End{Attempt: core.Attempt{Task: core.TaskID{Job: testJob}, Number: 1}, Kind: core.EndFailed, Started: true}
	task := core.TaskRow{State: core.TaskClaimed, Attempt: 1, Holder: core.Holder{Worker: "w", Inc: "i"}, By: "me"}
	hb := core.Heartbeat{Inc: "i2", Dead: []core.Incarnation{"i"}}
	assert.Equal(t, taskAfterEnd(t, task, hb, end).Failures, uint32(1))
}
