package core

// handleLeave begins a graceful shutdown. It evicts all tasks unless the policy
// keeps them running.
func (a *Agent) handleLeave(ev Leave) {
	if a.leaving {
		return
	}
	a.leaving, a.leaveDeadline = true, ev.Deadline
	if a.pol.KeepTasks {
		return
	}
	for _, t := range a.heldByUnsavedWork() {
		a.stop(t, EndEvicted, "agent leaves")
	}
}

// advanceLeave ends a graceful shutdown once no task, unrecorded end or request is
// left, or at its deadline.
func (a *Agent) advanceLeave() {
	if !a.leaving {
		return
	}
	idle := (len(a.held) == 0 && len(a.ends) == 0 || a.pol.KeepTasks) && a.serve.isIdle()
	if !idle && a.at.Now.Before(a.leaveDeadline) {
		return
	}
	a.exited = true
	a.emit(Exit{})
}
