package core

import "time"

// waitStart waits for the answer to a start order.
type waitStart struct{ c *claim }

// waitSettle waits for an agent's word on an attempt.
type waitSettle struct{ c *claim }

func (waitStart) wait()  {}
func (waitSettle) wait() {}

// order sends the start order of a claim that the table holds.
func (e *Entry) order(j *jobView, ed claimEdit) {
	c := j.claims[ed.n]
	if c == nil || c.attempt.Number != ed.number || c.asking {
		return
	}
	w := e.workers[c.holder.Worker]
	c.asking, c.since = true, e.at.Now
	e.emit(Start{Token: e.expect(waitStart{c}), Addr: w.beat.Addr, Order: j.order(c)})
}

// order returns the order to start a claim's attempt.
func (j *jobView) order(c *claim) Order {
	spec := &j.row.Spec
	n := c.attempt.Task.N
	st := spec.Step(n)
	step, index := spec.Locate(n)
	return Order{
		Attempt: c.attempt, Holder: c.holder, Echo: c.echo, Team: spec.Team, Class: spec.class(st),
		Size: st.Size, Urgent: c.urgent, Input: spec.input(n),
		Step: step, Index: index, Saved: j.row.Tasks[n].Saved,
		Filler: st.Filler, Lasting: st.Lasting, Target: st.Target,
	}
}

// startAnswered takes an agent's answer to a start order. A refusal proves
// that the attempt never started. No answer is settled later.
func (e *Entry) startAnswered(ev StartAnswered) {
	q, ok := e.take(ev.Token).(waitStart)
	if !ok {
		return
	}
	c := q.c
	c.asking = false
	j := e.jobs[c.attempt.Task.Job]
	if j == nil || j.claims[c.attempt.Task.N] != c {
		return
	}
	switch {
	case ev.Fault == FaultNoAnswer:
		e.count("start.lost", ReasonCut)
		e.tell("order unanswered", c.attempt.String(), "worker", string(c.holder.Worker), "fault", "cut")
	case ev.Fault == FaultNotSent:
		e.releaseUnstarted(j, c, ReasonCut)
	case !ev.Started:
		e.tell("order refused", c.attempt.String(), "worker", string(c.holder.Worker), "reason", string(ev.Reason),
			"echo", e.at.Now.Sub(c.since).String())
		e.releaseUnstarted(j, c, ev.Reason)
	default:
		e.measure("start", c.since)
		c.began = e.at.Now
	}
}

// releaseUnstarted releases a claim whose attempt was surely not started.
func (e *Entry) releaseUnstarted(j *jobView, c *claim, r Reason) {
	if c.losing {
		return
	}
	c.losing = true
	j.avoid[c.holder.Worker] = e.at.Now.Add(avoidFor)
	e.count("restart", r)
	end := End{Attempt: c.attempt, Kind: EndLost, Reason: "not started: " + string(r)}
	e.edit(j, endEdit{end: end, worker: c.holder.Worker, never: true})
}

// claimsEvery is the time between two looks at all claims.
const claimsEvery = 500 * time.Millisecond

// claimsDue asks about claims that no beat mentions, and stops the tasks of
// cancelled jobs.
func (e *Entry) claimsDue() {
	if e.at.Now.Before(e.nextClaims) || !e.ready() {
		return
	}
	e.nextClaims = e.at.Now.Add(claimsEvery)
	for _, id := range e.workerIDs() {
		w := e.workers[id]
		if w.silent || len(w.claims) == 0 {
			continue
		}
		for _, c := range w.claimList() {
			e.claimDue(w, c)
		}
	}
}

func (e *Entry) claimDue(w *workerView, c *claim) {
	j := e.jobs[c.attempt.Task.Job]
	if j == nil || !c.committed || c.losing || c.holder.Inc != w.inc {
		return
	}
	if j.row.Cancel && e.at.Now.Sub(c.stopSent) > stopEvery {
		c.stopSent = e.at.Now
		e.orderStop(w, c, EndCancelled, "job cancelled")
	}
	e.moveStraggler(w, j, c)
	quiet := e.at.Now.Sub(latest(c.since, c.heard))
	if c.asking || quiet < e.pol.SettleAfter {
		return
	}
	c.asking = true
	e.emit(Settle{Token: e.expect(waitSettle{c}), Addr: w.beat.Addr, Attempt: c.attempt, Inc: w.inc})
}

// settleAnswered takes an agent's word on an attempt.
func (e *Entry) settleAnswered(ev SettleAnswered) {
	q, ok := e.take(ev.Token).(waitSettle)
	if !ok {
		return
	}
	c := q.c
	c.asking, c.since = false, e.at.Now
	j := e.jobs[c.attempt.Task.Job]
	if j == nil || j.claims[c.attempt.Task.N] != c || ev.Fault != FaultNone {
		return
	}
	if ev.State != SettleNever {
		return
	}
	if c.listed {
		e.releaseLost(c, "its agent no longer knows of it")
		return
	}
	e.releaseUnstarted(j, c, ReasonCut)
}

// ended counts how attempts end at a worker.
func (e *Entry) ended(j *jobView, ed endEdit) {
	w := e.workers[ed.worker]
	if w == nil || ed.never {
		return
	}
	e.count("end", Reason(ed.end.Kind))
	if ed.end.Kind == EndLost {
		j.avoid[w.id] = e.at.Now.Add(avoidFor)
	}
	e.tell("task ended", ed.end.Attempt.String(), "kind", string(ed.end.Kind), "reason", ed.end.Reason,
		"worker", string(ed.worker), "state", j.row.Tasks[ed.task()].State.String(), "job", string(j.row.State()))
	w.failures.note(ed.end, e.at.Now)
	e.indexWorker(w)
}
