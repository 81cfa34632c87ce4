package core

import (
	"maps"
	"slices"
	"time"

	"jayloft/limit"
	"jayloft/table"
)

// A transaction that stores a job may be carried out seconds after it was sent, when its sender
// may be gone. That a job is not in the table now therefore doesn't prove that it never will
// be. Before a cancellation is answered with JobNotFound, a TombstoneRow takes the key of the
// job's row, so that the condition of each such transaction fails from then on.

const (
	// tombstoneRetention is how long a TombstoneRow is kept: longer than a job may be on its
	// way to the table, which is maxCreationAge, a pause of the process that sends it, and the
	// time by which the table carries it out late.
	tombstoneRetention = 5 * time.Minute
	// maxTombstones bounds the tombstones that an entry has written or keeps track of.
	maxTombstones = 5000
	// maxTombstonesWritten bounds the tombstones that one transaction writes or removes.
	maxTombstonesWritten = 100
	// tombstoneClauses is the number of clauses of one of them: a condition and a write.
	tombstoneClauses = 2
	// tombstoneInterval is the least time between two transactions that write tombstones, so
	// that cancellations of jobs that nobody knows leave the table to other work.
	tombstoneInterval = 50 * time.Millisecond
)

// tombstones are the tombstones that this entry has to write, has written, or has to remove.
type tombstones struct {
	due      []*openJobRequest // cancellations of jobs that the table does not hold
	inFlight []*openJobRequest // those whose tombstones are in the transaction in flight
	next     time.Time         // when the next one may be sent
	kept     map[JobID]tombstone
	removing bool // a transaction that removes some is in flight
}

// tombstone is a row of the table as this entry knows it.
type tombstone struct {
	version uint64
	until   time.Time // when it may be removed
}

// pendingTombstones awaits the answer to a transaction that writes tombstones.
type pendingTombstones struct{}

// pendingTombstonesRemoved awaits the removal of tombstones.
type pendingTombstonesRemoved struct{ ids []JobID }

func (pendingTombstones) pendingAnswer()        {}
func (pendingTombstonesRemoved) pendingAnswer() {}

// cancelAbsent answers the cancellation of a job that the table does not hold, once it never
// will.
func (e *Entry) cancelAbsent(jr *openJobRequest) {
	ts := &e.tombstones
	if len(ts.kept)+len(ts.due)+len(ts.inFlight) >= maxTombstones {
		e.answerJobRequest(jr, JobAnswer{Outcome: JobRefused, Reason: ReasonOverload, RetryAfter: tombstoneRetention / 2})
		return
	}
	ts.due = append(ts.due, jr)
}

// tombstonesDueAt returns when the next transaction that writes tombstones may be sent; zero if
// there is none to send.
func (e *Entry) tombstonesDueAt() time.Time {
	ts := &e.tombstones
	if len(ts.due) == 0 || len(ts.inFlight) > 0 {
		return time.Time{}
	}
	next := latest(ts.next, e.writes.NextAllowed(e.at.Now, limit.PriorityHigh))
	if e.breaker.IsOpen(e.at.Now) {
		next = latest(next, e.breaker.NextProbe(e.at.Now))
	}
	return next
}

// advanceTombstones writes the tombstones that are due.
func (e *Entry) advanceTombstones() {
	ts := &e.tombstones
	ts.due = slices.DeleteFunc(ts.due, func(jr *openJobRequest) bool { return e.jobRequests[jr.token] != jr })
	if len(ts.due) == 0 || len(ts.inFlight) > 0 || e.at.Now.Before(ts.next) || e.breaker.IsOpen(e.at.Now) || !e.allowWrite(limit.PriorityHigh) {
		return
	}
	n := min(len(ts.due), e.tombstonesPerTxn())
	jrs := slices.Clone(ts.due[:n])
	ts.due = slices.Delete(ts.due, 0, n)
	ts.inFlight, ts.next = jrs, e.at.Now.Add(tombstoneInterval)
	rows := map[string]Record{}
	for _, jr := range jrs {
		rows[keyJob(jr.Spec.ID)] = TombstoneRow{ID: jr.Spec.ID, Queue: jr.Spec.Queue, Written: e.at.Now}
	}
	var conds []table.Cond
	var recs []Record
	keys := slices.Sorted(maps.Keys(rows))
	for _, key := range keys {
		conds = append(conds, table.Cond{Key: key})
		recs = append(recs, rows[key])
	}
	e.commit(pendingTombstones{}, conds, recs, keys)
}

// tombstonesPerTxn returns how many tombstones one transaction writes or removes.
func (e *Entry) tombstonesPerTxn() int {
	return max(min(maxTombstonesWritten, e.pol.TxnEntries/tombstoneClauses), 1)
}

// handleTombstonesAnswered answers the cancellations whose tombstones are written. The table
// may hold some of their jobs by now: those are cancelled. After a lost answer the tombstones
// are written again, unless the first copy has taken effect.
func (e *Entry) handleTombstonesAnswered(ev CommitAnswered) {
	ts := &e.tombstones
	jrs := ts.inFlight
	ts.inFlight = nil
	switch {
	case ev.Fault == FaultRejected:
		for _, jr := range jrs {
			e.answerIfOpen(jr, JobAnswer{Outcome: JobRefused, Reason: ReasonRejected, RetryAfter: maxRejectWait})
		}
	case ev.Fault != FaultNone:
		ts.due = append(jrs, ts.due...)
		ts.next = latest(e.breaker.NextProbe(e.at.Now), e.at.Now.Add(tombstoneInterval))
	case ev.Result.Committed:
		for _, jr := range jrs {
			e.keepTombstone(jr.Spec.ID, ev.Result.Revision)
			e.answerIfOpen(jr, JobAnswer{Outcome: JobNotFound})
		}
	default:
		e.resumeCancellations(jrs, ev.Result.Conflicts)
	}
}

// resumeCancellations goes on with cancellations whose tombstones conflicted with rows.
func (e *Entry) resumeCancellations(jrs []*openJobRequest, rows []table.Row) {
	found := map[string]table.Row{}
	for _, r := range rows {
		found[r.Key] = r
	}
	for _, jr := range jrs {
		r, ok := found[keyJob(jr.Spec.ID)]
		switch {
		case e.jobRequests[jr.token] != jr:
		case ok:
			e.serveFromTable(jr, r)
		default:
			e.tombstones.due = append(e.tombstones.due, jr)
		}
	}
}

// answerIfOpen answers a request unless its deadline has passed.
func (e *Entry) answerIfOpen(jr *openJobRequest, ans JobAnswer) {
	if e.jobRequests[jr.token] == jr {
		e.answerJobRequest(jr, ans)
	}
}

// keepTombstone keeps track of a tombstone that is in the table.
func (e *Entry) keepTombstone(id JobID, version uint64) {
	if e.tombstones.kept[id].version < version {
		e.tombstones.kept[id] = tombstone{version: version, until: e.at.Now.Add(tombstoneRetention)}
	}
}

// isTombstone reports whether this entry knows of a tombstone in the place of a job.
func (e *Entry) isTombstone(id JobID) bool {
	_, ok := e.tombstones.kept[id]
	return ok
}

// applyTombstone handles a tombstone that was read in the place of a job's row. A job that this
// entry is about to store was cancelled before: it is dropped.
func (e *Entry) applyTombstone(id JobID, version uint64) {
	if e.shards[ShardOf(id)].owned {
		e.keepTombstone(id, version)
	}
	j := e.jobs[id]
	if j == nil {
		return
	}
	e.logEvent("job dropped", string(id), "reason", "cancelled before it was stored", "waiters", len(j.waiters))
	waiters := j.waiters
	j.waiters, j.edits = nil, nil
	e.forget(id, j)
	for _, jr := range waiters {
		e.answerIfOpen(jr, answerOfTombstone(jr.Verb))
	}
}

// answerOfTombstone returns the answer to a request about a job that was cancelled before it
// was stored. A submission is not to be repeated, since the job never runs.
func answerOfTombstone(v JobVerb) JobAnswer {
	if v == JobSubmit {
		return JobAnswer{Outcome: JobInvalid, Reason: ReasonTombstone, Text: "a job with this id was cancelled before it was stored"}
	}
	return JobAnswer{Outcome: JobNotFound}
}

// removeTombstones deletes the tombstones whose retention period is over. Those in shards of
// other entries are left to them.
func (e *Entry) removeTombstones() {
	ts := &e.tombstones
	if ts.removing {
		return
	}
	var txn table.Txn
	var ids []JobID
	for _, id := range slices.Sorted(maps.Keys(ts.kept)) {
		switch t := ts.kept[id]; {
		case e.at.Now.Before(t.until):
		case !e.shards[ShardOf(id)].owned:
			delete(ts.kept, id)
		case len(ids) < e.tombstonesPerTxn():
			ids = append(ids, id)
			txn.Conds = append(txn.Conds, table.Cond{Key: keyJob(id), Version: t.version})
			txn.Writes = append(txn.Writes, table.Write{Key: keyJob(id), Delete: true})
		}
	}
	if len(ids) == 0 || !e.allowWrite(limit.PriorityLow) {
		return
	}
	ts.removing = true
	e.emit(Commit{Token: e.expect(pendingTombstonesRemoved{ids}), Txn: txn})
}

// handleTombstonesRemoved forgets the tombstones that were removed, or that another row has
// replaced, and goes on at once if there may be more. After a lost answer the next removal shows
// which are gone.
func (e *Entry) handleTombstonesRemoved(q pendingTombstonesRemoved, ev CommitAnswered) {
	ts := &e.tombstones
	ts.removing = false
	switch {
	case ev.Fault != FaultNone:
	case ev.Result.Committed:
		for _, id := range q.ids {
			delete(ts.kept, id)
		}
		e.logEvent("tombstones removed", string(e.self.ID), "rows", len(q.ids), "left", len(ts.kept))
	default:
		for _, r := range ev.Result.Conflicts {
			delete(ts.kept, jobIDOf(r.Key))
		}
	}
	if ev.Fault == FaultNone && len(q.ids) == e.tombstonesPerTxn() {
		e.nextRetention = time.Time{}
	}
}
