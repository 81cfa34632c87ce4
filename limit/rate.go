package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Priority orders the callers of a Rate.
type Priority uint8

// Priorities. The zero value is the middle one.
const (
	PriorityMid Priority = iota
	PriorityHigh
	PriorityLow
)

// Shares of the burst that a priority leaves for higher ones.
const (
	reserveMid = 0.2
	reserveLow = 0.5
)

// never is how far off a time is that can't be foreseen.
const never = 24 * time.Hour

// Rate bounds events a second by a token bucket.
type Rate struct {
	bucket *rate.Limiter
}

// NewRate returns a Rate of perSecond events and bursts of up to burst, at
// least 1. It begins with a whole burst.
func NewRate(perSecond float64, burst int) *Rate {
	return &Rate{bucket: rate.NewLimiter(rate.Limit(perSecond), max(burst, 1))}
}

// Allow takes one event and reports whether there was one for the priority.
func (r *Rate) Allow(now time.Time, p Priority) bool {
	if r.bucket.TokensAt(now) < r.least(p) {
		return false
	}
	return r.bucket.AllowN(now, 1)
}

// NextAllowed returns the earliest time at which Allow can be true if no other event
// is allowed until then.
func (r *Rate) NextAllowed(now time.Time, p Priority) time.Time {
	missing := r.least(p) - r.bucket.TokensAt(now)
	if missing <= 0 {
		return now
	}
	perSecond := float64(r.bucket.Limit())
	if perSecond <= 0 {
		return now.Add(never)
	}
	wait := math.Ceil(missing/perSecond*float64(time.Second)) + 1
	return now.Add(time.Duration(min(wait, float64(never))))
}

// SetRate changes the rate from now on, such as when other processes that share
// it come or go.
func (r *Rate) SetRate(now time.Time, perSecond float64) {
	r.bucket.SetLimitAt(now, rate.Limit(perSecond))
}

// least returns the tokens that must be there for an event of the priority.
func (r *Rate) least(p Priority) float64 {
	spare := float64(r.bucket.Burst() - 1)
	switch p {
	case PriorityHigh:
		return 1
	case PriorityLow:
		return 1 + reserveLow*spare
	}
	return 1 + reserveMid*spare
}
