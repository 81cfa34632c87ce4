package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// maxInFlight bounds the requests of one load that wait for their answers.
const maxInFlight = 8192

// loadRun is one load of a run.
type loadRun struct {
	load    Load
	seed    uint64
	pool    *pool
	callers []caller
	samples []Sample // in order of their arrivals
}

// newLoadRun draws the schedule. Loads with the same rate and times get the
// same one, and the same ids but for a prefix of entries' requests.
func newLoadRun(r *run, i int) (*loadRun, error) {
	l := r.x.Loads[i]
	n := &loadRun{load: l, seed: r.x.Seed, pool: r.pools[l.Service], samples: arrivals(l, r.x.Seed)}
	var turn atomic.Int64
	for range l.Callers {
		if !l.Direct {
			n.callers = append(n.callers, newEntryCaller(l, r.entries, &turn))
			continue
		}
		if r.site == nil {
			return nil, fmt.Errorf("load %s: there are no endpoints to call", l.Name)
		}
		n.callers = append(n.callers, newDirectCaller(l, r.site, &turn))
	}
	return n, nil
}

// arrivals draws exponential gaps between arrivals.
func arrivals(l Load, seed uint64) []Sample {
	rnd := rand.New(rand.NewPCG(seed, seed))
	var s []Sample
	at, end := l.From.D().Seconds(), (l.From + l.For).D().Seconds()
	for len(s) < MaxRequests {
		at += rnd.ExpFloat64() / l.Rate
		if at >= end {
			break
		}
		s = append(s, Sample{At: time.Duration(at * float64(time.Second))})
	}
	return s
}

// run sends every request at its time and waits for all answers.
func (n *loadRun) run(ctx context.Context, start time.Time) {
	var all sync.WaitGroup
	var flying atomic.Int64
	for i := range n.samples {
		s := &n.samples[i]
		at := start.Add(s.At)
		if d := time.Until(at); d > 0 && !wait(ctx, at) || ctx.Err() != nil {
			s.Outcome = OutcomeUnsent
			continue
		}
		if flying.Load() >= maxInFlight {
			s.Outcome = OutcomeUnsent
			continue
		}
		flying.Add(1)
		all.Go(func() {
			defer flying.Add(-1)
			n.callers[i%len(n.callers)].call(ctx, n.id(i), n.pool.at(i), s)
			s.Took = time.Since(at)
		})
	}
	all.Wait()
}

// id names a request. The running time of a stand-in's request depends on it,
// so a load straight to the endpoints asks for the same work.
func (n *loadRun) id(i int) string { return fmt.Sprintf("%s-%d-%d", n.load.Service, n.seed, i) }
