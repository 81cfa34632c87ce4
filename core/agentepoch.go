package core

import "time"

// callEpochs numbers the agent's calls to its worker. If Policy.FencedCalls is set, the worker
// carries out no call of an epoch below the highest that it has seen. An inspection that it
// answers therefore settles all calls of earlier epochs: they have taken effect by then and
// its lists show it, or they never will.
type callEpochs struct {
	current      uint64    // of calls sent now
	unanswered   bool      // a call of the current epoch got no answer
	unansweredAt time.Time // when a call of this boot last got no answer; zero if none did
	// grantLost says that calls that extend the lease got no answer; lostGrant is the highest
	// of their epochs.
	grantLost  bool
	lostGrant  uint64
	inspection uint64 // of the latest inspection
	settled    uint64 // calls of lower epochs are settled
}

// noteUnanswered records that a call got no answer: it may take effect later.
func (c *callEpochs) noteUnanswered(epoch uint64, now time.Time) {
	c.unanswered, c.unansweredAt = c.unanswered || epoch == c.current, now
}

// forgetUnanswered records that the worker's process is gone, and with it what it had accepted.
func (c *callEpochs) forgetUnanswered() {
	c.unansweredAt, c.grantLost = time.Time{}, false
}

// noteGrantLost records that a call that extends the lease got no answer.
func (c *callEpochs) noteGrantLost(epoch uint64) {
	c.grantLost, c.lostGrant = true, max(c.lostGrant, epoch)
}

// mayExtendLate reports whether a call may still extend the lease later than it was sent.
func (c *callEpochs) mayExtendLate() bool { return c.grantLost && !c.isSettled(c.lostGrant) }

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
func (c *callEpochs) endInspection() { c.settled = c.inspection }

// isSettled reports whether a call of an epoch can take no effect any more.
func (c *callEpochs) isSettled(epoch uint64) bool { return epoch < c.settled }

// allSettled reports whether each call that got no answer is settled.
func (c *callEpochs) allSettled() bool { return !c.unanswered && c.settled == c.current }
