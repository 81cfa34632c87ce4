package core

import (
	"cmp"
	"time"
)

func (a *Agent) advanceInspection() {
	if a.inspecting || a.at.Now.Before(a.nextInspect) {
		return
	}
	a.inspect()
}

func (a *Agent) inspect() {
	a.inspecting, a.inspectStartedAt = true, a.at.Now
	a.nextInspect = a.at.Now.Add(a.pol.InspectInterval)
	if a.stopPending() || a.trialPending() {
		a.nextInspect = a.at.Now.Add(stopInspectInterval)
	}
	a.inspectUntil = time.Time{}
	if a.pol.FencedCalls {
		a.calls.beginInspection()
	}
	a.inspectDeadline = a.nextDeadline()
	a.grantedUntil = latest(a.grantedUntil, a.inspectDeadline)
	if a.pol.InspectWait > 0 && a.calls.allSettled() && a.inspectDeadline.IsZero() {
		a.inspectUntil = a.at.Now.Add(a.pol.InspectWait)
	}
	a.emit(Inspect{Until: a.inspectUntil, Epoch: a.calls.inspection, Deadline: a.inspectDeadline})
}

// nextDeadline returns the deadline that the next inspection carries, zero for none. One that
// is confirmed is not sent again, and none is sent that no task needs, or to a worker that has
// not answered the last call: if it is gone, its tasks would be held for longer.
func (a *Agent) nextDeadline() time.Time {
	if !a.renewUntil.After(a.confirmedUntil) || a.inspectFaults > 0 || a.workerDown() || !a.needsLease() {
		return time.Time{}
	}
	return a.renewUntil
}

// needsLease reports whether some task is to run on at the worker.
func (a *Agent) needsLease() bool {
	for _, t := range a.held {
		if t.started && t.stopping == "" && !t.moved {
			return true
		}
	}
	return false
}

// noteInspection records whether the latest inspection, or a copy of it, got no answer. One
// that was not sent had no effect itself and tells nothing about earlier calls.
func (a *Agent) noteInspection(ev Inspected) {
	if ev.Fault != FaultNoAnswer && !ev.CopyLost {
		return
	}
	a.calls.noteUnanswered(a.calls.inspection, ev.Broken && !ev.CopyLost, a.at.Now)
	if !a.inspectDeadline.IsZero() {
		a.calls.noteGrantLost(a.calls.inspection, a.inspectDeadline)
	}
}

// copyAnswerTime is the time within which a worker answers a call unless something is wrong.
const copyAnswerTime = 300 * time.Millisecond

// mayOutliveAgent reports whether calls to the worker may extend its lease for longer than
// entries wait for if this is the agent's last heartbeat: it leaves calls unanswered, some that
// extend the lease have got no answer, or none yet.
func (a *Agent) mayOutliveAgent() bool {
	if !a.pol.FencedCalls {
		return false
	}
	if a.calls.hasTimedOutSince(a.at.Now.Add(-maxCallDelay)) {
		return true
	}
	if a.calls.extendedLateUntil().After(a.at.Now.Add(a.pol.Lease)) {
		return true
	}
	if a.inspecting && !a.inspectDeadline.IsZero() && a.at.Now.Sub(a.inspectStartedAt) > copyAnswerTime {
		return true
	}
	for _, t := range a.held {
		if t.launched && !t.started && a.at.Now.Sub(t.launchedAt) > copyAnswerTime {
			return true
		}
	}
	return false
}

// handleInspected updates the agent from an inspection. The first one determines
// its incarnation: that of the tasks still running at the worker, or a new one.
func (a *Agent) handleInspected(ev Inspected) {
	a.inspecting = false
	if !ev.Partial && ev.Fault == FaultNone {
		a.calls.endInspection()
		a.confirmedUntil = latest(a.confirmedUntil, a.inspectDeadline)
	}
	a.noteInspection(ev)
	a.checkLeft(ev.Fault)
	if ev.Fault != FaultNone {
		a.count("inspect", ReasonWorker)
		a.inspectFaults++
		a.noteInspectFailed()
		a.handleWorkerLost()
		return
	}
	reboot := a.ready && ev.Boot != a.boot
	a.boot = ev.Boot
	if reboot {
		a.handleReboot(ev.Tasks)
	}
	a.inspectedAt, a.inspectFaults, a.downSince, a.downBy = a.at.Now, 0, time.Time{}, time.Time{}
	a.lost = nil
	a.slots, a.services = ev.Slots, ev.Services
	a.setCapacity(ev.Capacity)
	a.rack, a.labels = cmp.Or(ev.Rack, a.self.Rack), ev.Labels
	if ev.Draining {
		a.drain()
	}
	if !a.ready && !a.join(ev.Tasks) {
		return
	}
	a.reconcileTasks(ev)
}

// handleWorkerResized applies a capacity that the worker has reported since the last
// inspection. That of another boot is left to the inspection that finds it.
func (a *Agent) handleWorkerResized(ev WorkerResized) {
	if !a.ready || ev.Boot != a.boot {
		return
	}
	a.setCapacity(ev.Capacity)
	a.makeRoom()
}

// setCapacity sets the VM's capacity, which may shrink and grow. The entries are told of a
// change at once.
func (a *Agent) setCapacity(s Size) {
	if s == a.capacity {
		return
	}
	if a.ready {
		a.logEvent("capacity changed", string(a.inc), "cpu", s.Millicores, "memory", s.MemoryMB, "before", a.capacity.Millicores,
			"reserved", a.reserved().Millicores)
		a.expediteHeartbeats()
	}
	a.capacity = s
}
