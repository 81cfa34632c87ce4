package io

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"jayloft/core"
)

// driver feeds one reducer with events, one at a time, and hands out its
// effects. E and F are the reducer's sealed interfaces of events and effects.
type driver[E, F any] struct {
	reduce func(core.Stamp, E) []F
	carry  func(F) // must neither block nor call post
	tick   E
	meter  *meter
	now    Clock

	mu     sync.Mutex
	timer  *time.Timer
	wakeAt time.Time
	left   chan struct{}
	gone   bool // left is closed
	closed bool
}

func newDriver[E, F any](m *meter, now Clock, tick E, reduce func(core.Stamp, E) []F, carry func(F)) *driver[E, F] {
	return &driver[E, F]{
		reduce: reduce, carry: carry, tick: tick, meter: m, now: now,
		left: make(chan struct{}),
	}
}

// post reduces one event and carries out its effects.
func (d *driver[E, F]) post(ev E) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handle(ev)
}

// ask answers a question about the reducer.
func (d *driver[E, F]) ask(f func() bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return f()
}

func (d *driver[E, F]) handle(ev E) {
	if d.closed {
		return
	}
	at := core.Stamp{Now: d.now(), Seed: rand.Uint64()}
	for _, eff := range d.reduce(at, ev) {
		switch eff := any(eff).(type) {
		case core.Count:
			d.meter.count(eff)
		case core.Measure:
			d.meter.measure(eff)
		case core.Note:
			d.meter.note(eff)
		case core.Wake:
			d.wake(at.Now, eff.At)
		case core.Exit:
			d.exit()
		default:
			d.carry(eff.(F))
		}
	}
}

// wake sets the timer anew: only the last wake counts.
func (d *driver[E, F]) wake(now, at time.Time) {
	d.wakeAt = at
	in := max(at.Sub(now), 0)
	if d.timer == nil {
		d.timer = time.AfterFunc(in, d.ring)
		return
	}
	d.timer.Reset(in)
}

// ring posts a tick once the time has come. The timer and the clock may run
// at different rates, so it may be too early.
func (d *driver[E, F]) ring() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := d.now(); now.Before(d.wakeAt) {
		d.timer.Reset(d.wakeAt.Sub(now))
		return
	}
	d.handle(d.tick)
}

func (d *driver[E, F]) exit() {
	if !d.gone {
		d.gone = true
		close(d.left)
	}
}

// leave posts the event that makes the reducer leave and waits for its Exit.
func (d *driver[E, F]) leave(ctx context.Context, ev E) error {
	d.post(ev)
	select {
	case <-d.left:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// close drops all events from now on.
func (d *driver[E, F]) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.timer != nil {
		d.timer.Stop()
	}
}
