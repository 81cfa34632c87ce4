package core

import (
	"slices"
	"time"

	"jayloft/table"
)

// maxCreationAge is the longest time after its submission for which a job may be sent to the
// table, however long its caller waits.
const maxCreationAge = time.Minute

// resend sends a transaction again whose answer was lost. Its conditions make that harmless.
func (e *Entry) resend(t *groupTxn) {
	e.dropAbandoned(t)
	if len(t.jobs) == 0 {
		e.group.inFlight = nil
		return
	}
	t.retryAt = time.Time{}
	e.count("retry", ReasonStore)
	e.emit(Commit{Token: e.expect(pendingGroup{t: t}), Txn: t.txn})
}

// dropAbandoned takes the new jobs out of a transaction that nobody waits for any more. Their
// callers know that the outcome is open, and hand the job in again if they still want it. The
// first copy of the transaction may store a job nonetheless: then reads of its shard show it.
func (e *Entry) dropAbandoned(t *groupTxn) {
	left := *t
	left.jobs, left.rows, left.txn.Writes, left.bytes = nil, nil, nil, 0
	var dropped []*jobView
	for i, j := range t.jobs {
		if e.isAbandoned(j) {
			dropped = append(dropped, j)
			left.txn.Conds = withoutCond(left.txn.Conds, t.txn.Writes[i].Key)
			continue
		}
		left.jobs = append(left.jobs, j)
		left.rows = append(left.rows, t.rows[i])
		left.txn.Writes = append(left.txn.Writes, t.txn.Writes[i])
		left.bytes += len(t.txn.Writes[i].Value)
	}
	*t = left
	for _, j := range dropped {
		e.abandon(j)
	}
}

// withoutCond returns the conditions without that on a key.
func withoutCond(conds []table.Cond, key string) []table.Cond {
	return slices.DeleteFunc(slices.Clone(conds), func(c table.Cond) bool { return c.Key == key })
}

// isAbandoned reports whether a job is to be stored, as far as is known, and no caller waits for
// that.
func (e *Entry) isAbandoned(j *jobView) bool {
	if j.row.stored || !hasEdit(j.inFlight, createEdit{}) && !hasEdit(j.edits, createEdit{}) {
		return false
	}
	return !slices.ContainsFunc(j.waiters, func(jr *openJobRequest) bool {
		return jr.Verb == JobSubmit && e.jobRequests[jr.token] == jr && e.at.Now.Sub(jr.receivedAt) < maxCreationAge
	})
}

// abandon drops a job that is not sent to the table any more. Requests that wait for it are
// served from the table: it may hold the job, if that was sent before.
func (e *Entry) abandon(j *jobView) {
	id := j.row.Spec.ID
	answer := JobAnswer{Outcome: JobRefused, Reason: ReasonDeadline, RetryAfter: e.storeRetryAfter()}
	if j.everSent {
		answer = JobAnswer{Outcome: JobUnknown, Reason: ReasonDeadline}
	}
	e.logEvent("job dropped", string(id), "reason", "its callers were answered", "waiters", len(j.waiters))
	waiters := j.waiters
	j.waiters, j.edits, j.inFlight = nil, nil, nil
	e.forget(id, j)
	for _, jr := range waiters {
		switch {
		case e.jobRequests[jr.token] != jr:
		case jr.Verb == JobSubmit:
			e.answerJobRequest(jr, answer)
		default:
			e.lookUpOrCancel(jr)
		}
	}
}
