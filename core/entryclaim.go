package core

import (
	"net/netip"
	"time"
)

// pendingStart awaits an agent's answer to a start order.
type pendingStart struct{ c *claim }

// pendingSettle awaits an agent's answer to a query about an attempt.
type pendingSettle struct{ c *claim }

func (pendingStart) pendingAnswer()  {}
func (pendingSettle) pendingAnswer() {}

// sendStart sends the start order of a claim that is committed.
func (e *Entry) sendStart(j *jobView, ed claimEdit) {
	c := j.claims[ed.n]
	if c == nil || c.attempt.Number != ed.number || c.callInFlight {
		return
	}
	w := e.workers[c.holder.Worker]
	c.callInFlight, c.since = true, e.at.Now
	e.emit(Start{Token: e.expect(pendingStart{c}), Addr: w.heartbeat.Addr, Order: j.startOrder(c, e.self.Addr)})
}

// startOrder returns the order of an entry to start a claim's attempt.
func (j *jobView) startOrder(c *claim, by netip.AddrPort) Order {
	spec := &j.row.Spec
	n := c.attempt.Task.N
	st := spec.Step(n)
	step, index := spec.Locate(n)
	return Order{
		Attempt: c.attempt, Holder: c.holder, Echo: c.echo, Team: spec.Team, Class: spec.class(st),
		Size: st.Size, Urgent: c.urgent, Input: spec.input(n),
		Step: step, Index: index, Saved: j.row.Tasks[n].Saved,
		BestEffort: st.BestEffort, LongRunning: st.LongRunning, Target: st.Target,
		By: by, Isolated: c.isolated,
	}
}

// handleStartAnswered handles an agent's answer to a start order. A refusal proves
// that the attempt never started. If the answer was lost, checkClaim queries the agent
// later.
func (e *Entry) handleStartAnswered(ev StartAnswered) {
	q, ok := e.takePending(ev.Token).(pendingStart)
	if !ok {
		return
	}
	c := q.c
	c.callInFlight = false
	j := e.jobs[c.attempt.Task.Job]
	if j == nil || j.claims[c.attempt.Task.N] != c {
		return
	}
	switch {
	case ev.Fault == FaultNoAnswer:
		e.count("start.lost", ReasonCut)
		e.logEvent("order unanswered", c.attempt.String(), "worker", string(c.holder.Worker), "fault", "cut")
		if c.longRunning {
			e.nextClaims = time.Time{} // it may be time for a query
		}
	case ev.Fault == FaultNotSent:
		e.releaseUnstarted(j, c, ReasonCut)
	case !ev.Started:
		e.logEvent("order refused", c.attempt.String(), "worker", string(c.holder.Worker), "reason", string(ev.Reason),
			"echo", e.at.Now.Sub(c.since).String())
		e.releaseUnstarted(j, c, ev.Reason)
	default:
		e.measure("start", c.since)
		c.startedAt = e.at.Now
	}
}

// releaseUnstarted releases a claim whose attempt is known never to have started.
func (e *Entry) releaseUnstarted(j *jobView, c *claim, r Reason) {
	if c.releasing {
		return
	}
	c.releasing = true
	j.avoidUntil[c.holder.Worker] = e.at.Now.Add(refusalAvoidTime)
	e.count("restart", r)
	e.load.refused++
	j.noteRefusal(c.attempt.Task.N, r)
	end := End{Attempt: c.attempt, Kind: EndLost, Reason: "not started: " + string(r)}
	e.addEdit(j, endEdit{end: end, worker: c.holder.Worker, neverStarted: true})
}

// claimCheckInterval is the time between two checks of all claims.
const claimCheckInterval = 500 * time.Millisecond

// advanceClaims checks the claims of all workers that are not silent.
func (e *Entry) advanceClaims() {
	if e.at.Now.Before(e.nextClaims) || !e.hasConfig() {
		return
	}
	e.nextClaims = e.at.Now.Add(claimCheckInterval)
	for _, id := range e.workerIDs() {
		w := e.workers[id]
		if w.silent || len(w.claims) == 0 {
			continue
		}
		for _, c := range w.sortedClaims() {
			e.checkClaim(w, c)
		}
	}
}

// checkClaim stops the task of a cancelled job, evicts a straggler, and queries the
// agent about an attempt that its heartbeats have not listed for too long.
func (e *Entry) checkClaim(w *workerView, c *claim) {
	j := e.jobs[c.attempt.Task.Job]
	if j == nil || !c.committed || c.releasing || c.holder.Inc != w.inc {
		return
	}
	if j.row.Cancel && e.at.Now.Sub(c.stopSent) > stopInterval {
		c.stopSent = e.at.Now
		e.orderStop(w, c, EndCancelled, "job cancelled")
	}
	e.evictStraggler(w, j, c)
	if c.reported && !c.reportedAt.Before(w.heartbeatAt) {
		return // the newest heartbeat lists it, however late the next one is
	}
	if c.callInFlight || e.at.Now.Before(e.nextQuery(c)) {
		return
	}
	e.load.settles++
	c.callInFlight, c.queriedAt = !c.longRunning, e.at.Now
	e.emit(Settle{Token: e.expect(pendingSettle{c}), Addr: w.heartbeat.Addr, Attempt: c.attempt, Inc: w.inc})
}

// queryInterval is the time between two queries about a long-running task. It has no run until
// one of them is answered, so the next one does not wait for the answer to the last one.
const queryInterval = time.Second

// nextQuery returns when the agent is next queried about an attempt if it does not list it.
func (e *Entry) nextQuery(c *claim) time.Time {
	next := latest(c.since, c.reportedAt).Add(e.pol.SettleAfter)
	if c.longRunning && !c.queriedAt.IsZero() {
		next = latest(next, c.queriedAt.Add(queryInterval))
	}
	return next
}

// handleSettleAnswered releases the claim of an attempt that the agent does not know.
func (e *Entry) handleSettleAnswered(ev SettleAnswered) {
	q, ok := e.takePending(ev.Token).(pendingSettle)
	if !ok {
		return
	}
	c := q.c
	if !c.longRunning {
		c.callInFlight, c.since = false, e.at.Now
	}
	j := e.jobs[c.attempt.Task.Job]
	if j == nil || j.claims[c.attempt.Task.N] != c || ev.Fault != FaultNone {
		return
	}
	if ev.State != SettleNever {
		return
	}
	if c.reported {
		e.releaseLost(c, "its agent no longer knows of it")
		return
	}
	e.releaseUnstarted(j, c, ReasonCut)
}

// countEnd records the end of an attempt in the metrics, the log and the failure count
// of its worker.
func (e *Entry) countEnd(j *jobView, ed endEdit) {
	w := e.workers[ed.worker]
	if w == nil || ed.neverStarted {
		return
	}
	e.count("end", Reason(ed.end.Kind))
	if ed.mustAvoid(j.row.Spec.Step(ed.task())) {
		j.avoidUntil[w.id] = e.at.Now.Add(refusalAvoidTime)
	}
	e.logEvent("task ended", ed.end.Attempt.String(), "kind", string(ed.end.Kind), "reason", ed.end.Reason,
		"worker", string(ed.worker), "state", j.row.Tasks[ed.task()].State.String(), "job", string(j.row.State()))
	w.failures.recordEnd(ed.end, e.at.Now)
	e.quarantinedUntil = latest(e.quarantinedUntil, w.failures.until)
	e.indexWorker(w)
}

// mustAvoid reports whether a job avoids the worker for a while after an end. A long-running
// task that was handed back before its launch may have waited there for room, most of which
// is free by now.
func (ed endEdit) mustAvoid(st StepSpec) bool {
	switch ed.end.Kind {
	case EndLost, EndCrashed:
		return true
	case EndEvicted:
		return !ed.end.Started && !st.LongRunning
	}
	return false
}
