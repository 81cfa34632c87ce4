package fake

import (
	"time"

	"jayloft/core"
)

// judge is told of an entry's decision on a read.
type judge struct {
	by      time.Time // when the caller stops waiting
	answer  func(core.JobAnswer)
	command func(core.CommandResult)
}

// judge tells the judges of the decisions among an entry's effects. An answer that
// the entry only passes on was judged when the other entry made it.
func (e *entry) judge(effects []core.EntryEffect) {
	for _, eff := range effects {
		switch x := eff.(type) {
		case core.JobReply:
			j, ok := e.takeJudge(x.Token)
			if ok && j.answer != nil && (e.passing == nil || *e.passing != x.Answer) {
				j.answer(x.Answer)
			}
		case core.CommandReply:
			if j, ok := e.takeJudge(x.Token); ok && j.command != nil {
				j.command(x.Result)
			}
		}
	}
}

// takeJudge removes and returns the judge of a read. It reports false if there is
// none, or nobody waits for the answer any more.
func (e *entry) takeJudge(t core.Token) (judge, bool) {
	j, ok := e.judges[t]
	delete(e.judges, t)
	return j, ok && !e.w.now.After(j.by)
}

// jobRequestArrived hands a job request to the entry. The function answer, if any, is
// called with its decision.
func (e *entry) jobRequestArrived(q core.JobRequest, by time.Time, answer func(core.JobAnswer), reply func(core.JobAnswer)) {
	t := e.w.nextToken()
	e.jobRequests[t] = reply
	if answer != nil {
		e.judges[t] = judge{by: by, answer: answer}
	}
	q.Deadline = e.proc.clock.local(by)
	e.reduce(core.JobRequested{Token: t, Request: q})
}

// relay sends a job request to the entry that owns the job, which decides it.
func (e *entry) relay(x core.Relay) {
	by := e.proc.clock.world(x.Request.Deadline)
	to := e.w.entryAt(x.Addr)
	r := request[core.JobAnswer]{
		from: e.proc, limit: max(by.Sub(e.w.now), time.Millisecond),
		done: func(a core.JobAnswer, f core.Fault) {
			if f == core.FaultNone {
				e.passing = &a
			}
			e.reduce(core.RelayAnswered{Token: x.Token, Answer: a, Fault: f})
			e.passing = nil
		},
	}
	if to != nil {
		r.to = to.proc
		r.serve = func(reply func(core.JobAnswer)) {
			to.jobRequestArrived(x.Request, by, e.w.oracle.judgeOf(to, x.Request), reply)
		}
	}
	send(e.w, r)
}
