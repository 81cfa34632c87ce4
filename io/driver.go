package io

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"jayloft/core"
)

// driver passes events to one reducer, one at a time, and executes the effects
// that it returns. E and F are the reducer's sealed interfaces of events and
// effects.
type driver[E, F any] struct {
	reduce  func(core.Stamp, E) []F
	execute func(F) // must neither block nor call post
	tick    E
	meter   *meter
	now     Clock

	mu        sync.Mutex
	timer     *time.Timer
	wakeAt    time.Time
	exited    chan struct{}
	hasExited bool // exited is closed
	closed    bool
}

func newDriver[E, F any](m *meter, now Clock, tick E, reduce func(core.Stamp, E) []F, execute func(F)) *driver[E, F] {
	return &driver[E, F]{
		reduce: reduce, execute: execute, tick: tick, meter: m, now: now,
		exited: make(chan struct{}),
	}
}

// post reduces one event and executes its effects.
func (d *driver[E, F]) post(ev E) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handle(ev)
}

// query returns the result of f, which may read the reducer's state.
func (d *driver[E, F]) query(f func() bool) bool {
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
			d.meter.logNote(eff)
		case core.Wake:
			d.setTimer(at.Now, eff.At)
		case core.Exit:
			d.exit()
		default:
			d.execute(eff.(F))
		}
	}
}

// setTimer sets the timer to at, which replaces the time of an earlier call.
func (d *driver[E, F]) setTimer(now, at time.Time) {
	d.wakeAt = at
	in := max(at.Sub(now), 0)
	if d.timer == nil {
		d.timer = time.AfterFunc(in, d.onTimer)
		return
	}
	d.timer.Reset(in)
}

// onTimer posts a tick, or rearms the timer if wakeAt is not reached yet: the
// timer and the clock may run at different rates.
func (d *driver[E, F]) onTimer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := d.now(); now.Before(d.wakeAt) {
		d.timer.Reset(d.wakeAt.Sub(now))
		return
	}
	d.handle(d.tick)
}

func (d *driver[E, F]) exit() {
	if !d.hasExited {
		d.hasExited = true
		close(d.exited)
	}
}

// leave posts ev, which starts the reducer's shutdown, and waits for its Exit
// effect. It returns the error of ctx if that ends first.
func (d *driver[E, F]) leave(ctx context.Context, ev E) error {
	d.post(ev)
	select {
	case <-d.exited:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// leaveEvent returns the event of a graceful shutdown by the deadline of ctx, or by
// commandTimeout from now if it has none.
func leaveEvent(ctx context.Context) core.Leave {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(commandTimeout)
	}
	return core.Leave{Deadline: deadline}
}

// close stops the timer; events that are posted later are discarded.
func (d *driver[E, F]) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.timer != nil {
		d.timer.Stop()
	}
}
