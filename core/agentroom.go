package core

import "time"

// awaitMargin is how long before its permit expires a task that awaits room is handed back:
// a worker refuses a launch that reaches it later.
const awaitMargin = 100 * time.Millisecond

// keepTime is how long the room that a task has waited for is kept once it is handed back.
// Its entry records that and orders it anew with a new permit, which takes a busy one seconds.
const keepTime = 2500 * time.Millisecond

// keptRoom is room that is kept for a task that was handed back.
type keptRoom struct {
	size  Size
	until time.Time
}

// keepRoom keeps room for a task that is handed back.
func (a *Agent) keepRoom(t *heldTask) {
	for id, k := range a.kept {
		if !a.at.Now.Before(k.until) {
			delete(a.kept, id)
		}
	}
	a.kept[t.order.Attempt.Task] = keptRoom{size: t.size(), until: a.at.Now.Add(keepTime)}
}

// keptFromOthers returns the size that is kept for tasks other than the given one.
func (a *Agent) keptFromOthers(t TaskID) (s Size) {
	for id, k := range a.kept {
		if id != t && a.held[id] == nil && a.at.Now.Before(k.until) {
			s = s.Plus(k.size)
		}
	}
	return s
}

// mayAwaitRoom reports whether an order that does not fit may wait here until short tasks
// complete. Only long-running tasks do: entries that place short tasks by views that are a
// moment old would take each bit of free capacity before one that needs more of it. What
// stays free until then goes to no other order.
func (a *Agent) mayAwaitRoom(o Order) bool {
	if !o.LongRunning || !o.Urgent || o.BestEffort || o.Isolated {
		return false
	}
	rest := a.capacity.Minus(a.reservedByServices()).Minus(a.unmanaged).Minus(a.keptFromOthers(o.Attempt.Task))
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
		room := a.capacity.Minus(a.committed()).Minus(a.keptFromOthers(t.order.Attempt.Task)).Plus(a.awaitedSince(t)).Plus(a.preemptible())
		switch {
		case !a.at.Now.Before(a.awaitEnd(t)):
			a.stop(t, EndEvicted, "no room within its permit")
			a.keepRoom(t)
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
func (a *Agent) awaitEnd(t *heldTask) time.Time { return a.permitEnd(t.order).Add(-awaitMargin) }

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
