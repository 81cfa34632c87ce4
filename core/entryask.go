package core

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"jayloft/table"
)

const (
	// maxJobRequests bounds the job requests in progress at one entry.
	maxJobRequests = 1024
	// relayMargin is the part of a caller's time that a relayed request leaves for
	// serving it here if the relay fails.
	relayMargin = 300 * time.Millisecond
)

// openJobRequest is a caller's request about a job, in progress at this entry.
type openJobRequest struct {
	token Token
	JobRequest
	receivedAt time.Time
	// maybeApplied is set if the request may take effect through another entry.
	maybeApplied bool
}

// pendingRelay awaits another entry's answer to a relayed request.
type pendingRelay struct{ jr *openJobRequest }

// pendingJobLookup awaits the row of the job that a request is about.
type pendingJobLookup struct{ jr *openJobRequest }

func (pendingRelay) pendingAnswer()     {}
func (pendingJobLookup) pendingAnswer() {}

// handleJobRequested accepts a job request. It finds the queue, and relays the request
// to the entry that owns the job's shard, if that is another one.
func (e *Entry) handleJobRequested(ev JobRequested) {
	jr := &openJobRequest{token: ev.Token, JobRequest: ev.Request, receivedAt: e.at.Now}
	if reason := e.checkJobRequest(); reason != ReasonNone {
		e.answerJobRequest(jr, JobAnswer{Outcome: JobRefused, Reason: reason, RetryAfter: e.storeRetryAfter()})
		return
	}
	if !jr.Relayed && !e.routeJobRequest(jr) {
		return
	}
	e.jobRequests[jr.token] = jr
	if addr, ok := e.ownerAddr(ShardOf(jr.Spec.ID)); ok && !jr.Relayed {
		relayed := jr.JobRequest
		relayed.Relayed = true
		relayed.Deadline = jr.Deadline.Add(-relayMargin)
		e.emit(Relay{Token: e.expect(pendingRelay{jr}), Addr: addr, Request: relayed})
		return
	}
	e.serveJobRequest(jr)
}

// checkJobRequest returns the reason why the entry can't accept job requests now;
// ReasonNone if it can.
func (e *Entry) checkJobRequest() Reason {
	switch {
	case e.exited:
		return ReasonStopping
	case !e.hasConfig():
		return ReasonConfig
	case len(e.jobRequests) >= maxJobRequests:
		return ReasonOverload
	}
	return ReasonNone
}

// maxConfigAge is the maximum age of the configuration by which an entry may answer
// that a queue does not exist: a new queue must be known everywhere within 2 s.
const maxConfigAge = 1500 * time.Millisecond

// configAge returns the time since the configuration was last known to be current.
func (e *Entry) configAge() time.Duration { return e.at.Now.Sub(e.round.asOf) }

// routeJobRequest finds the queue of a request and copies the queue's settings into
// the job. It answers requests without a queue, about the queue itself or with an
// invalid job, and reports whether the request is still open.
func (e *Entry) routeJobRequest(jr *openJobRequest) bool {
	q, rest, ok := e.config.queue(jr.Host, jr.Path)
	switch {
	case !ok && e.configAge() > maxConfigAge:
		e.answerJobRequest(jr, JobAnswer{Outcome: JobRefused, Reason: ReasonConfig, RetryAfter: e.storeRetryAfter()})
		return false
	case !ok:
		e.answerJobRequest(jr, JobAnswer{Outcome: JobNoQueue, Reason: ReasonService})
		return false
	case jr.Verb == JobGet && rest == "":
		jr.Verb = JobCount
		e.answerJobRequest(jr, e.answerCount(q))
		return false
	}
	if len(rest) > maxJobIDBytes {
		ans := JobAnswer{Outcome: JobNotFound}
		if jr.Verb == JobSubmit {
			ans = JobAnswer{Outcome: JobInvalid, Reason: ReasonInvalid, Text: fmt.Sprintf("the job's id has more than %d bytes", maxJobIDBytes)}
		}
		e.answerJobRequest(jr, ans)
		return false
	}
	s := &jr.Spec
	s.ID, s.Class = JobID(rest), q.Name
	s.Queue, s.Service, s.Priority, s.Attempts = q.Name, q.Service, q.Priority, q.Attempts
	s.Stretch, s.Objective, s.Route = q.Stretch, q.Objective, q.Route()
	if jr.Verb != JobSubmit {
		return true
	}
	if usesUnsupported(s) || q.Tickets {
		e.answerJobRequest(jr, JobAnswer{Outcome: JobRefused, Reason: ReasonUnsupported, RetryAfter: unplaceableRetryAfter})
		return false
	}
	if text := s.CheckSteps(); text != "" {
		e.answerJobRequest(jr, JobAnswer{Outcome: JobInvalid, Reason: ReasonInvalid, Text: text})
		return false
	}
	return true
}

// ownerAddr returns the address of the entry that owns a shard. It reports false if
// that is this entry or the address is not known.
func (e *Entry) ownerAddr(shard int) (addr netip.AddrPort, ok bool) {
	id := e.shards[shard].owner
	p := e.peers[id]
	if id == e.self.ID || p == nil {
		return addr, false
	}
	return p.addr, p.addr.IsValid()
}

// handleRelayAnswered passes another entry's answer on. If there is none, or that
// entry can't serve now, this entry serves the request itself: writes are
// conditional, so it is harmless if both do. So it does if it is storing a job that the
// other entry did not find.
func (e *Entry) handleRelayAnswered(ev RelayAnswered) {
	q, ok := e.takePending(ev.Token).(pendingRelay)
	if !ok || e.jobRequests[q.jr.token] == nil {
		return
	}
	ownerUnavailable := ev.Answer.Reason == ReasonStopping || ev.Answer.Reason == ReasonConfig || ev.Answer.Reason == ReasonStore
	if ev.Fault == FaultNone && !ownerUnavailable {
		if ev.Answer.Outcome != JobNotFound || !e.awaitStored(q.jr) {
			e.answerJobRequest(q.jr, ev.Answer)
		}
		return
	}
	e.count("relay", ReasonOwner)
	q.jr.maybeApplied = ev.Fault == FaultNoAnswer
	e.serveJobRequest(q.jr)
}

// serveJobRequest serves a request at this entry.
func (e *Entry) serveJobRequest(jr *openJobRequest) {
	switch jr.Verb {
	case JobSubmit:
		e.submit(jr)
	case JobGet, JobStop:
		e.lookUpOrCancel(jr)
	case JobCount:
		e.answerJobRequest(jr, e.answerCount(jr.Spec.queueRequested()))
	}
}

// submit stores a new job in the table; the submission is answered once that is
// committed. A job that is already stored is left unchanged. An id that a job of another queue
// has is refused.
func (e *Entry) submit(jr *openJobRequest) {
	j := e.jobs[jr.Spec.ID]
	if j != nil && j.row.stored {
		e.answerJobRequest(jr, e.answerSubmission(j, jr))
		return
	}
	if e.isTombstone(jr.Spec.ID) {
		e.answerJobRequest(jr, answerOfTombstone(JobSubmit))
		return
	}
	if j == nil {
		if reason := e.checkSubmission(&jr.Spec); reason != ReasonNone {
			e.answerJobRequest(jr, JobAnswer{Outcome: JobRefused, Reason: reason, RetryAfter: e.submissionRetryAfter(reason)})
			return
		}
		row := JobRow{Spec: jr.Spec, Tasks: make([]TaskRow, jr.Spec.Len()), Accepted: e.at.Now}
		bytes, text := e.checkRowSize(&row)
		if text != "" {
			e.answerJobRequest(jr, JobAnswer{Outcome: JobInvalid, Reason: ReasonInvalid, Text: text})
			return
		}
		j = e.newJob(row)
		j.rowBytes = bytes
		e.logEvent("job taken", string(jr.Spec.ID), "queue", jr.Spec.Queue, "tasks", jr.Spec.Len(),
			"chain", jr.Spec.criticalPath().String(), "due", j.row.Deadline().Sub(e.at.Now).String())
		e.addEdit(j, createEdit{})
		e.reconcileAll(j)
	}
	j.waiters = append(j.waiters, jr)
}

// checkSubmission returns the reason why a job can't be accepted now; ReasonNone if
// it can.
func (e *Entry) checkSubmission(s *JobSpec) Reason {
	if e.breaker.IsOpen(e.at.Now) {
		return ReasonStore
	}
	if e.fitsNoWorker(s) {
		return ReasonUnplaceable
	}
	return ReasonNone
}

// fitsNoWorker reports whether the job has a step whose tasks would reserve more than the
// capacity of every known worker.
func (e *Entry) fitsNoWorker(s *JobSpec) bool {
	return slices.ContainsFunc(s.Steps, func(st StepSpec) bool { return e.exceedsAllWorkers(st.Reserved()) })
}

// usesUnsupported reports whether a job uses features that are not implemented:
// periodic runs and gangs.
func usesUnsupported(s *JobSpec) bool {
	return s.Runs > 0 || slices.ContainsFunc(s.Steps, func(st StepSpec) bool { return st.Gang })
}

// unplaceableRetryAfter is when a caller may resubmit a job that fits no worker: a
// larger worker may have joined by then.
const unplaceableRetryAfter = 30 * time.Second

// submissionRetryAfter returns when a refused job may be resubmitted.
func (e *Entry) submissionRetryAfter(reason Reason) time.Duration {
	if reason == ReasonUnplaceable {
		return unplaceableRetryAfter
	}
	return e.storeRetryAfter()
}

// lookUpOrCancel answers from memory if the job's row is known and, for its state, recent
// enough, and waits for a submission in progress. Otherwise it reads the row: only a read
// shows that there is no such job now, and only a tombstone that there never will be.
func (e *Entry) lookUpOrCancel(jr *openJobRequest) {
	j := e.jobs[jr.Spec.ID]
	if j != nil && j.row.stored && (jr.Verb == JobStop || e.isCurrent(j)) {
		e.serveFromRow(jr, j)
		return
	}
	if e.breaker.IsOpen(e.at.Now) {
		e.answerJobRequest(jr, JobAnswer{Outcome: JobRefused, Reason: ReasonStore, RetryAfter: e.storeRetryAfter()})
		return
	}
	if e.awaitStored(jr) {
		return
	}
	e.emit(ReadRows{Token: e.expect(pendingJobLookup{jr}), Keys: []string{keyJob(jr.Spec.ID)}})
}

// awaitStored lets a request wait for a submission of its job that is in progress at this
// entry, as a read of the row would not show the job yet. A cancellation withdraws a
// submission that was never sent to the table. It reports whether the request waits.
func (e *Entry) awaitStored(jr *openJobRequest) bool {
	j := e.jobs[jr.Spec.ID]
	if j == nil || j.row.stored || !e.belongs(&j.row.Spec, &jr.Spec) {
		return false
	}
	if jr.Verb == JobStop && e.withdraw(jr) {
		return false
	}
	j.waiters = append(j.waiters, jr)
	if jr.Verb == JobStop {
		e.addEdit(j, cancelJobEdit{})
	}
	return true
}

// handleJobLookup serves a request from the job's row as read from the table.
func (e *Entry) handleJobLookup(jr *openJobRequest, ev RowsAnswered) {
	if ev.Fault != FaultNone {
		e.recordStoreFault("read")
	}
	if e.jobRequests[jr.token] == nil {
		return
	}
	if ev.Fault != FaultNone || len(ev.View.Rows) != 1 {
		e.answerJobRequest(jr, JobAnswer{Outcome: JobRefused, Reason: ReasonStore, RetryAfter: e.storeRetryAfter()})
		return
	}
	r := ev.View.Rows[0]
	if r.Version == 0 && !jr.Relayed && e.configAge() > maxConfigAge {
		// By a newer configuration, the path may belong to another queue.
		e.answerJobRequest(jr, JobAnswer{Outcome: JobRefused, Reason: ReasonConfig, RetryAfter: e.storeRetryAfter()})
		return
	}
	if r.Version == 0 {
		e.serveAbsent(jr)
		return
	}
	e.serveFromTable(jr, r)
}

// serveAbsent serves a request about a job that the table did not hold when it was read.
func (e *Entry) serveAbsent(jr *openJobRequest) {
	switch {
	case e.awaitStored(jr):
	case jr.Verb == JobStop:
		e.cancelAbsent(jr)
	default:
		e.answerJobRequest(jr, JobAnswer{Outcome: JobNotFound})
	}
}

// serveFromTable serves a request from the row that the table has for its job.
func (e *Entry) serveFromTable(jr *openJobRequest, r table.Row) {
	e.applyJobRow(r)
	if rec, err := Decode(r.Key, r.Value); err == nil {
		if _, ok := rec.(TombstoneRow); ok {
			e.answerIfOpen(jr, answerOfTombstone(jr.Verb))
			return
		}
	}
	j := e.jobs[jr.Spec.ID]
	if j == nil {
		e.answerJobRequest(jr, JobAnswer{Outcome: JobRefused, Reason: ReasonStore, RetryAfter: e.storeRetryAfter()})
		return
	}
	e.serveFromRow(jr, j)
	e.dropForeignJob(j)
}

// serveFromRow serves a request about a job that the table holds.
func (e *Entry) serveFromRow(jr *openJobRequest, j *jobView) {
	switch {
	case !e.belongs(&j.row.Spec, &jr.Spec):
		e.answerJobRequest(jr, JobAnswer{Outcome: JobNotFound})
	case jr.Verb == JobGet:
		e.answerJobRequest(jr, JobAnswer{Outcome: JobAccepted, State: j.row.State(), Text: j.row.failure()})
	case j.row.Cancel || !j.row.Ended.IsZero():
		e.answerJobRequest(jr, JobAnswer{Outcome: JobAccepted})
	case j.isRejected(e.at.Now):
		e.answerJobRequest(jr, JobAnswer{Outcome: JobRefused, Reason: ReasonRejected, RetryAfter: j.rejectedUntil.Sub(e.at.Now)})
	default:
		j.waiters = append(j.waiters, jr)
		e.addEdit(j, cancelJobEdit{})
	}
}

// answerStored answers the submissions of a job that is now stored, and the requests for its
// state that waited for that.
func (e *Entry) answerStored(j *jobView) {
	var left []*openJobRequest
	for _, jr := range j.waiters {
		switch {
		case jr.Verb == JobSubmit:
			e.answerJobRequest(jr, e.answerSubmission(j, jr))
		case jr.Verb != JobGet:
			left = append(left, jr)
		case e.jobRequests[jr.token] == jr:
			e.serveFromRow(jr, j)
		}
	}
	j.waiters = left
}

// answerSubmission returns the answer to the submission of a job that the table holds. The id
// may be that of a job of another queue.
func (e *Entry) answerSubmission(j *jobView, jr *openJobRequest) JobAnswer {
	if e.belongs(&j.row.Spec, &jr.Spec) {
		return JobAnswer{Outcome: JobAccepted}
	}
	return JobAnswer{Outcome: JobInvalid, Reason: ReasonDuplicate, Text: "a job of another queue has this id"}
}

// answerWaiters answers the requests that wait for a job-wide edit, now that it is
// committed.
func (e *Entry) answerWaiters(j *jobView, verb JobVerb) {
	var left []*openJobRequest
	for _, jr := range j.waiters {
		if jr.Verb == verb {
			e.answerJobRequest(jr, JobAnswer{Outcome: JobAccepted})
		} else {
			left = append(left, jr)
		}
	}
	j.waiters = left
}

// answerJobRequest sends the final answer to a request.
func (e *Entry) answerJobRequest(jr *openJobRequest, ans JobAnswer) {
	delete(e.jobRequests, jr.token)
	if jr.maybeApplied && jr.Verb.changes() && ans.Outcome == JobRefused {
		ans = JobAnswer{Outcome: JobUnknown, Reason: ans.Reason}
	}
	e.count("job."+string(jr.Verb)+"."+string(ans.Outcome), ans.Reason)
	e.measure("job."+string(jr.Verb), jr.receivedAt)
	if jr.Verb.changes() {
		e.logEvent("job "+string(jr.Verb), string(jr.Spec.ID), "outcome", string(ans.Outcome), "reason", string(ans.Reason),
			"queue", jr.Spec.Queue, "relayed", jr.Relayed, "retry", ans.RetryAfter.String(), "config", e.config.changes)
	}
	e.emit(JobReply{Token: jr.token, Answer: ans})
}

// advanceJobRequests answers requests that have reached their deadline. The outcome
// is unknown, except for a submission that was never sent to the table.
func (e *Entry) advanceJobRequests() {
	for _, t := range slices.Sorted(maps.Keys(e.jobRequests)) {
		jr, open := e.jobRequests[t]
		if !open || e.at.Now.Before(jr.Deadline) {
			continue // not due, or answered when another submission of its job was withdrawn
		}
		if jr.Verb == JobSubmit && e.withdraw(jr) {
			continue
		}
		e.answerJobRequest(jr, JobAnswer{Outcome: JobUnknown, Reason: ReasonDeadline})
	}
}

// withdraw drops a submitted job that was never sent to the table, and refuses all
// requests that wait for it. It reports false if the job may have been stored.
func (e *Entry) withdraw(jr *openJobRequest) bool {
	j := e.jobs[jr.Spec.ID]
	if j == nil || j.row.stored || j.everSent || !hasEdit(j.edits, createEdit{}) {
		return false
	}
	waiters := j.waiters
	j.waiters, j.edits = nil, nil
	e.forget(jr.Spec.ID, j)
	for _, waiting := range waiters {
		e.answerJobRequest(waiting, JobAnswer{Outcome: JobRefused, Reason: ReasonStore, RetryAfter: e.storeRetryAfter()})
	}
	return true
}

// newJob keeps track of a job, which the table may not hold yet.
func (e *Entry) newJob(row JobRow) *jobView {
	shard := ShardOf(row.Spec.ID)
	j := &jobView{
		row: row, shard: shard, foreign: !e.shards[shard].owned,
		claims: map[int]*claim{}, avoidUntil: map[WorkerID]time.Time{}, waitReasons: map[int]Reason{},
	}
	e.jobs[row.Spec.ID] = j
	return j
}

// reconcileAll updates the task queue and the claims from a job's row.
func (e *Entry) reconcileAll(j *jobView) {
	for n := range j.row.Tasks {
		e.reconcile(j, n)
	}
}
