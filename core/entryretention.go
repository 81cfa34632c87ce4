package core

import (
	"slices"
	"time"

	"jayloft/limit"
	"jayloft/table"
)

const (
	// retentionInterval is the time between two searches for ended jobs to remove.
	retentionInterval = 10 * time.Second
	// maxRemovedJobs bounds the jobs that one transaction removes, within Policy.TxnEntries.
	maxRemovedJobs = 100
	// removalClauses is the number of clauses of a removed job: the row's condition and its
	// removal, and that of the row of the command that submitted it.
	removalClauses = 3
)

// endedAt returns the time at which a job ended: now if its last task has just
// reached a final state, zero if some task has not.
func (e *Entry) endedAt(row JobRow) time.Time {
	for _, t := range row.Tasks {
		if !t.State.Final() {
			return time.Time{}
		}
	}
	if row.Ended.IsZero() {
		return e.at.Now
	}
	return row.Ended
}

// pendingRetention awaits the removal of ended jobs. If the answer is lost, the next removal
// conflicts with what the first one has removed.
type pendingRetention struct{ ids []JobID }

func (pendingRetention) pendingAnswer() {}

// advanceRetention deletes the rows of jobs whose retention period is over, together
// with the rows of the commands that submitted them.
func (e *Entry) advanceRetention() {
	if e.at.Now.Before(e.nextRetention) || !e.hasConfig() || e.breaker.IsOpen(e.at.Now) {
		return
	}
	e.nextRetention = e.at.Now.Add(retentionInterval)
	e.removeRefusals()
	e.removeTombstones()
	ids := e.expiredJobs()
	if len(ids) == 0 || !e.allowWrite(limit.PriorityLow) {
		return
	}
	var txn table.Txn
	for _, id := range ids {
		j := e.jobs[id]
		txn.Conds = append(txn.Conds, table.Cond{Key: keyJob(id), Version: j.version})
		txn.Writes = append(txn.Writes, table.Write{Key: keyJob(id), Delete: true})
		if j.row.Op != "" {
			txn.Writes = append(txn.Writes, table.Write{Key: keyOp(j.row.Op), Delete: true})
		}
	}
	e.emit(Commit{Token: e.expect(pendingRetention{ids}), Txn: txn})
}

// maxRemoved returns how many ended jobs one transaction removes.
func (e *Entry) maxRemoved() int {
	return max(min(maxRemovedJobs, e.pol.TxnEntries/removalClauses), 1)
}

// expiredJobs returns the owned jobs whose retention period is over, as many as one transaction
// removes.
func (e *Entry) expiredJobs() []JobID {
	var ids []JobID
	for id, j := range e.jobs {
		expired := !j.row.Ended.IsZero() && e.at.Now.Sub(j.row.Ended) > e.pol.Retention
		if expired && !j.isRejected(e.at.Now) && e.shards[j.shard].owned && len(j.edits) == 0 && len(j.inFlight) == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), e.maxRemoved())]
}

// handleRetentionAnswered forgets the jobs whose rows were removed, and goes on at once if there
// may be more. Reads of a shard do not return rows that are gone, so that a row that someone
// else has removed shows in a conflict only.
func (e *Entry) handleRetentionAnswered(ids []JobID, ev CommitAnswered) {
	switch {
	case ev.Fault == FaultRejected:
		e.keepRejected(ids)
		return
	case ev.Fault != FaultNone:
		return
	case !ev.Result.Committed:
		e.applyRemovalConflicts(ev.Result.Conflicts)
	default:
		for _, id := range ids {
			e.forgetRemoved(id)
		}
		e.logEvent("ended jobs removed", string(e.self.ID), "jobs", len(ids), "left", len(e.jobs))
	}
	if !ev.Result.Committed || len(ids) == e.maxRemoved() {
		e.nextRetention = time.Time{}
	}
}

// applyRemovalConflicts updates the view of the jobs whose rows have changed or are gone.
func (e *Entry) applyRemovalConflicts(rows []table.Row) {
	for _, r := range rows {
		if r.Version == 0 {
			e.forgetRemoved(jobIDOf(r.Key))
			continue
		}
		e.applyJobRow(r)
	}
}

// forgetRemoved drops an ended job whose row is gone.
func (e *Entry) forgetRemoved(id JobID) {
	if j := e.jobs[id]; j != nil && !j.row.Ended.IsZero() {
		e.forget(id, j)
	}
}

// keepRejected leaves jobs alone for a while whose removal the table has rejected.
func (e *Entry) keepRejected(ids []JobID) {
	for _, id := range ids {
		if j := e.jobs[id]; j != nil {
			j.rejectedUntil = e.at.Now.Add(maxRejectWait)
		}
	}
}
