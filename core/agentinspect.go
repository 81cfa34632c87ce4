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
	if a.pol.InspectWait > 0 && a.calls.allSettled() {
		a.inspectUntil = a.at.Now.Add(a.pol.InspectWait)
	}
	a.emit(Inspect{Until: a.inspectUntil, Epoch: a.calls.inspection})
}

// handleInspected updates the agent from an inspection. The first one determines
// its incarnation: that of the tasks still running at the worker, or a new one.
func (a *Agent) handleInspected(ev Inspected) {
	a.inspecting = false
	if ev.Fault != FaultNone {
		a.calls.noteUnanswered(a.calls.inspection)
		a.count("inspect", ReasonWorker)
		a.inspectFaults++
		a.noteInspectFailed()
		a.handleWorkerLost()
		return
	}
	if !ev.Partial {
		a.calls.endInspection()
	}
	if ev.CopyLost {
		a.calls.noteUnanswered(a.calls.inspection)
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
