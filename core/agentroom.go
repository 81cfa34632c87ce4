package core

import "time"

// awaitMargin is how long before its permit expires a task that awaits room is handed back:
// a worker refuses a launch that reaches it later.
const awaitMargin = 100 * time.Millisecond

// awaitTimeout is how long an admitted task awaits room at most.
const awaitTimeout = 2 * time.Second

// keepTime is how long the room that a task has waited for is kept once it is handed back.
// Its entry orders it anew within that time, with a new permit.
const keepTime = 300 * time.Millisecond

// keptRoom is room that is kept for a task that was handed back.
type keptRoom struct {
	task  TaskID
	size  Size
	until time.Time
}

// keptFromOthers returns the size that is kept for a task other than the given one.
func (a *Agent) keptFromOthers(t TaskID) Size {
	if a.kept.task == t || a.held[a.kept.task] != nil || !a.at.Now.Before(a.kept.until) {
		return Size{}
	}
	return a.kept.size
}

// mayAwaitRoom reports whether an order that does not fit may wait here until short tasks
// complete. Only long-running tasks do: entries that place short tasks by views that are a
// moment old would take each bit of free capacity before one that needs more of it. What
// stays free until then goes to no other order.
func (a *Agent) mayAwaitRoom(o Order) bool {
	if !o.LongRunning || !o.Urgent || o.BestEffort || o.Isolated || a.keptFromOthers(o.Attempt.Task) != (Size{}) {
		return false
	}
	rest := a.capacity.Minus(a.reservedByServices()).Minus(a.unmanaged)
	for _, t := range a.held {
		if t.order.LongRunning {
			rest = rest.Minus(t.size())
		}
	}
	return a.expectedSize(o).Fits(rest)
}

// advanceAwaited ends the wait of a task for room as soon as it fits, by the same condition
// as an order that has just come, or hands it back.
func (a *Agent) advanceAwaited() {
	for _, t := range a.heldByUnsavedWork() {
		if !t.awaitsRoom || t.stopping != "" {
			continue
		}
		room := a.capacity.Minus(a.committed()).Plus(a.awaitedSince(t)).Plus(a.preemptible())
		switch {
		case !a.at.Now.Before(a.awaitEnd(t)):
			a.stop(t, EndEvicted, "no room within its permit")
			a.kept = keptRoom{task: t.order.Attempt.Task, size: t.size(), until: a.at.Now.Add(keepTime)}
		case t.size().Fits(room):
			t.awaitsRoom = false
			a.makeRoom()
		}
	}
}

// awaitedSince returns the size of a task that awaits room, and of those that have come after
// it: they take nothing before it does.
func (a *Agent) awaitedSince(t *heldTask) (s Size) {
	for _, u := range a.held {
		if u.awaitsRoom && !u.admittedAt.Before(t.admittedAt) {
			s = s.Plus(u.size())
		}
	}
	return s
}

// awaitEnd returns when a task that awaits room is handed back.
func (a *Agent) awaitEnd(t *heldTask) time.Time { return a.launchEnd(t).Add(-awaitMargin) }

// launchEnd returns until when an admitted task may be launched. The permit of a long-running
// one is renewed with the lease while it awaits room: an echo says as much of the table as the
// one of its order, and the agent knows itself whether it was fenced or closed since.
func (a *Agent) launchEnd(t *heldTask) time.Time {
	end := a.permitEnd(t.order)
	if !t.order.LongRunning || a.isClosed() || !a.pol.on(guardPermit) {
		return end
	}
	return latest(end, earliest(a.echo.Add(a.pol.Permit), t.admittedAt.Add(awaitTimeout)))
}

// awaitedProcessors returns the processors that are reserved for a task that awaits room. It
// does not run yet, so it takes none from best-effort tasks.
func (a *Agent) awaitedProcessors() (s Size) {
	for _, t := range a.held {
		if t.awaitsRoom {
			s.Millicores += t.reserved().Millicores
		}
	}
	return s
}

// takesNoRoom reports whether the task has to wait until others are gone, so that nothing is
// evicted for it.
func (t *heldTask) takesNoRoom() bool { return t.isolationPending() || t.awaitsRoom }
