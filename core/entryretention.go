package core

import (
	"slices"
	"time"

	"jayloft/limit"
	"jayloft/table"
)

// Parameters of the removal of ended jobs.
const (
	// retentionInterval is the time between two removal transactions.
	retentionInterval = 10 * time.Second
	// maxRemovedJobs bounds the jobs that one transaction removes.
	maxRemovedJobs = 100
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

// pendingRetention awaits the removal of ended jobs. If the answer is lost, the next
// read of the shards shows whether the rows were removed.
type pendingRetention struct{}

func (pendingRetention) pendingAnswer() {}

// advanceRetention deletes the rows of jobs whose retention period is over, together
// with the rows of the commands that submitted them.
func (e *Entry) advanceRetention() {
	if e.at.Now.Before(e.nextRetention) || !e.hasConfig() || e.breaker.IsOpen(e.at.Now) {
		return
	}
	e.nextRetention = e.at.Now.Add(retentionInterval)
	e.removeRefusals()
	var txn table.Txn
	for _, id := range e.expiredJobs() {
		j := e.jobs[id]
		txn.Conds = append(txn.Conds, table.Cond{Key: keyJob(id), Version: j.version})
		txn.Writes = append(txn.Writes, table.Write{Key: keyJob(id), Delete: true})
		if j.row.Op != "" {
			txn.Writes = append(txn.Writes, table.Write{Key: keyOp(j.row.Op), Delete: true})
		}
	}
	if len(txn.Conds) > 0 && e.allowWrite(limit.PriorityLow) {
		e.emit(Commit{Token: e.expect(pendingRetention{}), Txn: txn})
	}
}

// expiredJobs returns up to maxRemovedJobs of the owned jobs whose retention period
// is over.
func (e *Entry) expiredJobs() []JobID {
	var ids []JobID
	for id, j := range e.jobs {
		expired := !j.row.Ended.IsZero() && e.at.Now.Sub(j.row.Ended) > e.pol.Retention
		if expired && e.shards[j.shard].owned && len(j.edits) == 0 && len(j.inFlight) == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), maxRemovedJobs)]
}
