package core

import (
	"net/netip"
	"strconv"
	"time"

	"jayloft/limit"
	"jayloft/route"
)

// serviceView is a service as an entry sees it.
type serviceView struct {
	name     string
	set      route.Set
	gate     limit.Gate
	baseline time.Duration // mean service time on VMs without batch tasks
}

// request is a caller's request that has no final answer yet.
type request struct {
	Request
	sv         *serviceView
	arrived    time.Time
	calls      map[Token]*call
	tried      []string // workers
	tries      int
	hedged     bool
	refused    Reason // of the last refusal
	failed     *ServeAnswer
	failAt     WorkerID
	failures   int
	mayHaveRun bool // some call may have run it, and its answer will not come
	wait       time.Duration
}

// call is one try of a request at one worker.
type call struct {
	req      *request
	worker   WorkerID
	sent     time.Time
	addr     netip.AddrPort
	run      Run
	revoking bool // its outcome is asked for with Revoke
}

// Numbers of the callers' path.
const (
	// defaultTimeout is the longest deadline of a service that sets none.
	defaultTimeout = 10 * time.Second
	// trySeedStep tells the seeds of a request's tries apart: 2^64 divided by
	// the golden ratio, after Knuth's multiplicative hashing.
	trySeedStep = 0x9e3779b97f4a7c15
	// maxRequestFailures is the number of workers a request may fail on.
	maxRequestFailures = 3
	// revokeRetryInterval is the time between two questions about a request whose
	// answer was lost.
	revokeRetryInterval = 50 * time.Millisecond
	// minRetryAfter is the shortest time to come back after a refusal.
	minRetryAfter = 100 * time.Millisecond
)

// updateRoutes brings the services that a worker serves up to date.
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

func (e *Entry) service(name string) *serviceView {
	sv := e.services[name]
	if sv == nil {
		sv = &serviceView{name: name}
		sv.set.Policy = e.pol.Route
		e.services[name] = sv
	}
	return sv
}

// handleRequestArrived takes a request in, or refuses it at once.
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
	if why := e.checkRequest(r, known); why != ReasonNone {
		e.refuseRequest(r, why)
		return
	}
	r.sv = e.service(q.Service)
	team, _ := e.config.team(q.Team)
	wait := r.sv.set.ExpectedWait(e.at.Now)
	ok, back := r.sv.gate.Admit(e.at.Now, string(q.Team), max(team.Weight, 1), wait, q.Deadline, e.at.Seed)
	if !ok {
		r.wait = back
		e.refuseRequest(r, ReasonOverload)
		return
	}
	e.requests[q.ID] = r
	e.retries.Deposit()
	e.hedges.Deposit()
	e.after(q.Deadline, timerDeadline, q.ID, 0)
	e.try(r)
}

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

// refuseRequest answers a request that was never tried. An id in use is the one
// case where the request may have run, under the same id.
func (e *Entry) refuseRequest(r *request, why Reason) {
	outcome := OutcomeRefused
	if why == ReasonDuplicate {
		outcome = OutcomeUnknown
	}
	e.count("refuse", why)
	ans := Answer{ID: r.ID, Outcome: outcome, Reason: why, Text: refusalText[why], RetryAfter: e.retryAfter(r)}
	e.recent.add(r, ans, e.at.Now)
	e.emitAnswer(ans)
}

// refusalText explains refusals to callers.
var refusalText = map[Reason]string{
	ReasonStopping:  "this entry is stopping; another one will take the request",
	ReasonConfig:    "this entry has not read its configuration yet",
	ReasonService:   "no service of this name is configured",
	ReasonDuplicate: "a request with this id is running or has run",
	ReasonDeadline:  "the request can't be done before its deadline",
	ReasonOverload:  "the expected wait exceeds the deadline",
	ReasonEndpoints: "no endpoint of the service can take work now",
	ReasonBudget:    "the budget for further tries is spent",
	ReasonQueue:     "the queues of the endpoints are full",
}

// try sends the request to one more worker, or gives up if there is none.
func (e *Entry) try(r *request) {
	pick := r.sv.set.Pick
	if !r.Idempotent {
		pick = r.sv.set.PickNoProbe
	}
	id, _, ok := pick(e.at.Now, e.at.Seed+uint64(len(r.tried))*trySeedStep, r.tried)
	if !ok {
		why := r.refused
		if why == ReasonNone {
			why = ReasonEndpoints
		}
		e.giveUp(r, why)
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
			e.after(e.at.Now.Add(q), timerHedge, r.ID, 0)
		}
	}
}

// callName returns a name for a try that no other entry or life uses.
func (e *Entry) callName(t Token) string {
	return string(e.self.ID) + "/" + strconv.FormatUint(uint64(t), 36)
}

// hedge sends an idempotent request that takes unusually long to a second
// worker, within the budgets.
func (e *Entry) hedge(r *request) {
	if r.hedged || len(r.calls) != 1 || r.sv.set.Len() < 2 {
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

// tryElsewhere makes one more try if some worker is left; a call still open
// decides otherwise.
func (e *Entry) tryElsewhere(r *request) {
	if len(r.calls) == 0 {
		e.try(r)
		return
	}
	if _, _, ok := r.sv.set.Pick(e.at.Now, e.at.Seed, r.tried); ok {
		e.try(r)
	}
}

// giveUp answers a request that won't be tried again, at once.
func (e *Entry) giveUp(r *request, why Reason) {
	switch {
	case r.failed != nil:
		e.answer(r, Answer{Outcome: OutcomeFailed, Reason: why, Text: r.failed.Text, Body: r.failed.Body, Worker: r.failAt})
	case r.mayHaveRun || len(r.calls) > 0:
		e.count("unknown", why)
		e.answer(r, Answer{Outcome: OutcomeUnknown, Reason: why, Text: "the request may have run"})
	default:
		e.count("refuse", why)
		e.answer(r, Answer{Outcome: OutcomeRefused, Reason: why, Text: refusalText[why], RetryAfter: e.retryAfter(r)})
	}
}

// expireRequest gives up on a request whose time is over.
func (e *Entry) expireRequest(r *request) { e.giveUp(r, ReasonDeadline) }

// retryAfter returns when a refused caller should come back: after the wait
// that was measured, spread by the seed so that callers don't return together.
func (e *Entry) retryAfter(r *request) time.Duration {
	wait := max(r.wait, minRetryAfter)
	if r.sv != nil {
		wait = max(wait, r.sv.set.ExpectedWait(e.at.Now))
	}
	return wait + time.Duration(e.at.Seed%uint64(wait))
}

// answer gives the final answer of a request.
func (e *Entry) answer(r *request, a Answer) {
	delete(e.requests, r.ID)
	a.ID, a.Tries = r.ID, r.tries
	r.sv.gate.Done(e.at.Now, string(r.Team))
	e.count("answer", Reason(a.Outcome))
	e.recent.add(r, a, e.at.Now)
	e.emitAnswer(a)
}

// emitAnswer answers a caller. Requests that were not served, or may not have been,
// get a line in the log.
func (e *Entry) emitAnswer(a Answer) {
	if a.Outcome != OutcomeDone {
		e.logEvent("request answered", string(a.ID), "outcome", string(a.Outcome), "reason", string(a.Reason),
			"tries", a.Tries, "worker", string(a.Worker), "retry", a.RetryAfter.String())
	}
	e.emit(a)
}

// handleRequestGone drops a request whose caller no longer waits. A queued copy of
// it need not run.
func (e *Entry) handleRequestGone(id RequestID) {
	r := e.requests[id]
	if r == nil {
		return
	}
	delete(e.requests, id)
	r.sv.gate.Done(e.at.Now, string(r.Team))
	e.count("gone", ReasonRevoked)
	for _, c := range r.calls {
		e.emit(Revoke{Call: e.expect(pendingIgnored{}), Addr: c.addr, Run: c.run, ID: id, Deadline: r.Deadline})
	}
}

// pendingIgnored waits for nothing: the caller has gone.
type pendingIgnored struct{}

func (pendingIgnored) pendingAnswer() {}
