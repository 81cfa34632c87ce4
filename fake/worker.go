package fake

import (
	"fmt"
	"time"

	"jayloft/core"
)

// worker is a VM's own interface: it starts whatever it is given, runs tasks
// under deadlines on its clock, and forgets everything when its VM dies.
type worker struct {
	w        *World
	vm       *vm
	proc     *proc
	boot     string
	tasks    map[core.Attempt]*task
	order    []core.Attempt         // of launches
	calls    map[core.RequestID]int // the life of the agent that asked
	failing  bool                   // fails everything it starts
	unwell   bool                   // its interface doesn't answer
	launches int
	capacity core.Size // as reported; zero for that of the World
	shrinks  []shrink  // of the capacity
}

// shrink is a change of a worker's capacity to a smaller one.
type shrink struct {
	at     time.Time
	before core.Size
}

// largestSince returns the largest capacity that the worker has reported since a time.
func (k *worker) largestSince(t time.Time) core.Size {
	size := k.size()
	for _, s := range k.shrinks {
		if s.at.After(t) {
			size = size.Max(s.before)
		}
	}
	return size
}

// size returns the capacity that the worker reports.
func (k *worker) size() core.Size {
	if k.capacity == (core.Size{}) {
		return k.w.cfg.capacity
	}
	return k.capacity
}

// resize changes the capacity that the worker reports.
func (k *worker) resize(s core.Size) {
	if old := k.size(); !old.Fits(s) {
		k.shrinks = append(k.shrinks, shrink{at: k.w.now, before: old})
	}
	k.capacity = s
}

// task is one attempt at a worker.
type task struct {
	order    core.Order
	state    core.WorkerState
	end      core.End
	started  time.Time // worker's clock
	saved    time.Time // worker's clock
	deadline time.Time // worker's clock
	did      time.Duration
	total    time.Duration
	since    time.Time // World's clock: did is as of then
	percent  int
	gen      int // of its scheduled end
}

// checkpoint is the progress of a task in the object store.
type checkpoint struct {
	attempt uint32
	did     time.Duration
}

// objects is the platform's object store.
type objects struct {
	kept map[core.TaskID]checkpoint
	down int
}

// speed of a task in full-speed time for each unit of time.
func (t *task) speed() float64 {
	if t.state != core.WorkerRunning {
		return 0
	}
	return float64(t.percent) / 100
}

// advance brings the task's progress up to date.
func (k *worker) advance(t *task) {
	t.did += time.Duration(float64(k.w.now.Sub(t.since)) * t.speed())
	t.since = k.w.now
}

// plan schedules what happens next to the task: its end or its deadline.
func (k *worker) plan(t *task) {
	t.gen++
	gen, life := t.gen, k.proc.life
	if t.state != core.WorkerRunning {
		return
	}
	at := k.proc.clock.world(t.deadline)
	if s := t.speed(); s > 0 {
		if end := k.w.now.Add(time.Duration(float64(t.total-t.did)/s) + 1); end.Before(at) {
			at = end
		}
	}
	k.w.at(at, func() {
		k.w.deliver(k.proc, life, func() {
			if t.gen == gen {
				k.due(t)
			}
		})
	})
}

// due ends the task or pauses it after a checkpoint.
func (k *worker) due(t *task) {
	k.advance(t)
	now := k.proc.clock.local(k.w.now)
	switch {
	case !now.Before(t.deadline):
		k.save(t)
		k.set(t, core.WorkerPaused)
	case t.did >= t.total:
		k.finish(t)
	default:
		k.plan(t)
	}
}

func (k *worker) finish(t *task) {
	t.end = core.End{Attempt: t.order.Attempt, Kind: core.EndDone, Output: outputOf(t.order.Attempt)}
	if k.failing || t.order.Class == ClassBad {
		t.end = core.End{Attempt: t.order.Attempt, Kind: core.EndFailed, Reason: "exit status 1"}
	}
	k.set(t, core.WorkerEnded)
}

// set changes a task's state and tells the oracle.
func (k *worker) set(t *task, s core.WorkerState) {
	k.advance(t)
	t.state = s
	k.w.log(k.proc.name, fmt.Sprintf("%s is %s %s", t.order.Attempt, s, t.end.Kind))
	k.plan(t)
	k.w.oracle.changed(k)
}

// save writes a checkpoint, unless a later attempt has written one.
func (k *worker) save(t *task) bool {
	if k.w.objects.down > 0 {
		return false
	}
	k.advance(t)
	id := t.order.Attempt.Task
	if old := k.w.objects.kept[id]; old.attempt > t.order.Attempt.Number {
		return false
	}
	k.w.objects.kept[id] = checkpoint{attempt: t.order.Attempt.Number, did: t.did}
	t.saved = k.proc.clock.local(k.w.now)
	k.w.oracle.saved(id, t.order.Attempt.Number, t.did)
	return true
}

// launched is the worker's answer to a Launch or Control.
type launched struct {
	ok     bool
	reason string
}

func (k *worker) launch(l core.Launch) launched {
	a := l.Order.Attempt
	if _, ok := k.tasks[a]; ok {
		return launched{ok: true, reason: "exists"}
	}
	if !k.proc.clock.local(k.w.now).Before(l.Deadline) {
		return launched{reason: "deadline"}
	}
	from := k.w.objects.kept[a.Task]
	t := &task{
		order:    l.Order,
		state:    core.WorkerRunning,
		started:  k.proc.clock.local(k.w.now),
		deadline: l.Deadline,
		did:      from.did,
		total:    k.w.cfg.work(a.Task),
		since:    k.w.now,
		percent:  100,
	}
	if k.failing || l.Order.Class == ClassBad {
		t.total = min(t.total, t.did+200*time.Millisecond)
	}
	k.tasks[a] = t
	k.order = append(k.order, a)
	k.launches++
	k.w.log(k.proc.name, fmt.Sprintf("%s is launched at %s", a, from.did))
	k.plan(t)
	k.w.oracle.launched(k, t, from)
	k.w.oracle.changed(k)
	if l.Order.Class == ClassCrash {
		life := k.proc.life
		k.w.after(crashDelay, func() {
			k.w.deliver(k.proc, life, func() { k.w.crash(k.vm, crashTime) })
		})
	}
	return launched{ok: true}
}

func (k *worker) renew(r core.Renew) {
	now := k.proc.clock.local(k.w.now)
	for _, a := range r.Attempts {
		t, ok := k.tasks[a]
		if !ok || t.state == core.WorkerEnded || !now.Before(r.Deadline) {
			continue
		}
		k.advance(t)
		t.deadline = r.Deadline
		if t.state == core.WorkerPaused {
			k.set(t, core.WorkerRunning)
			continue
		}
		k.plan(t)
	}
}

func (k *worker) control(c core.Control) launched {
	t, ok := k.tasks[c.Attempt]
	if !ok {
		return launched{reason: "no such task"}
	}
	switch c.Verb {
	case core.VerbThrottle:
		k.advance(t)
		t.percent = c.Percent
		k.plan(t)
		return launched{ok: true}
	case core.VerbCheckpoint:
		return launched{ok: k.save(t)}
	case core.VerbForget:
		if t.state != core.WorkerEnded {
			return launched{reason: "not ended"}
		}
		delete(k.tasks, c.Attempt)
		k.forget(c.Attempt)
		return launched{ok: true}
	case core.VerbStop:
		return k.stop(t, c)
	}
	return launched{reason: "no such verb"}
}

func (k *worker) stop(t *task, c core.Control) launched {
	if t.state == core.WorkerEnded {
		return launched{ok: true}
	}
	if c.Kind == core.EndEvicted && !k.save(t) {
		return launched{reason: "no checkpoint"}
	}
	t.end = core.End{Attempt: c.Attempt, Kind: c.Kind, Reason: c.Reason}
	k.set(t, core.WorkerEnded)
	return launched{ok: true}
}

func (k *worker) forget(a core.Attempt) {
	for i, b := range k.order {
		if a == b {
			k.order = append(k.order[:i], k.order[i+1:]...)
			return
		}
	}
}

// inspect is the worker's account of itself. Usage comes from the tasks'
// real needs, which differ from what was declared.
func (k *worker) inspect() core.Inspected {
	ev := core.Inspected{Boot: k.boot, Capacity: k.size(), Slots: k.w.cfg.slots}
	for _, s := range k.w.cfg.services {
		ev.Services = append(ev.Services, s.Name)
	}
	for _, a := range k.order {
		t := k.tasks[a]
		ev.Tasks = append(ev.Tasks, core.WorkerTask{
			Attempt:      a,
			Inc:          t.order.Holder.Inc,
			Class:        t.order.Class,
			Size:         t.order.Size,
			Used:         usedBy(t),
			Urgent:       t.order.Urgent,
			State:        t.state,
			End:          t.end,
			Started:      t.started,
			Checkpointed: t.saved,
		})
	}
	return ev
}

// call runs a request of a service in the endpoint.
func (k *worker) call(c core.Call, reply func(core.Called)) {
	k.w.oracle.began(k, c)
	life := k.proc.life
	k.calls[c.ID] = k.vm.agent.proc.life
	k.w.after(k.w.cfg.serve(c.ID), func() {
		k.w.deliver(k.proc, life, func() {
			delete(k.calls, c.ID)
			if k.failing {
				reply(core.Called{ID: c.ID, Text: "endpoint failed"})
				return
			}
			reply(core.Called{ID: c.ID, OK: true, Body: bodyOf(c.ID)})
		})
	})
}
