package fake

import (
	"bytes"
	"time"

	"jayloft/core"
)

// served is what really became of a caller's request.
type served struct {
	id      core.RequestID
	idem    bool
	entry   *entry
	life    int
	at      time.Time
	by      time.Time // its deadline
	begun   []string  // boots of the VMs where it ran
	reached time.Time // last arrival at an agent
	told    uint64    // configuration that this agent had been told of by then
	service string
	answers []core.Answer
	took    time.Duration // until the first answer
	gone    bool          // nobody waits for the answer any more
}

// arrived records a request that an entry has taken in.
func (o *Oracle) arrived(e *entry, q core.Request, idem bool, by time.Time) *served {
	r := &served{id: q.ID, service: q.Service, idem: idem, entry: e, life: e.proc.life, at: o.w.now, by: by}
	o.requests[q.ID] = r
	o.w.at(by.Add(AnswerSlack), func() { o.held(r) })
	return r
}

// held checks that a request has been answered by its deadline. The time that
// its entry was paused counts for nothing.
func (o *Oracle) held(r *served) {
	p := r.entry.proc
	if len(r.answers) > 0 || r.gone || !p.up || p.life != r.life {
		return
	}
	if p.paused || o.w.now.Sub(p.resumed) < AnswerSlack {
		o.w.after(AnswerSlack, func() { o.held(r) })
		return
	}
	o.fail(PointHeld, "request %s of %s ago is not answered %s after its deadline",
		r.id, o.w.now.Sub(r.at), o.w.now.Sub(r.by))
}

// reached records that a request has come to an agent.
func (o *Oracle) reached(g *agent, id core.RequestID) {
	if r := o.requests[id]; r != nil {
		r.reached, r.told = o.w.now, g.known
	}
}

// began checks the start of a request at an endpoint.
func (o *Oracle) began(k *worker, c core.Call) {
	r := o.requests[c.ID]
	if r == nil {
		o.fail(PointAnswer, "request %s begins, but nobody sent it", c.ID)
		return
	}
	r.begun = append(r.begun, k.boot)
	if !r.idem && len(r.begun) > 1 {
		o.fail(PointAtMost, "request %s begins on %s", c.ID, r.begun)
	}
	for _, a := range r.answers {
		if a.Outcome == core.OutcomeRefused {
			o.fail(PointRefused, "request %s begins on %s after it was refused: %s", c.ID, k.boot, a.Reason)
		}
	}
	o.admitted(k, r)
}

// admitted checks that a data centre that is out gets no new requests. An
// agent is excused only while it can't know: from when a fault or pause began
// or the agent started until OutFor after, as long as no entry has told it of
// the configuration.
func (o *Oracle) admitted(k *worker, r *served) {
	since, out := o.outs[k.vm.dc]
	if !out || r.reached.Sub(since) <= OutFor {
		return
	}
	g := k.vm.agent
	var at uint64
	for _, v := range o.versions {
		if !v.at.After(since) {
			at = v.rev
		}
	}
	calm := o.calm(since)
	if g.proc.resumed.After(calm) {
		calm = g.proc.resumed
	}
	if r.told < at && r.reached.Sub(calm) <= OutFor {
		return
	}
	o.fail(PointLeaving, "request %s came to %s %s after %s was taken out (told: %t)",
		r.id, k.vm.id, r.reached.Sub(since), k.vm.dc, r.told >= at)
}

// answered checks an answer to a caller.
func (o *Oracle) answered(e *entry, a core.Answer) {
	r := o.requests[a.ID]
	if r == nil || r.entry != e || r.life != e.proc.life {
		o.fail(PointAnswer, "entry %s answers request %s, which it never got", e.id(), a.ID)
		return
	}
	r.answers = append(r.answers, a)
	if len(r.answers) == 1 {
		r.took = o.w.now.Sub(r.at)
	}
	if len(r.answers) > 1 {
		o.fail(PointAnswer, "request %s is answered twice: %s, then %s", a.ID, r.answers[0].Outcome, a.Outcome)
	}
	switch a.Outcome {
	case core.OutcomeDone:
		if !bytes.Equal(a.Body, bodyOf(a.ID)) {
			o.fail(PointAnswer, "request %s is answered with %q", a.ID, a.Body)
		}
		o.ran(r, a)
	case core.OutcomeFailed:
		o.ran(r, a)
	case core.OutcomeRefused:
		if len(r.begun) > 0 {
			o.fail(PointRefused, "request %s is refused (%s) after it began on %s", a.ID, a.Reason, r.begun)
		}
	case core.OutcomeUnknown:
	default:
		o.fail(PointAnswer, "request %s is answered with outcome %q", a.ID, a.Outcome)
	}
}

func (o *Oracle) ran(r *served, a core.Answer) {
	if len(r.begun) == 0 {
		o.fail(PointAnswer, "request %s is answered %s but never began", r.id, a.Outcome)
	}
}
