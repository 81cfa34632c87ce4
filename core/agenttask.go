package core

import (
	"sort"
	"time"
)

// heldTask is a task that the agent has admitted.
type heldTask struct {
	order    Order
	peak     Size // largest usage seen
	launched bool // the worker was told to start it
	listed   bool // the worker has listed it
	started  bool // the worker has confirmed the launch, or listed it
	deadline time.Time
	stopping EndKind
	stopSent time.Time
	evictAt  time.Time // when a drain stops it; zero if not
	saved    time.Time // last checkpoint, or the start
	percent  int       // of full speed; zero if never changed
	moved    bool      // its claim is another's: its end is of no use
}

func adopted(t WorkerTask) *heldTask {
	return &heldTask{
		order: Order{
			Attempt: t.Attempt, Holder: Holder{Inc: t.Inc}, Class: t.Class, Size: t.Size, Urgent: t.Urgent,
		},
		peak: t.Used, launched: true, listed: true, started: true, saved: latest(t.Started, t.Checkpointed),
	}
}

// size returns what the task is committed at: the larger of what it declared
// and what it was seen to use.
func (t *heldTask) size() Size { return t.order.Size.Max(t.peak) }

// Times of the agent's dealings with its worker.
const (
	// restopAfter is how long a stop may go without effect before it is
	// sent again.
	restopAfter = 2 * time.Second
	// evictMargin is how long before a drain's deadline the last task stops.
	evictMargin = 3 * time.Second
	// evictSpread is the time over which a drain stops the tasks of one VM.
	evictSpread = 4 * time.Second
)

// committed returns the sum of all that the VM is committed to.
func (a *Agent) committed() Size {
	sum := a.reserved()
	for _, t := range a.held {
		sum = sum.Plus(t.size())
	}
	return sum
}

// reserved returns what the VM's services are configured to take.
func (a *Agent) reserved() Size {
	var sum Size
	for _, name := range a.services {
		if row, ok := a.config.service(name); ok {
			sum = sum.Plus(row.Size)
		}
	}
	return sum
}

// batch returns the part of committed that urgent tasks may take.
func (a *Agent) batch() Size {
	var sum Size
	for _, t := range a.held {
		if !t.order.Urgent {
			sum = sum.Plus(t.size())
		}
	}
	return sum
}

// startAsked admits or refuses an order. A refusal promises that the attempt
// never starts here, so it leaves a tombstone.
func (a *Agent) startAsked(ev StartAsked) {
	r := a.admit(ev.Order)
	if r == ReasonNone {
		a.emit(StartReply{Token: ev.Token, Started: true})
		return
	}
	a.bury(ev.Order.Attempt)
	a.count("start", r)
	a.emit(StartReply{Token: ev.Token, Reason: r})
}

// bury makes sure that an attempt never starts here. Orders still on their way
// can't be fresher than now, so the permit bounds how long this matters.
func (a *Agent) bury(t Attempt) {
	if !a.pol.on(guardTombstone) {
		return
	}
	for k, until := range a.graves {
		if until.Before(a.at.Now) {
			delete(a.graves, k)
		}
	}
	a.graves[t] = a.at.Now.Add(a.pol.Permit + time.Second)
}

// admit takes an order in, or says why not.
func (a *Agent) admit(o Order) Reason {
	if a.has(o) {
		return ReasonNone
	}
	if r := a.checkOrder(o); r != ReasonNone {
		return r
	}
	if a.held[o.Attempt.Task] != nil {
		return ReasonDuplicate
	}
	if a.pol.on(guardAdmission) {
		room := a.capacity.Minus(a.committed())
		if o.Urgent {
			room = room.Plus(a.batch())
		}
		if !o.Size.Fits(room) {
			return ReasonRoom
		}
	}
	a.held[o.Attempt.Task] = &heldTask{order: o, saved: a.at.Now}
	a.makeRoom()
	return ReasonNone
}

// has reports whether the order's attempt was admitted before.
func (a *Agent) has(o Order) bool {
	if t := a.held[o.Attempt.Task]; t != nil && t.order.Attempt == o.Attempt {
		return o.Holder.Inc == a.inc
	}
	_, ok := a.ends[o.Attempt]
	return ok
}

// checkOrder checks all that doesn't depend on the VM's room.
func (a *Agent) checkOrder(o Order) Reason {
	if !a.ready {
		return ReasonWorker
	}
	if a.pol.on(guardIncarnation) && (o.Holder.Worker != a.site.Worker || o.Holder.Inc != a.inc) {
		return ReasonIncarnation
	}
	if _, ok := a.graves[o.Attempt]; ok {
		return ReasonTombstone
	}
	if out, _ := a.dcOut(); out || a.leaving || a.fenced {
		return ReasonLeaving
	}
	if a.pol.on(guardPermit) && (o.Echo.Before(a.joined) || o.Echo.After(a.at.Now) || a.at.Now.Sub(o.Echo) > a.pol.Permit) {
		return ReasonStale
	}
	if a.pol.on(guardLease) && !a.leaseEnd().After(a.at.Now) {
		return ReasonLease
	}
	return ReasonNone
}

// leaseEnd returns when tasks pause unless the lease is renewed.
func (a *Agent) leaseEnd() time.Time {
	if !a.pol.on(guardLease) {
		return a.at.Now.Add(24 * time.Hour)
	}
	return a.echo.Add(a.pol.Lease)
}

// makeRoom stops batch tasks until what is committed fits, those that lose
// least first. It serves urgent tasks and usage that outgrows a declaration.
func (a *Agent) makeRoom() {
	if !a.pol.on(guardAdmission) {
		return
	}
	over := a.committed()
	for _, t := range a.heldInOrder() {
		if t.stopping != "" {
			over = over.Minus(t.size())
		}
	}
	for _, t := range a.heldInOrder() {
		if over.Fits(a.capacity) {
			return
		}
		if t.order.Urgent || t.stopping != "" {
			continue
		}
		over = over.Minus(t.size())
		a.count("evict", ReasonRoom)
		a.stop(t, EndEvicted, "room for urgent work or grown usage")
	}
}

// heldInOrder returns the held tasks, least work since a checkpoint first.
func (a *Agent) heldInOrder() []*heldTask {
	ts := make([]*heldTask, 0, len(a.held))
	for _, t := range a.held {
		ts = append(ts, t)
	}
	sort.Slice(ts, func(i, j int) bool {
		if !ts[i].saved.Equal(ts[j].saved) {
			return ts[i].saved.After(ts[j].saved)
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

// launchDue starts admitted tasks once there is room for them.
func (a *Agent) launchDue() {
	if !a.ready || a.fenced {
		return
	}
	for _, t := range a.heldInOrder() {
		if t.launched || t.stopping != "" {
			continue
		}
		if !a.permitEnd(t.order).After(a.at.Now) {
			a.stop(t, EndEvicted, "no room within its permit")
			continue
		}
		if !a.roomNow(t) || !a.leaseEnd().After(a.at.Now) {
			continue
		}
		t.launched = true
		t.deadline = earliest(a.leaseEnd(), a.permitEnd(t.order))
		a.emit(Launch{Order: t.order, Deadline: t.deadline})
	}
}

// permitEnd returns when an order may no longer lead to a start. It bounds the
// launch too, so that an agent that pauses before its call starts nothing late.
func (a *Agent) permitEnd(o Order) time.Time {
	if !a.pol.on(guardPermit) {
		return a.at.Now.Add(24 * time.Hour)
	}
	return o.Echo.Add(a.pol.Permit)
}

// roomNow reports whether the task fits beside all that the worker may still
// be running.
func (a *Agent) roomNow(t *heldTask) bool {
	if !a.pol.on(guardAdmission) {
		return true
	}
	sum := a.reserved().Plus(t.size())
	for _, u := range a.held {
		if u != t && u.launched {
			sum = sum.Plus(u.size())
		}
	}
	return sum.Fits(a.capacity)
}

// launched takes the worker's answer to a Launch. A lost answer is settled by
// the next account of the worker, or by the launch's deadline.
func (a *Agent) launched(ev Launched) {
	t, ok := a.held[ev.Attempt.Task]
	if !ok || t.order.Attempt != ev.Attempt {
		return
	}
	switch {
	case ev.Fault == FaultCut:
		a.count("launch", ReasonCut)
	case ev.Fault == FaultNotSent:
		t.launched = false
	case ev.Started:
		t.started = true
		a.renewTask(t)
	default:
		a.ended(t, End{Attempt: ev.Attempt, Kind: EndFailed, Reason: "worker refused: " + ev.Reason})
	}
}

// renewTask moves a started task's deadline from the launch's to the lease's.
func (a *Agent) renewTask(t *heldTask) {
	if t.deadline.Equal(a.leaseEnd()) || t.stopping != "" || a.fenced {
		return
	}
	t.deadline = a.leaseEnd()
	a.emit(Renew{Attempts: []Attempt{t.order.Attempt}, Deadline: t.deadline})
}

// stopAsked stops an attempt by an entry's order.
func (a *Agent) stopAsked(ev StopAsked) {
	t, ok := a.held[ev.Attempt.Task]
	if !ok || t.order.Attempt != ev.Attempt || ev.Inc != a.inc {
		return
	}
	a.stop(t, ev.Kind, ev.Reason)
}

// stop ends a task early. A task that was never launched ends at once.
func (a *Agent) stop(t *heldTask, kind EndKind, reason string) {
	if !t.launched {
		a.bury(t.order.Attempt)
		a.ended(t, End{Attempt: t.order.Attempt, Kind: kind, Reason: reason})
		return
	}
	if t.stopping == kind && a.at.Now.Sub(t.stopSent) < restopAfter {
		return
	}
	t.stopping, t.stopSent = kind, a.at.Now
	a.emit(Control{Attempt: t.order.Attempt, Verb: VerbStop, Kind: kind, Reason: reason})
}

// controlled looks at the worker again after a stop.
func (a *Agent) controlled(ev Controlled) {
	if ev.Verb == VerbStop && ev.Fault == FaultNone && !a.inspecting {
		a.inspectNow()
	}
	if ev.Verb == VerbCheckpoint && ev.Done {
		if t, ok := a.held[ev.Attempt.Task]; ok && t.order.Attempt == ev.Attempt {
			t.saved = a.at.Now
		}
	}
}

// ended moves a task from held to ends.
func (a *Agent) ended(t *heldTask, e End) {
	delete(a.held, t.order.Attempt.Task)
	if t.moved {
		return
	}
	if e.Kind == EndFailed || e.Kind == EndLost {
		a.count("task", Reason(e.Kind))
	}
	a.ends[e.Attempt] = e
	a.beatSoon()
}

// matchTasks compares what is held with the worker's account.
func (a *Agent) matchTasks(tasks []WorkerTask) {
	a.used = Size{}
	for _, w := range tasks {
		a.used = a.used.Plus(w.Used)
		a.matchTask(w)
	}
	listed := make(map[Attempt]bool, len(tasks))
	for _, w := range tasks {
		listed[w.Attempt] = true
	}
	for _, t := range a.heldInOrder() {
		if !listed[t.order.Attempt] {
			a.missing(t)
		}
	}
	a.makeRoom()
	a.rejoin()
}

func (a *Agent) matchTask(w WorkerTask) {
	t, ok := a.held[w.Attempt.Task]
	mine := ok && t.order.Attempt == w.Attempt
	if w.State == WorkerEnded {
		a.matchEnded(t, mine, w)
		return
	}
	if !mine && !ok && w.Inc == a.inc && !a.settledIn() {
		t, mine = adopted(w), true
		a.held[w.Attempt.Task] = t
	}
	if !mine {
		a.emit(Control{Attempt: w.Attempt, Verb: VerbStop, Kind: EndCancelled, Reason: "not admitted"})
		return
	}
	if !t.listed {
		t.listed, t.started = true, true
		a.renewTask(t)
	}
	t.peak = t.peak.Max(w.Used)
	t.saved = latest(t.saved, w.Checkpointed)
	if t.stopping != "" && a.at.Now.Sub(t.stopSent) >= restopAfter {
		a.stop(t, t.stopping, "again")
	}
}

// matchEnded takes the end of a task, and lets the worker forget one whose end
// is of no more use.
func (a *Agent) matchEnded(t *heldTask, mine bool, w WorkerTask) {
	if mine {
		e := w.End
		e.Attempt = w.Attempt
		a.ended(t, e)
		if t.moved {
			a.emit(Control{Attempt: w.Attempt, Verb: VerbForget})
		}
		return
	}
	if _, ok := a.ends[w.Attempt]; ok {
		return
	}
	if w.Inc != a.inc || a.knows(w.Attempt) {
		a.emit(Control{Attempt: w.Attempt, Verb: VerbForget})
		return
	}
	e := w.End
	e.Attempt = w.Attempt
	a.ends[w.Attempt] = e
}

// knows reports whether an ended attempt was reported and recorded by this
// life of the agent.
func (a *Agent) knows(t Attempt) bool {
	_, ok := a.graves[t]
	return ok
}

// missing handles a held task that the worker doesn't list.
func (a *Agent) missing(t *heldTask) {
	switch {
	case !t.launched:
	case t.listed:
		a.ended(t, End{Attempt: t.order.Attempt, Kind: EndLost, Reason: "vanished from its worker"})
	case a.at.Now.After(t.deadline.Add(a.pol.Drift)):
		a.ended(t, End{Attempt: t.order.Attempt, Kind: EndLost, Reason: "never seen at its worker"})
	}
}

// checkpointDue takes the regular checkpoints.
func (a *Agent) checkpointDue() {
	for _, t := range a.heldInOrder() {
		if !t.listed || t.stopping != "" || a.at.Now.Sub(t.saved) < a.pol.CheckpointEvery {
			continue
		}
		t.saved = a.at.Now
		a.emit(Control{Attempt: t.order.Attempt, Verb: VerbCheckpoint})
	}
}

// drainDue stops tasks while the VM's data centre is out. They go on until
// shortly before the deadline, so that those that end by then need not move.
func (a *Agent) drainDue() {
	out, by := a.dcOut()
	if !out {
		for _, t := range a.held {
			t.evictAt = time.Time{}
		}
		return
	}
	ts := a.heldInOrder()
	last := latest(a.at.Now, by.Add(-evictMargin))
	if a.pol.DrainAtOnce {
		last = a.at.Now
	}
	for i, t := range ts {
		if t.evictAt.IsZero() {
			t.evictAt = latest(a.at.Now, last.Add(-evictSpread*time.Duration(i)/time.Duration(len(ts))))
		}
		if t.stopping == "" && !t.evictAt.After(a.at.Now) {
			a.count("evict", ReasonLeaving)
			a.stop(t, EndEvicted, "data centre "+string(a.site.DC)+" is out")
		}
	}
}

// nextTaskDue returns when a held task next needs something.
func (a *Agent) nextTaskDue() time.Time {
	var next time.Time
	for _, t := range a.held {
		if t.stopping != "" {
			continue
		}
		next = earliest(next, t.evictAt)
		if t.listed {
			next = earliest(next, t.saved.Add(a.pol.CheckpointEvery))
		}
	}
	return next
}

// settleAsked answers what became of an attempt. "Never" is a promise.
func (a *Agent) settleAsked(ev SettleAsked) {
	a.emit(SettleReply{Token: ev.Token, State: a.settle(ev)})
}

func (a *Agent) settle(ev SettleAsked) SettleState {
	if !a.settledIn() {
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
	a.bury(ev.Attempt)
	return SettleNever
}

func latest(t, u time.Time) time.Time {
	if u.After(t) {
		return u
	}
	return t
}
