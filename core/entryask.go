package core

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxJobRequests bounds the calls about jobs in progress at one entry.
	maxJobRequests = 1024
	// relayMargin is kept of a caller's time for asking elsewhere after a
	// relayed call has failed.
	relayMargin = 300 * time.Millisecond
)

// jobRequest is a call about a job in progress.
type jobRequest struct {
	token Token
	JobRequest
	asked time.Time
	// sent says that another entry may have accepted the submission.
	sent bool
}

// pendingRelay waits for another entry's answer to a call.
type pendingRelay struct{ a *jobRequest }

// pendingJobLookup waits for the row of a job that is asked about.
type pendingJobLookup struct{ a *jobRequest }

func (pendingRelay) pendingAnswer()     {}
func (pendingJobLookup) pendingAnswer() {}

// handleJobAsked takes a call in: it finds the queue, and who owns the job.
func (e *Entry) handleJobAsked(ev JobRequested) {
	a := &jobRequest{token: ev.Token, JobRequest: ev.Request, asked: e.at.Now}
	if why := e.checkJobRequest(); why != ReasonNone {
		e.answerJobRequest(a, JobAnswer{Outcome: JobRefused, Reason: why, RetryAfter: e.storeRetryAfter()})
		return
	}
	if !a.Relayed && !e.routeJobRequest(a) {
		return
	}
	e.jobRequests[a.token] = a
	if addr, ok := e.ownerAddr(ShardOf(a.Spec.ID)); ok && !a.Relayed {
		relayed := a.JobRequest
		relayed.Relayed = true
		relayed.Deadline = a.Deadline.Add(-relayMargin)
		e.emit(Relay{Token: e.expect(pendingRelay{a}), Addr: addr, Request: relayed})
		return
	}
	e.serveJobRequest(a)
}

// checkJobRequest says why no call can be taken now.
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

// maxConfigAge is how old the configuration may be for a call to be told that there
// is no queue for it: operators expect a new queue everywhere within 2 s.
const maxConfigAge = 1500 * time.Millisecond

// routeJobRequest finds the queue of a call. It answers a call for which there is
// none, and one that asks about the queue itself.
func (e *Entry) routeJobRequest(a *jobRequest) bool {
	q, rest, ok := e.config.queue(a.Host, a.Path)
	switch {
	case !ok && e.at.Now.Sub(e.round.doneAt) > maxConfigAge:
		e.answerJobRequest(a, JobAnswer{Outcome: JobRefused, Reason: ReasonConfig, RetryAfter: e.storeRetryAfter()})
		return false
	case !ok:
		e.answerJobRequest(a, JobAnswer{Outcome: JobNoQueue, Reason: ReasonService})
		return false
	case a.Verb == JobGet && rest == "":
		a.Verb = JobCount
		e.answerJobRequest(a, JobAnswer{Outcome: JobAccepted, Pending: e.queuedJobs(q.Name)})
		return false
	}
	s := &a.Spec
	s.ID, s.Class = JobID(rest), q.Name
	s.Queue, s.Service, s.Priority, s.Attempts = q.Name, q.Service, q.Priority, q.Attempts
	s.Stretch, s.Objective = q.Stretch, q.Objective
	if a.Verb != JobSubmit {
		return true
	}
	if usesUnsupported(s) || q.Tickets {
		e.answerJobRequest(a, JobAnswer{Outcome: JobRefused, Reason: ReasonUnsupported, RetryAfter: unplaceableRetryAfter})
		return false
	}
	if text := s.CheckSteps(); text != "" {
		e.answerJobRequest(a, JobAnswer{Outcome: JobInvalid, Reason: ReasonInvalid, Text: text})
		return false
	}
	return true
}

// ownerAddr returns the address of the entry that owns a shard, if that is
// another one.
func (e *Entry) ownerAddr(shard int) (addr netip.AddrPort, ok bool) {
	id := e.shards[shard].owner
	p := e.peers[id]
	if id == e.self.ID || p == nil {
		return addr, false
	}
	return p.addr, p.addr.IsValid()
}

// handleRelayAnswered hands another entry's answer on. If there is none, this entry
// serves the call itself: conditional writes make it harmless that both do.
func (e *Entry) handleRelayAnswered(ev RelayAnswered) {
	q, ok := e.takePending(ev.Token).(pendingRelay)
	if !ok || e.jobRequests[q.a.token] == nil {
		return
	}
	elsewhere := ev.Answer.Reason == ReasonStopping || ev.Answer.Reason == ReasonConfig || ev.Answer.Reason == ReasonStore
	if ev.Fault == FaultNone && !elsewhere {
		e.answerJobRequest(q.a, ev.Answer)
		return
	}
	e.count("relay", ReasonOwner)
	q.a.sent = ev.Fault == FaultNoAnswer
	e.serveJobRequest(q.a)
}

// serveJobRequest serves a call here.
func (e *Entry) serveJobRequest(a *jobRequest) {
	switch a.Verb {
	case JobSubmit:
		e.submit(a)
	case JobGet, JobStop:
		e.lookUpOrCancel(a)
	case JobCount:
		e.answerJobRequest(a, JobAnswer{Outcome: JobAccepted, Pending: e.queuedJobs(a.Spec.Queue)})
	}
}

// submit accepts a job by putting it into the table. A job that is there
// already stays as it is.
func (e *Entry) submit(a *jobRequest) {
	j := e.jobs[a.Spec.ID]
	if j != nil && j.row.stored {
		e.answerJobRequest(a, JobAnswer{Outcome: JobAccepted})
		return
	}
	if j == nil {
		if why := e.checkSubmission(&a.Spec); why != ReasonNone {
			e.answerJobRequest(a, JobAnswer{Outcome: JobRefused, Reason: why, RetryAfter: e.submissionRetryAfter(why)})
			return
		}
		j = e.newJob(JobRow{Spec: a.Spec, Tasks: make([]TaskRow, a.Spec.Len()), Accepted: e.at.Now})
		e.logEvent("job taken", string(a.Spec.ID), "queue", a.Spec.Queue, "tasks", a.Spec.Len(),
			"chain", a.Spec.criticalPath().String(), "due", j.row.Deadline().Sub(e.at.Now).String())
		e.addEdit(j, createEdit{})
		e.reconcileAll(j)
	}
	j.waiters = append(j.waiters, a)
}

// checkSubmission says why a job is not accepted now.
func (e *Entry) checkSubmission(s *JobSpec) Reason {
	if e.circuit.IsOpen(e.at.Now) {
		return ReasonStore
	}
	if e.fitsNoWorker(s) {
		return ReasonUnplaceable
	}
	return ReasonNone
}

// fitsNoWorker reports whether a job has a step of which no known worker could hold a
// task.
func (e *Entry) fitsNoWorker(s *JobSpec) bool {
	return e.index.Len() > 0 && slices.ContainsFunc(s.Steps, func(st StepSpec) bool { return !e.index.Possible(st.Size) })
}

// usesUnsupported reports whether a job asks for what is not built: periodic jobs
// and gangs.
func usesUnsupported(s *JobSpec) bool {
	return s.Runs > 0 || slices.ContainsFunc(s.Steps, func(st StepSpec) bool { return st.Gang })
}

// unplaceableRetryAfter is when a caller whose job fits no worker may come back: a larger
// worker may have joined by then.
const unplaceableRetryAfter = 30 * time.Second

// submissionRetryAfter returns when a caller should come back after a refusal.
func (e *Entry) submissionRetryAfter(why Reason) time.Duration {
	if why == ReasonUnplaceable {
		return unplaceableRetryAfter
	}
	return e.storeRetryAfter()
}

// lookUpOrCancel answers from memory where the job's row is known, and reads it
// where not: only a read shows that there is no such job.
func (e *Entry) lookUpOrCancel(a *jobRequest) {
	j := e.jobs[a.Spec.ID]
	if j != nil && j.row.stored && (!j.foreign || a.Verb == JobStop) {
		e.serveFromRow(a, j)
		return
	}
	if e.circuit.IsOpen(e.at.Now) {
		e.answerJobRequest(a, JobAnswer{Outcome: JobRefused, Reason: ReasonStore, RetryAfter: e.storeRetryAfter()})
		return
	}
	e.emit(ReadRows{Token: e.expect(pendingJobLookup{a}), Keys: []string{keyJob(a.Spec.ID)}})
}

// handleJobLookup serves a call from the job's row as it was read.
func (e *Entry) handleJobLookup(a *jobRequest, ev RowsAnswered) {
	if ev.Fault != FaultNone {
		e.recordStoreFault("read")
	}
	if e.jobRequests[a.token] == nil {
		return
	}
	if ev.Fault != FaultNone || len(ev.View.Rows) != 1 {
		e.answerJobRequest(a, JobAnswer{Outcome: JobRefused, Reason: ReasonStore, RetryAfter: e.storeRetryAfter()})
		return
	}
	r := ev.View.Rows[0]
	if r.Version == 0 {
		e.answerJobRequest(a, JobAnswer{Outcome: JobNotFound})
		return
	}
	e.applyJobRow(r)
	j := e.jobs[a.Spec.ID]
	if j == nil {
		e.answerJobRequest(a, JobAnswer{Outcome: JobRefused, Reason: ReasonStore, RetryAfter: e.storeRetryAfter()})
		return
	}
	e.serveFromRow(a, j)
	e.dropForeignJob(j)
}

// serveFromRow serves a call about a job that is in the table.
func (e *Entry) serveFromRow(a *jobRequest, j *jobView) {
	switch {
	case j.row.Spec.Queue != a.Spec.Queue:
		e.answerJobRequest(a, JobAnswer{Outcome: JobNotFound})
	case a.Verb == JobGet:
		e.answerJobRequest(a, JobAnswer{Outcome: JobAccepted, State: j.row.State()})
	case j.row.Cancel || !j.row.Ended.IsZero():
		e.answerJobRequest(a, JobAnswer{Outcome: JobAccepted})
	default:
		j.waiters = append(j.waiters, a)
		e.addEdit(j, cancelJobEdit{})
	}
}

// answerWaiters answers those who wait for a job-wide edit that the table holds.
func (e *Entry) answerWaiters(j *jobView, verb JobVerb) {
	var left []*jobRequest
	for _, a := range j.waiters {
		if a.Verb == verb {
			e.answerJobRequest(a, JobAnswer{Outcome: JobAccepted})
		} else {
			left = append(left, a)
		}
	}
	j.waiters = left
}

// answerJobRequest answers a call for good.
func (e *Entry) answerJobRequest(a *jobRequest, ans JobAnswer) {
	delete(e.jobRequests, a.token)
	if a.sent && a.Verb == JobSubmit && ans.Outcome == JobRefused {
		ans = JobAnswer{Outcome: JobUnknown, Reason: ans.Reason}
	}
	e.count("job."+string(a.Verb)+"."+string(ans.Outcome), ans.Reason)
	e.measure("job."+string(a.Verb), a.asked)
	if a.Verb == JobSubmit || a.Verb == JobStop {
		e.logEvent("job "+string(a.Verb), string(a.Spec.ID), "outcome", string(ans.Outcome), "reason", string(ans.Reason),
			"queue", a.Spec.Queue, "relayed", a.Relayed, "retry", ans.RetryAfter.String(), "config", e.config.n)
	}
	e.emit(JobReply{Token: a.token, Answer: ans})
}

// advanceJobRequests answers calls whose callers will not wait any longer. Only a
// submission of which nothing was sent is surely without effect.
func (e *Entry) advanceJobRequests() {
	for _, t := range slices.Sorted(maps.Keys(e.jobRequests)) {
		a, open := e.jobRequests[t]
		if !open || e.at.Now.Before(a.Deadline) {
			continue // one that is withdrawn answers all who wait for the same job
		}
		if a.Verb == JobSubmit && e.withdraw(a) {
			continue
		}
		e.answerJobRequest(a, JobAnswer{Outcome: JobUnknown, Reason: ReasonDeadline})
	}
}

// withdraw takes a submission back of which nothing was sent to the table, and
// refuses it to all who wait for it.
func (e *Entry) withdraw(a *jobRequest) bool {
	j := e.jobs[a.Spec.ID]
	if j == nil || j.row.stored || j.everSent || !hasEdit(j.edits, createEdit{}) {
		return false
	}
	waiters := j.waiters
	j.waiters, j.edits = nil, nil
	e.forget(a.Spec.ID, j)
	for _, waiting := range waiters {
		e.answerJobRequest(waiting, JobAnswer{Outcome: JobRefused, Reason: ReasonStore, RetryAfter: e.storeRetryAfter()})
	}
	return true
}

// queuedJobs counts the jobs of a queue that have not begun: those of the own
// shards now, and those of the others as of their rows.
func (e *Entry) queuedJobs(queue string) int {
	n := e.queuedByQueue()[queue]
	for id, p := range e.peers {
		if id != e.self.ID && e.alive(p) {
			n += p.row.Pending[queue]
		}
	}
	return n
}

// queuedByQueue counts the own jobs that have not begun, by queue.
func (e *Entry) queuedByQueue() map[string]int {
	var n map[string]int
	for _, j := range e.jobs {
		if j.foreign || !j.row.stored || j.row.Spec.Queue == "" || j.row.State() != JobQueued {
			continue
		}
		if n == nil {
			n = map[string]int{}
		}
		n[j.row.Spec.Queue]++
	}
	return n
}

// newJob takes a job into memory that the table may not hold yet.
func (e *Entry) newJob(row JobRow) *jobView {
	shard := ShardOf(row.Spec.ID)
	j := &jobView{
		row: row, shard: shard, foreign: !e.shards[shard].owned,
		claims: map[int]*claim{}, avoidUntil: map[WorkerID]time.Time{}, waitReasons: map[int]Reason{},
	}
	e.jobs[row.Spec.ID] = j
	return j
}

// reconcileAll brings the queue and the claims in line with a job's row.
func (e *Entry) reconcileAll(j *jobView) {
	for n := range j.row.Tasks {
		e.reconcile(j, n)
	}
}
