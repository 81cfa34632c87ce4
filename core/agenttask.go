package core

import (
	"cmp"
	"sort"
	"time"
)

// heldTask is a task that the agent has admitted.
type heldTask struct {
	order          Order
	peakUsage      Size // largest usage observed
	admittedAt     time.Time
	launched       bool      // a Launch has been sent to the worker
	launchedAt     time.Time // when it was sent; of an adopted task, when the worker started it
	stale          bool      // of the worker's former boot, but its present one runs or may run it
	listed         bool      // the worker has listed it
	started        bool      // the worker has confirmed the launch, or listed it
	launchLostAt   time.Time // when the answer to the launch was lost; zero if it arrived
	epoch          uint64    // of the launch, see Policy.FencedCalls
	stopAcceptedAt time.Time // when the worker accepted a stop; zero if it has not
	deadline       time.Time
	stopping       EndKind
	stopSentAt     time.Time
	evictAt        time.Time // when a drain evicts it; zero if there is none
	savedAt        time.Time // last checkpoint, or the start
	saved          string    // name of the newest checkpoint, if the worker names one
	percent        int       // of full speed; zero if never changed
	// speedUnconfirmed says that the worker has not answered a change of the speed.
	speedUnconfirmed bool
	throttledBy      int           // of a best-effort task: full speed less its speed, in percent
	paced            bool          // a best-effort task has got its first speed
	pacedAt          time.Time     // last change of a best-effort task's speed
	slowSince        time.Time     // since when a best-effort task is slowed; zero if it is not
	usedMillicores   int64         // as last measured by the worker
	utilization      float64       // see pace.Load
	awaitsRoom       bool          // it was admitted beyond the free capacity, see mayAwaitRoom
	moved            bool          // its claim was moved: its end is not reported
	expectedSize     Size          // from the usage ratio of its class
	tailLatency      time.Duration // of a long-running task, as last measured by the worker
}

// adoptedTask returns a task that an earlier run of the agent started. Only an
// upper bound of its deadline at the worker is known.
func adoptedTask(t WorkerTask, latestDeadline time.Time) *heldTask {
	return &heldTask{
		deadline: latestDeadline,
		order: Order{
			Attempt: t.Attempt, Holder: Holder{Inc: t.Inc}, Class: t.Class, Size: t.Size, Urgent: t.Urgent,
			BestEffort: t.BestEffort, LongRunning: t.LongRunning, Target: t.Target,
		},
		peakUsage: t.Used, launched: true, launchedAt: t.Started, listed: true, started: true, savedAt: latest(t.Started, t.Checkpointed),
	}
}

// size returns the size that the VM commits to the task: the maximum of its
// declared size, its peak usage, and the size expected from its class.
func (t *heldTask) size() Size { return t.order.Size.Max(t.peakUsage).Max(t.expectedSize) }

// reserved returns the size that is reserved for the task. A best-effort task has
// no processors reserved.
func (t *heldTask) reserved() Size { return reservedSize(t.size(), t.order.BestEffort) }

// preemptible returns the part of the size that urgent tasks may take.
func (t *heldTask) preemptible() Size {
	switch {
	case t.order.BestEffort:
		return t.size().Minus(t.reserved())
	case t.order.Urgent:
		return Size{}
	}
	return t.size()
}

// Times of stops and drains.
const (
	// stopRetryInterval is how long a stop may go without effect before it is sent
	// again.
	stopRetryInterval = 2 * time.Second
	// stopInspectInterval is the time between two inspections of the worker while
	// a stop has not taken effect, or an isolated task has just been launched.
	stopInspectInterval = 50 * time.Millisecond
	// evictMargin is how long before a drain's deadline the last task is evicted.
	evictMargin = 3 * time.Second
	// evictSpread is the time over which a drain spreads the evictions of one VM.
	evictSpread = 4 * time.Second
)

// committed returns the total size that the VM is committed to.
func (a *Agent) committed() Size {
	sum := a.reservedByServices().Plus(a.unmanaged)
	for _, t := range a.held {
		sum = sum.Plus(t.size())
	}
	return sum
}

// reservedByServices returns the size that the configuration reserves for the VM's
// services.
func (a *Agent) reservedByServices() Size {
	var sum Size
	for _, name := range a.services {
		if row, ok := a.config.service(name); ok {
			sum = sum.Plus(row.Size)
		}
	}
	return sum
}

// preemptible returns the part of committed that urgent tasks may take.
func (a *Agent) preemptible() Size {
	var sum Size
	for _, t := range a.held {
		sum = sum.Plus(t.preemptible())
	}
	return sum
}

// reserved returns the total size reserved for the VM's services and tasks,
// including unmanaged tasks.
func (a *Agent) reserved() Size {
	sum := a.reservedByServices().Plus(a.unmanaged)
	for _, t := range a.held {
		sum = sum.Plus(t.reserved())
	}
	return sum
}

// leaseEnd returns when the lease expires: tasks pause then unless it is renewed.
func (a *Agent) leaseEnd() time.Time {
	if !a.pol.on(guardLease) {
		return a.at.Now.Add(24 * time.Hour)
	}
	return a.echo.Add(a.pol.Lease)
}

// makeRoom evicts batch tasks until the reserved sizes fit the VM, those with the
// least unsaved work first. It makes room for urgent tasks, for usage above the
// declared size, and when the capacity has shrunk. A task whose end frees nothing that is
// exceeded stays.
func (a *Agent) makeRoom() {
	if !a.pol.on(guardAdmission) {
		return
	}
	over := a.reserved()
	for _, t := range a.heldByUnsavedWork() {
		if t.stopping != "" || t.takesNoRoom() {
			over = over.Minus(t.reserved())
		}
	}
	for _, t := range a.heldByUnsavedWork() {
		if over.Fits(a.capacity) {
			return
		}
		if t.order.Urgent || t.stopping != "" || t.takesNoRoom() || !frees(t.reserved(), over, a.capacity) {
			continue
		}
		over = over.Minus(t.reserved())
		a.count("evict", ReasonRoom)
		a.stop(t, EndEvicted, "room for urgent work or grown usage")
	}
}

// frees reports whether a size frees some of what the sum exceeds the capacity by.
func frees(s, sum, capacity Size) bool {
	return s.Millicores > 0 && sum.Millicores > capacity.Millicores || s.MemoryMB > 0 && sum.MemoryMB > capacity.MemoryMB ||
		s.Accelerators > 0 && sum.Accelerators > capacity.Accelerators
}

// heldByUnsavedWork returns the held tasks, those with the least work since a
// checkpoint first.
func (a *Agent) heldByUnsavedWork() []*heldTask {
	ts := make([]*heldTask, 0, len(a.held))
	for _, t := range a.held {
		ts = append(ts, t)
	}
	sort.Slice(ts, func(i, j int) bool {
		if !ts[i].savedAt.Equal(ts[j].savedAt) {
			return ts[i].savedAt.After(ts[j].savedAt)
		}
		return lessTask(ts[i].order.Attempt.Task, ts[j].order.Attempt.Task)
	})
	return ts
}

func lessTask(t, u TaskID) bool {
	if t.Job != u.Job {
		return t.Job < u.Job
	}
	return t.N < u.N
}

// advanceLaunches launches admitted tasks once there is room for them. A task
// whose permit expires first is handed back.
func (a *Agent) advanceLaunches() {
	if !a.ready || a.fenced || a.workerDown() || a.workerUnresponsive() {
		return
	}
	for _, t := range a.heldByUnsavedWork() {
		if t.launched || t.stopping != "" {
			continue
		}
		if !a.permitEnd(t.order).After(a.at.Now) {
			a.stop(t, EndEvicted, "no room within its permit")
			continue
		}
		if t.awaitsRoom || !a.fitsNow(t) || !a.leaseEnd().After(a.at.Now) {
			continue
		}
		t.launched, t.launchedAt, t.epoch = true, a.at.Now, a.calls.current
		t.deadline = earliest(a.leaseEnd(), a.permitEnd(t.order))
		a.grantedUntil = latest(a.grantedUntil, t.deadline)
		a.emit(Launch{Order: t.order, Deadline: t.deadline, Epoch: t.epoch, Boot: a.boot})
		if t.order.Isolated {
			a.nextInspect = earliest(a.nextInspect, a.at.Now.Add(stopInspectInterval))
		}
	}
}

// permitEnd returns when the permit of an order expires: no task starts by it
// afterwards. It is part of the launch deadline too, so that an agent that is
// paused before its call starts nothing late.
func (a *Agent) permitEnd(o Order) time.Time {
	if !a.pol.on(guardPermit) {
		return a.at.Now.Add(24 * time.Hour)
	}
	return o.Echo.Add(a.pol.Permit)
}

// fitsNow reports whether the task fits beside all tasks that the worker may still
// be running.
func (a *Agent) fitsNow(t *heldTask) bool {
	if !a.pol.on(guardAdmission) {
		return true
	}
	if t.order.Isolated && !a.isApart(t.order.Attempt.Task.Job) {
		return false
	}
	sum := a.reservedByServices().Plus(a.unmanaged).Plus(t.reserved())
	for _, u := range a.held {
		if u != t && u.launched {
			sum = sum.Plus(u.reserved())
		}
	}
	return sum.Fits(a.capacity)
}

// isLaunchedBy reports whether an answer is that to the task's latest launch.
func (t *heldTask) isLaunchedBy(ev Launched) bool {
	return t != nil && t.launched && t.order.Attempt == ev.Attempt && t.epoch == ev.Epoch
}

// handleLaunched handles the worker's answer to a Launch. A lost answer is settled
// by a later inspection, or by the launch's deadline.
func (a *Agent) handleLaunched(ev Launched) {
	if ev.Fault == FaultNoAnswer || ev.CopyLost {
		a.calls.noteUnanswered(ev.Epoch, ev.Broken && !ev.CopyLost, a.at.Now)
		a.calls.noteGrantLost(ev.Epoch, a.grantedUntil)
	}
	t := a.held[ev.Attempt.Task]
	if !t.isLaunchedBy(ev) {
		return
	}
	if ev.Fault != FaultNone {
		a.noteWorkerDown(t.launchedAt, t.launchedAt)
	}
	switch {
	case ev.Superseded && ev.Epoch != a.calls.current:
		a.undoLaunch(t)
	case ev.Fault == FaultNoAnswer:
		a.count("launch", ReasonCut)
		a.logEvent("start unanswered", ev.Attempt.String())
		t.launchLostAt = a.at.Now
	case ev.Fault == FaultNotSent && t.stale:
		a.recordEnd(t, End{Attempt: ev.Attempt, Kind: EndLost, Reason: "its worker was restarted"})
	case ev.Fault == FaultNotSent:
		t.launched = false
		a.handBackUnlaunched()
	case ev.Started && t.stale:
		t.started = true
		a.stop(t, EndEvicted, "launched after its worker was restarted")
	case ev.Started:
		t.started, a.launchedAt = true, a.at.Now
		a.logEvent("task started", ev.Attempt.String(), "step", t.order.Step, "index", t.order.Index,
			"besteffort", t.order.BestEffort, "target", t.order.Target.String(), "size", t.order.Size.Millicores,
			"image", t.order.Class)
		a.renewTask(t)
		a.reportSoon() // an entry may throttle it
	case ev.Retryable:
		a.count("launch", ReasonWorker)
		a.recordEnd(t, End{Attempt: ev.Attempt, Kind: EndLost, Reason: "worker refused: " + ev.Reason})
	default:
		a.recordEnd(t, End{Attempt: ev.Attempt, Kind: EndFailed, Reason: "worker refused: " + ev.Reason})
	}
}

// extend extends the deadline. The worker never shortens one either.
func (t *heldTask) extend(end time.Time) { t.deadline = latest(t.deadline, end) }

// renewTask extends a started task's deadline from that of the launch to that of
// the lease.
func (a *Agent) renewTask(t *heldTask) {
	if t.deadline.Equal(a.leaseEnd()) || t.stopping != "" || a.fenced {
		return
	}
	t.extend(a.leaseEnd())
	a.emitRenew([]Attempt{t.order.Attempt})
}

// emitRenew extends the deadlines of tasks at the worker to the end of the lease.
func (a *Agent) emitRenew(ts []Attempt) {
	if a.pol.FencedCalls {
		a.renewUntil = latest(a.renewUntil, a.leaseEnd()) // carried by the next inspection
		return
	}
	a.grantedUntil = latest(a.grantedUntil, a.leaseEnd())
	a.emit(Renew{Attempts: ts, Deadline: a.leaseEnd()})
}

// stopPending reports whether a recent stop has not taken effect yet.
func (a *Agent) stopPending() bool {
	for _, t := range a.held {
		if t.stopping != "" && a.at.Now.Sub(t.stopSentAt) < stopRetryInterval {
			return true
		}
	}
	return false
}

// handleStopAsked stops an attempt on an entry's order.
func (a *Agent) handleStopAsked(ev StopAsked) {
	t, ok := a.held[ev.Attempt.Task]
	if !ok || t.order.Attempt != ev.Attempt || ev.Inc != a.inc {
		return
	}
	a.stop(t, ev.Kind, ev.Reason)
}

// stop stops a task before its end. A task that was never launched ends at once.
func (a *Agent) stop(t *heldTask, kind EndKind, reason string) {
	if !t.launched {
		a.addTombstone(t.order.Attempt)
		a.recordEnd(t, End{Attempt: t.order.Attempt, Kind: kind, Reason: reason})
		return
	}
	if t.stopping == kind && a.at.Now.Sub(t.stopSentAt) < stopRetryInterval {
		return
	}
	t.stopping, t.stopSentAt = kind, a.at.Now
	a.stopAtWorker(t.order.Attempt, kind, reason)
}

// stopAtWorker orders the worker to stop an attempt.
func (a *Agent) stopAtWorker(t Attempt, kind EndKind, reason string) {
	a.logEvent("run stopped", t.String(), "kind", string(kind), "reason", reason)
	a.emit(Control{Attempt: t, Verb: VerbStop, Kind: kind, Reason: reason, Epoch: a.calls.current})
}

// handleControlled handles the worker's answer to a Control. It inspects the
// worker again after a stop.
func (a *Agent) handleControlled(ev Controlled) {
	if ev.Fault == FaultNoAnswer || ev.CopyLost {
		a.calls.noteUnanswered(ev.Epoch, ev.Broken && !ev.CopyLost, a.at.Now)
	}
	if ev.Verb == VerbStop && ev.Fault == FaultNone && !a.inspecting {
		a.inspect()
	}
	t, ok := a.held[ev.Attempt.Task]
	if !ok || t.order.Attempt != ev.Attempt {
		return
	}
	switch {
	case ev.Verb == VerbStop && ev.Done:
		t.stopAcceptedAt = a.at.Now
	case ev.Verb == VerbStop:
		t.stopSentAt = time.Time{} // to be sent again
	case ev.Verb == VerbThrottle && !ev.Done:
		t.speedUnconfirmed = true
	case ev.Verb == VerbCheckpoint && ev.Done:
		t.savedAt = a.at.Now
	}
}

// recordEnd moves a task from held to ends. The end of an attempt whose claim is being moved is
// of no use unless it outlasts the incarnation: an entry records that as long as the claim stands.
func (a *Agent) recordEnd(t *heldTask, e End) {
	delete(a.held, t.order.Attempt.Task)
	e.Saved = cmp.Or(e.Saved, t.saved)
	a.logEvent("run ended", e.Attempt.String(), "kind", string(e.Kind), "reason", e.Reason, "moved", t.moved,
		"listed", t.listed, "launched", a.since(t.launchedAt), "inspected", a.since(a.inspectedAt),
		"deadline", a.since(t.deadline), "granted", a.since(a.grantedUntil), "late", a.since(a.calls.extendedLateUntil()))
	a.updateUsageRatio(t)
	if t.moved && !e.outlastsIncarnation() {
		return
	}
	if e.Kind == EndFailed || e.Kind == EndLost || e.Kind == EndCrashed {
		a.count("task", Reason(e.Kind))
	}
	e.Started = t.started
	a.ends[e.Attempt] = e
	a.reportEnd(t.order.By)
}

// since returns how long before now a time was, for logs; empty for a zero time.
func (a *Agent) since(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return a.at.Now.Sub(t).Round(time.Millisecond).String()
}

// advanceCheckpoints orders the periodic checkpoints.
func (a *Agent) advanceCheckpoints() {
	for _, t := range a.heldByUnsavedWork() {
		if !t.listed || t.stopping != "" || a.at.Now.Sub(t.savedAt) < a.pol.CheckpointInterval {
			continue
		}
		t.savedAt = a.at.Now
		a.emit(Control{Attempt: t.order.Attempt, Verb: VerbCheckpoint})
	}
}

// nextTaskTime returns the next time at which a held task needs an action.
func (a *Agent) nextTaskTime() time.Time {
	var next time.Time
	for _, t := range a.held {
		if t.stopping != "" {
			continue
		}
		next = earliest(next, t.evictAt)
		if t.isolationPending() {
			next = earliest(next, t.admittedAt.Add(isolateGrace))
		}
		if t.awaitsRoom {
			next = earliest(next, a.awaitEnd(t))
		}
		if t.listed {
			next = earliest(next, t.savedAt.Add(a.pol.CheckpointInterval))
		}
	}
	return next
}

func lessAttempt(t, u Attempt) bool {
	if t.Task != u.Task {
		return lessTask(t.Task, u.Task)
	}
	return t.Number < u.Number
}

func latest(t, u time.Time) time.Time {
	if u.After(t) {
		return u
	}
	return t
}
