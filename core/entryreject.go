package core

import (
	"slices"
	"time"
)

// A transaction that the table rejects for what it holds is rejected again, however often it
// is sent. Its jobs are then written one by one, so that none holds up the others, and a job
// that is rejected alone waits: what must be written is tried again in a later form.

const (
	// firstRejectWait is how long a job whose row was rejected waits before it is written
	// again. Each further rejection doubles the wait, up to maxRejectWait.
	firstRejectWait = time.Second
	maxRejectWait   = time.Minute
)

// handleGroupRejected handles a transaction that the table has rejected. It had no effect.
func (e *Entry) handleGroupRejected(t *groupTxn) {
	e.group.inFlight = nil
	for _, j := range t.jobs {
		j.edits = append(j.inFlight, j.edits...)
		j.inFlight = nil
	}
	e.logEvent("transaction rejected", string(e.self.ID), "jobs", len(t.jobs), "bytes", t.bytes)
	if len(t.jobs) == 1 {
		e.handleJobRejected(t.jobs[0], t.bytes)
		return
	}
	for _, j := range t.jobs {
		e.group.setApart(j)
	}
}

// handleJobRejected handles the rejection of a transaction that held one job. A new job is
// refused. Of a stored one, the claims are undone and its cancellations refused; the ends of
// its tasks are written later.
func (e *Entry) handleJobRejected(j *jobView, bytes int) {
	e.count("job.rejected", ReasonRejected)
	id := j.row.Spec.ID
	if !j.row.stored {
		e.refuseRejected(j)
		return
	}
	wait := min(firstRejectWait<<min(j.rejections, 8), maxRejectWait)
	j.rejections++
	j.rejectedUntil = e.at.Now.Add(wait)
	e.logEvent("job row rejected", string(id), "bytes", bytes, "edits", len(j.edits), "retry", wait.String())
	edits := j.edits
	j.edits = nil
	for _, ed := range edits {
		switch ed := ed.(type) {
		case claimEdit:
			e.undoVoidEdit(j, ed)
		case cancelJobEdit:
			e.refuseWaiters(j, JobAnswer{Outcome: JobRefused, Reason: ReasonRejected, RetryAfter: wait})
		default:
			j.edits = append(j.edits, ed)
		}
	}
	e.group.setApart(j)
	e.dropForeignJob(j)
}

// refuseRejected forgets a new job whose row was rejected, and tells its submitters.
func (e *Entry) refuseRejected(j *jobView) {
	e.logEvent("job row rejected", string(j.row.Spec.ID), "new", true)
	j.edits = nil
	e.refuseWaiters(j, JobAnswer{Outcome: JobInvalid, Reason: ReasonRejected, Text: "the table rejects the row of the job"})
	e.forget(j.row.Spec.ID, j)
}

// refuseWaiters answers all requests that wait for a job's edits.
func (e *Entry) refuseWaiters(j *jobView, ans JobAnswer) {
	waiters := j.waiters
	j.waiters = nil
	for _, jr := range waiters {
		if e.jobRequests[jr.token] == jr {
			e.answerJobRequest(jr, ans)
		}
	}
}

// isRejected reports whether the job's row was rejected lately, and is not written for now.
func (j *jobView) isRejected(now time.Time) bool { return now.Before(j.rejectedUntil) }

// setApart lists a job for a transaction of its own, and nowhere else.
func (g *commitGroup) setApart(j *jobView) {
	if j.dirty {
		g.unlist(j)
	}
	j.apart = true
	if j.dirty = len(j.edits) > 0; j.dirty {
		g.apart = append(g.apart, j)
	}
}

// unlist takes a job off all lists.
func (g *commitGroup) unlist(j *jobView) {
	for _, list := range []*[]*jobView{&g.first, &g.dirty, &g.apart} {
		*list = slices.DeleteFunc(*list, func(o *jobView) bool { return o == j })
	}
}

// apartAt returns when the next job may be written in a transaction of its own. It reports
// false if there is none.
func (g *commitGroup) apartAt() (at time.Time, ok bool) {
	for _, j := range g.apart {
		if !ok || j.rejectedUntil.Before(at) {
			at, ok = j.rejectedUntil, true
		}
	}
	return at, ok
}

// isDue reports whether a transaction may be built now.
func (g *commitGroup) isDue(now time.Time) bool {
	at, ok := g.apartAt()
	return g.len() > 0 || ok && !now.Before(at)
}

// buildApart builds a transaction of one job that is written apart from others; nil if none
// is due.
func (e *Entry) buildApart() *groupTxn {
	for _, j := range slices.Clone(e.group.apart) {
		if j.isRejected(e.at.Now) {
			continue
		}
		e.group.unlist(j)
		if t := e.buildOf(&[]*jobView{j}); t != nil {
			return t
		}
	}
	return nil
}
