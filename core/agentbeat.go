package core

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// lowLeaseFraction is the remaining fraction of a lease below which heartbeats
// become more frequent, and lowLeaseSpeedup by which factor. An echo takes two
// heartbeats to arrive.
const (
	lowLeaseFraction = 0.5
	lowLeaseSpeedup  = 4
)

// heartbeatInterval returns the time to the next heartbeat. It is shorter while
// the lease runs out, so that the lease is renewed soon after the table is back.
func (a *Agent) heartbeatInterval() time.Duration {
	left := a.leaseEnd().Sub(a.at.Now)
	if left < time.Duration(lowLeaseFraction*float64(a.pol.Lease)) {
		return a.pol.HeartbeatInterval / lowLeaseSpeedup
	}
	return a.pol.HeartbeatInterval
}

// leaseLapsed reports whether there is no valid lease to start tasks under.
func (a *Agent) leaseLapsed() bool { return a.pol.on(guardLease) && !a.leaseEnd().After(a.at.Now) }

// heartbeat returns the present state of the VM.
func (a *Agent) heartbeat() Heartbeat {
	b := Heartbeat{
		Worker: a.self.Worker, Inc: a.inc, Run: a.self.Run, Addr: a.self.Addr,
		DC: a.self.DC, Rack: a.rack, Labels: a.labels, Sent: a.at.Now,
		Capacity: a.capacity, Committed: a.committed().Plus(a.keptFromOthers(TaskID{})), Preemptible: a.preemptible(), Used: a.used,
		Slots: a.slots, Services: a.serve.loads(a.services, a.at.Now),
		Config: a.config.rev, Leaving: a.isClosed() || a.workerDown() || a.workerUnresponsive(),
		LeaseLapsed: a.leaseLapsed(), Isolated: a.isolatedJob(),
		Unsettled: a.mayOutliveAgent(), Unheard: a.unheardHomes(),
	}
	b.Window, b.TailLatencies, b.BestEffort, b.Slowed = a.windows, a.tailLatencies, a.bestEffortLoads(), a.slowedTasks()
	for _, t := range a.heldByUnsavedWork() {
		b.Running = append(b.Running, t.order.Attempt)
		if !t.started {
			b.Launching = append(b.Launching, t.order.Attempt)
		}
		if t.order.Target > 0 {
			b.TargetedTasks++
		}
		if t.order.LongRunning {
			b.LongRunning += t.order.Size.Millicores
		}
	}
	b.ClassLoads = a.classLoads()
	for _, e := range a.ends {
		b.Ends = append(b.Ends, e)
	}
	sort.Slice(b.Ends, func(i, j int) bool { return lessAttempt(b.Ends[i].Attempt, b.Ends[j].Attempt) })
	b.Dead = slices.Sorted(maps.Keys(a.dead))
	return b
}

// bestEffortLoads returns the smoothed load of best-effort tasks, by image.
func (a *Agent) bestEffortLoads() []BestEffortLoad {
	var ls []BestEffortLoad
	for _, image := range slices.Sorted(maps.Keys(a.bestEffortMix)) {
		ls = append(ls, BestEffortLoad{Image: image, Millicores: int64(a.bestEffortMix[image])})
	}
	return ls
}

// classLoads returns the number of running batch tasks by class.
func (a *Agent) classLoads() []ClassLoad {
	n := map[string]ClassLoad{}
	for _, t := range a.held {
		if !t.order.Urgent && t.started {
			c := n[t.order.Class]
			c.Class = t.order.Class
			c.Running++
			n[t.order.Class] = c
		}
	}
	mix := slices.Collect(maps.Values(n))
	sort.Slice(mix, func(i, j int) bool { return mix[i].Class < mix[j].Class })
	return mix
}

// applyThrottles sets the speeds of tasks that interfere with a service.
func (a *Agent) applyThrottles(throttles []Throttle) {
	for _, th := range throttles {
		t, ok := a.held[th.Attempt.Task]
		if !ok || t.order.Attempt != th.Attempt || !t.started || t.stopping != "" || t.percent == th.Percent {
			continue
		}
		a.setSpeed(t, th.Percent)
	}
}

// setSpeed sets the speed of a task in percent of full speed.
func (a *Agent) setSpeed(t *heldTask, percent int) {
	t.percent, t.speedUnconfirmed = percent, false
	a.emit(Control{Attempt: t.order.Attempt, Verb: VerbThrottle, Percent: percent, Epoch: a.calls.current})
}

// handleHeartbeatAnswered applies an entry's answer.
func (a *Agent) handleHeartbeatAnswered(ev HeartbeatAnswered) {
	p, ok := a.peers[ev.Entry]
	if !ok {
		return
	}
	p.inFlight = false
	if ev.Fault != FaultNone {
		a.count("beat", ReasonCut)
		return
	}
	p.answeredAt, a.answeredAt = a.at.Now, a.at.Now
	p.answerTime = a.at.Now.Sub(p.sentAt)
	ans := ev.Answer
	a.applyConfig(ans)
	a.keepPeers(ans.Entries)
	for _, t := range ans.Recorded {
		if ev.Sent.Before(a.lateEnds[t]) {
			continue // the heartbeat told of an earlier end than the present one
		}
		a.forgetEnd(t)
	}
	a.applyThrottles(ans.Throttles)
	if len(ans.Interference) > 0 {
		a.interference = ans.Interference
	}
	if ans.Checkpoint > 0 {
		a.pol.CheckpointInterval = ans.Checkpoint
	}
	for _, t := range ans.Moved {
		a.stopMoved(t)
	}
	if a.isKnownDead(ans.Prior) && !a.dead[ans.Prior] {
		a.dead[ans.Prior] = true
		a.expediteHeartbeats()
	}
	if ev.Sent.Before(a.joinedAt) {
		return // meant for an earlier incarnation
	}
	if ans.Fenced {
		a.fence()
		return
	}
	a.renewLeases(ans.Echo)
}

// renewLeases renews the leases of the VM's tasks if the echo is newer than the
// last one.
func (a *Agent) renewLeases(echo time.Time) {
	if a.fenced || !echo.After(a.echo) || echo.After(a.at.Now) || echo.Before(a.joinedAt) {
		return
	}
	if a.leaseLapsed() {
		a.logEvent("lease renewed", string(a.inc), "held", len(a.held))
		a.expediteHeartbeats()
	}
	a.echo = echo
	if a.workerUnresponsive() {
		return
	}
	var ts []Attempt
	for _, t := range a.heldByUnsavedWork() {
		if t.started && t.stopping == "" {
			t.extend(a.leaseEnd())
			ts = append(ts, t.order.Attempt)
		}
	}
	if len(ts) > 0 {
		a.emitRenew(ts)
	}
}

// fence stops the tasks of this incarnation, because its claims are being moved. Long-running
// tasks are left to their lease, which entries wait for: they are at work until then, and stops
// would end more of a step at once than its disruption budget allows.
func (a *Agent) fence() {
	if !a.fenced {
		a.logNote("fenced", string(a.inc), "claims move elsewhere")
		a.count("fence", ReasonIncarnation)
	}
	a.fenced = true
	for _, t := range a.heldByUnsavedWork() {
		t.moved = true
		if !t.order.LongRunning || !t.started {
			a.stop(t, EndCancelled, "fenced")
		}
	}
	a.advanceFenced()
	a.rejoin()
}

// advanceFenced stops what a fenced incarnation still holds once its lease has certainly expired.
func (a *Agent) advanceFenced() {
	if !a.fenced || !a.at.Now.After(a.leaseEnd().Add(a.pol.Drift)) {
		return
	}
	for _, t := range a.heldByUnsavedWork() {
		a.stop(t, EndCancelled, "fenced")
	}
}

// rejoin starts a new incarnation once a fenced one holds no tasks.
func (a *Agent) rejoin() {
	if a.fenced && len(a.held) == 0 {
		a.newIncarnation()
	}
}

// applyConfig merges the changed configuration rows of an answer.
func (a *Agent) applyConfig(ans HeartbeatAnswer) {
	if ans.Config == 0 {
		return
	}
	for _, err := range a.config.apply(ans.Rows, ans.Config, ans.Full, a.pol.on(guardConfig)) {
		a.logNote("configuration row passed over", "", err.Error())
	}
	if row, ok := a.config.policy("queue"); ok {
		a.pol.set("queue", row)
	}
}

// forgetEnd drops an end that the table holds.
func (a *Agent) forgetEnd(t Attempt) {
	if _, ok := a.ends[t]; !ok {
		return
	}
	delete(a.ends, t)
	delete(a.lateEnds, t)
	a.tombstones[t] = a.at.Now.Add(a.pol.Permit + time.Second)
	a.emit(Control{Attempt: t, Verb: VerbForget})
}

// stopMoved stops an attempt that no longer holds the claim of its task.
func (a *Agent) stopMoved(t Attempt) {
	a.forgetEnd(t)
	held, ok := a.held[t.Task]
	if !ok || held.order.Attempt != t {
		return
	}
	held.moved = true
	a.count("evict", ReasonTombstone)
	a.stop(held, EndCancelled, "claim moved")
}
