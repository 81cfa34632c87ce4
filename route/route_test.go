package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// base is a service at half load on the smaller deployment.
var base = simConfig{
	entries: 3, workers: 11, load: 0.5, service: 20 * time.Millisecond,
	deadline: time.Second, length: 20 * time.Second,
}

func runSim(t *testing.T, change func(c *simConfig)) *sim {
	t.Helper()
	cfg := base
	change(&cfg)
	s := newSim(cfg).run()
	t.Log(s)
	return s
}

func p99(s *sim) time.Duration { return s.quantile(0.99) }

func TestSlowWorkerKeepsTailLatency(t *testing.T) {
	t.Parallel()
	steady := runSim(t, func(*simConfig) {})
	slow := func(c *simConfig) { c.change = func(w *simWorker) { w.slow = 10 } }
	ours := runSim(t, slow)
	baseline := runSim(t, func(c *simConfig) { slow(c); c.policy = Random })
	assert.Assert(t, p99(ours) <= p99(steady)*3/2, "%v, steady %v", p99(ours), p99(steady))
	assert.Assert(t, p99(baseline) > 3*p99(steady), "the baseline must show a high tail latency")
	assert.Equal(t, ours.failed, 0)
}

func TestRecoveredWorkerGetsLoadAgain(t *testing.T) {
	t.Parallel()
	var worker *simWorker
	cfg := base
	cfg.length, cfg.warm = 60*time.Second, 40*time.Second
	cfg.change = func(w *simWorker) { w.slow, worker = 10, w }
	s := newSim(cfg)
	s.after(10*time.Second, func() { worker.slow = 1 })
	s.run()
	t.Log(s)
	share := float64(worker.sent) / float64(s.sent)
	assert.Assert(t, share > 0.06, "share %.4f; an equal share is 1/11", share)
}

func TestFailingWorkerGetsNoLoad(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.1, 0.5, 0.8} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			failing := func(c *simConfig) {
				c.load = load
				c.change = func(w *simWorker) { w.fail = 1 }
			}
			whole := runSim(t, failing)
			assert.Assert(t, float64(whole.failed) <= 0.001*float64(whole.arrivals), whole.String())
			assert.Assert(t, float64(whole.retries) <= 0.1*float64(whole.arrivals))
			warm := runSim(t, func(c *simConfig) { failing(c); c.warm = 5 * time.Second })
			assert.Assert(t, float64(warm.workers[0].sent) < 0.01*float64(warm.sent), warm.String())
		})
	}
}

func TestRefusingWorkerGetsLittleLoad(t *testing.T) {
	t.Parallel()
	s := runSim(t, func(c *simConfig) {
		c.load, c.warm = 0.8, 5*time.Second
		c.change = func(w *simWorker) { w.refuse = true }
	})
	assert.Assert(t, float64(s.workers[0].sent) < 0.01*float64(s.sent), s.String())
}

func TestTwoChoicesBeatsRandom(t *testing.T) {
	t.Parallel()
	loaded := func(c *simConfig) { c.load = 0.85 }
	ours := runSim(t, loaded)
	random := runSim(t, func(c *simConfig) { loaded(c); c.policy = Random })
	assert.Assert(t, p99(ours) < p99(random), "%v, random %v", p99(ours), p99(random))
}

func TestOverload(t *testing.T) {
	t.Parallel()
	s := runSim(t, func(c *simConfig) {
		c.load, c.warm, c.gate, c.deadline = 2, 2*time.Second, true, 200*time.Millisecond
	})
	capacity := float64(s.cfg.workers*simSlots) / s.cfg.service.Seconds()
	goodput := float64(s.done-s.late) / (s.cfg.length - s.cfg.warm).Seconds()
	assert.Assert(t, goodput >= 0.95*capacity, "goodput %.0f of %.0f a second", goodput, capacity)
	assert.Assert(t, p99(s) <= s.cfg.deadline, "%v", p99(s))
}

func TestEjectsAtMostHalf(t *testing.T) {
	s := threeWorkers(t)
	now := simEpoch
	for i := range 3000 {
		now = now.Add(time.Millisecond)
		id, _, ok := s.Pick(now, uint64(i), nil)
		assert.Assert(t, ok)
		s.Sent(id, now)
		s.Done(id, now, time.Millisecond, Failure)
		assert.Assert(t, 2*len(s.ejected) <= 3)
	}
}

func threeWorkers(t *testing.T) *Set {
	t.Helper()
	s := &Set{}
	for _, id := range []string{"a", "b", "c"} {
		s.Put(id, 8, simEpoch)
	}
	return s
}

// request sends one request to the worker and ends it.
func request(s *Set, id string, now time.Time, r Result) {
	s.Sent(id, now)
	s.Done(id, now.Add(time.Millisecond), time.Millisecond, r)
}

func eject(t *testing.T, s *Set, id string) {
	t.Helper()
	for range 2 * maxStreak {
		if s.Ejected(id) {
			return
		}
		request(s, id, simEpoch, Failure)
		request(s, "b", simEpoch, Success)
	}
	t.Fatal("not ejected")
}

func TestProbes(t *testing.T) {
	s := threeWorkers(t)
	eject(t, s, "a")
	isProbed := func(now time.Time, avoid []string) bool {
		for i := range 3 * picksPerProbe {
			if id, _, ok := s.Pick(now, uint64(i), avoid); ok && id == "a" {
				return true
			}
		}
		return false
	}
	assert.Assert(t, !isProbed(simEpoch, nil), "before the first probe is due")
	assert.Assert(t, !isProbed(simEpoch.Add(2*time.Second), []string{"b"}), "by a retry")
	for i := range 3 * picksPerProbe {
		id, _, _ := s.PickNoProbe(simEpoch.Add(2*time.Second), uint64(i), nil)
		assert.Assert(t, id != "a", "by a request that can't be retried")
	}
	now, gap := simEpoch, time.Duration(0)
	for range 4 {
		due := s.Stat("a").Probe
		assert.Assert(t, due.Sub(now) > gap, "the interval between probes must grow: %v, %v", due.Sub(now), gap)
		gap, now = due.Sub(now), due
		assert.Assert(t, isProbed(now, nil))
		assert.Assert(t, !isProbed(now, nil), "one probe at a time")
		request(s, "a", now, Failure)
	}
	for range probesToReadmit {
		now = s.Stat("a").Probe
		assert.Assert(t, s.Ejected("a") && isProbed(now, nil))
		request(s, "a", now, Success)
	}
	assert.Assert(t, !s.Ejected("a"))
}

func TestEjectedWorkerIsTheFallback(t *testing.T) {
	s := threeWorkers(t)
	eject(t, s, "a")
	s.Remove("c")
	s.SetClosed("b", true)
	id, _, ok := s.Pick(simEpoch, 1, nil)
	assert.Assert(t, ok)
	assert.Equal(t, id, "a")
	s.SetClosed("a", true)
	_, _, ok = s.Pick(simEpoch, 1, nil)
	assert.Assert(t, !ok)
}

func TestHungWorkerIsAvoided(t *testing.T) {
	s := threeWorkers(t)
	for range 100 {
		for _, id := range []string{"a", "b", "c"} {
			request(s, id, simEpoch, Success)
		}
	}
	now := simEpoch.Add(time.Second)
	s.Sent("a", simEpoch)
	for range 3 {
		s.Sent("b", now)
		s.Sent("c", now)
	}
	for i := range 50 {
		id, _, _ := s.Pick(now, uint64(i), nil)
		assert.Assert(t, id != "a", "a has one hung request, b and c three running ones each")
	}
}

func TestFade(t *testing.T) {
	for i := range 3000 {
		age := time.Duration(i) * 10 * time.Millisecond
		exact := decay(age, time.Second)
		got := fastDecay(age, time.Second)
		assert.Assert(t, got > exact*0.998 && got < exact*1.002, "%v: %v, exactly %v", age, got, exact)
	}
	assert.Equal(t, fastDecay(time.Hour, time.Second), 0.0)
}

func TestWait(t *testing.T) {
	s := threeWorkers(t)
	for range 100 {
		for _, id := range []string{"a", "b", "c"} {
			s.Sent(id, simEpoch)
			s.Done(id, simEpoch, 10*time.Millisecond, Success)
		}
	}
	assert.Equal(t, s.ExpectedWait(simEpoch), time.Duration(0))
	for _, id := range []string{"a", "b", "c"} {
		s.SetLoad(id, 8, 8, simEpoch)
	}
	wait := s.ExpectedWait(simEpoch)
	assert.Assert(t, wait > 10*time.Millisecond && wait < 11*time.Millisecond, "25 requests beyond 24 slots: %v", wait)
	assert.Assert(t, s.ExpectedWait(simEpoch.Add(5*time.Second)) == 0, "old reports must decay")
	for i := range 48 {
		s.Sent([]string{"a", "b", "c"}[i%3], simEpoch)
	}
	_, own, _ := s.Pick(simEpoch.Add(5*time.Second), 1, nil)
	assert.Assert(t, own >= 10*time.Millisecond, "%v", own)
}

func TestQuantile(t *testing.T) {
	s := threeWorkers(t)
	assert.Equal(t, s.Quantile(0.5), time.Duration(0))
	for i := range 1000 {
		s.Done("a", simEpoch, time.Duration(i+1)*time.Millisecond, Success)
	}
	for q, want := range map[float64]time.Duration{0.5: 500 * time.Millisecond, 0.99: 990 * time.Millisecond} {
		got := s.Quantile(q)
		assert.Assert(t, got > want*98/100 && got < want*102/100, "%v: %v", q, got)
	}
	later := simEpoch
	for range 3 {
		later = later.Add(windowLength)
		s.Done("a", later, time.Millisecond, Success)
	}
	assert.Equal(t, s.Quantile(0.5), time.Duration(0), "old samples must expire")
}

// After any sequence of calls, a pick returns an open worker that is not to be
// avoided if there is one, at most half of the workers are ejected, and the
// totals match the workers.
func TestSetInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Set{Policy: rapid.SampledFrom([]Policy{TwoChoices, Random, RoundRobin}).Draw(t, "policy")}
		now := simEpoch
		open := map[string]bool{}
		worker := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		step := func(t *rapid.T) time.Time {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			return now
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				id := worker.Draw(t, "id")
				if _, ok := open[id]; !ok {
					open[id] = true
				}
				s.Put(id, rapid.IntRange(1, 8).Draw(t, "slots"), step(t))
			},
			"remove": func(t *rapid.T) {
				id := worker.Draw(t, "id")
				s.Remove(id)
				delete(open, id)
			},
			"close": func(t *rapid.T) {
				id, closed := worker.Draw(t, "id"), rapid.Bool().Draw(t, "closed")
				s.SetClosed(id, closed)
				if _, ok := open[id]; ok {
					open[id] = !closed
				}
			},
			"load": func(t *rapid.T) { s.SetLoad(worker.Draw(t, "id"), 3, 2, step(t)) },
			"sent": func(t *rapid.T) { s.Sent(worker.Draw(t, "id"), step(t)) },
			"done": func(t *rapid.T) {
				id, r := worker.Draw(t, "id"), Result(rapid.IntRange(0, int(Canceled)).Draw(t, "result"))
				for range rapid.IntRange(1, 10).Draw(t, "times") {
					s.Done(id, step(t), time.Millisecond, r)
				}
			},
			"": func(t *rapid.T) { checkSet(t, &s, open, now) },
		})
	})
}

func checkSet(t *rapid.T, s *Set, open map[string]bool, now time.Time) {
	assert.Equal(t, s.Len(), len(open))
	avoid := rapid.SampledFrom([][]string{nil, {"a"}, {"b", "c"}}).Draw(t, "avoid")
	some := false
	for id, o := range open {
		some = some || o && (len(avoid) == 0 || id != avoid[0] && id != avoid[len(avoid)-1])
	}
	id, wait, ok := s.Pick(now, rapid.Uint64().Draw(t, "seed"), avoid)
	assert.Equal(t, ok, some)
	assert.Assert(t, wait >= 0)
	if ok {
		assert.Assert(t, open[id])
		assert.Assert(t, len(avoid) == 0 || id != avoid[0] && id != avoid[len(avoid)-1])
	}
	assert.Assert(t, 2*len(s.ejected) <= len(s.live)+len(s.ejected))
	slots, inFlight := 0, 0
	for _, i := range s.live {
		slots += int(s.stats[i].slots)
		inFlight += int(s.stats[i].inFlight)
	}
	assert.Equal(t, s.total.slots, slots)
	assert.Equal(t, s.total.inFlight, inFlight)
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{11, 100, 1000, 10000, 29000} {
		s, ids := large(n)
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			now := simEpoch
			for i := range b.N {
				now = now.Add(time.Microsecond)
				if _, _, ok := s.Pick(now, uint64(i), nil); !ok {
					b.Fatal(len(ids))
				}
			}
		})
	}
}

// BenchmarkRequest measures all calls of a Set for one request.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{11, 29000} {
		s, _ := large(n)
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			now := simEpoch
			for i := range b.N {
				now = now.Add(time.Microsecond)
				id, _, _ := s.Pick(now, uint64(i), nil)
				s.Sent(id, now)
				_ = s.ExpectedWait(now)
				_ = s.Quantile(0.95)
				s.Done(id, now, time.Millisecond, Success)
			}
		})
	}
}

// large returns a set with latencies, reports and some ejected workers.
func large(n int) (s *Set, ids []string) {
	s = &Set{}
	for i := range n {
		id := fmt.Sprint("w", i)
		ids = append(ids, id)
		s.Put(id, 8, simEpoch)
		for k := range 8 {
			r := Success
			if i%10 == 0 {
				r = Failure
			}
			s.Sent(id, simEpoch)
			s.Done(id, simEpoch, time.Duration(1+(i+k)%7)*time.Millisecond, r)
		}
		s.SetLoad(id, i%9, 0, simEpoch)
	}
	return s, ids
}
