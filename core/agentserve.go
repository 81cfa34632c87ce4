package core

import "time"

// Limits of an agent's record of requests, and the averaging of service times.
const (
	// answerRetention is how long the answer to a non-idempotent request, or the
	// guarantee that a request never runs, is remembered, and its id at an entry.
	answerRetention = 10 * time.Minute
	// tryRetention is how long the outcome of a try is remembered, so that a
	// duplicate of a refused try is refused too and a duplicate of one that has
	// run is never run again.
	tryRetention = 30 * time.Second
	// maxAnswers bounds the number of remembered answers of each answerLog.
	maxAnswers = 20000
	// serviceTimeWeight is the weight of a new sample in the moving average of the
	// service time.
	serviceTimeWeight = 0.1
)

// serveState is the part of an Agent that runs requests.
type serveState struct {
	running     map[RequestID]*admittedRequest
	queue       []*admittedRequest
	answers     answerLog[ServeAnswer]   // by request id: answers, and guarantees never to run
	tries       answerLog[ServeAnswer]   // by try: refusals, and the fact that a request has run
	means       map[string]time.Duration // mean service time, by service
	recentMeans map[string]recentMean    // of the current interval, by service
}

// admittedRequest is a request that runs or is queued.
type admittedRequest struct {
	req       Request
	call      string  // name of the first try
	tokens    []Token // of all tries that wait for the answer
	startedAt time.Time
}

func (s *serveState) init() {
	s.running = map[RequestID]*admittedRequest{}
	s.queue = nil
	s.answers, s.tries = answerLog[ServeAnswer]{}, answerLog[ServeAnswer]{}
	s.recentMeans = map[string]recentMean{}
	if s.means == nil {
		s.means = map[string]time.Duration{}
	}
}

func (s *serveState) isIdle() bool { return len(s.running) == 0 && len(s.queue) == 0 }

// nextExpiry returns the earliest time at which a queued request can no longer
// meet its deadline.
func (s *serveState) nextExpiry() time.Time {
	var next time.Time
	for _, q := range s.queue {
		next = earliest(next, q.req.Deadline.Add(-s.means[q.req.Service]))
	}
	return next
}

// loads returns the endpoint's load by service.
func (s *serveState) loads(services []string, now time.Time) []ServiceLoad {
	loads := make([]ServiceLoad, len(services))
	for i, name := range services {
		loads[i].Service = name
		if m := s.recentMeans[name]; now.Sub(m.since) <= 2*recentMeanInterval {
			loads[i].Mean = m.previous
		}
		for _, r := range s.running {
			if r.req.Service == name {
				loads[i].Running++
			}
		}
		for _, q := range s.queue {
			if q.req.Service == name {
				loads[i].Queued++
			}
		}
	}
	return loads
}

// remember stores an answer, so that a repeated or revoked request id is
// recognised.
func (s *serveState) remember(id RequestID, ans ServeAnswer, now time.Time) {
	s.answers.put(string(id), ans, now, now.Add(answerRetention))
}

// find returns the admitted request with the id; nil if there is none.
func (s *serveState) find(id RequestID) *admittedRequest {
	if r, ok := s.running[id]; ok {
		return r
	}
	for _, q := range s.queue {
		if q.req.ID == id {
			return q
		}
	}
	return nil
}

// handleServeAsked runs a request in a free slot, queues it, or refuses it at
// once.
func (a *Agent) handleServeAsked(ev ServeAsked) {
	if a.pol.on(guardDedupe) {
		if r := a.serve.find(ev.Request.ID); r != nil {
			r.tokens = append(r.tokens, ev.Token)
			return
		}
		if ans, ok := a.previousAnswer(ev); ok {
			a.replyServe(ev.Token, ans)
			return
		}
	}
	if ev.Run != a.self.Run && a.pol.on(guardIncarnation) {
		// An earlier run of this agent may have executed a first copy.
		a.replyServe(ev.Token, ServeAnswer{ID: ev.Request.ID, Outcome: OutcomeUnknown, Reason: ReasonIncarnation})
		return
	}
	if r := a.checkServe(ev); r != ReasonNone {
		a.refuse(ev, r)
		return
	}
	s := &admittedRequest{req: ev.Request, call: ev.Call, tokens: []Token{ev.Token}}
	if len(a.serve.running) < a.slots {
		a.startCall(s)
		return
	}
	a.serve.queue = append(a.serve.queue, s)
}

// checkServe returns the reason to refuse a request; ReasonNone if it can be
// admitted.
func (a *Agent) checkServe(ev ServeAsked) Reason {
	switch {
	case !a.ready:
		return ReasonWorker
	case a.pol.on(guardIncarnation) && (ev.Inc != a.inc || ev.Run != a.self.Run):
		return ReasonIncarnation
	case a.leaving:
		return ReasonLeaving
	case !a.serves(ev.Request.Service):
		return ReasonService
	}
	if out, _ := a.dcOut(); out {
		return ReasonLeaving
	}
	if len(a.serve.running) >= a.slots && float64(len(a.serve.queue)) >= a.pol.QueuePerSlot*float64(a.slots) {
		return ReasonQueue
	}
	need := a.serve.means[ev.Request.Service] + a.expectedWait(len(a.serve.queue))
	if a.at.Now.Add(need).After(ev.Request.Deadline) {
		return ReasonDeadline
	}
	return ReasonNone
}

func (a *Agent) serves(service string) bool {
	for _, s := range a.services {
		if s == service {
			return true
		}
	}
	return false
}

// expectedWait returns the expected time until a slot is free for a request behind
// n queued ones, if each slot completes one request per mean service time.
func (a *Agent) expectedWait(n int) time.Duration {
	if len(a.serve.running) < a.slots || a.slots == 0 {
		return 0
	}
	var sum time.Duration
	for _, r := range a.serve.running {
		sum += a.serve.means[r.req.Service]
	}
	mean := sum / time.Duration(len(a.serve.running))
	return mean * time.Duration(n+1) / time.Duration(a.slots)
}

// refuse answers that a try was not run, and remembers that in case a duplicate of
// the try arrives later.
func (a *Agent) refuse(ev ServeAsked, r Reason) {
	a.count("refuse", r)
	ans := ServeAnswer{ID: ev.Request.ID, Outcome: OutcomeRefused, Reason: r}
	a.serve.tries.put(tryKey(ev.Call, ev.Request.ID), ans, a.at.Now, a.at.Now.Add(tryRetention))
	a.replyServe(ev.Token, a.withLoad(ans))
}

// replyServe answers a try of a request. It logs every outcome but OutcomeDone.
func (a *Agent) replyServe(t Token, ans ServeAnswer) {
	if ans.Outcome != OutcomeDone {
		a.logEvent("try answered", string(ans.ID), "outcome", string(ans.Outcome), "reason", string(ans.Reason),
			"running", len(a.serve.running), "queued", len(a.serve.queue), "slots", a.slots)
	}
	a.emit(ServeReply{Token: t, Answer: ans})
}

// tryKey returns the key of one try of one request.
func tryKey(call string, id RequestID) string { return call + " " + string(id) }

// previousAnswer returns the answer for a duplicate of an earlier try, if one is
// remembered.
func (a *Agent) previousAnswer(ev ServeAsked) (ServeAnswer, bool) {
	if ans, ok := a.serve.answers.answers[string(ev.Request.ID)]; ok && ev.Run == a.self.Run {
		return ans, true
	}
	ans, ok := a.serve.tries.answers[tryKey(ev.Call, ev.Request.ID)]
	return ans, ok
}

// withLoad returns an answer with the endpoint's load added.
func (a *Agent) withLoad(ans ServeAnswer) ServeAnswer {
	ans.Wait = a.expectedWait(len(a.serve.queue))
	ans.Queued, ans.Running = len(a.serve.queue), len(a.serve.running)
	return ans
}

// startCall runs a request in a free slot.
func (a *Agent) startCall(s *admittedRequest) {
	s.startedAt = a.at.Now
	a.serve.running[s.req.ID] = s
	a.emit(Call{ID: s.req.ID, Service: s.req.Service, Body: s.req.Body, Deadline: s.req.Deadline})
}

// handleCalled returns the endpoint's answer and starts the next queued request in
// the slot.
func (a *Agent) handleCalled(ev Called) {
	s, ok := a.serve.running[ev.ID]
	if !ok {
		return
	}
	delete(a.serve.running, ev.ID)
	ans := ServeAnswer{ID: ev.ID, Outcome: OutcomeDone, Body: ev.Body}
	switch {
	case ev.Fault == FaultNotSent:
		ans = ServeAnswer{ID: ev.ID, Outcome: OutcomeRefused, Reason: ReasonWorker}
	case ev.Fault == FaultNoAnswer:
		ans = ServeAnswer{ID: ev.ID, Outcome: OutcomeUnknown, Reason: ReasonWorker}
	case !ev.OK:
		ans = ServeAnswer{ID: ev.ID, Outcome: OutcomeFailed, Text: ev.Text, Body: ev.Body}
		if ev.Invalid {
			ans.Reason = ReasonInvalid
		}
	default:
		a.updateMean(s.req.Service, a.at.Now.Sub(s.startedAt))
		a.serve.updateRecentMean(s.req.Service, a.at.Now.Sub(s.startedAt), a.at.Now)
	}
	a.answerAll(s, ans)
	a.startQueued()
}

// updateMean adds a service time to the moving average of a service.
func (a *Agent) updateMean(service string, took time.Duration) {
	mean, ok := a.serve.means[service]
	if !ok {
		a.serve.means[service] = took
		return
	}
	a.serve.means[service] = mean + time.Duration(serviceTimeWeight*float64(took-mean))
}

// answerAll answers all tries that wait for a request.
func (a *Agent) answerAll(s *admittedRequest, ans ServeAnswer) {
	if !s.req.Idempotent && ans.Outcome != OutcomeRefused {
		a.serve.remember(s.req.ID, ans, a.at.Now)
	}
	if ans.Outcome != OutcomeRefused {
		ran := ServeAnswer{ID: s.req.ID, Outcome: OutcomeUnknown, Reason: ReasonDuplicate}
		a.serve.tries.put(tryKey(s.call, s.req.ID), ran, a.at.Now, a.at.Now.Add(tryRetention))
	} else {
		a.serve.tries.put(tryKey(s.call, s.req.ID), ans, a.at.Now, a.at.Now.Add(tryRetention))
	}
	ans = a.withLoad(ans)
	for _, t := range s.tokens {
		a.replyServe(t, ans)
	}
}

// startQueued runs queued requests while slots are free.
func (a *Agent) startQueued() {
	a.expireQueue()
	for len(a.serve.queue) > 0 && len(a.serve.running) < a.slots {
		s := a.serve.queue[0]
		a.serve.queue = a.serve.queue[1:]
		a.startCall(s)
	}
}

// expireQueue refuses queued requests that can no longer meet their deadlines.
func (a *Agent) expireQueue() {
	keep := a.serve.queue[:0]
	for _, s := range a.serve.queue {
		if a.at.Now.Add(a.serve.means[s.req.Service]).Before(s.req.Deadline) {
			keep = append(keep, s)
			continue
		}
		a.count("refuse", ReasonDeadline)
		a.answerAll(s, ServeAnswer{ID: s.req.ID, Outcome: OutcomeRefused, Reason: ReasonDeadline})
	}
	clear(a.serve.queue[len(keep):])
	a.serve.queue = keep
}
