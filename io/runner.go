package io

import "time"

// runnerIdleTimeout is how long an idle goroutine waits for the next function.
const runnerIdleTimeout = 5 * time.Second

// runner runs functions in goroutines that it reuses: their stacks have already
// grown to the size that a call needs. Create it with newRunner.
type runner struct{ work chan func() }

func newRunner() runner { return runner{work: make(chan func())} }

// run runs f in an idle goroutine if there is one, and in a new one otherwise.
func (r runner) run(f func()) {
	select {
	case r.work <- f:
	default:
		go r.loop(f)
	}
}

func (r runner) loop(f func()) {
	t := time.NewTimer(runnerIdleTimeout)
	defer t.Stop()
	for {
		f()
		t.Reset(runnerIdleTimeout)
		select {
		case f = <-r.work:
		case <-t.C:
			return
		}
	}
}
