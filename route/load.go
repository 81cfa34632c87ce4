package route

import "time"

// SetLoad notes an agent's report: all requests that run on the worker or wait
// there, whichever entry sent them.
func (s *Set) SetLoad(id string, running, queued int, now time.Time) {
	i, ok := s.slots[id]
	if !ok {
		return
	}
	w, g, t := &s.workers[i], &s.stats[i], s.at(now)
	n := max(float64(running+queued)-float64(g.inFlight), 0)
	if g.state == stateLive {
		s.total.addOthers(float64(g.others), g.reportedAt, -1)
	}
	w.reports++
	usual := float64(g.othersMean)
	updateMean(&usual, n, reportWeight, w.reports)
	g.othersMean, g.others, g.reportedAt = float32(usual), float32(n), t
	if g.state == stateLive {
		s.total.addOthers(float64(g.others), t, 1)
	}
}

// Sent notes that a request is on its way to the worker.
func (s *Set) Sent(id string, now time.Time) {
	i, ok := s.slots[id]
	if !ok {
		return
	}
	g := &s.stats[i]
	if g.inFlight == 0 {
		g.lastProgress = s.at(now)
	}
	g.inFlight++
	if s.stats[i].state == stateLive {
		s.total.inFlight++
	}
}

// ExpectedWait returns the expected time until a request that is sent now begins to
// run, taken over the live workers together.
func (s *Set) ExpectedWait(now time.Time) time.Duration {
	if s.total.slots <= 0 {
		return 0
	}
	load := float64(s.total.inFlight) + s.total.othersAt(s.at(now))
	return expectedWait(s.service.orDefault(defaultLatency), load, float64(s.total.slots))
}

// expectedWait returns the expected expectedWait behind a load of requests that share slots,
// each of which takes the service time.
func expectedWait(service, load, slots float64) time.Duration {
	if load+1 <= slots {
		return 0
	}
	return time.Duration(service * (load + 1 - slots) / slots)
}

// load returns the estimated requests on the worker. What the last report has
// beyond the usual is gone after a few service times; what is usual fades only
// when no reports come.
func (g *loadStats) load(t instant) float64 {
	age := t.since(g.reportedAt)
	n := float64(g.othersMean)
	if g.service > 0 {
		halfLife := max(time.Duration(surplusHalfLife*g.service), time.Millisecond)
		n += float64(g.others-g.othersMean) * fastDecay(age, halfLife)
	}
	return float64(g.inFlight) + n*fastDecay(age, reportHalfLife)
}

// totals is the load of the live workers together. Since all reports decay
// alike, their sum decays as they do and needs no pass over the workers.
type totals struct {
	slots    int
	inFlight int
	others   float64 // at reported
	reportedAt instant
}

func (t *totals) add(g *loadStats, sign int) {
	t.slots += sign * int(g.slots)
	t.inFlight += sign * int(g.inFlight)
	t.addOthers(float64(g.others), g.reportedAt, float64(sign))
}

func (t *totals) addOthers(n float64, at instant, sign float64) {
	if at > t.reportedAt {
		t.others = t.othersAt(at)
		t.reportedAt = at
	}
	t.others = max(t.others+sign*n*decay(t.reportedAt.since(at), reportHalfLife), 0)
}

func (t *totals) othersAt(now instant) float64 {
	if t.others == 0 {
		return 0
	}
	return t.others * decay(now.since(t.reportedAt), reportHalfLife)
}
