package limit

import (
	"math"
	"time"
)

// Verdict is the admission decision on a request.
type Verdict uint8

// Verdicts on a request.
const (
	Admitted  Verdict = iota
	TooLate           // the request is likely to miss its deadline
	OverShare         // the team has used up its share of an overloaded service
	Overload          // the queue of the service is full
)

// Snapshot is the state on which Decide bases its verdict. Requests in the
// system are those that were admitted and are not done.
type Snapshot struct {
	Wait    time.Duration // expected time in the queue
	Left    time.Duration // time left until the deadline
	Sojourn time.Duration // mean time of a request in the system; 0 if unknown

	TeamRequests int // requests of the team in the system
	AllRequests  int // requests of all teams in the system
	Weight       int // of the team
	TotalWeight  int // of all active teams
}

const (
	// maxWaitShare is the fraction of the time left that a request may wait.
	maxWaitShare = 0.75

	// Fractions of the sojourn time spent in the queue. Above queueingThreshold,
	// each team is held to its share. Above overloadThreshold, only teams that
	// have no request in the system are admitted.
	queueingThreshold = 0.3
	overloadThreshold = 0.65
)

// Decide returns the verdict on a request. It refuses requests that are likely
// to miss their deadline. While requests queue, it limits each team to its
// weighted share of the requests in the system, so that a team with many
// requests can't starve one with few. A team that is the only active one may
// fill the queue. Decide is a pure function of its argument.
func Decide(p Snapshot) Verdict {
	if p.Left <= 0 || float64(p.Wait) > maxWaitShare*float64(p.Left) {
		return TooLate
	}
	if p.Sojourn <= 0 {
		return Admitted
	}
	waiting := float64(p.Wait) / float64(p.Sojourn)
	switch {
	case waiting <= queueingThreshold:
		return Admitted
	case p.TeamRequests*p.TotalWeight >= p.Weight*(p.AllRequests+1):
		return OverShare
	case waiting > overloadThreshold && p.TeamRequests > 0:
		return Overload
	}
	return Admitted
}

const (
	// activeFor is how long a team counts as active after its last request.
	activeFor = time.Second

	// drainHalfLife is the half-life of the drain rate and of the mean number of
	// requests in the system.
	drainHalfLife = time.Second

	minRetryAfter     = 100 * time.Millisecond // before jitter
	maxRetryAfter     = 10 * time.Second       // before jitter
	defaultRetryAfter = time.Second            // while the drain rate is below 1/s
)

// Gate does admission control for requests of teams. The zero value is ready
// for use.
type Gate struct {
	teams       map[string]*team
	totalWeight int // of active teams
	requests    int // requests in the system
	nextSweep   time.Time

	drainRate    float64 // requests per second, as of drainedAt
	drainedAt    time.Time
	meanRequests float64 // exponentially weighted mean of requests, as of meanAt
	meanAt       time.Time
	nextRetry    time.Time // earliest retry time for the next refused caller
}

type team struct {
	weight      int
	requests    int
	activeUntil time.Time // when it stops being active
}

// Admit decides on a request of the team; a weight below 1 counts as 1. wait is
// the expected time until the request runs. A refused caller should retry after
// retryAfter; successive retry times are spaced by the rate at which requests
// drain. Done must be called once for each admitted request.
func (g *Gate) Admit(now time.Time, name string, weight int, wait time.Duration, deadline time.Time, seed uint64) (ok bool, retryAfter time.Duration) {
	v, retryAfter := g.AdmitVerdict(now, name, weight, wait, deadline, seed)
	return v == Admitted, retryAfter
}

// AdmitVerdict is like Admit but returns the reason of a refusal.
func (g *Gate) AdmitVerdict(now time.Time, name string, weight int, wait time.Duration, deadline time.Time, seed uint64) (Verdict, time.Duration) {
	t := g.team(name)
	g.SetWeight(name, weight)
	t.activeUntil = now.Add(activeFor)
	g.removeIdle(now)
	v := Decide(Snapshot{
		Wait:         wait,
		Left:         deadline.Sub(now),
		Sojourn:      g.sojourn(now),
		TeamRequests: t.requests,
		AllRequests:  g.requests,
		Weight:       t.weight,
		TotalWeight:  g.totalWeight,
	})
	if v != Admitted {
		return v, g.RetryAfter(now, wait, seed)
	}
	g.updateMean(now)
	t.requests++
	g.requests++
	return Admitted, 0
}

// Done records that an admitted request of the team has left the system.
func (g *Gate) Done(now time.Time, name string) {
	t, ok := g.teams[name]
	if !ok || t.requests == 0 {
		return
	}
	g.updateMean(now)
	t.requests--
	g.requests--
	// Each event adds as much as a steady rate of one per second loses to decay
	// in a second, so that the sum converges to the rate.
	g.drainRate = g.drainRateAt(now) + math.Ln2/drainHalfLife.Seconds()
	if now.After(g.drainedAt) {
		g.drainedAt = now
	}
}

// SetWeight sets the weight of a team; a weight below 1 counts as 1.
func (g *Gate) SetWeight(name string, weight int) {
	t := g.team(name)
	weight = max(weight, 1)
	g.totalWeight += weight - t.weight
	t.weight = weight
}

// team returns the team. It adds an unknown team with weight 1.
func (g *Gate) team(name string) *team {
	t, ok := g.teams[name]
	if !ok {
		if g.teams == nil {
			g.teams = make(map[string]*team)
		}
		t = &team{weight: 1}
		g.teams[name] = t
		g.totalWeight++
	}
	return t
}

// removeIdle removes teams that have no requests and are no longer active. It
// runs at most once per activeFor.
func (g *Gate) removeIdle(now time.Time) {
	if now.Before(g.nextSweep) {
		return
	}
	g.nextSweep = now.Add(activeFor)
	for name, t := range g.teams {
		if t.requests == 0 && !now.Before(t.activeUntil) {
			g.totalWeight -= t.weight
			delete(g.teams, name)
		}
	}
}

// drainRateAt returns the drain rate in requests per second.
func (g *Gate) drainRateAt(now time.Time) float64 {
	if g.drainRate == 0 {
		return 0
	}
	age := max(now.Sub(g.drainedAt), 0)
	return g.drainRate * math.Exp2(-float64(age)/float64(drainHalfLife))
}

// updateMean brings the mean up to date. It must be called before the number of
// requests changes.
func (g *Gate) updateMean(now time.Time) {
	g.meanRequests = g.meanRequestsAt(now)
	if now.After(g.meanAt) {
		g.meanAt = now
	}
}

// meanRequestsAt returns the exponentially weighted mean of the requests in the
// system up to now.
func (g *Gate) meanRequestsAt(now time.Time) float64 {
	if g.meanAt.IsZero() {
		return 0
	}
	keep := math.Exp2(-float64(max(now.Sub(g.meanAt), 0)) / float64(drainHalfLife))
	return g.meanRequests*keep + float64(g.requests)*(1-keep)
}

// sojourn returns the mean time of a request in the system by Little's law
// (Operations Research 9(3), 1961), or 0 if less than one request per second
// drains. The law holds for means. It takes the larger of the current number of
// requests and its mean, since the number is too low after the load has dropped
// and the mean is too low after it has risen.
func (g *Gate) sojourn(now time.Time) time.Duration {
	r := g.drainRateAt(now)
	if r < 1 {
		return 0
	}
	return time.Duration(max(g.meanRequestsAt(now), float64(g.requests)) / r * float64(time.Second))
}

// RetryAfter reserves the next free retry time for a refused caller and returns
// the time until then. It is also for callers refused after Admit. Times beyond
// maxRetryAfter are spread at random over the second half of that interval.
func (g *Gate) RetryAfter(now time.Time, wait time.Duration, seed uint64) time.Duration {
	u := unitFloat(seed)
	r := g.drainRateAt(now)
	if r < 1 {
		return defaultRetryAfter/2 + time.Duration(u*float64(defaultRetryAfter))
	}
	at := now.Add(max(wait, minRetryAfter))
	if g.nextRetry.After(at) {
		at = g.nextRetry
	}
	g.nextRetry = at.Add(time.Duration(float64(time.Second) / r))
	d := at.Sub(now)
	if d > maxRetryAfter {
		g.nextRetry = now.Add(maxRetryAfter)
		return maxRetryAfter/2 + time.Duration(u*float64(maxRetryAfter/2))
	}
	const jitter = 0.25
	return time.Duration(float64(d) * (1 + jitter*(2*u-1)))
}
