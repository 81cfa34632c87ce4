package core_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/table"
)

const (
	testCommand     = "op1"
	testCommandText = "cancel job x"
)

// cancel passes a copy of a cancellation of testJob to the entry.
func (h *entryHarness) cancel(first bool) {
	h.post(core.CommandAsked{
		Token: 7, ID: testCommand, Text: testCommandText, Command: core.CancelJob{Job: testJob}, First: first,
	})
}

// answerCommandRead answers the read of the cancellation's rows: of the command itself,
// the configuration's version and the job. A nil record stands for no row.
func (h *entryHarness) answerCommandRead(op, job core.Record) {
	h.t.Helper()
	r := mustFind[core.ReadRows](h)
	view := table.View{Revision: h.rev}
	for i, rec := range []core.Record{op, core.VersionRow{N: 1}, job} {
		row := table.Row{Key: r.Keys[i]}
		if rec != nil {
			row = h.row(r.Keys[i], rec)
		}
		view.Rows = append(view.Rows, row)
	}
	h.post(core.RowsAnswered{Token: r.Token, View: view})
}

// storedJob returns the row of testJob with one waiting task.
func storedJob() core.JobRow {
	return core.JobRow{Spec: core.JobSpec{ID: testJob, Inputs: []string{""}}, Tasks: make([]core.TaskRow, 1)}
}

// A copy of a refused cancellation arrives at the same entry once the job is stored. It must
// not take effect.
func TestDoubledCopyOfRefusedCommandIsRefused(t *testing.T) {
	h := newEntryHarness(t)
	h.cancel(true)
	h.answerCommandRead(nil, nil)
	assert.Equal(t, mustFind[core.CommandReply](h).Result.Outcome, core.CommandRefused)
	h.cancel(true)
	assert.Equal(t, mustFind[core.CommandReply](h).Result.Outcome, core.CommandRefused)
}

// A cancellation was sent to several entries, and one of them refuses it before the job is
// stored. The copies at the others must not take effect after that.
func TestCopyElsewhereOfRefusedCommandIsRefused(t *testing.T) {
	h := newEntryHarness(t)
	h.cancel(false)
	h.answerCommandRead(nil, nil)
	_, answered := find[core.CommandReply](h)
	assert.Assert(t, !answered, "refused before other copies are ruled out")
	c := mustFind[core.Commit](h)
	assert.DeepEqual(t, c.Txn.Conds, []table.Cond{{Key: core.PrefixOp + testCommand}})
	h.post(core.CommitAnswered{Token: c.Token, Result: table.Result{Committed: true, Revision: h.rev}})
	refused := mustFind[core.CommandReply](h).Result
	assert.Equal(t, refused.Outcome, core.CommandRefused)

	op, err := core.Decode(c.Txn.Writes[0].Key, c.Txn.Writes[0].Value)
	assert.NilError(t, err)
	other := newEntryHarness(t)
	other.cancel(false)
	other.answerCommandRead(op, storedJob())
	assert.DeepEqual(t, mustFind[core.CommandReply](other).Result, refused)
}

// While an entry refuses a command, a copy of it takes effect elsewhere. The answer must be
// that of the copy.
func TestRefusalYieldsToCopyThatTookEffect(t *testing.T) {
	h := newEntryHarness(t)
	h.cancel(false)
	h.answerCommandRead(nil, nil)
	h.post(core.CommitAnswered{Token: mustFind[core.Commit](h).Token})
	h.answerCommandRead(core.OpRow{ID: testCommand, Stmt: testCommandText, Text: "cancelled"}, storedJob())
	assert.Equal(t, mustFind[core.CommandReply](h).Result.Outcome, core.CommandDone)
}

// A refusal that another copy can't avoid, or of a command that was sent once, must not cost
// the table a write.
func TestRefusalsCostNoWrite(t *testing.T) {
	h := newEntryHarness(t)
	h.cancel(true)
	h.answerCommandRead(nil, nil)
	assert.Equal(t, mustFind[core.CommandReply](h).Result.Outcome, core.CommandRefused)
	_, sent := find[core.Commit](h)
	assert.Assert(t, !sent)

	dc := core.DCRow{Name: "dc"}
	stale := core.VersionCond{Set: true}
	for _, cmd := range []core.Command{core.CreateDC{Row: dc}, core.Drain{DC: "dc", If: stale}} {
		h.post(core.CommandAsked{Token: 8, ID: "op2", Text: "again", Command: cmd})
		h.answerCommandRead(nil, dc)
		assert.Assert(t, mustFind[core.CommandReply](h).Result.Outcome != core.CommandDone)
		_, sent = find[core.Commit](h)
		assert.Assert(t, !sent)
	}
}

// The rows of refusals must not pile up: they are removed after the retention period.
func TestRecordedRefusalsAreRemoved(t *testing.T) {
	p := core.DefaultPolicy()
	h := newEntryHarnessWith(t, []core.Option{core.WithPolicy(p)})
	h.cancel(false)
	h.answerCommandRead(nil, nil)
	h.post(core.CommitAnswered{Token: mustFind[core.Commit](h).Token, Result: table.Result{Committed: true, Revision: h.rev}})
	h.now = h.now.Add(p.Retention)
	h.post(core.Tick{})
	assert.Assert(t, !h.removes(core.PrefixOp+testCommand))
	h.now = h.now.Add(time.Minute)
	h.post(core.Tick{})
	assert.Assert(t, h.removes(core.PrefixOp+testCommand))
}

// removes reports whether the last event sent a transaction that removes a row.
func (h *entryHarness) removes(key string) bool {
	for _, eff := range h.out {
		c, ok := eff.(core.Commit)
		if ok && slices.Contains(deletedKeys(c.Txn), key) {
			return true
		}
	}
	return false
}

// deletedKeys returns the keys of the rows that a transaction deletes.
func deletedKeys(txn table.Txn) []string {
	var keys []string
	for _, w := range txn.Writes {
		if w.Delete {
			keys = append(keys, w.Key)
		}
	}
	return keys
}

// The answer to a submission's transaction is lost, and its tasks turn out to fit no worker
// before it is planned again. The transaction may still take effect: no plain refusal.
func TestSubmissionWithLostAnswerIsNotRefused(t *testing.T) {
	h := newEntryHarness(t)
	spec := core.JobSpec{ID: testJob, Inputs: []string{""}, Size: core.Size{Millicores: 5000}}
	h.post(core.CommandAsked{Token: 7, ID: testCommand, Text: testCommandText, Command: core.CreateJob{Spec: spec}, First: true})
	h.answerCommandRead(nil, nil)
	lost := mustFind[core.Commit](h)
	h.now = h.now.Add(2 * time.Second) // past the time in which the agents report to a new entry
	h.sendHeartbeat(1)
	h.post(core.CommitAnswered{Token: lost.Token, Fault: core.FaultNoAnswer})
	h.now = h.now.Add(2 * time.Second)
	h.post(core.Tick{})
	h.answerCommandRead(nil, nil)
	_, refused := find[core.CommandReply](h)
	assert.Assert(t, !refused, "refused though its transaction may take effect")
	h.post(core.CommitAnswered{Token: mustFind[core.Commit](h).Token})
	h.answerCommandRead(core.OpRow{ID: testCommand, Stmt: testCommandText}, storedJob())
	assert.Equal(t, mustFind[core.CommandReply](h).Result.Outcome, core.CommandDone)
}
