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

// timedReducer is a reducer that requests ticks at given times. Like the reducers
// of package core, it requests the next tick only after the last one is due.
type timedReducer struct {
	wakeTimes []time.Time
	nextWake  time.Time
	ticks     []time.Time
}

func (s *timedReducer) Reduce(at core.Stamp, _ core.EntryEvent) []core.EntryEffect {
	for len(s.wakeTimes) > 0 && !s.wakeTimes[0].After(at.Now) {
		s.ticks = append(s.ticks, at.Now)
		s.wakeTimes = s.wakeTimes[1:]
	}
	if len(s.wakeTimes) == 0 || s.nextWake.After(at.Now) {
		return nil
	}
	s.nextWake = s.wakeTimes[0]
	return []core.EntryEffect{core.Wake{At: s.nextWake}}
}

func newTimedReducer(wakeTimes ...time.Time) (*timedReducer, *driver[core.EntryEvent, core.EntryEffect]) {
	s := &timedReducer{wakeTimes: wakeTimes}
	m := newMeter(&log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	return s, newDriver(m, MonotonicClock(), core.EntryEvent(core.Tick{}), s.Reduce, func(core.EntryEffect) {})
}

func TestDriverWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		s, d := newTimedReducer(now.Add(time.Second), now.Add(2*time.Second), now.Add(5*time.Second))
		d.post(core.Tick{})
		time.Sleep(10 * time.Second)
		d.close()
		assert.Equal(t, len(s.ticks), 3)
		assert.Equal(t, s.ticks[2].Sub(now), 5*time.Second)
	})
}

// TestDriverKeepsWakeOnLateTimer checks that no wake is lost if the timer
// fires late and an event is posted between the wake's time and the timer.
func TestDriverKeepsWakeOnLateTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		s, d := newTimedReducer(now.Add(time.Second), now.Add(3*time.Second))
		d.post(core.Tick{})
		d.timer.Reset(1200 * time.Millisecond) // the timer fires late
		time.Sleep(1100 * time.Millisecond)
		d.post(core.Tick{})
		time.Sleep(10 * time.Second)
		d.close()
		assert.Equal(t, len(s.ticks), 2)
		assert.Equal(t, s.ticks[1].Sub(now), 3*time.Second)
	})
}

// TestDriverRearmsEarlyTimer checks that no wake is lost if the timer runs faster
// than the clock and fires before the wake's time.
func TestDriverRearmsEarlyTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		s, d := newTimedReducer(now.Add(time.Second))
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

		_, stays := newTimedReducer()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, stays.leave(ctx, core.Leave{}), context.DeadlineExceeded)
	})
}
