package io

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"jayloft/core"
)

// sleeper is a reducer that wants a tick at certain times. As the reducers of
// package core, it asks for the next one only once the last has passed.
type sleeper struct {
	due   []time.Time
	armed time.Time
	ticks []time.Time
}

func (s *sleeper) Reduce(at core.Stamp, _ core.EntryEvent) []core.EntryEffect {
	for len(s.due) > 0 && !s.due[0].After(at.Now) {
		s.ticks = append(s.ticks, at.Now)
		s.due = s.due[1:]
	}
	if len(s.due) == 0 || s.armed.After(at.Now) {
		return nil
	}
	s.armed = s.due[0]
	return []core.EntryEffect{core.Wake{At: s.armed}}
}

func newSleeper(due ...time.Time) (*sleeper, *driver[core.EntryEvent, core.EntryEffect]) {
	s := &sleeper{due: due}
	m := newMeter(&log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	return s, newDriver(m, MonotonicClock(), core.EntryEvent(core.Tick{}), s.Reduce, func(core.EntryEffect) {})
}

func TestDriverWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		s, d := newSleeper(now.Add(time.Second), now.Add(2*time.Second), now.Add(5*time.Second))
		d.post(core.Tick{})
		time.Sleep(10 * time.Second)
		d.close()
		assert.Equal(t, len(s.ticks), 3)
		assert.Equal(t, s.ticks[2].Sub(now), 5*time.Second)
	})
}

// TestDriverKeepsTheLastWake shows that an event which comes after a wake's
// time but before the timer has rung loses no wake.
func TestDriverKeepsTheLastWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		s, d := newSleeper(now.Add(time.Second), now.Add(3*time.Second))
		d.post(core.Tick{})
		d.timer.Reset(1200 * time.Millisecond) // the timer is late
		time.Sleep(1100 * time.Millisecond)
		d.post(core.Tick{})
		time.Sleep(10 * time.Second)
		d.close()
		assert.Equal(t, len(s.ticks), 2)
		assert.Equal(t, s.ticks[1].Sub(now), 3*time.Second)
	})
}

// TestDriverRingsTooEarly shows that a timer that is faster than the clock
// loses no wake.
func TestDriverRingsTooEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		s, d := newSleeper(now.Add(time.Second))
		d.post(core.Tick{})
		d.timer.Reset(900 * time.Millisecond)
		time.Sleep(10 * time.Second)
		d.close()
		assert.Equal(t, len(s.ticks), 1)
	})
}

func TestDriverLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMeter(&log.Logger{Handler: discard.New(), Level: log.FatalLevel})
		exits := func(_ core.Stamp, ev core.EntryEvent) []core.EntryEffect {
			if _, ok := ev.(core.Leave); ok {
				return []core.EntryEffect{core.Exit{}, core.Exit{}}
			}
			return nil
		}
		d := newDriver(m, MonotonicClock(), core.EntryEvent(core.Tick{}), exits, func(core.EntryEffect) {})
		assert.NilError(t, d.leave(t.Context(), core.Leave{}))

		_, stays := newSleeper()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, stays.leave(ctx, core.Leave{}), context.DeadlineExceeded)
	})
}
