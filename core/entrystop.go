package core

// orderStop orders the agent of a claim's worker to stop the attempt.
func (e *Entry) orderStop(w *workerView, c *claim, kind EndKind, reason string) {
	e.logEvent("stop ordered", c.attempt.String(), "worker", string(w.id), "kind", string(kind), "reason", reason,
		"since", e.at.Now.Sub(c.since).String())
	e.emit(Stop{Addr: w.heartbeat.Addr, Attempt: c.attempt, Inc: w.inc, Kind: kind, Reason: reason})
}
