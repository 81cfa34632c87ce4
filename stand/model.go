package stand

import (
	"slices"
	"strconv"
	"time"

	"jayloft/core"
)

// Spec is what a worker's VM has.
type Spec struct {
	Worker   core.WorkerID
	Capacity core.Size
	Slots    int
	Services []string      // that its endpoint runs
	Lag      time.Duration // age of the usage that Inspect reports
}

// Model is the state machine of one worker's VM. It starts whatever it is
// given, whether it fits or not, and slows down when it is overcommitted. Time
// moves only by the now that its methods are given, which must not go back.
//
// A Model does no I/O. What it wants loaded and saved is taken with Loads and
// Saves, and reported back with Loaded and Saved.
type Model struct {
	spec     Spec
	classes  map[string]Class
	services map[string]Service
	journal  *Journal

	at      time.Time // tasks have been advanced up to here
	boot    string    // empty while the VM is down
	tasks   []*task   // in order of launch
	calls   int       // running requests
	loads   []Load
	saves   []Checkpoint
	slow    float64 // factor on all running times
	failing bool    // everything that starts fails
	frozen  bool
}

// task is one attempt at a worker.
type task struct {
	order        core.Order
	deadline     time.Time
	state        core.WorkerState
	started      time.Time
	checkpointed time.Time
	done, total  time.Duration // of work at full speed
	percent      int           // of full speed
	loading      bool          // waits for its input or checkpoint
	stop         core.EndKind  // set while a checkpoint for a stop is being saved
	end          core.End
	use          core.Size // at full speed
	usage        []sample
	open         bool // the journal shows it running
}

// Checkpoint is the progress of an attempt, to be saved.
type Checkpoint struct {
	Attempt core.Attempt
	Done    time.Duration // of work at full speed
	At      time.Time
}

// Load asks for what a launched task needs before it can run.
type Load struct {
	Attempt core.Attempt
	Input   string
	// Resume asks for the checkpoint with the highest attempt number that is
	// at most Attempt.Number.
	Resume bool
}

// NewModel returns a worker's VM that is up from now on.
func NewModel(spec Spec, now time.Time, opts ...Option) *Model {
	c := newConfig(opts)
	m := &Model{spec: spec, classes: c.classes, services: c.services, journal: c.journal, slow: 1}
	m.Boot(now)
	return m
}

// Boot starts the VM anew if it is down, with nothing running.
func (m *Model) Boot(now time.Time) {
	if m.boot != "" {
		return
	}
	m.at = now
	m.boot = string(m.spec.Worker) + "-" + strconv.FormatInt(now.UnixNano(), 36)
	m.note(now, KindBoot, m.boot, "")
}

// Kill ends the VM at once: its tasks and calls vanish without an end.
func (m *Model) Kill(now time.Time) {
	if m.boot == "" {
		return
	}
	m.Advance(now)
	for _, t := range m.tasks {
		m.close(now, t, "kill")
	}
	m.note(now, KindKill, m.boot, "")
	m.tasks, m.loads, m.saves, m.calls, m.boot = nil, nil, nil, 0, ""
}

// Up reports whether the VM runs.
func (m *Model) Up() bool { return m.boot != "" }

// SetSlow sets the factor by which everything on the VM takes longer.
func (m *Model) SetSlow(now time.Time, factor float64) {
	m.Advance(now)
	m.slow = max(factor, 1)
}

// SetFailing sets whether everything that starts on the VM fails at once.
func (m *Model) SetFailing(now time.Time, on bool) {
	m.Advance(now)
	m.failing = on
}

// SetFrozen sets whether the VM stands still. Deadlines pass all the same.
func (m *Model) SetFrozen(now time.Time, on bool) {
	m.Advance(now)
	m.frozen = on
}

// Launch starts an attempt. An attempt that is known already isn't started
// again, and one whose deadline has passed is not started at all.
func (m *Model) Launch(now time.Time, l core.Launch) (started bool, reason string) {
	m.Advance(now)
	o := l.Order
	class, ok := m.classes[o.Class]
	switch {
	case !m.Up():
		return false, "the VM is down"
	case m.find(o.Attempt) != nil:
		return true, ""
	case !l.Deadline.After(now):
		return false, "the deadline has passed"
	case !ok:
		return false, "no such class: " + o.Class
	}
	t := &task{order: o, deadline: l.Deadline, state: core.WorkerRunning, started: now, percent: 100}
	m.tasks = append(m.tasks, t)
	m.note(now, KindLaunch, o.Attempt.String(), string(o.Holder.Inc))
	if sum := m.declared(); !sum.Fits(m.spec.Capacity) {
		m.note(now, KindOver, o.Attempt.String(), sum.String())
	}
	resume := o.Attempt.Number > 1
	if resume || isObject(o.Input) {
		t.loading = true
		m.loads = append(m.loads, Load{Attempt: o.Attempt, Input: o.Input, Resume: resume})
		return true, ""
	}
	m.begin(now, t, class)
	return true, ""
}

// Loads returns what launched tasks wait for, each once.
func (m *Model) Loads() []Load {
	l := m.loads
	m.loads = nil
	return l
}

// Loaded starts a task that waited for its input or checkpoint. Done is the
// progress of the checkpoint, or zero if there is none.
func (m *Model) Loaded(now time.Time, a core.Attempt, input string, done time.Duration) {
	m.Advance(now)
	t := m.find(a)
	if t == nil || !t.loading {
		return
	}
	t.loading = false
	t.order.Input = input
	t.done = done
	m.begin(now, t, m.classes[t.order.Class])
}

// LoadFailed ends a task whose input doesn't exist.
func (m *Model) LoadFailed(now time.Time, a core.Attempt, reason string) {
	m.Advance(now)
	if t := m.find(a); t != nil && t.loading {
		t.loading = false
		m.finish(now, t, core.EndFailed, "", reason)
	}
}

// Renew moves the deadlines of tasks, never back, and resumes those that were
// paused for them.
func (m *Model) Renew(now time.Time, r core.Renew) {
	m.Advance(now)
	for _, a := range r.Attempts {
		t := m.find(a)
		if t == nil || t.state == core.WorkerEnded || !r.Deadline.After(t.deadline) {
			continue
		}
		t.deadline = r.Deadline
		if t.state == core.WorkerPaused && t.deadline.After(now) {
			t.state = core.WorkerRunning
			m.open(now, t)
		}
	}
}

// Inspect returns the VM's account of itself. Usage is as old as Spec.Lag.
func (m *Model) Inspect(now time.Time) core.Inspected {
	m.Advance(now)
	in := core.Inspected{Boot: m.boot, Capacity: m.spec.Capacity, Slots: m.spec.Slots, Services: m.spec.Services}
	for _, t := range m.tasks {
		in.Tasks = append(in.Tasks, core.WorkerTask{
			Attempt:      t.order.Attempt,
			Inc:          t.order.Holder.Inc,
			Class:        t.order.Class,
			Size:         t.order.Size,
			Used:         usedAt(t.usage, now.Add(-m.spec.Lag)),
			Urgent:       t.order.Urgent,
			State:        t.state,
			End:          t.end,
			Started:      t.started,
			Checkpointed: t.checkpointed,
		})
	}
	return in
}

func (m *Model) find(a core.Attempt) *task {
	i := slices.IndexFunc(m.tasks, func(t *task) bool { return t.order.Attempt == a })
	if i < 0 {
		return nil
	}
	return m.tasks[i]
}

func (m *Model) note(at time.Time, kind Kind, subject, detail string) {
	m.journal.Add(Entry{At: at, Kind: kind, Subject: subject, Detail: detail, Worker: m.spec.Worker})
}
