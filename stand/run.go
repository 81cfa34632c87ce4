package stand

import (
	"math"
	"time"

	"jayloft/core"
)

const (
	// doneWithin is the rest of a task's work that counts as none.
	doneWithin = time.Microsecond
	// thrash is how much slower a VM runs when its memory is overcommitted.
	thrash = 4.0
	// callMillicores is what one running request takes.
	callMillicores = 1000
)

// sample is a task's use of the VM from a time on.
type sample struct {
	at   time.Time
	used core.Size
}

// begin lets a task run whose input and progress are known.
func (m *Model) begin(now time.Time, t *task, class Class) {
	if m.failing {
		m.finish(now, t, core.EndFailed, "", "the worker fails everything")
		return
	}
	t.total = max(class.Work(t.order.Input), doneWithin)
	t.use = class.used(t.order)
	if t.state == core.WorkerRunning {
		m.open(now, t)
	}
	m.sample(now, t)
}

// Advance moves the VM's tasks forward to now. Those that reach the end of
// their work end, and those whose deadline passes are paused, each at its time.
func (m *Model) Advance(now time.Time) {
	if m.boot == "" || !now.After(m.at) {
		return
	}
	for m.at.Before(now) {
		slow := m.slowdown()
		next := now
		for _, t := range m.tasks {
			if at, ok := m.nextChange(t, slow); ok && at.Before(next) {
				next = at
			}
		}
		step := next.Sub(m.at)
		for _, t := range m.tasks {
			t.done += time.Duration(float64(step) * m.rate(t, slow))
		}
		m.at = next
		m.settle()
	}
}

// nextChange returns when a task ends or pauses if nothing else changes. It is
// after m.at.
func (m *Model) nextChange(t *task, slow float64) (time.Time, bool) {
	if t.state != core.WorkerRunning {
		return time.Time{}, false
	}
	at := t.deadline
	if rate := m.rate(t, slow); rate > 0 {
		left := time.Duration(math.Ceil(float64(t.total-t.done) / rate))
		if end := m.at.Add(max(left, 1)); end.Before(at) {
			at = end
		}
	}
	return at, true
}

// settle ends and pauses the tasks whose time has come.
func (m *Model) settle() {
	for _, t := range m.tasks {
		switch {
		case t.state != core.WorkerRunning:
		case m.rate(t, 1) > 0 && t.total-t.done <= doneWithin:
			t.done = t.total
			out, err := m.classes[t.order.Class].run(t.order.Input)
			if err != nil {
				m.finish(m.at, t, core.EndFailed, "", err.Error())
			} else {
				m.finish(m.at, t, core.EndDone, out, "")
			}
		case !t.deadline.After(m.at):
			t.state = core.WorkerPaused
			m.close(m.at, t, "deadline")
			m.sample(m.at, t)
			m.checkpoint(m.at, t)
		}
	}
}

// rate returns how fast a task's work goes on; 1 is full speed. Slow is the
// VM's own slowdown.
func (m *Model) rate(t *task, slow float64) float64 {
	if t.state != core.WorkerRunning || t.loading || t.stop != "" || m.frozen {
		return 0
	}
	return float64(t.percent) / 100 / slow
}

// slowdown returns the factor by which the VM's load makes everything slower.
func (m *Model) slowdown() float64 {
	var used core.Size
	for _, t := range m.tasks {
		used = used.Plus(t.using())
	}
	used.Millicores += int64(m.calls) * callMillicores
	f := m.slow
	if c := m.spec.Capacity.Millicores; c > 0 && used.Millicores > c {
		f *= float64(used.Millicores) / float64(c)
	}
	if a := m.spec.Capacity.Accelerators; used.Accelerators > a {
		f *= float64(used.Accelerators) / float64(max(a, 1))
	}
	if used.MemoryMB > m.spec.Capacity.MemoryMB {
		f *= thrash
	}
	return f
}

// declared returns the sum of the declared sizes of the tasks not ended.
func (m *Model) declared() core.Size {
	var sum core.Size
	for _, t := range m.tasks {
		if t.state != core.WorkerEnded {
			sum = sum.Plus(t.order.Size)
		}
	}
	return sum
}

// using returns what the task takes of the VM now. A paused task keeps its
// memory and accelerators.
func (t *task) using() core.Size {
	if t.state == core.WorkerEnded || t.loading {
		return core.Size{}
	}
	u := t.use
	u.Millicores = u.Millicores * int64(t.percent) / 100
	if t.state == core.WorkerPaused || t.stop != "" {
		u.Millicores = 0
	}
	return u
}

// sample records the task's use from now on.
func (m *Model) sample(now time.Time, t *task) {
	t.usage = append(t.usage, sample{now, t.using()})
	old := now.Add(-m.spec.Lag)
	for len(t.usage) > 1 && t.usage[1].at.Before(old) {
		t.usage = t.usage[1:]
	}
}

// usedAt returns the use at a time.
func usedAt(s []sample, at time.Time) core.Size {
	for i := len(s) - 1; i >= 0; i-- {
		if !s[i].at.After(at) {
			return s[i].used
		}
	}
	return core.Size{}
}

// finish ends a task.
func (m *Model) finish(now time.Time, t *task, kind core.EndKind, output, reason string) {
	m.close(now, t, "end")
	t.state = core.WorkerEnded
	t.end = core.End{Attempt: t.order.Attempt, Kind: kind, Output: output, Reason: reason}
	m.sample(now, t)
	m.note(now, KindEnd, t.order.Attempt.String(), string(kind))
}

// open notes that a task runs from now on.
func (m *Model) open(now time.Time, t *task) {
	if t.open || t.loading || t.percent == 0 || t.stop != "" {
		return
	}
	t.open = true
	m.note(now, KindRun, t.order.Attempt.String(), progress(t.done, t.total))
	m.sample(now, t)
}

// close notes that a task no longer runs.
func (m *Model) close(now time.Time, t *task, why string) {
	if !t.open {
		return
	}
	t.open = false
	m.note(now, KindPause, t.order.Attempt.String(), progress(t.done, t.total)+" why="+why)
}
