package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Priority is the priority of an event of a Rate.
type Priority uint8

// Priorities of events. The zero value is the middle one.
const (
	PriorityMid Priority = iota
	PriorityHigh
	PriorityLow
)

// Fractions of the burst that a priority leaves to higher ones.
const (
	reserveMid = 0.2
	reserveLow = 0.5
)

// unboundedWait is the longest wait that NextAllowed returns. It stands for a
// time that can't be computed, as at rate zero.
const unboundedWait = 24 * time.Hour

// Rate limits events per second with a token bucket. Lower priorities leave a
// reserve of tokens to higher ones.
type Rate struct {
	bucket *rate.Limiter
}

// NewRate returns a Rate of perSecond events with bursts of up to burst, at
// least 1. Its bucket starts full.
func NewRate(perSecond float64, burst int) *Rate {
	return &Rate{bucket: rate.NewLimiter(rate.Limit(perSecond), max(burst, 1))}
}

// Allow reports whether an event of the priority may happen now, and takes its
// token if so.
func (r *Rate) Allow(now time.Time, p Priority) bool {
	if r.bucket.TokensAt(now) < r.minTokens(p) {
		return false
	}
	return r.bucket.AllowN(now, 1)
}

// NextAllowed returns the earliest time at which Allow will be true if no other
// event is allowed before.
func (r *Rate) NextAllowed(now time.Time, p Priority) time.Time {
	missing := r.minTokens(p) - r.bucket.TokensAt(now)
	if missing <= 0 {
		return now
	}
	perSecond := float64(r.bucket.Limit())
	if perSecond <= 0 {
		return now.Add(unboundedWait)
	}
	wait := math.Ceil(missing/perSecond*float64(time.Second)) + 1
	return now.Add(time.Duration(min(wait, float64(unboundedWait))))
}

// SetRate changes the rate to perSecond from now on, for example when the number
// of processes that share it changes.
func (r *Rate) SetRate(now time.Time, perSecond float64) {
	r.bucket.SetLimitAt(now, rate.Limit(perSecond))
}

// minTokens returns the tokens that the bucket must hold for an event of the
// priority.
func (r *Rate) minTokens(p Priority) float64 {
	spare := float64(r.bucket.Burst() - 1)
	switch p {
	case PriorityHigh:
		return 1
	case PriorityLow:
		return 1 + reserveLow*spare
	}
	return 1 + reserveMid*spare
}
