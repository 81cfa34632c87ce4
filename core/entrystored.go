package core

import (
	"maps"
	"slices"
)

// handleEditStored acts on an edit that is committed: it answers waiters, sends start
// orders and records ends.
func (e *Entry) handleEditStored(j *jobView, ed edit) {
	switch ed := ed.(type) {
	case createEdit:
		e.answerStored(j)
	case cancelJobEdit:
		e.answerWaiters(j, JobStop)
		e.stopClaims(j)
	case endEdit:
		if ed.end.Started {
			e.noteRun(j, ed.task())
		}
		j.noteHandedBack(ed.end, ed.worker)
		e.noteOrphanStored(ed)
		e.advanceStep(j, ed.task())
	case failTaskEdit:
		e.advanceStep(j, ed.task())
	}
	e.reconcileEdit(j, ed)
	if j.foreign {
		return
	}
	switch ed := ed.(type) {
	case claimEdit:
		e.sendStart(j, ed)
	case endEdit:
		e.countEnd(j, ed)
	}
}

// reconcileEdit reconciles the task that an edit refers to, or the whole job, with the
// job's row.
func (e *Entry) reconcileEdit(j *jobView, ed edit) {
	if ed.task() == wholeJob {
		e.reconcileAll(j)
		return
	}
	e.reconcile(j, ed.task())
}

// advanceStep continues a job with steps after a task has ended: it makes dependent steps
// eligible, or stops the rest of a job that has failed.
func (e *Entry) advanceStep(j *jobView, task int) {
	if len(j.row.Spec.Steps) == 0 {
		return
	}
	step, _ := j.row.Spec.Locate(task)
	if j.row.Cancel {
		e.stopClaims(j)
	}
	if j.row.Cancel || j.row.isStepDone(step) {
		e.reconcileAll(j)
	}
	if !j.row.Ended.IsZero() {
		e.logJobEnded(j)
	}
}

// stopClaims stops the running tasks of a cancelled job at once rather than at the next
// check of all claims.
func (e *Entry) stopClaims(j *jobView) {
	if j.foreign || !j.row.Cancel {
		return
	}
	for _, n := range slices.Sorted(maps.Keys(j.claims)) {
		c := j.claims[n]
		if w := e.workers[c.holder.Worker]; w != nil && !w.silent {
			e.checkClaim(w, c)
		}
	}
}
