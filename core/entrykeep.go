package core

import (
	"slices"
	"time"

	"jayloft/limit"
	"jayloft/table"
)

// Numbers of the removal of ended jobs.
const (
	// retentionInterval is the time between two removals.
	retentionInterval = 10 * time.Second
	// maxRemovedJobs bounds the jobs that one transaction removes.
	maxRemovedJobs = 100
)

// endedAt returns when a job has ended, which is now if its last task has just
// become final.
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

// pendingRetention waits for the removal of ended jobs. What a lost answer leaves open
// shows in the next read of the shards.
type pendingRetention struct{}

func (pendingRetention) pendingAnswer() {}

// advanceRetention removes the rows of jobs that ended long ago, with the rows of the
// commands that submitted them.
func (e *Entry) advanceRetention() {
	if e.at.Now.Before(e.nextRetention) || !e.hasConfig() || e.circuit.IsOpen(e.at.Now) {
		return
	}
	e.nextRetention = e.at.Now.Add(retentionInterval)
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

// expiredJobs returns up to maxRemovedJobs of the owned jobs that ended long ago.
func (e *Entry) expiredJobs() []JobID {
	var ids []JobID
	for id, j := range e.jobs {
		old := !j.row.Ended.IsZero() && e.at.Now.Sub(j.row.Ended) > e.pol.Retention
		if old && e.shards[j.shard].owned && len(j.edits) == 0 && len(j.inFlight) == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), maxRemovedJobs)]
}
