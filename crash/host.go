package crash

import "time"

// Host describes a worker on which a suspect may run apart from other jobs.
type Host struct {
	ID string
	// Busy is the fraction of the worker's capacity in use by tasks that would have to
	// complete or to leave first.
	Busy float64
	// LongRunning says that long-running tasks are there, which stay.
	LongRunning bool
	// Restarted is when the worker last came back; zero if that is not known.
	Restarted time.Time
	// Preferred says that no other entry is likely to place tasks there.
	Preferred bool
}

// Costs of a host, in fractions of a worker's capacity.
const (
	longRunningCost = 0.5 // a crash ends the long-running tasks there
	restartedCost   = 2   // a worker that crashes for another cause is no witness
	otherCost       = 0.1 // another entry may place tasks there meanwhile
)

// restartedFor is how long a worker counts as one that has come back lately.
const restartedFor = 30 * time.Second

// RestartedLately reports whether a worker that last came back at a time, zero if that is not
// known, may crash for another cause than a suspect's.
func RestartedLately(restarted, now time.Time) bool {
	return !restarted.IsZero() && now.Sub(restarted) < restartedFor
}

// cost returns what it costs to run a suspect on the host.
func (h Host) cost(now time.Time) float64 {
	c := h.Busy
	if h.LongRunning {
		c += longRunningCost
	}
	if RestartedLately(h.Restarted, now) {
		c += restartedCost
	}
	if !h.Preferred {
		c += otherCost
	}
	return c
}

// Choose returns the host on which a crash would cost least, the first one of equals. It
// reports false if there is none.
func Choose(hosts []Host, now time.Time) (Host, bool) {
	if len(hosts) == 0 {
		return Host{}, false
	}
	best := hosts[0]
	for _, h := range hosts[1:] {
		if h.cost(now) < best.cost(now) {
			best = h
		}
	}
	return best, true
}

// hostsPerSuspect is the number of workers of a site for each job that may run apart at
// the same time, but two may always.
const hostsPerSuspect = 8

// MaxApart returns how many jobs may run apart from others at the same time on a site of so
// many workers.
func MaxApart(workers int) int { return max(2, workers/hostsPerSuspect) }

const (
	// maxWait is how long a suspect waits for a worker of its own, maxWaitBusy how long on
	// a busy site, and maxWaitLongRunning how long there if it is long-running, which must
	// not be without a run for more than 6 s. Then it is placed like any other task.
	maxWait            = 2 * time.Second
	maxWaitBusy        = 10 * time.Second
	maxWaitLongRunning = 4 * time.Second
)

// WaitsUntil returns until when a suspect that has had no run since a time waits for a
// worker of its own.
func WaitsUntil(since time.Time, busy, longRunning bool) time.Time {
	switch {
	case busy && longRunning:
		return since.Add(maxWaitLongRunning)
	case busy:
		return since.Add(maxWaitBusy)
	}
	return since.Add(maxWait)
}
