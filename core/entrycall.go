package core

import (
	"time"

	"jayloft/route"
)

// pendingServe awaits an agent's answer to one try of a request.
type pendingServe struct{ c *call }

// pendingRevoke awaits an agent's answer to the revocation of a request.
type pendingRevoke struct {
	c     *call
	serve Token
}

func (pendingServe) pendingAnswer()  {}
func (pendingRevoke) pendingAnswer() {}

// handleServeAnswered handles an agent's answer to one try of a request.
func (e *Entry) handleServeAnswered(ev ServeAnswered) {
	q, ok := e.takePending(ev.Call).(pendingServe)
	if !ok {
		return
	}
	c, r := q.c, q.c.req
	e.reportToRouter(c, ev)
	if e.requests[r.ID] != r {
		return // answered already
	}
	if ev.Fault == FaultNoAnswer || (ev.Fault == FaultNone && ev.Answer.Outcome == OutcomeUnknown) {
		r.countLost(ev)
		e.handleLostAnswer(r, ev.Call)
		return
	}
	delete(r.calls, ev.Call)
	switch {
	case ev.Fault == FaultNotSent:
		e.handleRefusedTry(r, c, ReasonCut, 0)
	case ev.Answer.ID != r.ID:
		e.count("foreign", ReasonDuplicate)
		r.mayHaveRun = true
		e.retryRequest(r)
	default:
		e.handleServeAnswer(r, c, ev.Answer)
	}
}

// reportToRouter reports the result of a try to the router.
func (e *Entry) reportToRouter(c *call, ev ServeAnswered) {
	result := route.Success
	switch {
	case ev.Fault != FaultNone:
		result = route.NoAnswer
	case ev.Answer.Outcome == OutcomeRefused:
		result = route.Refused
	case ev.Answer.Outcome == OutcomeFailed && ev.Answer.Reason != ReasonInvalid:
		result = route.Failure
	case ev.Answer.Outcome == OutcomeUnknown:
		result = route.NoAnswer
	}
	set := &c.req.sv.set
	set.Done(string(c.worker), e.at.Now, e.at.Now.Sub(c.sent), result)
	if ev.Fault == FaultNone {
		set.SetLoad(string(c.worker), ev.Answer.Running, ev.Answer.Queued, e.at.Now)
	}
}

// handleServeAnswer answers the caller, or tries the request again.
func (e *Entry) handleServeAnswer(r *request, c *call, a ServeAnswer) {
	switch a.Outcome {
	case OutcomeDone:
		e.answer(r, Answer{Outcome: OutcomeDone, Body: a.Body, Worker: c.worker})
	case OutcomeRefused:
		e.handleRefusedTry(r, c, a.Reason, a.Wait)
	case OutcomeFailed:
		r.failure, r.failedAt = &a, c.worker
		r.failures++
		if a.Reason == ReasonInvalid || r.failures >= maxRequestFailures {
			e.giveUp(r, a.Reason)
			return
		}
		e.retryRequest(r)
	}
}

// handleRefusedTry retries a request after a try that is known not to have run.
func (e *Entry) handleRefusedTry(r *request, _ *call, reason Reason, wait time.Duration) {
	r.lastRefusal, r.expectedWait = reason, wait
	e.retryRequest(r)
}

// retryRequest tries a request again if it may run again and the retry budget allows;
// otherwise it gives up. It does nothing while another call is in flight.
func (e *Entry) retryRequest(r *request) {
	if len(r.calls) > 0 {
		return
	}
	ran := r.failure != nil || r.mayHaveRun
	if ran && !r.Idempotent && e.pol.on(guardAmbiguous) {
		e.giveUp(r, r.lastRefusal)
		return
	}
	if !e.retries.Spend() {
		e.count("retry.refused", ReasonBudget)
		reason := r.lastRefusal
		if reason == ReasonNone {
			reason = ReasonBudget
		}
		e.giveUp(r, reason)
		return
	}
	reason := r.lastRefusal
	if ran {
		reason = ReasonCut
		if r.failure != nil {
			reason = Reason(OutcomeFailed)
		}
	}
	e.count("retry", reason)
	e.try(r)
}

// countLost counts a try whose answer was lost.
func (r *request) countLost(ev ServeAnswered) {
	r.lost++
	if ev.Fault == FaultNone && ev.Answer.Reason == ReasonWorker {
		r.brokenAt++
	}
}

// mayBreakEndpoints reports whether so many endpoints were lost under a request that it
// must not be sent to another one.
func (r *request) mayBreakEndpoints() bool {
	return r.brokenAt >= maxBrokenEndpoints || r.lost >= maxLostTries
}

// handleLostAnswer handles a try whose answer was lost. An idempotent request is
// retried on another worker; for any other, the agent is asked for the outcome.
func (e *Entry) handleLostAnswer(r *request, t Token) {
	e.count("cut", ReasonCut)
	if r.Idempotent || !e.pol.on(guardAmbiguous) {
		delete(r.calls, t)
		r.mayHaveRun = true
		if r.mayBreakEndpoints() {
			e.count("retry.refused", ReasonWorker)
			e.giveUp(r, ReasonWorker)
			return
		}
		e.retryRequest(r)
		return
	}
	e.revokeCall(r, t)
}

// revokeCall asks an agent to revoke a request if it has not run, and for its outcome
// if it has.
func (e *Entry) revokeCall(r *request, t Token) {
	c := r.calls[t]
	if c == nil || c.revoking {
		return
	}
	c.revoking = true
	e.emit(Revoke{Call: e.expect(pendingRevoke{c: c, serve: t}), Addr: c.addr, Run: c.run, ID: r.ID, Deadline: r.Deadline})
}

// handleRevokeAnswered handles an agent's answer to a revocation: a request that never
// ran is retried, and one that is still running is asked about again.
func (e *Entry) handleRevokeAnswered(ev RevokeAnswered) {
	q, ok := e.takePending(ev.Call).(pendingRevoke)
	if !ok {
		return
	}
	c, r := q.c, q.c.req
	c.revoking = false
	if e.requests[r.ID] != r || r.calls[q.serve] != c {
		return
	}
	if ev.Fault != FaultNone || ev.State == RevokeRunning {
		e.addTimer(e.at.Now.Add(revokeRetryInterval), timerRevoke, r.ID, q.serve)
		return
	}
	delete(r.calls, q.serve)
	switch ev.State {
	case RevokeNever:
		e.handleRefusedTry(r, c, ReasonCut, 0)
	case RevokeResult:
		e.handleRevokeResult(r, c, ev.Answer)
	default:
		r.mayHaveRun = true
		e.giveUp(r, ReasonCut)
	}
}

// handleRevokeResult handles the result of a request that had run when it was revoked.
func (e *Entry) handleRevokeResult(r *request, c *call, a ServeAnswer) {
	if a.Outcome == OutcomeUnknown || a.ID != r.ID {
		r.mayHaveRun = true
		e.giveUp(r, ReasonCut)
		return
	}
	e.handleServeAnswer(r, c, a)
}
