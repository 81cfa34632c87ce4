package core

import (
	"net/netip"
	"strconv"
	"time"

	"jayloft/limit"
	"jayloft/route"
)

// serviceView is this entry's view of a service.
type serviceView struct {
	name     string
	set      route.Set     // workers that serve it
	gate     limit.Gate    // admission control
	baseline time.Duration // mean service time on VMs without batch tasks
}

// request is a caller's request that has no final answer yet.
type request struct {
	Request
	sv           *serviceView
	arrived      time.Time
	calls        map[Token]*call
	tried        []string // workers
	tries        int
	hedged       bool
	lastRefusal  Reason        // of the last refused try
	failure      *ServeAnswer  // of the last try that failed
	failedAt     WorkerID      // on which that try ran
	failures     int           // number of tries that failed
	mayHaveRun   bool          // some call may have run it, and its answer is lost
	lost         int           // number of tries whose endpoint, or agent, was lost meanwhile
	brokenAt     int           // those of lost whose agent saw the endpoint break
	expectedWait time.Duration // reported with the last refusal
}

// call is one try of a request on one worker.
type call struct {
	req      *request
	worker   WorkerID
	sent     time.Time
	addr     netip.AddrPort
	run      Run
	revoking bool // a Revoke is in flight, which also returns the outcome
}

// Parameters of request handling.
const (
	// defaultTimeout bounds the deadlines of a service that sets no timeout.
	defaultTimeout = 10 * time.Second
	// trySeedStep separates the seeds of a request's tries: 2^64 divided by the
	// golden ratio, as in Knuth's multiplicative hashing.
	trySeedStep = 0x9e3779b97f4a7c15
	// maxBrokenEndpoints is the number of endpoints that may break while they run a
	// request, and maxLostTries the number of tries whose answers may be lost for any
	// cause: the request may be what breaks them.
	maxBrokenEndpoints = 2
	maxLostTries       = 3
	// maxRequestFailures is the number of workers a request may fail on.
	maxRequestFailures = 3
	// revokeRetryInterval is the time between two Revoke calls for a request whose
	// answer was lost.
	revokeRetryInterval = 50 * time.Millisecond
	// minRetryAfter is the minimum retry-after time of a refusal.
	minRetryAfter = 100 * time.Millisecond
)

// updateRoutes updates the routing state of a worker for each of its services.
func (e *Entry) updateRoutes(w *workerView) {
	_, ok := e.usable(w)
	for _, l := range w.heartbeat.Services {
		if _, known := e.config.service(l.Service); !known {
			continue
		}
		sv := e.service(l.Service)
		sv.set.Put(string(w.id), w.heartbeat.Slots, e.at.Now)
		sv.set.SetClosed(string(w.id), !ok)
		if ok {
			sv.set.SetLoad(string(w.id), l.Running, l.Queued, e.at.Now)
		}
	}
}

// service returns the view of a service, which it creates if there is none.
func (e *Entry) service(name string) *serviceView {
	sv := e.services[name]
	if sv == nil {
		sv = &serviceView{name: name}
		sv.set.Policy = e.pol.Route
		e.services[name] = sv
	}
	return sv
}

// handleRequestArrived admits a request and sends it to a worker, or refuses it.
func (e *Entry) handleRequestArrived(q Request) {
	row, known := e.config.service(q.Service)
	timeout := row.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if last := e.at.Now.Add(timeout); q.Deadline.IsZero() || q.Deadline.After(last) {
		q.Deadline = last
	}
	q.Idempotent = q.Idempotent || row.Idempotent
	if q.Team == "" {
		q.Team = row.Team
	}
	r := &request{Request: q, arrived: e.at.Now, calls: map[Token]*call{}}
	if reason := e.checkRequest(r, known); reason != ReasonNone {
		e.refuseRequest(r, reason)
		return
	}
	r.sv = e.service(q.Service)
	team, _ := e.config.team(q.Team)
	wait := r.sv.set.ExpectedWait(e.at.Now)
	ok, back := r.sv.gate.Admit(e.at.Now, string(q.Team), max(team.Weight, 1), wait, q.Deadline, e.at.Seed)
	if !ok {
		r.expectedWait = back
		e.refuseRequest(r, ReasonOverload)
		return
	}
	e.requests[q.ID] = r
	e.retries.Deposit()
	e.hedges.Deposit()
	e.addTimer(q.Deadline, timerDeadline, q.ID, 0)
	e.try(r)
}

// checkRequest returns why a request can't be admitted, or ReasonNone.
func (e *Entry) checkRequest(r *request, known bool) Reason {
	switch {
	case e.leaving:
		return ReasonStopping
	case !e.hasConfig():
		return ReasonConfig
	case !known:
		return ReasonService
	case e.requests[r.ID] != nil:
		return ReasonDuplicate
	case e.recent.mayHaveRun(r.ID):
		return ReasonDuplicate
	case !r.Deadline.After(e.at.Now):
		return ReasonDeadline
	}
	return ReasonNone
}

// refuseRequest answers a request that was never sent to a worker. The outcome is
// refused, but unknown for a duplicate id: the request with that id may have run.
func (e *Entry) refuseRequest(r *request, reason Reason) {
	outcome := OutcomeRefused
	if reason == ReasonDuplicate {
		outcome = OutcomeUnknown
	}
	e.count("refuse", reason)
	ans := Answer{ID: r.ID, Outcome: outcome, Reason: reason, Text: refusalText[reason], RetryAfter: e.retryAfter(r)}
	e.recent.add(r, ans, e.at.Now)
	e.emitAnswer(ans)
}

// refusalText holds the explanations of refusals for callers.
var refusalText = map[Reason]string{
	ReasonStopping:  "this entry is stopping; another one will take the request",
	ReasonConfig:    "this entry has not read its configuration yet",
	ReasonService:   "no service of this name is configured",
	ReasonDuplicate: "a request with this id is running or has run",
	ReasonDeadline:  "the request can't be completed before its deadline",
	ReasonOverload:  "the expected wait exceeds the deadline",
	ReasonEndpoints: "no endpoint of the service accepts work now",
	ReasonBudget:    "the retry budget is spent",
	ReasonQueue:     "the queues of the endpoints are full",
}

// try sends the request to another worker, or gives up if there is none. The first
// try of an idempotent request arms the timer for a hedged request.
func (e *Entry) try(r *request) {
	pick := r.sv.set.Pick
	if !r.Idempotent {
		pick = r.sv.set.PickNoProbe
	}
	id, _, ok := pick(e.at.Now, e.at.Seed+uint64(len(r.tried))*trySeedStep, r.tried)
	if !ok {
		reason := r.lastRefusal
		if reason == ReasonNone {
			reason = ReasonEndpoints
		}
		e.giveUp(r, reason)
		return
	}
	w := e.workers[WorkerID(id)]
	r.tried = append(r.tried, id)
	r.tries++
	r.sv.set.Sent(id, e.at.Now)
	c := &call{req: r, worker: w.id, sent: e.at.Now, addr: w.heartbeat.Addr, run: w.heartbeat.Run}
	t := e.expect(pendingServe{c})
	r.calls[t] = c
	e.emit(Serve{Call: t, Name: e.callName(t), Worker: w.id, Addr: c.addr, Inc: w.inc, Run: c.run, Request: r.Request})
	if r.tries == 1 && r.Idempotent {
		if q := r.sv.set.Quantile(e.pol.HedgeQuantile); q > 0 {
			e.addTimer(e.at.Now.Add(q), timerHedge, r.ID, 0)
		}
	}
}

// callName returns a name for a try that is unique across entries and their restarts.
func (e *Entry) callName(t Token) string {
	return string(e.self.ID) + "/" + strconv.FormatUint(uint64(t), 36)
}

// hedge sends an idempotent request whose latency exceeds the hedging quantile to a
// second worker, if the hedge and retry budgets allow it.
func (e *Entry) hedge(r *request) {
	if r.hedged || r.lost > 0 || len(r.calls) != 1 || r.sv.set.Len() < 2 {
		return
	}
	if !e.hedges.Spend() || !e.retries.Spend() {
		e.count("hedge.refused", ReasonBudget)
		return
	}
	r.hedged = true
	e.count("hedge", ReasonNone)
	e.tryElsewhere(r)
}

// tryElsewhere sends the request to a worker that was not tried yet. If there is
// none, a call that is still in flight decides the outcome.
func (e *Entry) tryElsewhere(r *request) {
	if len(r.calls) == 0 {
		e.try(r)
		return
	}
	if _, _, ok := r.sv.set.Pick(e.at.Now, e.at.Seed, r.tried); ok {
		e.try(r)
	}
}

// giveUp answers a request that won't be tried again, without waiting for calls in
// flight: failed if a worker reported a failure, unknown if it may have run, else
// refused.
func (e *Entry) giveUp(r *request, reason Reason) {
	switch {
	case r.failure != nil:
		e.answer(r, Answer{Outcome: OutcomeFailed, Reason: reason, Text: r.failure.Text, Body: r.failure.Body, Worker: r.failedAt})
	case r.mayHaveRun || len(r.calls) > 0:
		e.count("unknown", reason)
		e.answer(r, Answer{Outcome: OutcomeUnknown, Reason: reason, Text: "the request may have run"})
	default:
		e.count("refuse", reason)
		e.answer(r, Answer{Outcome: OutcomeRefused, Reason: reason, Text: refusalText[reason], RetryAfter: e.retryAfter(r)})
	}
}

// expireRequest gives up on a request whose deadline has passed.
func (e *Entry) expireRequest(r *request) { e.giveUp(r, ReasonDeadline) }

// retryAfter returns the time after which a refused caller should retry: the expected
// wait with jitter, so that callers don't return at the same time.
func (e *Entry) retryAfter(r *request) time.Duration {
	wait := max(r.expectedWait, minRetryAfter)
	if r.sv != nil {
		wait = max(wait, r.sv.set.ExpectedWait(e.at.Now))
	}
	return wait + time.Duration(e.at.Seed%uint64(wait))
}

// answer completes a request with its final answer.
func (e *Entry) answer(r *request, a Answer) {
	delete(e.requests, r.ID)
	a.ID, a.Tries = r.ID, r.tries
	r.sv.gate.Done(e.at.Now, string(r.Team))
	e.count("answer", Reason(a.Outcome))
	e.recent.add(r, a, e.at.Now)
	e.emitAnswer(a)
}

// emitAnswer answers a caller and logs every outcome but success.
func (e *Entry) emitAnswer(a Answer) {
	if a.Outcome != OutcomeDone {
		e.logEvent("request answered", string(a.ID), "outcome", string(a.Outcome), "reason", string(a.Reason),
			"tries", a.Tries, "worker", string(a.Worker), "retry", a.RetryAfter.String())
	}
	e.emit(a)
}

// handleRequestAbandoned drops a request whose caller no longer waits, and revokes its
// calls so that a queued copy is not run. The request is remembered, since a copy that is
// running goes on.
func (e *Entry) handleRequestAbandoned(id RequestID) {
	r := e.requests[id]
	if r == nil {
		return
	}
	delete(e.requests, id)
	r.sv.gate.Done(e.at.Now, string(r.Team))
	e.count("gone", ReasonRevoked)
	ans := Answer{ID: id, Outcome: OutcomeRefused, Reason: ReasonRevoked, Tries: r.tries}
	if r.mayHaveRun || r.failure != nil || len(r.calls) > 0 {
		ans.Outcome = OutcomeUnknown
	}
	e.recent.add(r, ans, e.at.Now)
	for _, c := range r.calls {
		e.emit(Revoke{Call: e.expect(pendingIgnored{}), Addr: c.addr, Run: c.run, ID: id, Deadline: r.Deadline})
	}
}

// pendingIgnored awaits an answer that needs no action, since the caller is gone.
type pendingIgnored struct{}

func (pendingIgnored) pendingAnswer() {}
