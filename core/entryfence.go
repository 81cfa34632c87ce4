package core

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayloft/table"
)

// suspectCheckInterval is the time between two checks of all workers for silence.
const suspectCheckInterval = 200 * time.Millisecond

// maxFencedListed bounds the incarnations that a fence row lists; the oldest are
// dropped.
const maxFencedListed = 8

// pendingFence awaits the write of a fence row.
type pendingFence struct {
	row FenceRow
}

// pendingLiveness awaits another entry's answer whether it receives heartbeats from some
// workers.
type pendingLiveness struct {
	workers []WorkerID
}

func (pendingFence) pendingAnswer()    {}
func (pendingLiveness) pendingAnswer() {}

// advanceSuspects checks for workers that have gone silent. They get no new work from
// then on, but their claims are released only once they are fenced and their lease has
// expired.
func (e *Entry) advanceSuspects() {
	if e.at.Now.Before(e.nextSuspect) || !e.hasConfig() || !e.homes.self {
		return
	}
	e.nextSuspect = e.at.Now.Add(suspectCheckInterval)
	var suspects []WorkerID
	for _, id := range e.rotatedWorkers() {
		w := e.workers[id]
		silentFor := e.at.Now.Sub(w.heartbeatAt)
		if silentFor > e.pol.Silent && !w.silent {
			w.silent = true
			e.count("worker", ReasonCut)
			e.logEvent("worker silent", string(id), "quiet", silentFor.String(), "claims", len(w.claims))
			e.closeWorker(w)
		}
		if silentFor <= e.pol.Suspect || len(w.claims) == 0 {
			continue
		}
		if e.suspect(w) {
			suspects = append(suspects, id)
		}
	}
	e.queryPeers(suspects)
}

// rotatedWorkers returns the workers in order, from a starting point that differs
// between entries, so that they don't all fence the same worker first.
func (e *Entry) rotatedWorkers() []WorkerID {
	ids := e.workerIDs()
	if len(ids) == 0 {
		return ids
	}
	n := int(xxhash.Sum64String(string(e.self.ID)) % uint64(len(ids)))
	return append(append(make([]WorkerID, 0, len(ids)), ids[n:]...), ids[:n]...)
}

// suspect releases the fenced claims of a silent worker, and fences the worker if no
// other home receives its heartbeats. It reports whether the other homes must be queried
// first.
func (e *Entry) suspect(w *workerView) bool {
	e.releaseFenced(w)
	inc := w.unfencedIncarnation(e.fences[w.id].row)
	if inc == "" {
		return false
	}
	if w.peersAskedAt.IsZero() || e.at.Now.Sub(w.peersAskedAt) > e.pol.Suspect {
		return true
	}
	if w.peersPending > 0 || e.at.Now.Sub(w.peerHeartbeatAt) < e.pol.Suspect {
		return false
	}
	if 2*w.peersAnswered < w.peersAsked && len(e.homes.others) > 0 {
		return false // most other homes did not answer or can't tell: they may hear the worker
	}
	e.writeFence(w, inc)
	return false
}

// unfencedIncarnation returns an incarnation that holds claims and is neither fenced
// nor known to be dead; empty if there is none.
func (w *workerView) unfencedIncarnation(f FenceRow) Incarnation {
	for _, c := range w.sortedClaims() {
		if !f.Has(c.holder.Inc) && !w.dead[c.holder.Inc] {
			return c.holder.Inc
		}
	}
	return ""
}

// releaseFenced releases the claims of fenced incarnations whose lease has certainly
// expired. The wait starts when this entry learned that the fence row is committed.
func (e *Entry) releaseFenced(w *workerView) {
	f := e.fences[w.id]
	wait := e.pol.Lease + e.pol.Drift
	if w.unsettled {
		wait += maxCallDelay // an extension may be among the calls
	}
	if !e.pol.on(guardFenceWait) {
		wait = 0
	}
	for _, c := range w.sortedClaims() {
		learnedAt, ok := f.learnedAt[c.holder.Inc]
		if ok && f.row.Has(c.holder.Inc) && e.at.Now.Sub(learnedAt) > wait {
			e.releaseLost(c, "its VM went silent and was fenced")
		}
	}
}

// queryPeers asks the other homes from which of the workers they receive heartbeats. An
// entry that receives none at all may itself be at fault.
func (e *Entry) queryPeers(ids []WorkerID) {
	if len(ids) == 0 {
		return
	}
	peers := e.homes.others
	for _, id := range ids {
		w := e.workers[id]
		w.peersAskedAt, w.peersPending, w.peersAsked, w.peersAnswered = e.at.Now, len(peers), len(peers), 0
	}
	for _, addr := range peers {
		e.emit(QueryLiveness{Token: e.expect(pendingLiveness{workers: ids}), Addr: addr, Workers: ids})
	}
}

// handleLivenessAsked answers which of the workers send this entry heartbeats. The last one
// must have come within Policy.Suspect less a heartbeat's interval: the entries don't
// receive them at the same time, and one that asks has waited for Policy.Suspect. An entry
// that is no home, or has been one for a short time only, can't tell that others are silent.
func (e *Entry) handleLivenessAsked(ev LivenessAsked) {
	recent := e.pol.Suspect - e.pol.HeartbeatInterval
	ans := LivenessReply{Token: ev.Token, Unsure: !e.canTellSilence()}
	for _, id := range ev.Workers {
		w := e.workers[id]
		if w != nil && !w.heartbeat.Sent.IsZero() && e.at.Now.Sub(w.heartbeatAt) < recent {
			ans.Alive = append(ans.Alive, id)
		}
		if w != nil && w.unsettled {
			ans.Unsettled = append(ans.Unsettled, id)
		}
	}
	e.emit(ans)
}

// handleLivenessAnswered records which workers another entry receives heartbeats from.
func (e *Entry) handleLivenessAnswered(ev LivenessAnswered) {
	q, ok := e.takePending(ev.Token).(pendingLiveness)
	if !ok {
		return
	}
	alive := map[WorkerID]bool{}
	for _, id := range ev.Alive {
		alive[id] = true
	}
	for _, id := range q.workers {
		w := e.workers[id]
		if w == nil {
			continue
		}
		w.unsettled = w.unsettled || slices.Contains(ev.Unsettled, id)
		w.peersPending--
		if ev.Fault == FaultNone && !ev.Unsure {
			w.peersAnswered++
		}
		if alive[id] {
			w.peerHeartbeatAt = e.at.Now
		}
	}
}

// writeFence writes the fence row of a silent worker. The rate is limited: if many
// workers go silent at once, a network partition is likelier than their failure.
func (e *Entry) writeFence(w *workerView, inc Incarnation) {
	if e.at.Now.Before(e.nextFence) || e.breaker.IsOpen(e.at.Now) {
		e.count("fence.wait", ReasonBudget)
		return
	}
	e.nextFence = e.at.Now.Add(e.pol.FenceInterval)
	f := e.fences[w.id]
	row := FenceRow{Worker: w.id, Fenced: append(append([]Incarnation{}, f.row.Fenced...), inc)}
	if n := len(row.Fenced); n > maxFencedListed {
		row.Fenced = row.Fenced[n-maxFencedListed:]
	}
	key := keyFence(w.id)
	e.logNote("fencing", string(w.id), fmt.Sprintf("silent, %d claims", len(w.claims)))
	e.count("fence", ReasonCut)
	w.peersAskedAt = e.at.Now // prevents another fence before this one is answered
	w.peersPending = 1
	e.commit(pendingFence{row: row}, []table.Cond{{Key: key, Version: f.version}}, []Record{row}, []string{key})
}

// handleFenceAnswered handles the result of a fence write. After a lost answer the
// regular reads show whether it was committed.
func (e *Entry) handleFenceAnswered(q pendingFence, ev CommitAnswered) {
	w := e.workers[q.row.Worker]
	if w == nil {
		return
	}
	w.peersPending = 0
	key := keyFence(q.row.Worker)
	for _, r := range ev.Result.Conflicts {
		if r.Key == key {
			e.applyFenceRow(r)
		}
	}
	b, err := Encode(q.row)
	if ev.Result.Committed && err == nil {
		e.applyFenceRow(table.Row{Key: key, Version: ev.Result.Revision, Value: b})
	}
}

// sortedClaims returns the claims on a worker, sorted by task.
func (w *workerView) sortedClaims() []*claim {
	cs := make([]*claim, 0, len(w.claims))
	for _, c := range w.claims {
		cs = append(cs, c)
	}
	sort.Slice(cs, func(i, j int) bool { return lessTask(cs[i].attempt.Task, cs[j].attempt.Task) })
	return cs
}
