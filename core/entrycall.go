package core

import (
	"time"

	"jayloft/route"
)

// waitServe waits for an agent's answer to a request.
type waitServe struct{ c *call }

// waitRevoke waits for an agent's word on a request.
type waitRevoke struct {
	c     *call
	serve Token
}

func (waitServe) wait()  {}
func (waitRevoke) wait() {}

// serveAnswered takes an agent's answer to one try.
func (e *Entry) serveAnswered(ev ServeAnswered) {
	q, ok := e.take(ev.Call).(waitServe)
	if !ok {
		return
	}
	c, r := q.c, q.c.req
	e.routed(c, ev)
	if e.requests[r.ID] != r {
		return // answered already
	}
	if ev.Fault == FaultNoAnswer || (ev.Fault == FaultNone && ev.Answer.Outcome == OutcomeUnknown) {
		e.cut(r, ev.Call)
		return
	}
	delete(r.calls, ev.Call)
	switch {
	case ev.Fault == FaultNotSent:
		e.refusedTry(r, c, ReasonCut, 0)
	case ev.Answer.ID != r.ID:
		e.count("foreign", ReasonDuplicate)
		r.maybe = true
		e.again(r)
	default:
		e.takeAnswer(r, c, ev.Answer)
	}
}

// routed tells the router how a try went.
func (e *Entry) routed(c *call, ev ServeAnswered) {
	result := route.Good
	switch {
	case ev.Fault != FaultNone:
		result = route.Cut
	case ev.Answer.Outcome == OutcomeRefused:
		result = route.Refused
	case ev.Answer.Outcome == OutcomeFailed && ev.Answer.Reason != ReasonInvalid:
		result = route.Bad
	case ev.Answer.Outcome == OutcomeUnknown:
		result = route.Cut
	}
	set := &c.req.sv.set
	set.Done(string(c.worker), e.at.Now, e.at.Now.Sub(c.sent), result)
	if ev.Fault == FaultNone {
		set.Load(string(c.worker), ev.Answer.Running, ev.Answer.Queued, e.at.Now)
	}
}

// takeAnswer passes a whole answer on, or tries elsewhere.
func (e *Entry) takeAnswer(r *request, c *call, a ServeAnswer) {
	switch a.Outcome {
	case OutcomeDone:
		e.answer(r, Answer{Outcome: OutcomeDone, Body: a.Body, Worker: c.worker})
	case OutcomeRefused:
		e.refusedTry(r, c, a.Reason, a.Wait)
	case OutcomeFailed:
		r.failed, r.failAt = &a, c.worker
		r.failures++
		if a.Reason == ReasonInvalid || r.failures >= failuresMost {
			e.giveUp(r, a.Reason)
			return
		}
		e.again(r)
	}
}

// refusedTry handles a try that surely didn't run.
func (e *Entry) refusedTry(r *request, _ *call, why Reason, wait time.Duration) {
	r.refused, r.wait = why, wait
	e.again(r)
}

// again tries a request once more if it may run once more and the budget
// allows; else it gives up, unless a call is still open.
func (e *Entry) again(r *request) {
	if len(r.calls) > 0 {
		return
	}
	ran := r.failed != nil || r.maybe
	if ran && !r.Idempotent && e.pol.on(guardAmbiguous) {
		e.giveUp(r, r.refused)
		return
	}
	if !e.retries.Spend() {
		e.count("retry.refused", ReasonBudget)
		why := r.refused
		if why == ReasonNone {
			why = ReasonBudget
		}
		e.giveUp(r, why)
		return
	}
	why := r.refused
	if ran {
		why = ReasonCut
		if r.failed != nil {
			why = Reason(OutcomeFailed)
		}
	}
	e.count("retry", why)
	e.try(r)
}

// cut handles a try whose answer won't come. An idempotent request goes
// elsewhere; of any other the agent is asked what became of it.
func (e *Entry) cut(r *request, t Token) {
	e.count("cut", ReasonCut)
	if r.Idempotent || !e.pol.on(guardAmbiguous) {
		delete(r.calls, t)
		r.maybe = true
		e.again(r)
		return
	}
	e.ask(r, t)
}

// ask asks an agent to take a request back, and what became of it.
func (e *Entry) ask(r *request, t Token) {
	c := r.calls[t]
	if c == nil || c.asking {
		return
	}
	c.asking = true
	e.emit(Revoke{Call: e.expect(waitRevoke{c: c, serve: t}), Addr: c.addr, Run: c.run, ID: r.ID, By: r.Deadline})
}

func (e *Entry) revokeAnswered(ev RevokeAnswered) {
	q, ok := e.take(ev.Call).(waitRevoke)
	if !ok {
		return
	}
	c, r := q.c, q.c.req
	c.asking = false
	if e.requests[r.ID] != r || r.calls[q.serve] != c {
		return
	}
	if ev.Fault != FaultNone || ev.State == RevokeRunning {
		e.after(e.at.Now.Add(askAgain), timerAsk, r.ID, q.serve)
		return
	}
	delete(r.calls, q.serve)
	switch ev.State {
	case RevokeNever:
		e.refusedTry(r, c, ReasonCut, 0)
	case RevokeResult:
		e.resultOf(r, c, ev.Answer)
	default:
		r.maybe = true
		e.giveUp(r, ReasonCut)
	}
}

func (e *Entry) resultOf(r *request, c *call, a ServeAnswer) {
	if a.Outcome == OutcomeUnknown || a.ID != r.ID {
		r.maybe = true
		e.giveUp(r, ReasonCut)
		return
	}
	e.takeAnswer(r, c, a)
}
