package core

import (
	"fmt"
	"slices"
	"time"

	"jayloft/limit"
	"jayloft/table"
)

// commitGroup batches the edits of many jobs (group commit): one transaction is in
// flight at a time, and the longer the table takes to answer, the more edits share the
// next one.
type commitGroup struct {
	first    []*jobView // written before dirty: of long-running tasks, and of a conflict
	dirty    []*jobView
	apart    []*jobView // each written in a transaction of its own, see handleGroupRejected
	inFlight *groupTxn
}

// len returns the number of jobs with edits that are not sent yet, and may share a transaction.
func (g *commitGroup) len() int { return len(g.first) + len(g.dirty) }

// add lists a job with edits.
func (g *commitGroup) add(j *jobView) {
	if j.apart {
		g.setApart(j)
		return
	}
	j.dirty = true
	if j.row.Spec.hasLongRunning() {
		g.first = append(g.first, j)
		return
	}
	g.dirty = append(g.dirty, j)
}

// putFirst lists jobs with edits before all others.
func (g *commitGroup) putFirst(jobs []*jobView) {
	listed := func(j *jobView) bool { return slices.Contains(jobs, j) }
	rest := slices.DeleteFunc(g.first, listed)
	g.dirty = slices.DeleteFunc(g.dirty, listed)
	g.first = nil
	for _, j := range jobs {
		if j.apart {
			g.setApart(j)
		} else if j.dirty = len(j.edits) > 0; j.dirty {
			g.first = append(g.first, j)
		}
	}
	g.first = append(g.first, rest...)
}

// groupTxn is a transaction of the commit group. After a lost answer it is resent, see
// resend: its conditions make that harmless, and the edits detect that the first copy has
// taken effect.
type groupTxn struct {
	jobs    []*jobView
	rows    []JobRow
	txn     table.Txn
	bytes   int       // of the rows
	retryAt time.Time // when to resend it; zero while an answer is awaited
}

// pendingGroup awaits the answer to a group's transaction.
type pendingGroup struct {
	t *groupTxn
}

func (pendingGroup) pendingAnswer() {}

func (g *commitGroup) isIdle() bool {
	return g.len() == 0 && len(g.apart) == 0 && g.inFlight == nil
}

// addEdit adds an edit of a job to the next transaction. A repeated edit is dropped.
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

// sameEdit reports whether two edits are the same; ends are compared by attempt.
func sameEdit(a, b edit) bool {
	x, ok := a.(endEdit)
	y, both := b.(endEdit)
	if ok && both {
		return x.end.Attempt == y.end.Attempt
	}
	return a == b
}

// markDirty lists a job with edits for the next transaction.
func (e *Entry) markDirty(j *jobView) {
	if j.dirty || len(j.edits) == 0 {
		return
	}
	e.group.add(j)
}

// flushAt returns when the next transaction may be sent; zero if there is none to send.
func (e *Entry) flushAt() time.Time {
	apartAt, apart := e.group.apartAt()
	next := e.writes.NextAllowed(e.at.Now, limit.PriorityHigh)
	switch t := e.group.inFlight; {
	case t != nil && !t.retryAt.IsZero():
		return t.retryAt
	case t != nil:
		return time.Time{}
	case e.group.len() > 0:
		return next
	case apart:
		return latest(next, apartAt)
	}
	return time.Time{}
}

// advanceFlush sends the next transaction, or resends the one whose answer was lost.
func (e *Entry) advanceFlush() {
	if t := e.group.inFlight; t != nil {
		if !t.retryAt.IsZero() && !e.at.Now.Before(t.retryAt) {
			e.resend(t)
		}
		return
	}
	if !e.group.isDue(e.at.Now) || e.breaker.IsOpen(e.at.Now) || !e.allowWrite(limit.PriorityHigh) {
		return
	}
	t := e.buildTxn()
	if t == nil {
		return
	}
	e.group.inFlight = t
	e.emit(Commit{Token: e.expect(pendingGroup{t: t}), Txn: t.txn})
}

// isFull reports whether the transaction, with this number of conditions so far, can
// take no further job.
func (t *groupTxn) isFull(p *Policy, conds int) bool {
	return len(t.jobs) >= p.TxnRows || t.bytes >= p.TxnKilobytes<<10 || t.numClauses(conds)+jobClauses > p.TxnEntries
}

// numClauses returns the number of writes and conditions in the transaction.
func (t *groupTxn) numClauses(conds int) int { return len(t.txn.Writes) + conds }

const (
	// jobClauses is the number of clauses of a job with one claim: the row's write,
	// the row's condition and the claim's conditions.
	jobClauses = 2 + claimClauses
	// claimClauses is the maximum number of conditions that a claim adds: those on its
	// data centre's row and its worker's fence row.
	claimClauses = 2
)

// buildTxn builds a transaction from the edits of as many jobs as it may hold. Edits
// that are void or already in the table need no write. It returns nil if nothing is
// left to write.
func (e *Entry) buildTxn() *groupTxn {
	if t := e.buildApart(); t != nil {
		return t
	}
	return e.buildOf(&e.group.first, &e.group.dirty)
}

// buildOf builds a transaction from the jobs of lists; nil if nothing is left to write.
func (e *Entry) buildOf(lists ...*[]*jobView) *groupTxn {
	t := &groupTxn{}
	conds := map[string]uint64{}
	for _, list := range lists {
		e.addJobs(t, list, conds)
	}
	if len(t.jobs) == 0 {
		return nil
	}
	for key, v := range conds {
		t.txn.Conds = append(t.txn.Conds, table.Cond{Key: key, Version: v})
	}
	sortConds(t.txn.Conds)
	return t
}

// addJobs adds jobs of a list to a transaction until it is full, and takes them off the list. A
// job that is in the transaction already has got further edits since: they are left for the next
// one, as each is made from the row before it.
func (e *Entry) addJobs(t *groupTxn, list *[]*jobView, conds map[string]uint64) {
	jobs := *list
	*list = nil
	for i, j := range jobs {
		if t.isFull(&e.pol, len(conds)) {
			*list = append(*list, jobs[i:]...)
			return
		}
		if len(j.inFlight) > 0 {
			*list = append(*list, j)
			continue
		}
		j.dirty = false
		e.addJob(t, j, conds)
		e.markDirty(j) // some of its edits may be left for the next transaction
	}
}

// addJob adds a job's row and its conditions to a transaction. Edits that exceed the
// transaction's limit of clauses are left for the next one.
func (e *Entry) addJob(t *groupTxn, j *jobView, conds map[string]uint64) {
	if e.isAbandoned(j) {
		e.abandon(j)
		return
	}
	row := j.row.copyTasks()
	edits := j.edits
	j.edits = nil
	for i, ed := range edits {
		c, claims := ed.(claimEdit)
		if claims && t.numClauses(len(conds))+jobClauses > e.pol.TxnEntries {
			j.edits = edits[i:]
			break
		}
		if claims && !e.isClaimAllowed(c) {
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
		// The job's createEdit is gone, so the submission was withdrawn: none of its
		// edits may be written.
		j.inFlight = nil
	}
	if len(j.inFlight) == 0 {
		e.dropForeignJob(j)
		return
	}
	row.Ended = e.endedAt(row)
	row.Started = row.hasStarted() || j.hasStarted()
	b, err := e.encodeJob(&row)
	if err != nil {
		e.logNote("job not written", string(j.row.Spec.ID), err.Error())
		j.inFlight = nil
		return
	}
	if len(b) > e.pol.RowBytes && e.withdrawClaims(j) {
		return
	}
	key := keyJob(j.row.Spec.ID)
	conds[key] = j.version
	t.jobs = append(t.jobs, j)
	t.rows = append(t.rows, row)
	t.bytes += len(b)
	t.txn.Writes = append(t.txn.Writes, table.Write{Key: key, Value: b})
}

// isClaimAllowed reports whether a claim is still allowed by the entry's current view of
// the worker, its fence and its data centre.
func (e *Entry) isClaimAllowed(c claimEdit) bool {
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

// addConds makes a claim conditional on the rows that permit it, and records the echo
// for its start order: the table checks the rows after the echoed heartbeat was
// received.
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

// handleCommitAnswered handles the table's answer to a transaction.
func (e *Entry) handleCommitAnswered(ev CommitAnswered) {
	w := e.takePending(ev.Token)
	switch {
	case ev.Fault == FaultRejected && w != nil:
		e.breaker.RecordSuccess(e.at.Now) // the table is there
		e.count("store.rejected", ReasonRejected)
		e.logEvent("write rejected", string(e.self.ID), "of", fmt.Sprintf("%T", w))
	case ev.Fault != FaultNone:
		e.recordStoreFault("write")
	case w != nil:
		e.breaker.RecordSuccess(e.at.Now)
	}
	switch w := w.(type) {
	case pendingGroup:
		e.handleGroupAnswered(w.t, ev)
	case pendingFence:
		e.handleFenceAnswered(w, ev)
	case pendingCommand:
		e.handleCommandAnswered(w.c, ev)
	case pendingTombstones:
		e.handleTombstonesAnswered(ev)
	case pendingTombstonesRemoved:
		e.handleTombstonesRemoved(w, ev)
	case pendingRetention:
		e.handleRetentionAnswered(w.ids, ev)
	case pendingRefusals:
		e.handleRefusalsRemoved(w.ids, ev)
	case pendingLeave:
		e.deregistered = true
	}
}

// handleGroupAnswered handles the table's answer to a group's transaction.
func (e *Entry) handleGroupAnswered(t *groupTxn, ev CommitAnswered) {
	if t != e.group.inFlight {
		return
	}
	if ev.Fault == FaultRejected {
		e.handleGroupRejected(t)
		return
	}
	if ev.Fault != FaultNone {
		t.retryAt = latest(e.breaker.NextProbe(e.at.Now), e.at.Now.Add(minWake))
		return
	}
	e.group.inFlight = nil
	if !ev.Result.Committed {
		e.handleGroupConflict(t, ev.Result.Conflicts)
		return
	}
	for i, j := range t.jobs {
		edits := j.inFlight
		j.inFlight = nil
		j.apart, j.rejections = false, 0
		if ev.Result.Revision > j.version {
			j.row, j.version, j.rowBytes = t.rows[i], ev.Result.Revision, len(t.txn.Writes[i].Value)
		}
		for _, ed := range edits {
			e.handleEditStored(j, ed)
		}
		e.dropForeignJob(j)
	}
}

// undoVoidEdit drops the claim that was assumed for an edit that will not be written.
func (e *Entry) undoVoidEdit(j *jobView, ed edit) {
	if c, ok := ed.(claimEdit); ok {
		if cl := j.claims[c.n]; cl != nil && cl.attempt.Number == c.number && !cl.committed {
			e.dropClaim(j, cl)
		}
	}
	e.reconcileEdit(j, ed)
}

// dropForeignJob forgets another entry's job once it has no pending edits or waiting
// requests. A withdrawn submission may have been replaced by a later one of the same job,
// which is kept.
func (e *Entry) dropForeignJob(j *jobView) {
	if j.foreign && len(j.edits) == 0 && len(j.inFlight) == 0 && len(j.waiters) == 0 && e.jobs[j.row.Spec.ID] == j {
		delete(e.jobs, j.row.Spec.ID)
	}
}
