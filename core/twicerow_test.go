package core_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/table"
)

// Guards against a lost edit: after a conflict, one transaction wrote a job's row twice, and the
// second write, made from the same row, overwrote the edits of the first.
func TestTransactionWritesEachRowOnce(t *testing.T) {
	h := newEntryHarness(t)
	h.sendHeartbeat(8)
	h.commitAll("")
	h.submit()
	create := mustFind[core.Commit](h)
	// Its task is claimed while the job is cancelled by another entry.
	h.request(78, core.JobStop, testJobPath)
	spec := core.JobSpec{ID: testJob, Queue: testQueue, Service: "s", Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}}
	row := core.JobRow{Spec: spec, Cancel: true, Tasks: []core.TaskRow{{State: core.TaskWaiting}}}
	h.rev++
	h.post(core.CommitAnswered{Token: create.Token, Result: table.Result{Conflicts: []table.Row{h.row(core.KeyJob(testJob), row)}}})
	for range 10 {
		c, ok := find[core.Commit](h)
		if !ok {
			return
		}
		keys := map[string]int{}
		for _, w := range c.Txn.Writes {
			keys[w.Key]++
			assert.Equal(t, keys[w.Key], 1, "%s is written twice in one transaction", w.Key)
		}
		h.rev++
		h.post(core.CommitAnswered{Token: c.Token, Result: table.Result{Committed: true, Revision: h.rev}})
	}
}
