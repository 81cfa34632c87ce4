package core_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/fake"
	"jayloft/table"
)

// cancelsOnTheWay returns a script in which jobs are cancelled at other entries while the entry
// that stores them is cut off from the table, or the table carries transactions out late.
func cancelsOnTheWay(seed uint64) script {
	r := rand.New(rand.NewPCG(seed, 1))
	span := func(least, most int) time.Duration { return time.Duration(least+r.IntN(most-least)) * time.Millisecond }
	cut := fake.Action(fake.CutStore{Entry: 0, Way: fake.Way(r.IntN(3)), For: span(2500, 9000)})
	if r.IntN(3) == 0 {
		cut = fake.Store{Late: 0.7, For: span(2500, 6000)}
	}
	s := script{Seed: seed, Actions: []fake.Action{cut}}
	for range 3 {
		jobs := 1 + r.IntN(6)
		s.Actions = append(s.Actions,
			fake.Wait{For: span(0, 300)}, fake.Enqueue{Entry: 0, Jobs: jobs, Tasks: 1 + r.IntN(3)},
			fake.Wait{For: span(0, 4000)}, fake.Dequeue{Entry: 1 + r.IntN(2), Last: jobs})
		if r.IntN(4) == 0 {
			s.Actions = append(s.Actions, fake.KillEntry{Entry: r.IntN(3), For: span(100, 2000)})
		}
	}
	s.Actions = append(s.Actions, fake.Wait{For: 20 * time.Second})
	return s
}

// TestCancelledJobsAreNotStored guards against UNASKED: a job was stored and ran after its
// cancellation had been answered that there is no such job.
func TestCancelledJobsAreNotStored(t *testing.T) {
	eachSeed(t, 150, func(t *testing.T, seed uint64) {
		s := cancelsOnTheWay(seed)
		if found := s.run(); len(found) > 0 {
			t.Errorf("%v\n%s", found, s.reduce())
		}
	})
}

// tombstone returns the transaction of the last event that writes tombstones only.
func (h *entryHarness) tombstone() core.Commit {
	h.t.Helper()
	for _, eff := range h.out {
		c, ok := eff.(core.Commit)
		if !ok || len(c.Txn.Writes) == 0 {
			continue
		}
		rec, err := core.Decode(c.Txn.Writes[0].Key, c.Txn.Writes[0].Value)
		if _, ok := rec.(core.TombstoneRow); err == nil && ok {
			return c
		}
	}
	h.t.Fatal("no tombstone is written")
	return core.Commit{}
}

// request sends a request about the job of a path to the entry.
func (h *entryHarness) request(t core.Token, verb core.JobVerb, path string) {
	h.post(core.JobRequested{Token: t, Request: core.JobRequest{
		Verb: verb, Path: path, Deadline: h.now.Add(2 * time.Second),
		Spec: core.JobSpec{Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}},
	}})
}

// answerAbsent answers the read of the last event: the table holds no such row.
func (h *entryHarness) answerAbsent() {
	h.t.Helper()
	r := mustFind[core.ReadRows](h)
	h.post(core.RowsAnswered{Token: r.Token, View: table.View{Rows: []table.Row{{Key: r.Keys[0]}}}})
}

// tombstoneRow is the row that another entry has written in the place of the test's job.
func (h *entryHarness) tombstoneRow() table.Row {
	return h.row(core.KeyJob(testJob), core.TombstoneRow{ID: testJob, Queue: testQueue, Written: h.now})
}

// replies returns the outcomes of the last event's answers, by token.
func (h *entryHarness) replies() map[core.Token]core.JobOutcome {
	outcomes := map[core.Token]core.JobOutcome{}
	for _, eff := range h.out {
		if r, ok := eff.(core.JobReply); ok {
			outcomes[r.Token] = r.Answer.Outcome
		}
	}
	return outcomes
}

// Guards against UNASKED: a cancellation was answered 410 after a read that showed no such job,
// while another entry's transaction that stores it was under way.
func TestCancelOfAbsentJobKeepsItFromBeingStored(t *testing.T) {
	h := newEntryHarness(t)
	h.request(78, core.JobStop, testJobPath)
	h.answerAbsent()
	c := h.tombstone()
	assert.Equal(t, len(h.replies()), 0, "answered while the job may still be stored")
	assert.DeepEqual(t, c.Txn.Conds, []table.Cond{{Key: core.KeyJob(testJob)}})
	h.post(core.CommitAnswered{Token: c.Token, Result: table.Result{Committed: true, Revision: 20}})
	assert.DeepEqual(t, h.replies(), map[core.Token]core.JobOutcome{78: core.JobNotFound})

	h.request(79, core.JobSubmit, testJobPath)
	assert.DeepEqual(t, h.replies(), map[core.Token]core.JobOutcome{79: core.JobInvalid})
	h.request(80, core.JobGet, testJobPath)
	r := mustFind[core.ReadRows](h)
	h.post(core.RowsAnswered{Token: r.Token, View: table.View{Rows: []table.Row{h.tombstoneRow()}}})
	assert.DeepEqual(t, h.replies(), map[core.Token]core.JobOutcome{80: core.JobNotFound})
}

// Guards against UNASKED: an entry sent its transaction of a job again, seconds after the job's
// cancelling had been acknowledged elsewhere.
func TestJobWithTombstoneIsNotStored(t *testing.T) {
	h := newEntryHarness(t)
	h.sendHeartbeat(8)
	h.commitAll("")
	h.submit()
	create := mustFind[core.Commit](h)
	h.request(78, core.JobStop, testJobPath)
	h.post(core.CommitAnswered{Token: create.Token, Result: table.Result{Conflicts: []table.Row{h.tombstoneRow()}}})
	assert.DeepEqual(t, h.replies(), map[core.Token]core.JobOutcome{77: core.JobInvalid, 78: core.JobNotFound})
	for range 20 {
		assert.Equal(t, h.commitAll(testJob), 0)
		h.now = h.now.Add(100 * time.Millisecond)
		h.sendHeartbeat(8)
	}
	h.request(79, core.JobSubmit, testJobPath)
	h.commitAll("")
	assert.DeepEqual(t, h.replies(), map[core.Token]core.JobOutcome{79: core.JobInvalid})
}

// A job is stored between the read that did not show it and the tombstone: it is cancelled.
func TestJobThatIsStoredBeforeItsTombstoneIsCancelled(t *testing.T) {
	h := newEntryHarness(t)
	h.request(78, core.JobStop, testJobPath)
	h.answerAbsent()
	c := h.tombstone()
	spec := core.JobSpec{ID: testJob, Queue: testQueue, Service: "s", Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}}
	row := h.row(core.KeyJob(testJob), core.JobRow{Spec: spec, Tasks: make([]core.TaskRow, 1)})
	h.post(core.CommitAnswered{Token: c.Token, Result: table.Result{Conflicts: []table.Row{row}}})
	assert.Equal(t, len(h.replies()), 0)
	cancel := mustFind[core.Commit](h)
	rec, err := core.Decode(cancel.Txn.Writes[0].Key, cancel.Txn.Writes[0].Value)
	assert.NilError(t, err)
	assert.Assert(t, rec.(core.JobRow).Cancel)
	h.post(core.CommitAnswered{Token: cancel.Token, Result: table.Result{Committed: true, Revision: 90}})
	assert.DeepEqual(t, h.replies(), map[core.Token]core.JobOutcome{78: core.JobAccepted})
}

// serveTable answers all calls to the table that follow from the last event: it holds no row that
// is read, and commit answers the transactions. It returns the outcomes of the entry's answers.
func (h *entryHarness) serveTable(commit func(core.Commit) core.CommitAnswered) map[core.Token]core.JobOutcome {
	outcomes := map[core.Token]core.JobOutcome{}
	for effs := h.out; len(effs) > 0; effs = effs[1:] {
		var ev core.EntryEvent
		switch eff := effs[0].(type) {
		case core.JobReply:
			outcomes[eff.Token] = eff.Answer.Outcome
			continue
		case core.ReadRows:
			ev = core.RowsAnswered{Token: eff.Token, View: table.View{Rows: []table.Row{{Key: eff.Keys[0]}}}}
		case core.ReadChanges:
			ev = core.ChangesAnswered{Token: eff.Token, View: table.View{Revision: h.rev}}
		case core.Commit:
			a := commit(eff)
			a.Token = eff.Token
			ev = a
		default:
			continue
		}
		h.post(ev)
		effs = append(effs, h.out...)
	}
	return outcomes
}

// committed answers a transaction as committed.
func (h *entryHarness) committed(core.Commit) core.CommitAnswered {
	h.rev++
	return core.CommitAnswered{Result: table.Result{Committed: true, Revision: h.rev}}
}

// passServing lets time pass in steps and answers all calls to the table.
func (h *entryHarness) passServing(d time.Duration, commit func(core.Commit) core.CommitAnswered) map[core.Token]core.JobOutcome {
	const step = 20 * time.Millisecond
	outcomes := map[core.Token]core.JobOutcome{}
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(step)
		h.post(core.Tick{})
		maps.Copy(outcomes, h.serveTable(commit))
	}
	return outcomes
}

// A tombstone whose answer is lost is written again, and conflicts with its first copy. Two
// cancellations of one job share a tombstone.
func TestLostAnswerToTombstone(t *testing.T) {
	h := newEntryHarness(t)
	commits := 0
	loseFirst := func(c core.Commit) core.CommitAnswered {
		commits++
		switch commits {
		case 1:
			return core.CommitAnswered{Fault: core.FaultNoAnswer}
		case 2:
			return core.CommitAnswered{Result: table.Result{Conflicts: []table.Row{h.tombstoneRow()}}}
		}
		return h.committed(c)
	}
	for _, token := range []core.Token{78, 79} {
		h.request(token, core.JobStop, testJobPath)
		assert.Equal(t, len(h.serveTable(loseFirst)), 0)
	}
	outcomes := h.passServing(time.Second, loseFirst)
	assert.DeepEqual(t, outcomes, map[core.Token]core.JobOutcome{78: core.JobNotFound, 79: core.JobNotFound})
	assert.Assert(t, commits <= 3, "%d transactions", commits)
}

// While the table can't be written, a cancellation of a job that it does not hold is answered at
// its deadline: it may take effect.
func TestTombstoneThatIsNeverConfirmed(t *testing.T) {
	h := newEntryHarness(t)
	lost := func(core.Commit) core.CommitAnswered { return core.CommitAnswered{Fault: core.FaultNoAnswer} }
	h.request(78, core.JobStop, testJobPath)
	outcomes := h.serveTable(lost)
	assert.Equal(t, len(outcomes), 0)
	assert.DeepEqual(t, h.passServing(3*time.Second, lost), map[core.Token]core.JobOutcome{78: core.JobUnknown})
}

// Callers that cancel jobs that nobody knows fill neither the table nor its calls: the rows are
// bounded, they share transactions that are apart, and they are removed after a time.
func TestTombstonesAreBounded(t *testing.T) {
	h := newEntryHarness(t)
	const most, interval, retention = 5000, 50 * time.Millisecond, 5 * time.Minute
	rows, writes, peak := 0, 0, 0
	count := func(c core.Commit) core.CommitAnswered {
		for _, w := range c.Txn.Writes {
			rec, err := core.Decode(w.Key, w.Value)
			_, ok := rec.(core.TombstoneRow)
			switch {
			case w.Delete:
				rows--
			case err == nil && ok:
				rows++
			}
		}
		writes++
		peak = max(peak, rows)
		return h.committed(c)
	}
	began, refused := h.now, 0
	tally := func(outcomes map[core.Token]core.JobOutcome) {
		for _, o := range outcomes {
			if o == core.JobRefused {
				refused++
			}
		}
	}
	for n := range most + 100 {
		h.request(core.Token(1000+n), core.JobStop, fmt.Sprintf("/q/%016x", n))
		tally(h.serveTable(count))
		h.now = h.now.Add(time.Millisecond)
	}
	tally(h.passServing(time.Second, count))
	assert.Equal(t, refused, 100)
	assert.Equal(t, peak, most)
	assert.Assert(t, writes <= int(h.now.Sub(began)/interval)+10, "%d transactions in %s", writes, h.now.Sub(began))
	h.passServing(retention+time.Minute, count)
	assert.Equal(t, rows, 0, "tombstones are left")
}

// Guards against the same after a conflict: the job is put first in the next transaction, which an
// outage of the table may hold up for as long.
func TestJobOfCallerThatWasAnsweredIsNotSentAfterConflict(t *testing.T) {
	h := newEntryHarness(t)
	h.submit()
	create := mustFind[core.Commit](h)
	h.now = h.now.Add(2 * time.Second) // beyond the caller's deadline
	fence := h.row(core.PrefixFence+"w", core.FenceRow{Worker: "w"})
	h.post(core.CommitAnswered{Token: create.Token, Result: table.Result{Conflicts: []table.Row{fence}}})
	outcomes := h.serveTable(func(c core.Commit) core.CommitAnswered {
		for _, w := range c.Txn.Writes {
			assert.Assert(t, w.Key != core.KeyJob(testJob), "stored though nobody waits for it")
		}
		return h.committed(c)
	})
	maps.Copy(outcomes, h.passServing(time.Second, h.committed))
	assert.DeepEqual(t, outcomes, map[core.Token]core.JobOutcome{77: core.JobUnknown})
}

// Guards against work that nobody expects any more: an entry stored a job a partition later, long
// after its caller had been told that the outcome is unknown.
func TestJobOfCallerThatWasAnsweredIsNotSentAgain(t *testing.T) {
	h := newEntryHarness(t)
	lost := func(core.Commit) core.CommitAnswered { return core.CommitAnswered{Fault: core.FaultNoAnswer} }
	h.submit()
	h.serveTable(lost)
	assert.DeepEqual(t, h.passServing(2*time.Second, lost), map[core.Token]core.JobOutcome{77: core.JobUnknown})
	h.passServing(5*time.Second, func(c core.Commit) core.CommitAnswered {
		for _, w := range c.Txn.Writes {
			assert.Assert(t, w.Key != core.KeyJob(testJob), "stored though nobody waits for it")
		}
		return h.committed(c)
	})
	h.request(79, core.JobSubmit, testJobPath)
	assert.DeepEqual(t, h.serveTable(h.committed), map[core.Token]core.JobOutcome{79: core.JobAccepted})
}
