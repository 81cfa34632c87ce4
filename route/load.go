package route

import "time"

// SetLoad records an agent's load report: all requests that run or are queued on
// the worker, whichever entry sent them. Unknown ids are ignored.
func (s *Set) SetLoad(id string, running, queued int, now time.Time) {
	i, ok := s.slots[id]
	if !ok {
		return
	}
	w, ls, t := &s.workers[i], &s.stats[i], s.at(now)
	n := max(float64(running+queued)-float64(ls.inFlight), 0)
	if ls.state == stateLive {
		s.total.addOthers(float64(ls.others), ls.reportedAt, -1)
	}
	w.reports++
	mean := float64(ls.othersMean)
	updateMean(&mean, n, reportWeight, w.reports)
	ls.othersMean, ls.others, ls.reportedAt = float32(mean), float32(n), t
	if ls.state == stateLive {
		s.total.addOthers(float64(ls.others), t, 1)
	}
}

// Sent records that a request was sent to the worker. Unknown ids are ignored.
func (s *Set) Sent(id string, now time.Time) {
	i, ok := s.slots[id]
	if !ok {
		return
	}
	ls := &s.stats[i]
	if ls.inFlight == 0 {
		ls.lastProgress = s.at(now)
	}
	ls.inFlight++
	if s.stats[i].state == stateLive {
		s.total.inFlight++
	}
}

// ExpectedWait returns the expected queueing time of a request that is sent now,
// with all live workers treated as one queue.
func (s *Set) ExpectedWait(now time.Time) time.Duration {
	if s.total.slots <= 0 {
		return 0
	}
	load := float64(s.total.inFlight) + s.total.othersAt(s.at(now))
	return expectedWait(s.service.orDefault(defaultLatency), load, float64(s.total.slots))
}

// expectedWait returns the expected queueing time behind load requests that share
// the slots and take the service time each, in nanoseconds.
func expectedWait(service, load, slots float64) time.Duration {
	if load+1 <= slots {
		return 0
	}
	return time.Duration(service * (load + 1 - slots) / slots)
}

// load estimates the number of requests on the worker. The deviation of the last
// report from the mean decays within a few service times; the mean decays only
// while reports are missing.
func (ls *loadStats) load(t instant) float64 {
	age := t.since(ls.reportedAt)
	n := float64(ls.othersMean)
	if ls.service > 0 {
		halfLife := max(time.Duration(surplusHalfLife*ls.service), time.Millisecond)
		n += float64(ls.others-ls.othersMean) * fastDecay(age, halfLife)
	}
	return float64(ls.inFlight) + n*fastDecay(age, reportHalfLife)
}

// totals is the combined load of the live workers. All reports decay with the same
// half-life, so their sum does too and can be kept without a pass over the workers.
type totals struct {
	slots      int
	inFlight   int
	others     float64 // at reportedAt
	reportedAt instant
}

func (t *totals) add(ls *loadStats, sign int) {
	t.slots += sign * int(ls.slots)
	t.inFlight += sign * int(ls.inFlight)
	t.addOthers(float64(ls.others), ls.reportedAt, float64(sign))
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
