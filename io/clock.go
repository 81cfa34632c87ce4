package io

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time that a reducer sees. It must be unaffected by steps of
// the wall clock.
type Clock func() time.Time

// MonotonicClock returns a clock that starts at the current time and advances
// with the monotonic clock. It stops while the VM is suspended.
func MonotonicClock() Clock {
	began := time.Now()
	return func() time.Time { return began.Add(time.Since(began)) }
}

// BootClock returns a clock that starts at the current time and also advances
// while the VM is suspended, so that leases expire during a suspension. It falls
// back to MonotonicClock where CLOCK_BOOTTIME is not available.
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
