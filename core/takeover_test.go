package core_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/table"
)

// An entry takes a shard over after it has heard that a task of it is done and that the
// incarnation which ran it is dead: the task must be recorded as done and not run again.
func TestDoneBeforeShardIsTakenOver(t *testing.T) {
	h := newEntryHarness(t)
	attempt := core.Attempt{Task: core.TaskID{Job: testJob, N: 0}, Number: 1}
	h.post(core.HeartbeatReceived{Token: 1, Heartbeat: core.Heartbeat{
		Worker: "w", Inc: "second", Run: "r", DC: "dc", Sent: h.now, Capacity: core.Size{Millicores: 8000, MemoryMB: 1000},
		Services: []core.ServiceLoad{{Service: "s"}}, Dead: []core.Incarnation{"first"},
		Ends: []core.End{{Attempt: attempt, Kind: core.EndDone, Output: "out"}},
	}})
	row := h.row(keyOfJob(testJob), core.JobRow{
		Spec: core.JobSpec{ID: testJob, Queue: testQueue, Service: "s", Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}},
		Tasks: []core.TaskRow{{
			State: core.TaskClaimed, Attempt: 1, Holder: core.Holder{Worker: "w", Inc: "first"},
		}},
	})
	for range 2 { // not all shards are read in one round
		h.now = h.now.Add(time.Second)
		h.post(core.Tick{})
		for _, r := range allOf[core.ReadChanges](h) {
			view := table.View{Revision: h.rev}
			if strings.HasPrefix(row.Key, r.Prefix) {
				view.Rows = []table.Row{row}
			}
			h.post(core.ChangesAnswered{Token: r.Token, View: view})
			for _, c := range allOf[core.Commit](h) {
				if i := slices.IndexFunc(c.Txn.Writes, func(x table.Write) bool { return x.Key == row.Key }); i >= 0 {
					rec, err := core.Decode(row.Key, c.Txn.Writes[i].Value)
					assert.NilError(t, err)
					assert.Equal(t, rec.(core.JobRow).Tasks[0].State, core.TaskDone)
					return
				}
			}
		}
	}
	t.Fatal("the end is not recorded")
}

// allOf returns all effects of a type.
func allOf[E core.EntryEffect](h *entryHarness) (found []E) {
	for _, eff := range h.out {
		if x, ok := eff.(E); ok {
			found = append(found, x)
		}
	}
	return found
}
