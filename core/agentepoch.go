package core

import (
	"cmp"
	"slices"
	"time"
)

// callEpochs numbers the agent's calls to its worker. If Policy.FencedCalls is set, the worker
// carries out no call of an epoch below the highest that it has seen. An inspection that it
// answers therefore settles all calls of earlier epochs: they have taken effect by then and
// its lists show it, or they never will.
type callEpochs struct {
	current    uint64 // of calls sent now
	unanswered bool   // a call of the current epoch got no answer
	// timedOutAt is when a call of this boot was last left unanswered; zero if none was. A
	// connection that breaks doesn't count: it doesn't show that the worker delays calls.
	timedOutAt time.Time
	lostGrants []lostGrant // those that are not settled, in the order of their epochs
	inspection uint64      // of the latest inspection
	settled    uint64      // calls of lower epochs are settled
}

// lostGrant stands for the calls of one epoch that extend the lease and got no answer. Only an
// answer to a call of a later epoch, time, or the end of the worker's process settles them: a
// connection that is refused later says nothing about them, since a link may refuse it.
type lostGrant struct {
	epoch    uint64
	deadline time.Time // the latest one that the calls carried
}

// noteUnanswered records that a call got no answer: it may take effect later. It was left
// unanswered unless its connection broke.
func (c *callEpochs) noteUnanswered(epoch uint64, broken bool, now time.Time) {
	c.unanswered = c.unanswered || epoch == c.current
	if !broken {
		c.timedOutAt = now
	}
}

// noteGrantLost records that a call that extends the lease until a deadline got no answer.
func (c *callEpochs) noteGrantLost(epoch uint64, deadline time.Time) {
	i, ok := slices.BinarySearchFunc(c.lostGrants, epoch, func(g lostGrant, epoch uint64) int { return cmp.Compare(g.epoch, epoch) })
	if !ok {
		c.lostGrants = slices.Insert(c.lostGrants, i, lostGrant{epoch: epoch})
	}
	g := &c.lostGrants[i]
	g.deadline = latest(g.deadline, deadline)
}

// forgetUnanswered records that the worker's process is over, and with it what it had accepted.
func (c *callEpochs) forgetUnanswered() { c.timedOutAt, c.lostGrants = time.Time{}, nil }

// extendedLateUntil returns the time until which a call may extend the lease if it is carried
// out late; zero if there is none.
func (c *callEpochs) extendedLateUntil() time.Time {
	var until time.Time
	for _, g := range c.lostGrants {
		until = latest(until, g.deadline.Add(maxCallDelay))
	}
	return until
}

// hasTimedOutSince reports whether the worker has left a call of this boot unanswered since a
// time.
func (c *callEpochs) hasTimedOutSince(t time.Time) bool { return c.timedOutAt.After(t) }

// beginInspection sets the epoch of the next inspection, a new one if there are calls to
// settle.
func (c *callEpochs) beginInspection() {
	if c.unanswered {
		c.current++
		c.unanswered = false
	}
	c.inspection = c.current
}

// endInspection records that the worker has answered the latest inspection.
func (c *callEpochs) endInspection() {
	c.settled = c.inspection
	c.lostGrants = slices.DeleteFunc(c.lostGrants, func(g lostGrant) bool { return c.isSettled(g.epoch) })
}

// isSettled reports whether a call of an epoch can take no effect any more.
func (c *callEpochs) isSettled(epoch uint64) bool { return epoch < c.settled }

// allSettled reports whether each call that got no answer is settled.
func (c *callEpochs) allSettled() bool { return !c.unanswered && c.settled == c.current }
