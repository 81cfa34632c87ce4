package core

import "time"

// handleStartAsked admits or refuses an order. A refusal guarantees that the
// attempt never starts here, so it leaves a tombstone.
func (a *Agent) handleStartAsked(ev StartAsked) {
	r := a.admit(ev.Order)
	if r == ReasonNone {
		a.emit(StartReply{Token: ev.Token, Started: true})
		return
	}
	a.addTombstone(ev.Order.Attempt)
	a.count("start", r)
	a.logEvent("start refused", ev.Order.Attempt.String(), "reason", string(r), "echo", a.at.Now.Sub(ev.Order.Echo).String(),
		"lease", a.leaseEnd().Sub(a.at.Now).String(), "room", a.capacity.Minus(a.reserved()).Millicores)
	a.emit(StartReply{Token: ev.Token, Reason: r})
}

// addTombstone guarantees that an attempt never starts here. The echo of an order
// in flight can't be newer than now, so a tombstone is needed only until the
// permit of such an order has expired.
func (a *Agent) addTombstone(t Attempt) {
	if !a.pol.on(guardTombstone) {
		return
	}
	for k, until := range a.tombstones {
		if until.Before(a.at.Now) {
			delete(a.tombstones, k)
		}
	}
	a.tombstones[t] = a.at.Now.Add(a.pol.Permit + time.Second)
}

// admit admits an order, or returns the reason for its refusal.
func (a *Agent) admit(o Order) Reason {
	if a.wasAdmitted(o) {
		return ReasonNone
	}
	if r := a.checkOrder(o); r != ReasonNone {
		return r
	}
	if a.held[o.Attempt.Task] != nil {
		return ReasonDuplicate
	}
	awaitsRoom := a.pol.on(guardAdmission) && !a.fits(o)
	if awaitsRoom && !a.mayAwaitRoom(o) {
		return ReasonRoom
	}
	a.held[o.Attempt.Task] = &heldTask{
		order: o, admittedAt: a.at.Now, savedAt: a.at.Now, expectedSize: a.expectedSize(o), awaitsRoom: awaitsRoom,
	}
	if awaitsRoom {
		a.expediteHeartbeats() // entries place no more tasks here
		a.logEvent("start awaits room", o.Attempt.String(), "room", a.capacity.Minus(a.reserved()).Millicores)
	}
	a.makeRoom()
	return ReasonNone
}

// fits reports whether an order's task fits beside what the VM is committed to.
func (a *Agent) fits(o Order) bool {
	room := a.capacity.Minus(a.committed()).Minus(a.keptFromOthers(o.Attempt.Task))
	if o.Urgent {
		room = room.Plus(a.preemptible())
	}
	if o.BestEffort {
		room = a.capacity.Minus(a.reserved()).Plus(a.awaitedProcessors())
	}
	if o.Isolated {
		room = a.isolationRoom(o.Attempt.Task.Job)
	}
	return reservedSize(a.expectedSize(o), o.BestEffort).Fits(room)
}

// wasAdmitted reports whether the order's attempt was admitted before.
func (a *Agent) wasAdmitted(o Order) bool {
	if t := a.held[o.Attempt.Task]; t != nil && t.order.Attempt == o.Attempt {
		return o.Holder.Inc == a.inc
	}
	_, ok := a.ends[o.Attempt]
	return ok
}

// isClosed reports whether the agent accepts no new work for now.
func (a *Agent) isClosed() bool {
	out, _ := a.dcOut()
	return out || a.leaving || a.fenced || a.draining || !a.leftAt.IsZero()
}

// checkOrder performs the checks that don't depend on the VM's free resources.
func (a *Agent) checkOrder(o Order) Reason {
	if !a.ready || a.workerDown() || a.workerUnresponsive() {
		return ReasonWorker
	}
	if a.pol.on(guardIncarnation) && (o.Holder.Worker != a.self.Worker || o.Holder.Inc != a.inc) {
		return ReasonIncarnation
	}
	if _, ok := a.tombstones[o.Attempt]; ok {
		return ReasonTombstone
	}
	if a.isClosed() {
		return ReasonLeaving
	}
	if a.pol.on(guardPermit) && (o.Echo.Before(a.joinedAt) || o.Echo.After(a.at.Now) || a.at.Now.Sub(o.Echo) > a.pol.Permit) {
		return ReasonStale
	}
	if a.pol.on(guardLease) && !a.leaseEnd().After(a.at.Now) {
		return ReasonLease
	}
	return a.checkIsolation(o)
}

// handleSettleAsked answers with the definite state of an attempt. SettleNever
// guarantees that it never starts here.
func (a *Agent) handleSettleAsked(ev SettleAsked) {
	a.emit(SettleReply{Token: ev.Token, State: a.settleState(ev)})
}

func (a *Agent) settleState(ev SettleAsked) SettleState {
	if !a.launchesSettled() {
		return SettleRunning
	}
	if ev.Inc != a.inc {
		return SettleForeign
	}
	if t, ok := a.held[ev.Attempt.Task]; ok && t.order.Attempt == ev.Attempt {
		return SettleRunning
	}
	if _, ok := a.ends[ev.Attempt]; ok {
		return SettleEnded
	}
	a.addTombstone(ev.Attempt)
	return SettleNever
}
