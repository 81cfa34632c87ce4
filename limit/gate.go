package limit

import (
	"math"
	"time"
)

// Verdict is a decision on a request.
type Verdict uint8

// Verdicts.
const (
	Admitted  Verdict = iota
	TooLate           // the answer would come after the deadline
	OverShare         // the team has its share of an overloaded service
	Overload          // the service is full
)

// Snapshot is what the decision on a request rests on.
type Snapshot struct {
	Wait    time.Duration // expected until the request runs
	Left    time.Duration // until the deadline
	Sojourn time.Duration // mean time of a request in the system; 0 if unknown

	Held    int // requests of the team in the system
	Total   int // requests of all teams in the system
	Weight  int // of the team
	Weights int // of all active teams
}

const (
	// latest is the share of the time left that a request may wait.
	latest = 0.75

	// Shares of the sojourn that are spent waiting: from queueing on, teams
	// are held to their shares; from full on, nothing more is admitted.
	queueing = 0.3
	full     = 0.65
)

// Decide returns the verdict on a request. It refuses what would miss its
// deadline anyway. While requests have to queue it holds each team to its
// weighted share of the requests in the system, so that a team with many
// requests can't keep out one with few; a team alone may fill the queue. It
// is a pure function of its argument.
func Decide(p Snapshot) Verdict {
	if p.Left <= 0 || float64(p.Wait) > latest*float64(p.Left) {
		return TooLate
	}
	if p.Sojourn <= 0 {
		return Admitted
	}
	waiting := float64(p.Wait) / float64(p.Sojourn)
	switch {
	case waiting <= queueing:
		return Admitted
	case p.Held*p.Weights >= p.Weight*(p.Total+1):
		return OverShare
	case waiting > full && p.Held > 0:
		return Overload
	}
	return Admitted
}

const (
	// activeFor is how long a team counts as active after its last request.
	activeFor = time.Second

	drainHalfLife = time.Second

	firstReturn   = 100 * time.Millisecond
	lastReturn    = 10 * time.Second
	unknownReturn = time.Second // while nothing drains
)

// Gate admits requests of teams. The zero value is ready for use.
type Gate struct {
	teams   map[string]*team
	weights int // of active teams
	total   int // requests in the system
	sweep   time.Time

	drain   float64 // requests a second at drained
	drained time.Time
	load    float64 // mean of total up to loaded, weighted like drain
	loaded  time.Time
	booked  time.Time // when the last refused caller was told to return
}

type team struct {
	weight int
	held   int
	until  time.Time // when it stops being active
}

// Admit decides on a request of the team, whose weight is at least 1. The wait
// is the time until the request is expected to run. A refused caller should
// return after retryAfter: these times follow each other at the rate at which
// requests drain. Done must follow each request that is admitted.
func (g *Gate) Admit(now time.Time, name string, weight int, wait time.Duration, deadline time.Time, seed uint64) (ok bool, retryAfter time.Duration) {
	v, retryAfter := g.AdmitVerdict(now, name, weight, wait, deadline, seed)
	return v == Admitted, retryAfter
}

// AdmitVerdict is Admit with the reason of a refusal.
func (g *Gate) AdmitVerdict(now time.Time, name string, weight int, wait time.Duration, deadline time.Time, seed uint64) (Verdict, time.Duration) {
	t := g.team(name)
	g.SetWeight(name, weight)
	t.until = now.Add(activeFor)
	g.forget(now)
	v := Decide(Snapshot{
		Wait:    wait,
		Left:    deadline.Sub(now),
		Sojourn: g.sojourn(now),
		Held:    t.held,
		Total:   g.total,
		Weight:  t.weight,
		Weights: g.weights,
	})
	if v != Admitted {
		return v, g.RetryAfter(now, wait, seed)
	}
	g.follow(now)
	t.held++
	g.total++
	return Admitted, 0
}

// Done notes that an admitted request of the team has left the system.
func (g *Gate) Done(now time.Time, name string) {
	t, ok := g.teams[name]
	if !ok || t.held == 0 {
		return
	}
	g.follow(now)
	t.held--
	g.total--
	// Each event adds as much as a steady rate of one a second loses in a
	// second, so that the sum converges to the rate.
	g.drain = g.rate(now) + math.Ln2/drainHalfLife.Seconds()
	if now.After(g.drained) {
		g.drained = now
	}
}

// SetWeight sets the weight of a team, at least 1.
func (g *Gate) SetWeight(name string, weight int) {
	t := g.team(name)
	weight = max(weight, 1)
	g.weights += weight - t.weight
	t.weight = weight
}

// team returns the team, which it adds as active with weight 1 if it is new.
func (g *Gate) team(name string) *team {
	t, ok := g.teams[name]
	if !ok {
		if g.teams == nil {
			g.teams = make(map[string]*team)
		}
		t = &team{weight: 1}
		g.teams[name] = t
		g.weights++
	}
	return t
}

// forget drops teams without requests that are no longer active.
func (g *Gate) forget(now time.Time) {
	if now.Before(g.sweep) {
		return
	}
	g.sweep = now.Add(activeFor)
	for name, t := range g.teams {
		if t.held == 0 && !now.Before(t.until) {
			g.weights -= t.weight
			delete(g.teams, name)
		}
	}
}

// rate returns the requests a second that drain.
func (g *Gate) rate(now time.Time) float64 {
	if g.drain == 0 {
		return 0
	}
	age := max(now.Sub(g.drained), 0)
	return g.drain * math.Exp2(-float64(age)/float64(drainHalfLife))
}

// follow brings the mean load up to a time at which the total will change.
func (g *Gate) follow(now time.Time) {
	g.load = g.loadAt(now)
	if now.After(g.loaded) {
		g.loaded = now
	}
}

// loadAt returns the mean of the total up to a time.
func (g *Gate) loadAt(now time.Time) float64 {
	if g.loaded.IsZero() {
		return 0
	}
	keep := math.Exp2(-float64(max(now.Sub(g.loaded), 0)) / float64(drainHalfLife))
	return g.load*keep + float64(g.total)*(1-keep)
}

// sojourn returns the mean time of a request in the system, by Little's law
// (Operations Research 9(3), 1961); 0 if nothing drains. The law holds for
// means: the total alone would be too low when the load has just fallen, and
// its mean when it has just risen.
func (g *Gate) sojourn(now time.Time) time.Duration {
	r := g.rate(now)
	if r < 1 {
		return 0
	}
	return time.Duration(max(g.loadAt(now), float64(g.total)) / r * float64(time.Second))
}

// RetryAfter books the next free time to return for a refused caller, also for
// one that was refused after Admit. Times beyond lastReturn are spread over the
// second half of it.
func (g *Gate) RetryAfter(now time.Time, wait time.Duration, seed uint64) time.Duration {
	u := unit(seed)
	r := g.rate(now)
	if r < 1 {
		return unknownReturn/2 + time.Duration(u*float64(unknownReturn))
	}
	at := now.Add(max(wait, firstReturn))
	if g.booked.After(at) {
		at = g.booked
	}
	g.booked = at.Add(time.Duration(float64(time.Second) / r))
	d := at.Sub(now)
	if d > lastReturn {
		g.booked = now.Add(lastReturn)
		return lastReturn/2 + time.Duration(u*float64(lastReturn/2))
	}
	const jitter = 0.25
	return time.Duration(float64(d) * (1 + jitter*(2*u-1)))
}
