package core

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// asksMax bounds the calls about jobs in progress at one entry.
	asksMax = 1024
	// relayMargin is kept of a caller's time for asking elsewhere after a
	// relayed call has failed.
	relayMargin = 300 * time.Millisecond
)

// ask is a call about a job in progress.
type ask struct {
	token Token
	JobAsk
	asked time.Time
	// sent says that another entry may have accepted the submission.
	sent bool
}

// waitRelay waits for another entry's answer to a call.
type waitRelay struct{ a *ask }

// waitAsk waits for the row of a job that is asked about.
type waitAsk struct{ a *ask }

func (waitRelay) wait() {}
func (waitAsk) wait()   {}

// jobAsked takes a call in: it finds the queue, and who owns the job.
func (e *Entry) jobAsked(ev JobRequested) {
	a := &ask{token: ev.Token, JobAsk: ev.Ask, asked: e.at.Now}
	if why := e.checkAsk(); why != ReasonNone {
		e.answerAsk(a, JobAnswer{Outcome: JobRefused, Reason: why, RetryAfter: e.comeBack()})
		return
	}
	if !a.Relayed && !e.routeAsk(a) {
		return
	}
	e.asks[a.token] = a
	if addr, ok := e.ownerAddr(ShardOf(a.Spec.ID)); ok && !a.Relayed {
		relayed := a.JobAsk
		relayed.Relayed = true
		relayed.Deadline = a.Deadline.Add(-relayMargin)
		e.emit(Relay{Token: e.expect(waitRelay{a}), Addr: addr, Ask: relayed})
		return
	}
	e.doAsk(a)
}

// checkAsk says why no call can be taken now.
func (e *Entry) checkAsk() Reason {
	switch {
	case e.exited:
		return ReasonStopping
	case !e.ready():
		return ReasonConfig
	case len(e.asks) >= asksMax:
		return ReasonOverload
	}
	return ReasonNone
}

// configFresh is how old the configuration may be for a call to be told that there
// is no queue for it: operators expect a new queue everywhere within 2 s.
const configFresh = 1500 * time.Millisecond

// routeAsk finds the queue of a call. It answers a call for which there is
// none, and one that asks about the queue itself.
func (e *Entry) routeAsk(a *ask) bool {
	q, rest, ok := e.config.queue(a.Host, a.Path)
	switch {
	case !ok && e.at.Now.Sub(e.round.doneAt) > configFresh:
		e.answerAsk(a, JobAnswer{Outcome: JobRefused, Reason: ReasonConfig, RetryAfter: e.comeBack()})
		return false
	case !ok:
		e.answerAsk(a, JobAnswer{Outcome: JobNoQueue, Reason: ReasonService})
		return false
	case a.Verb == JobGet && rest == "":
		a.Verb = JobCount
		e.answerAsk(a, JobAnswer{Outcome: JobAccepted, Pending: e.pendingOf(q.Name)})
		return false
	}
	s := &a.Spec
	s.ID, s.Class = JobID(rest), q.Name
	s.Queue, s.Service, s.Priority, s.Attempts = q.Name, q.Service, q.Priority, q.Attempts
	s.Stretch, s.Objective = q.Stretch, q.Objective
	if a.Verb != JobSubmit {
		return true
	}
	if unsupported(s) || q.Tickets {
		e.answerAsk(a, JobAnswer{Outcome: JobRefused, Reason: ReasonUnsupported, RetryAfter: neverRetry})
		return false
	}
	if text := s.CheckSteps(); text != "" {
		e.answerAsk(a, JobAnswer{Outcome: JobInvalid, Reason: ReasonInvalid, Text: text})
		return false
	}
	return true
}

// ownerAddr returns the address of the entry that owns a shard, if that is
// another one.
func (e *Entry) ownerAddr(shard int) (addr netip.AddrPort, ok bool) {
	id := e.shards[shard].owner
	p := e.peers[id]
	if id == e.site.ID || p == nil {
		return addr, false
	}
	return p.addr, p.addr.IsValid()
}

// relayAnswered hands another entry's answer on. If there is none, this entry
// serves the call itself: conditional writes make it harmless that both do.
func (e *Entry) relayAnswered(ev RelayAnswered) {
	q, ok := e.take(ev.Token).(waitRelay)
	if !ok || e.asks[q.a.token] == nil {
		return
	}
	elsewhere := ev.Answer.Reason == ReasonStopping || ev.Answer.Reason == ReasonConfig || ev.Answer.Reason == ReasonStore
	if ev.Fault == FaultNone && !elsewhere {
		e.answerAsk(q.a, ev.Answer)
		return
	}
	e.count("relay", ReasonOwner)
	q.a.sent = ev.Fault == FaultNoAnswer
	e.doAsk(q.a)
}

// doAsk serves a call here.
func (e *Entry) doAsk(a *ask) {
	switch a.Verb {
	case JobSubmit:
		e.submit(a)
	case JobGet, JobStop:
		e.lookOrStop(a)
	case JobCount:
		e.answerAsk(a, JobAnswer{Outcome: JobAccepted, Pending: e.pendingOf(a.Spec.Queue)})
	}
}

// submit accepts a job by putting it into the table. A job that is there
// already stays as it is.
func (e *Entry) submit(a *ask) {
	j := e.jobs[a.Spec.ID]
	if j != nil && j.row.stored {
		e.answerAsk(a, JobAnswer{Outcome: JobAccepted})
		return
	}
	if j == nil {
		if why := e.refuseJob(&a.Spec); why != ReasonNone {
			e.answerAsk(a, JobAnswer{Outcome: JobRefused, Reason: why, RetryAfter: e.jobRetryAfter(why)})
			return
		}
		j = e.newJob(JobRow{Spec: a.Spec, Tasks: make([]TaskRow, a.Spec.Len()), Accepted: e.at.Now})
		e.tell("job taken", string(a.Spec.ID), "queue", a.Spec.Queue, "tasks", a.Spec.Len(),
			"chain", a.Spec.chain().String(), "due", j.row.Due().Sub(e.at.Now).String())
		e.edit(j, createEdit{})
		e.reconcileAll(j)
	}
	j.askers = append(j.askers, a)
}

// refuseJob says why a job is not accepted now.
func (e *Entry) refuseJob(s *JobSpec) Reason {
	if e.circuit.Open(e.at.Now) {
		return ReasonStore
	}
	if e.impossible(s) {
		return ReasonUnplaceable
	}
	return ReasonNone
}

// impossible reports whether a job has a step of which no known worker could hold a
// task.
func (e *Entry) impossible(s *JobSpec) bool {
	return e.index.Len() > 0 && slices.ContainsFunc(s.Steps, func(st StepSpec) bool { return !e.index.Possible(st.Size) })
}

// unsupported reports whether a job asks for what is not built: periodic jobs
// and gangs.
func unsupported(s *JobSpec) bool {
	return s.Runs > 0 || slices.ContainsFunc(s.Steps, func(st StepSpec) bool { return st.Gang })
}

// neverRetry is when a caller whose job fits no worker may come back: a larger
// worker may have joined by then.
const neverRetry = 30 * time.Second

// jobRetryAfter returns when a caller should come back after a refusal.
func (e *Entry) jobRetryAfter(why Reason) time.Duration {
	if why == ReasonUnplaceable {
		return neverRetry
	}
	return e.comeBack()
}

// lookOrStop answers from memory where the job's row is known, and reads it
// where not: only a read shows that there is no such job.
func (e *Entry) lookOrStop(a *ask) {
	j := e.jobs[a.Spec.ID]
	if j != nil && j.row.stored && (!j.foreign || a.Verb == JobStop) {
		e.seenAsk(a, j)
		return
	}
	if e.circuit.Open(e.at.Now) {
		e.answerAsk(a, JobAnswer{Outcome: JobRefused, Reason: ReasonStore, RetryAfter: e.comeBack()})
		return
	}
	e.emit(ReadRows{Token: e.expect(waitAsk{a}), Keys: []string{keyJob(a.Spec.ID)}})
}

// askRead serves a call from the job's row as it was read.
func (e *Entry) askRead(a *ask, ev RowsAnswered) {
	if ev.Fault != FaultNone {
		e.storeFault("read")
	}
	if e.asks[a.token] == nil {
		return
	}
	if ev.Fault != FaultNone || len(ev.View.Rows) != 1 {
		e.answerAsk(a, JobAnswer{Outcome: JobRefused, Reason: ReasonStore, RetryAfter: e.comeBack()})
		return
	}
	r := ev.View.Rows[0]
	if r.Version == 0 {
		e.answerAsk(a, JobAnswer{Outcome: JobNotFound})
		return
	}
	e.jobRow(r)
	j := e.jobs[a.Spec.ID]
	if j == nil {
		e.answerAsk(a, JobAnswer{Outcome: JobRefused, Reason: ReasonStore, RetryAfter: e.comeBack()})
		return
	}
	e.seenAsk(a, j)
	e.dropForeign(j)
}

// seenAsk serves a call about a job that is in the table.
func (e *Entry) seenAsk(a *ask, j *jobView) {
	switch {
	case j.row.Spec.Queue != a.Spec.Queue:
		e.answerAsk(a, JobAnswer{Outcome: JobNotFound})
	case a.Verb == JobGet:
		e.answerAsk(a, JobAnswer{Outcome: JobAccepted, State: j.row.State()})
	case j.row.Cancel || !j.row.Ended.IsZero():
		e.answerAsk(a, JobAnswer{Outcome: JobAccepted})
	default:
		j.askers = append(j.askers, a)
		e.edit(j, stopEdit{})
	}
}

// askSettled answers those who wait for a job-wide edit that the table holds.
func (e *Entry) askSettled(j *jobView, verb JobVerb) {
	var left []*ask
	for _, a := range j.askers {
		if a.Verb == verb {
			e.answerAsk(a, JobAnswer{Outcome: JobAccepted})
		} else {
			left = append(left, a)
		}
	}
	j.askers = left
}

// answerAsk answers a call for good.
func (e *Entry) answerAsk(a *ask, ans JobAnswer) {
	delete(e.asks, a.token)
	if a.sent && a.Verb == JobSubmit && ans.Outcome == JobRefused {
		ans = JobAnswer{Outcome: JobUnknown, Reason: ans.Reason}
	}
	e.count("job."+string(a.Verb)+"."+string(ans.Outcome), ans.Reason)
	e.measure("job."+string(a.Verb), a.asked)
	if a.Verb == JobSubmit || a.Verb == JobStop {
		e.tell("job "+string(a.Verb), string(a.Spec.ID), "outcome", string(ans.Outcome), "reason", string(ans.Reason),
			"queue", a.Spec.Queue, "relayed", a.Relayed, "retry", ans.RetryAfter.String(), "config", e.config.n)
	}
	e.emit(JobReply{Token: a.token, Answer: ans})
}

// asksDue answers calls whose callers will not wait any longer. Only a
// submission of which nothing was sent is surely without effect.
func (e *Entry) asksDue() {
	for _, t := range slices.Sorted(maps.Keys(e.asks)) {
		a, open := e.asks[t]
		if !open || e.at.Now.Before(a.Deadline) {
			continue // one that is withdrawn answers all who wait for the same job
		}
		if a.Verb == JobSubmit && e.withdraw(a) {
			continue
		}
		e.answerAsk(a, JobAnswer{Outcome: JobUnknown, Reason: ReasonDeadline})
	}
}

// withdraw takes a submission back of which nothing was sent to the table, and
// refuses it to all who wait for it.
func (e *Entry) withdraw(a *ask) bool {
	j := e.jobs[a.Spec.ID]
	if j == nil || j.row.stored || j.flown || !hasEdit(j.edits, createEdit{}) {
		return false
	}
	askers := j.askers
	j.askers, j.edits = nil, nil
	e.forget(a.Spec.ID, j)
	for _, waiting := range askers {
		e.answerAsk(waiting, JobAnswer{Outcome: JobRefused, Reason: ReasonStore, RetryAfter: e.comeBack()})
	}
	return true
}

// pendingOf counts the jobs of a queue that have not begun: those of the own
// shards now, and those of the others as of their rows.
func (e *Entry) pendingOf(queue string) int {
	n := e.pending()[queue]
	for id, p := range e.peers {
		if id != e.site.ID && e.alive(p) {
			n += p.row.Pending[queue]
		}
	}
	return n
}

// pending counts the own jobs that have not begun, by queue.
func (e *Entry) pending() map[string]int {
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
		claims: map[int]*claim{}, avoid: map[WorkerID]time.Time{}, waits: map[int]Reason{},
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
