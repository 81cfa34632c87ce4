package core

// handleRevokeAsked revokes a request. RevokeNever guarantees that it never runs:
// its id is remembered so that a copy still in flight is refused.
func (a *Agent) handleRevokeAsked(ev RevokeAsked) {
	state, ans := a.revoke(ev)
	a.emit(RevokeReply{Token: ev.Token, State: state, Answer: ans})
}

func (a *Agent) revoke(ev RevokeAsked) (RevokeState, ServeAnswer) {
	never := ServeAnswer{ID: ev.ID, Outcome: OutcomeRefused, Reason: ReasonRevoked}
	if ev.Run != a.self.Run {
		return RevokeUnknown, ServeAnswer{}
	}
	if _, ok := a.serve.running[ev.ID]; ok {
		return RevokeRunning, ServeAnswer{}
	}
	if ans, ok := a.serve.answers.answers[string(ev.ID)]; ok {
		if ans.Outcome == OutcomeRefused {
			return RevokeNever, ans
		}
		return RevokeResult, ans
	}
	for i, s := range a.serve.queue {
		if s.req.ID == ev.ID {
			a.serve.queue = append(a.serve.queue[:i], a.serve.queue[i+1:]...)
			a.answerAll(s, never)
			break
		}
	}
	if a.pol.on(guardTombstone) {
		a.serve.remember(ev.ID, never, a.at.Now)
	}
	return RevokeNever, never
}
