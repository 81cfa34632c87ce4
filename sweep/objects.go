package sweep

import (
	"time"

	"jayloft/core"
	"jayloft/stand"
)

const (
	// objectTime is how long the object store takes for a checkpoint.
	objectTime = 50 * time.Millisecond
	// objectRetry is the time between two tries while the store is down.
	objectRetry = 500 * time.Millisecond
)

// saved is a task's checkpoint.
type saved struct {
	number uint32
	done   time.Duration
}

// transfer carries out what the model wants loaded and saved. Both are tried
// again while the platform is down.
func (v *vm) transfer() {
	for _, l := range v.model.Loads() {
		v.load(l, v.host.life)
	}
	for _, c := range v.model.Saves() {
		v.save(c, v.host.life)
	}
}

// look records how far the running tasks have come. The journal tells that of
// stopped ones alone.
func (v *vm) look() {
	v.transfer()
	now := v.sim.time()
	for _, t := range v.model.Inspect(now).Tasks {
		v.model.Control(now, core.Control{Attempt: t.Attempt, Verb: core.VerbCheckpoint})
	}
	for _, c := range v.model.Saves() {
		v.sim.tally.seen(c)
	}
}

func (v *vm) load(l stand.Load, life int) {
	s := v.sim
	s.after(objectTime, func() {
		switch {
		case v.host.life != life:
		case s.now < s.store.downTo:
			s.after(objectRetry, func() { v.load(l, life) })
		default:
			kept := s.objects[l.Attempt.Task]
			s.tally.resumed(l.Attempt, s.now)
			v.model.Loaded(s.time(), l.Attempt, l.Input, kept.done)
		}
	})
}

func (v *vm) save(c stand.Checkpoint, life int) {
	s := v.sim
	s.after(objectTime, func() {
		switch {
		case v.host.life != life:
		case s.now < s.store.downTo:
			s.after(objectRetry, func() { v.save(c, life) })
		default:
			old := s.objects[c.Attempt.Task]
			if old.number <= c.Attempt.Number {
				s.objects[c.Attempt.Task] = saved{c.Attempt.Number, max(c.Done, old.done)}
			}
			v.model.Saved(s.time(), c)
		}
	})
}
