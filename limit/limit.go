// Package limit holds budgets and overload decisions.
package limit

import (
	"time"

	"jayloft/place"
)

// Budget lets retries be a share of fresh load.
type Budget struct{ share, left, burst float64 }

// NewBudget returns a budget.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{share: share, left: float64(burst), burst: float64(burst)}
}

// Fresh notes a fresh request.
func (b *Budget) Fresh() { b.left = min(b.left+b.share, b.burst) }

// Spend takes one retry if there is one.
func (b *Budget) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Priority orders the use of a Rate.
type Priority uint8

// Priorities; the zero value is the middle.
const (
	PriorityMid Priority = iota
	PriorityHigh
	PriorityLow
)

// Rate is a rate with priorities.
type Rate struct{}

// NewRate returns a rate.
func NewRate(perSecond float64, burst int) *Rate { return &Rate{} }

// Allow takes one event.
func (r *Rate) Allow(now time.Time, p Priority) bool { return true }

// When returns when Allow could be true.
func (r *Rate) When(now time.Time, p Priority) time.Time { return now }

// Circuit opens after failures.
type Circuit struct{}

// Open reports whether calls should be held back.
func (c *Circuit) Open(now time.Time) bool { return false }

// Good notes a success.
func (c *Circuit) Good(now time.Time) {}

// Bad notes a failure.
func (c *Circuit) Bad(now time.Time, seed uint64) {}

// Probe returns when the next try is due.
func (c *Circuit) Probe(now time.Time) time.Time { return now }

// Gate admits requests of teams.
type Gate struct{}

// Admit decides on a request; wait is its expected wait.
func (g *Gate) Admit(now time.Time, team string, weight int, wait time.Duration, deadline time.Time, seed uint64) (ok bool, retryAfter time.Duration) {
	return true, 0
}

// Done notes that a request left.
func (g *Gate) Done(now time.Time, team string) {}

// Weigh sets a team's weight.
func (g *Gate) Weigh(team string, weight int) {}

// Quota counts what teams hold.
type Quota struct{ m map[string]place.Size }

// Take adds s to what team holds.
func (q *Quota) Take(team string, s place.Size) {
	if q.m == nil {
		q.m = map[string]place.Size{}
	}
	q.m[team] = q.m[team].Plus(s)
}

// Give returns s.
func (q *Quota) Give(team string, s place.Size) { q.m[team] = q.m[team].Minus(s) }

// Held returns what team holds.
func (q *Quota) Held(team string) place.Size { return q.m[team] }

// Allows reports whether team may take s under a limit.
func (q *Quota) Allows(team string, s, limit place.Size) bool {
	return q.m[team].Plus(s).Fits(limit)
}
