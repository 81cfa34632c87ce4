package stand

import (
	"context"
	"errors"
	"sync"
	"time"

	"jayloft/core"
)

// stepEvery is how often a worker looks what its tasks and faults need.
const stepEvery = 50 * time.Millisecond

// errKilled says that the VM died while a call was running.
var errKilled = errors.New("stand: the VM died")

// Worker serves a Model with a real clock. Close ends it.
type Worker struct {
	model  *Model
	faults *faults
	store  Store
	clock  func() time.Time

	mu      sync.Mutex
	dead    chan struct{} // closed when the VM that is up dies
	pending transfers

	stop chan struct{}
	kick chan struct{}
	wait sync.WaitGroup
}

// NewWorker returns a worker whose VM is up. Without WithStore it keeps
// checkpoints in a store of its own.
func NewWorker(spec Spec, opts ...Option) *Worker {
	c := newConfig(opts)
	opts = append(opts, WithJournal(c.journal))
	w := &Worker{
		model:   NewModel(spec, c.clock(), opts...),
		faults:  newFaults(c.seed, FaultKill, FaultSlow, FaultFail, FaultFreeze),
		store:   c.store,
		clock:   c.clock,
		dead:    make(chan struct{}),
		pending: newTransfers(),
		stop:    make(chan struct{}),
		kick:    make(chan struct{}, 1),
	}
	if w.store == nil {
		w.store = NewObjects(opts...)
	}
	w.wait.Go(w.run)
	return w
}

// Close ends the worker and waits for its transfers.
func (w *Worker) Close() {
	close(w.stop)
	w.wait.Wait()
}

// Journal returns what the worker has recorded.
func (w *Worker) Journal() *Journal { return w.model.journal }

// SetFault switches a fault on until a time, which may be zero, or off with a
// value of zero.
func (w *Worker) SetFault(name Fault, value float64, until time.Time) error {
	if err := w.faults.set(name, value, until); err != nil {
		return err
	}
	w.model.journal.Add(faultEntry(w.clock(), name, value, w.model.spec.Worker))
	w.step()
	return nil
}

// Kill ends the VM until Boot.
func (w *Worker) Kill() { w.switchKill(1) }

// Boot starts the VM anew after Kill.
func (w *Worker) Boot() { w.switchKill(0) }

func (w *Worker) switchKill(value float64) {
	if err := w.SetFault(FaultKill, value, time.Time{}); err != nil {
		panic(err) // the fault is one of a worker's
	}
}

// Inspect returns the VM's account of itself, or ErrDown.
func (w *Worker) Inspect(ctx context.Context) (in core.Inspected, err error) {
	err = w.do(ctx, func(now time.Time) { in = w.model.Inspect(now) })
	return in, err
}

// Launch starts an attempt.
func (w *Worker) Launch(ctx context.Context, l core.Launch) (started bool, reason string, err error) {
	err = w.do(ctx, func(now time.Time) { started, reason = w.model.Launch(now, l) })
	return started, reason, err
}

// Renew moves the deadlines of tasks.
func (w *Worker) Renew(ctx context.Context, r core.Renew) error {
	return w.do(ctx, func(now time.Time) { w.model.Renew(now, r) })
}

// Control throttles, checkpoints, stops or forgets a task.
func (w *Worker) Control(ctx context.Context, c core.Control) (done bool, reason string, err error) {
	err = w.do(ctx, func(now time.Time) { done, reason = w.model.Control(now, c) })
	return done, reason, err
}

// Call runs a request in the endpoint. It runs to its end even if ctx ends
// before.
func (w *Worker) Call(ctx context.Context, c core.Call) (body []byte, err error) {
	var d time.Duration
	var reason, boot string
	var dead chan struct{}
	err = w.do(ctx, func(now time.Time) {
		d, reason = w.model.Begin(now, c)
		boot, dead = w.model.boot, w.dead
	})
	if err != nil {
		return nil, err
	}
	if reason != "" {
		return nil, &CallError{Reason: reason}
	}
	whole := w.pass(d, dead)
	w.mu.Lock()
	w.model.Finish(w.clock(), c.ID, boot, whole)
	w.mu.Unlock()
	if !whole {
		return nil, errKilled
	}
	body, err = w.model.services[c.Service].answer(c.Body)
	if err != nil {
		return nil, &CallError{Reason: err.Error(), Invalid: true}
	}
	return body, nil
}

// CallError is a request's own failure; it has run.
type CallError struct {
	Reason string
	// Invalid says that the request itself is at fault.
	Invalid bool
}

// Error returns the reason.
func (e *CallError) Error() string { return e.Reason }

// pass waits for d, and as long as the VM is frozen. It reports whether the VM
// lived through it.
func (w *Worker) pass(d time.Duration, dead chan struct{}) bool {
	for {
		t := time.NewTimer(d)
		select {
		case <-dead:
			t.Stop()
			return false
		case <-t.C:
		}
		if !w.frozen() {
			return true
		}
		d = hangPoll
	}
}

func (w *Worker) frozen() bool { return w.faults.value(w.clock(), FaultFreeze) > 0 }

// do runs f on the VM, once it isn't frozen.
func (w *Worker) do(ctx context.Context, f func(now time.Time)) error {
	for w.frozen() {
		if err := sleep(ctx, hangPoll); err != nil {
			return err
		}
	}
	w.step()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.model.Up() {
		return ErrDown
	}
	f(w.clock())
	w.collect()
	return nil
}

// step applies the faults and moves the VM forward to now.
func (w *Worker) step() {
	now := w.clock()
	kill := w.faults.value(now, FaultKill) > 0
	slow := w.faults.value(now, FaultSlow)
	failing := w.faults.value(now, FaultFail) > 0
	frozen := w.faults.value(now, FaultFreeze) > 0
	w.mu.Lock()
	defer w.mu.Unlock()
	now = w.clock() // under the lock, so that it never goes back
	switch {
	case kill && w.model.Up():
		w.model.Kill(now)
		w.pending.clear()
		close(w.dead)
	case !kill && !w.model.Up():
		w.model.Boot(now)
		w.dead = make(chan struct{})
	}
	w.model.SetSlow(now, slow)
	w.model.SetFailing(now, failing)
	w.model.SetFrozen(now, frozen)
	w.collect()
}

// collect takes what the model wants loaded and saved. It holds the lock.
func (w *Worker) collect() {
	if w.pending.add(w.model.Loads(), w.model.Saves()) {
		select {
		case w.kick <- struct{}{}:
		default:
		}
	}
}

// run steps the VM and transfers what it wants loaded and saved until Close.
func (w *Worker) run() {
	t := time.NewTicker(stepEvery)
	defer t.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-t.C:
			w.step()
		case <-w.kick:
		}
		w.transfer()
	}
}
