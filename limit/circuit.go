package limit

import "time"

const (
	// failuresToOpen is the number of consecutive failures that open a breaker.
	failuresToOpen = 3

	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = 2 * time.Second
)

// Breaker is a circuit breaker: it stops calls to a target that fails. The zero
// value is closed, which lets calls pass.
type Breaker struct {
	failures int // consecutive, up to the one that opened the breaker
	probes   int // failed since the breaker opened
	probe    time.Time
}

// IsOpen reports whether calls are stopped. From the time of the next probe on
// it reports false, until a failure is recorded or Allow has passed the probe.
func (b *Breaker) IsOpen(now time.Time) bool {
	return b.failures >= failuresToOpen && now.Before(b.probe)
}

// Allow reports whether a call may be made. Unlike !IsOpen it lets only one
// caller pass as the probe. If the probe has no result within the longest
// back-off, the next caller becomes a probe.
func (b *Breaker) Allow(now time.Time) bool {
	if b.failures < failuresToOpen {
		return true
	}
	if now.Before(b.probe) {
		return false
	}
	b.probe = now.Add(maxProbeInterval)
	return true
}

// RecordSuccess records a success and closes the breaker.
func (b *Breaker) RecordSuccess(time.Time) { *b = Breaker{} }

// RecordFailure records a failure. Failures of calls that were in flight when
// the breaker opened don't postpone the next probe.
func (b *Breaker) RecordFailure(now time.Time, seed uint64) {
	if b.failures < failuresToOpen {
		b.failures++
		if b.failures < failuresToOpen {
			return
		}
	} else if now.Before(b.probe) {
		return
	} else {
		b.probes++
	}
	b.probe = now.Add(backOff(b.probes, seed))
}

// NextProbe returns the time of the next probe; now if calls may pass.
func (b *Breaker) NextProbe(now time.Time) time.Time {
	if b.IsOpen(now) {
		return b.probe
	}
	return now
}

// backOff returns the time to the next probe after n failed ones, exponential
// with jitter: between half and all of an interval that doubles up to
// maxProbeInterval.
func backOff(n int, seed uint64) time.Duration {
	d := maxProbeInterval
	if n < 16 {
		d = min(minProbeInterval<<n, maxProbeInterval)
	}
	return d/2 + time.Duration(unitFloat(seed)*float64(d/2))
}

// unitFloat maps a seed to [0, 1) with the finalizer of splitmix64 (Steele, Lea
// and Flood, "Fast splittable pseudorandom number generators", OOPSLA 2014).
func unitFloat(z uint64) float64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	z ^= z >> 31
	return float64(z>>11) / (1 << 53)
}
