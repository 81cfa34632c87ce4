package core

import (
	"maps"
	"slices"
	"time"

	"jayloft/limit"
	"jayloft/table"
)

// commitGroup collects the edits of many jobs into one transaction at a time.
// The longer the table takes to answer, the more edits share a transaction.
type commitGroup struct {
	dirty    []*jobView
	inFlight *groupTxn
}

// groupTxn is the transaction in groupTxn. After a lost answer the same one is
// sent again: its conditions make that harmless, and the edits recognise a
// copy that has taken effect.
type groupTxn struct {
	jobs    []*jobView
	rows    []JobRow
	txn     table.Txn
	bytes   int       // of the rows
	retryAt time.Time // when to send it again; zero while an answer is awaited
}

// pendingGroup waits for the group's transaction.
type pendingGroup struct {
	f *groupTxn
}

func (pendingGroup) pendingAnswer() {}

func (g *commitGroup) idle() bool { return len(g.dirty) == 0 && g.inFlight == nil }

// addEdit adds a change to the next transaction. The same addEdit twice is one.
func (e *Entry) addEdit(j *jobView, ed edit) {
	if hasEdit(j.edits, ed) || hasEdit(j.inFlight, ed) {
		return
	}
	j.edits = append(j.edits, ed)
	e.markDirty(j)
}

func hasEdit(edits []edit, ed edit) bool {
	for _, old := range edits {
		if sameEdit(old, ed) {
			return true
		}
	}
	return false
}

func sameEdit(a, b edit) bool {
	x, ok := a.(endEdit)
	y, both := b.(endEdit)
	if ok && both {
		return x.end.Attempt == y.end.Attempt
	}
	return a == b
}

func (e *Entry) markDirty(j *jobView) {
	if j.dirty || len(j.edits) == 0 {
		return
	}
	j.dirty = true
	e.group.dirty = append(e.group.dirty, j)
}

// flushAt returns when the next transaction may be sent; zero if none waits.
func (e *Entry) flushAt() time.Time {
	switch f := e.group.inFlight; {
	case f != nil && !f.retryAt.IsZero():
		return f.retryAt
	case f != nil || len(e.group.dirty) == 0:
		return time.Time{}
	}
	return e.writes.NextAllowed(e.at.Now, limit.PriorityHigh)
}

// advanceFlush sends the next transaction, or the one whose answer was lost again.
func (e *Entry) advanceFlush() {
	if f := e.group.inFlight; f != nil {
		if !f.retryAt.IsZero() && !e.at.Now.Before(f.retryAt) {
			f.retryAt = time.Time{}
			e.count("retry", ReasonStore)
			e.emit(Commit{Token: e.expect(pendingGroup{f: f}), Txn: f.txn})
		}
		return
	}
	if len(e.group.dirty) == 0 || e.circuit.IsOpen(e.at.Now) || !e.allowWrite(limit.PriorityHigh) {
		return
	}
	f := e.buildTxn()
	if f == nil {
		return
	}
	e.group.inFlight = f
	e.emit(Commit{Token: e.expect(pendingGroup{f: f}), Txn: f.txn})
}

// isFull reports whether no more jobs may join a transaction with so many conditions.
func (f *groupTxn) isFull(p *Policy, conds int) bool {
	return len(f.jobs) >= p.TxnRows || f.bytes >= p.TxnKilobytes<<10 || f.numClauses(conds)+jobClauses > p.TxnEntries
}

// numClauses returns the writes and conditions of a transaction together.
func (f *groupTxn) numClauses(conds int) int { return len(f.txn.Writes) + conds }

const (
	// jobClauses is what a job adds at least: its row, the row's condition, and
	// those of a claim.
	jobClauses = 2 + claimClauses
	// claimClauses is what a claim adds at most: its data centre's and its
	// worker's condition.
	claimClauses = 2
)

// buildTxn applies the edits of as many jobs as a transaction may hold. Edits that
// have become void or are in the table already need no write.
func (e *Entry) buildTxn() *groupTxn {
	f := &groupTxn{}
	conds := map[string]uint64{}
	dirty := e.group.dirty
	e.group.dirty = nil
	for i, j := range dirty {
		if f.isFull(&e.pol, len(conds)) {
			e.group.dirty = append(e.group.dirty, dirty[i:]...)
			break
		}
		j.dirty = false
		e.addJob(f, j, conds)
		e.markDirty(j) // some of its edits may have to wait for the next transaction
	}
	if len(f.jobs) == 0 {
		return nil
	}
	for key, v := range conds {
		f.txn.Conds = append(f.txn.Conds, table.Cond{Key: key, Version: v})
	}
	sortConds(f.txn.Conds)
	return f
}

func (e *Entry) addJob(f *groupTxn, j *jobView, conds map[string]uint64) {
	row := j.row.copyTasks()
	edits := j.edits
	j.edits = nil
	for i, ed := range edits {
		c, claims := ed.(claimEdit)
		if claims && f.numClauses(len(conds))+jobClauses > e.pol.TxnEntries {
			j.edits = edits[i:]
			break
		}
		if claims && !e.claimHolds(c) {
			e.undoVoidEdit(j, ed)
			continue
		}
		switch ed.apply(&row, &e.pol) {
		case editApplied:
			j.inFlight = append(j.inFlight, ed)
			j.everSent = true
			e.addConds(j, ed, conds)
		case editRedundant:
			e.handleEditStored(j, ed)
		case editVoid:
			e.undoVoidEdit(j, ed)
		}
	}
	if !row.stored {
		// No edit creates the job, so it was taken back: nothing of it may be
		// written.
		j.inFlight = nil
	}
	if len(j.inFlight) == 0 {
		e.dropForeignJob(j)
		return
	}
	row.Ended = e.endedAt(row)
	b, err := Encode(row)
	if err != nil {
		e.logNote("job not written", string(j.row.Spec.ID), err.Error())
		j.inFlight = nil
		return
	}
	key := keyJob(j.row.Spec.ID)
	conds[key] = j.version
	f.jobs = append(f.jobs, j)
	f.rows = append(f.rows, row)
	f.bytes += len(b)
	f.txn.Writes = append(f.txn.Writes, table.Write{Key: key, Value: b})
}

// claimHolds checks a claim against what the entry knows now of the data
// centre and the fence.
func (e *Entry) claimHolds(c claimEdit) bool {
	w := e.workers[c.holder.Worker]
	if w == nil || w.inc != c.holder.Inc {
		return false
	}
	if e.pol.on(guardClaimFence) && e.fences[w.id].row.Has(c.holder.Inc) {
		return false
	}
	dc, ok := e.config.dc(c.dc)
	return !e.pol.on(guardClaimDC) || (ok && !dc.Out)
}

// addConds makes a claim depend on the rows that allow it, and takes the echo
// for its start order: the rows are checked after the echo's beat was received.
func (e *Entry) addConds(j *jobView, ed edit, conds map[string]uint64) {
	c, ok := ed.(claimEdit)
	if !ok {
		return
	}
	if e.pol.on(guardClaimDC) {
		conds[keyDC(c.dc)] = e.config.version(keyDC(c.dc))
	}
	if e.pol.on(guardClaimFence) {
		conds[keyFence(c.holder.Worker)] = e.fences[c.holder.Worker].version
	}
	if cl := j.claims[c.n]; cl != nil {
		cl.echo = e.workers[c.holder.Worker].cur.sent
	}
}

// handleCommitAnswered takes the table's answer to a transaction.
func (e *Entry) handleCommitAnswered(ev CommitAnswered) {
	w := e.takePending(ev.Token)
	if ev.Fault != FaultNone {
		e.recordStoreFault("write")
	} else if w != nil {
		e.circuit.RecordSuccess(e.at.Now)
	}
	switch w := w.(type) {
	case pendingGroup:
		e.handleGroupAnswered(w.f, ev)
	case pendingFence:
		e.handleFenceAnswered(w, ev)
	case pendingCommand:
		e.handleCommandCommitted(w.c, ev)
	case pendingLeave:
		e.deregistered = true
	}
}

func (e *Entry) handleGroupAnswered(f *groupTxn, ev CommitAnswered) {
	if f != e.group.inFlight {
		return
	}
	if ev.Fault != FaultNone {
		f.retryAt = latest(e.circuit.NextProbe(e.at.Now), e.at.Now.Add(minWake))
		return
	}
	e.group.inFlight = nil
	if !ev.Result.Committed {
		e.groupConflict(f, ev.Result.Conflicts)
		return
	}
	for i, j := range f.jobs {
		edits := j.inFlight
		j.inFlight = nil
		if ev.Result.Revision > j.version {
			j.row, j.version = f.rows[i], ev.Result.Revision
		}
		for _, ed := range edits {
			e.handleEditStored(j, ed)
		}
		e.dropForeignJob(j)
	}
}

// groupConflict takes the rows that stood in the way, and puts the edits back.
func (e *Entry) groupConflict(f *groupTxn, rows []table.Row) {
	e.count("conflict", ReasonStore)
	for _, j := range f.jobs {
		j.edits = append(j.inFlight, j.edits...)
		j.inFlight = nil
		e.markDirty(j)
	}
	for _, r := range rows {
		e.applyConflictRow(r)
	}
}

func (e *Entry) applyConflictRow(r table.Row) {
	switch rec, _ := Decode(r.Key, r.Value); rec.(type) {
	case JobRow:
		e.applyJobRow(r)
	case FenceRow:
		e.applyFenceRow(r)
	case DCRow:
		e.config.apply([]table.Row{r}, e.config.rev, false, e.pol.on(guardConfig))
		e.refreshWorkers([]table.Row{r})
	}
}

// handleEditStored acts on an edit that the table holds.
func (e *Entry) handleEditStored(j *jobView, ed edit) {
	switch ed := ed.(type) {
	case createEdit:
		e.answerWaiters(j, JobSubmit)
	case cancelJobEdit:
		e.answerWaiters(j, JobStop)
		e.stopClaims(j)
	case endEdit:
		e.advanceStep(j, ed)
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

// reconcileEdit brings what an edit is about in line with the job's row.
func (e *Entry) reconcileEdit(j *jobView, ed edit) {
	if ed.task() == wholeJob {
		e.reconcileAll(j)
		return
	}
	e.reconcile(j, ed.task())
}

// advanceStep goes on with a job of steps after an attempt's end: with the steps
// that waited for this one, or with stopping the rest of a failed job.
func (e *Entry) advanceStep(j *jobView, ed endEdit) {
	if len(j.row.Spec.Steps) == 0 {
		return
	}
	step, _ := j.row.Spec.Locate(ed.task())
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

// stopClaims stops what runs of a cancelled job, now rather than at the next
// look at all claims.
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

// undoVoidEdit undoes what was assumed for an edit that the table won't hold.
func (e *Entry) undoVoidEdit(j *jobView, ed edit) {
	if c, ok := ed.(claimEdit); ok {
		if cl := j.claims[c.n]; cl != nil && cl.attempt.Number == c.number && !cl.committed {
			e.dropClaim(j, cl)
		}
	}
	e.reconcileEdit(j, ed)
}

// dropForeignJob forgets another entry's job once its edits are written.
func (e *Entry) dropForeignJob(j *jobView) {
	if j.foreign && len(j.edits) == 0 && len(j.inFlight) == 0 && len(j.waiters) == 0 {
		delete(e.jobs, j.row.Spec.ID)
	}
}
