package io

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells a reducer's time. A step of the wall clock must not move it.
type Clock func() time.Time

// MonotonicClock returns a clock that counts from now by the monotonic clock. It
// stands still while the VM is suspended.
func MonotonicClock() Clock {
	began := time.Now()
	return func() time.Time { return began.Add(time.Since(began)) }
}

// BootClock returns a clock that counts from now and goes on while the VM is
// suspended, so that no lease seems fresh after a suspension. Where the
// platform has no such clock it is MonotonicClock.
func BootClock() Clock {
	began := time.Now().Round(0)
	monotonic := MonotonicClock()
	first, err := sinceBoot()
	if err != nil {
		return monotonic
	}
	return func() time.Time {
		n, err := sinceBoot()
		if err != nil {
			return monotonic()
		}
		return began.Add(n - first)
	}
}

func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
