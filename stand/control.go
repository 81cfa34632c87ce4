package stand

import (
	"fmt"
	"slices"
	"time"

	"jayloft/core"
)

// Control throttles, checkpoints, stops or forgets a task. A task that is
// stopped ends once its checkpoint is saved, or at once if it is cancelled.
func (m *Model) Control(now time.Time, c core.Control) (done bool, reason string) {
	m.Advance(now)
	t := m.find(c.Attempt)
	if t == nil {
		return false, "no such task"
	}
	ended := t.state == core.WorkerEnded
	if c.Verb == core.VerbForget {
		if !ended {
			return false, "the task has not ended"
		}
		m.tasks = slices.DeleteFunc(m.tasks, func(x *task) bool { return x == t })
		return true, ""
	}
	if ended {
		return false, "the task has ended"
	}
	switch c.Verb {
	case core.VerbThrottle:
		m.throttle(now, t, c.Percent)
	case core.VerbCheckpoint:
		m.checkpoint(now, t)
	case core.VerbStop:
		m.stop(now, t, c.Kind)
	default:
		return false, "no such verb: " + string(c.Verb)
	}
	return true, ""
}

func (m *Model) throttle(now time.Time, t *task, percent int) {
	t.percent = min(max(percent, 0), 100)
	if t.percent == 0 {
		m.close(now, t, "throttle")
	} else if t.state == core.WorkerRunning {
		m.open(now, t)
	}
	m.sample(now, t)
}

// checkpoint asks for the task's progress to be saved. A task that waits for
// its own checkpoint has no progress of its own.
func (m *Model) checkpoint(now time.Time, t *task) {
	if !t.loading {
		m.saves = append(m.saves, Checkpoint{Attempt: t.order.Attempt, Done: t.done, At: now})
	}
}

func (m *Model) stop(now time.Time, t *task, kind core.EndKind) {
	if kind == core.EndCancelled || t.loading {
		t.loading = false
		m.finish(now, t, kind, "", "")
		return
	}
	t.stop = kind
	m.close(now, t, "stop")
	m.sample(now, t)
	m.checkpoint(now, t)
}

// Saves returns the checkpoints that wait to be saved, each once.
func (m *Model) Saves() []Checkpoint {
	s := m.saves
	m.saves = nil
	return s
}

// Saved says that a checkpoint has been saved.
func (m *Model) Saved(now time.Time, c Checkpoint) {
	m.Advance(now)
	t := m.find(c.Attempt)
	if t == nil || t.state == core.WorkerEnded {
		return
	}
	if c.At.After(t.checkpointed) {
		t.checkpointed = c.At
	}
	m.note(now, KindCheckpoint, c.Attempt.String(), progress(c.Done, t.total))
	if t.stop != "" && c.Done == t.done {
		m.finish(now, t, t.stop, "", "")
	}
}

func progress(done, total time.Duration) string {
	return fmt.Sprintf("done=%v total=%v", done, total)
}
