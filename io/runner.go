package io

import "time"

// runnerIdle is how long a goroutine waits for the next function.
const runnerIdle = 5 * time.Second

// runner runs functions in goroutines that it uses again, since their stacks
// have grown to what a call takes. Create it with newRunner.
type runner struct{ work chan func() }

func newRunner() runner { return runner{work: make(chan func())} }

// run runs f in a goroutine that waits for work, or else in a new one.
func (r runner) run(f func()) {
	select {
	case r.work <- f:
	default:
		go r.loop(f)
	}
}

func (r runner) loop(f func()) {
	t := time.NewTimer(runnerIdle)
	defer t.Stop()
	for {
		f()
		t.Reset(runnerIdle)
		select {
		case f = <-r.work:
		case <-t.C:
			return
		}
	}
}
