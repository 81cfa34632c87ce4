package core_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// TestRetention checks that the rows of jobs whose retention period is over are
// removed together with the rows of their commands, and no others.
func TestRetention(t *testing.T) {
	b := newBench(t)
	retention := core.DefaultPolicy().Retention
	job := func(id core.JobID, state core.TaskState, ended time.Time) string {
		key := keyOfJob(id)
		b.table.put(t, core.PrefixOp+"op-"+string(id), core.OpRow{ID: "op-" + string(id)})
		b.table.put(t, key, core.JobRow{
			Spec: core.JobSpec{ID: id, Inputs: []string{"x"}, Size: core.Size{Millicores: 1}},
			Op:   "op-" + string(id), Ended: ended, Tasks: []core.TaskRow{{State: state}},
		})
		return key
	}
	old := job("old", core.TaskDone, b.now.Add(-retention-time.Minute))
	recent := job("recent", core.TaskDone, b.now.Add(-retention+time.Hour))
	open := job("open", core.TaskWaiting, time.Time{})

	b.run(30 * time.Second)

	has := func(key string) bool { _, ok := b.table.rows[key]; return ok }
	assert.Assert(t, !has(old))
	assert.Assert(t, !has(core.PrefixOp+"op-old"))
	assert.Assert(t, has(recent) && has(core.PrefixOp+"op-recent"))
	assert.Assert(t, has(open) && has(core.PrefixOp+"op-open"))
}

// Guards against rows and memory that grow without bound: with more expired jobs than fit one
// transaction each removal was rejected, and jobs that were removed made the next one conflict.
func TestRetentionOfManyJobs(t *testing.T) {
	const jobs, removedByOther = 1000, 7
	p := core.DefaultPolicy()
	p.TxnEntries = tableTxnEntries
	b := newBench(t, core.WithPolicy(p))
	b.table.txnEntries = tableTxnEntries
	ended := b.now.Add(-p.Retention + 30*time.Second)
	for i := range jobs {
		id := benchJobID(i)
		b.table.put(t, keyOfJob(id), core.JobRow{
			Spec:  core.JobSpec{ID: id, Inputs: []string{"x"}, Size: core.Size{Millicores: 1}},
			Ended: ended, Tasks: []core.TaskRow{{State: core.TaskDone, Attempt: 1}},
		})
	}
	b.run(10 * time.Second) // all shards are read
	for i := range removedByOther {
		delete(b.table.rows, keyOfJob(benchJobID(i*100)))
	}
	assert.Equal(t, b.e.Jobs(), jobs)
	b.run(90 * time.Second)
	left := 0
	for key := range b.table.rows {
		if strings.HasPrefix(key, core.PrefixJob) {
			left++
		}
	}
	assert.Equal(t, left, 0, "rows of jobs whose retention period is over")
	assert.Equal(t, b.e.Jobs(), 0, "jobs in memory")
	assert.Equal(t, b.table.rejected, 0, "transactions rejected")
}

// TestShowAllShards checks that `show tasks` covers the jobs of all shards, with one
// read per shard.
func TestShowAllShards(t *testing.T) {
	b := newBench(t)
	b.putJobs(1000, 10, 0)
	b.run(time.Second)
	var got core.CommandResult
	evs := []core.EntryEvent{core.CommandAsked{Token: 9, ID: "c", Command: core.Show{Kind: "tasks"}}}
	for len(evs) > 0 {
		ev := evs[0]
		evs = evs[1:]
		for _, eff := range b.e.Reduce(core.Stamp{Now: b.now}, ev) {
			switch eff := eff.(type) {
			case core.ReadChanges:
				view := b.table.changes(eff.Prefix, eff.Since)
				assert.Assert(t, len(view.Rows) < 10, "one answer holds the jobs of many shards")
				evs = append(evs, core.ChangesAnswered{Token: eff.Token, View: view})
			case core.CommandReply:
				got = eff.Result
			}
		}
	}
	assert.Equal(t, got.Outcome, core.CommandDone)
	assert.Equal(t, len(got.Rows), 1000)
}
