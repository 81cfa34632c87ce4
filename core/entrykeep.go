package core

import (
	"time"

	"jayloft/limit"
	"jayloft/table"
)

// Numbers of the removal of ended jobs.
const (
	// keepEvery is the time between two removals.
	keepEvery = 10 * time.Second
	// keepRows bounds the jobs that one transaction removes.
	keepRows = 100
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

// waitKeep waits for the removal of ended jobs. What a lost answer leaves open
// shows in the next read of the shards.
type waitKeep struct{}

func (waitKeep) wait() {}

// keepDue removes the rows of jobs that ended long ago, with the rows of the
// commands that submitted them.
func (e *Entry) keepDue() {
	if e.at.Now.Before(e.nextKeep) || !e.ready() || e.circuit.Open(e.at.Now) {
		return
	}
	e.nextKeep = e.at.Now.Add(keepEvery)
	var txn table.Txn
	for s := range e.shards {
		if !e.shards[s].owned {
			continue
		}
		for _, id := range e.jobIDs(s) {
			j := e.jobs[id]
			if len(txn.Conds) >= keepRows || !e.outdated(j) {
				continue
			}
			txn.Conds = append(txn.Conds, table.Cond{Key: keyJob(id), Version: j.version})
			txn.Writes = append(txn.Writes, table.Write{Key: keyJob(id), Delete: true})
			if j.row.Op != "" {
				txn.Writes = append(txn.Writes, table.Write{Key: keyOp(j.row.Op), Delete: true})
			}
		}
	}
	if len(txn.Conds) > 0 && e.allowWrite(limit.PriorityLow) {
		e.emit(Commit{Token: e.expect(waitKeep{}), Txn: txn})
	}
}

func (e *Entry) outdated(j *jobView) bool {
	ended := j.row.Ended
	return !ended.IsZero() && e.at.Now.Sub(ended) > e.pol.KeepFor && len(j.edits) == 0 && len(j.flying) == 0
}
