package limit

import "time"

const (
	// A circuit opens after tripAfter failures in a row.
	tripAfter = 3

	firstProbe = 100 * time.Millisecond
	lastProbe  = 2 * time.Second
)

// Breaker holds calls back from a target that fails. The zero value is
// closed: it lets calls through.
type Breaker struct {
	failures int // in a row, up to the one that opened the circuit
	probes   int // failed since the circuit opened
	probe    time.Time
}

// IsOpen reports whether calls are held back. At the time of a probe they are
// not, until the probe's result is known.
func (c *Breaker) IsOpen(now time.Time) bool {
	return c.failures >= tripAfter && now.Before(c.probe)
}

// Allow is like !Open but lets only one caller through as the probe; the next
// one follows if there is no result within the longest back-off.
func (c *Breaker) Allow(now time.Time) bool {
	if c.failures < tripAfter {
		return true
	}
	if now.Before(c.probe) {
		return false
	}
	c.probe = now.Add(lastProbe)
	return true
}

// RecordSuccess notes a success and closes the circuit.
func (c *Breaker) RecordSuccess(time.Time) { *c = Breaker{} }

// RecordFailure notes a failure. Failures of calls that were under way when the circuit
// opened don't move the next probe.
func (c *Breaker) RecordFailure(now time.Time, seed uint64) {
	if c.failures < tripAfter {
		c.failures++
		if c.failures < tripAfter {
			return
		}
	} else if now.Before(c.probe) {
		return
	} else {
		c.probes++
	}
	c.probe = now.Add(backOff(c.probes, seed))
}

// NextProbe returns when calls are let through: now if the circuit is closed.
func (c *Breaker) NextProbe(now time.Time) time.Time {
	if c.IsOpen(now) {
		return c.probe
	}
	return now
}

// backOff returns the time until the next probe after n failed ones: between
// half and all of a length that doubles up to lastProbe.
func backOff(n int, seed uint64) time.Duration {
	d := lastProbe
	if n < 16 {
		d = min(firstProbe<<n, lastProbe)
	}
	return d/2 + time.Duration(unit(seed)*float64(d/2))
}

// unit maps a seed to [0, 1) by the finalizer of splitmix64 (Steele, Lea and
// Flood, "Fast splittable pseudorandom number generators", OOPSLA 2014).
func unit(z uint64) float64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	z ^= z >> 31
	return float64(z>>11) / (1 << 53)
}
