package core

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayloft/table"
)

// suspectCheckInterval is the time between two looks at all workers.
const suspectCheckInterval = 200 * time.Millisecond

// maxFencedListed bounds the incarnations that a fence row lists.
const maxFencedListed = 8

// pendingFence waits for the write of a fence row.
type pendingFence struct {
	row FenceRow
}

// pendingHear waits for another entry's word on a worker.
type pendingHear struct {
	workers []WorkerID
}

func (pendingFence) pendingAnswer() {}
func (pendingHear) pendingAnswer()  {}

// advanceSuspects looks for workers that have gone silent. New work stops at once;
// claims move only after the worker was fenced and its lease has lapsed.
func (e *Entry) advanceSuspects() {
	if e.at.Now.Before(e.nextSuspect) || !e.hasConfig() {
		return
	}
	e.nextSuspect = e.at.Now.Add(suspectCheckInterval)
	var ask []WorkerID
	for _, id := range e.rotatedWorkers() {
		w := e.workers[id]
		quiet := e.at.Now.Sub(w.heardAt)
		if quiet > e.pol.Silent && !w.silent {
			w.silent = true
			e.count("worker", ReasonCut)
			e.logEvent("worker silent", string(id), "quiet", quiet.String(), "claims", len(w.claims))
			e.closeWorker(w)
		}
		if quiet <= e.pol.Suspect || len(w.claims) == 0 {
			continue
		}
		if e.suspect(w) {
			ask = append(ask, id)
		}
	}
	e.queryPeers(ask)
}

// rotatedWorkers returns the workers in an order that starts elsewhere in each entry,
// so that entries don't all fence the same worker first.
func (e *Entry) rotatedWorkers() []WorkerID {
	ids := e.workerIDs()
	if len(ids) == 0 {
		return ids
	}
	n := int(xxhash.Sum64String(string(e.self.ID)) % uint64(len(ids)))
	return append(append(make([]WorkerID, 0, len(ids)), ids[n:]...), ids[:n]...)
}

// suspect deals with a silent worker that holds claims. It reports whether
// the other entries have to be asked about it.
func (e *Entry) suspect(w *workerView) bool {
	e.releaseFenced(w)
	inc := w.unfencedIncarnation(e.fences[w.id].row)
	if inc == "" {
		return false
	}
	if w.peersAskedAt.IsZero() || e.at.Now.Sub(w.peersAskedAt) > e.pol.Suspect {
		return true
	}
	if w.peersPending > 0 || e.at.Now.Sub(w.peerHeardAt) < e.pol.Suspect {
		return false
	}
	if w.peersAnswered == 0 && len(e.livePeerAddrs()) > 0 {
		return false // nobody else could be asked: the fault may be here
	}
	e.writeFence(w, inc)
	return false
}

// unfencedIncarnation returns an incarnation that holds claims and is not fenced.
func (w *workerView) unfencedIncarnation(f FenceRow) Incarnation {
	for _, c := range w.sortedClaims() {
		if !f.Has(c.holder.Inc) && !w.dead[c.holder.Inc] {
			return c.holder.Inc
		}
	}
	return ""
}

// releaseFenced moves the claims whose lease has certainly lapsed: the wait is
// counted from when this entry knew that the fence row was committed.
func (e *Entry) releaseFenced(w *workerView) {
	f := e.fences[w.id]
	wait := e.pol.Lease + e.pol.Drift
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

// queryPeers asks the other live entries which of the workers they hear. An
// entry that hears nothing at all may be the one at fault.
func (e *Entry) queryPeers(ids []WorkerID) {
	if len(ids) == 0 {
		return
	}
	peers := e.livePeerAddrs()
	for _, id := range ids {
		w := e.workers[id]
		w.peersAskedAt, w.peersPending, w.peersAnswered = e.at.Now, len(peers), 0
	}
	for _, addr := range peers {
		e.emit(QueryLiveness{Token: e.expect(pendingHear{workers: ids}), Addr: addr, Workers: ids})
	}
}

func (e *Entry) handleHearAsked(ev LivenessAsked) {
	var heard []WorkerID
	for _, id := range ev.Workers {
		if w := e.workers[id]; w != nil && !w.heartbeat.Sent.IsZero() && e.at.Now.Sub(w.heardAt) < e.pol.Suspect {
			heard = append(heard, id)
		}
	}
	e.emit(LivenessReply{Token: ev.Token, Alive: heard})
}

func (e *Entry) handleHearAnswered(ev LivenessAnswered) {
	q, ok := e.takePending(ev.Token).(pendingHear)
	if !ok {
		return
	}
	heard := map[WorkerID]bool{}
	for _, id := range ev.Alive {
		heard[id] = true
	}
	for _, id := range q.workers {
		w := e.workers[id]
		if w == nil {
			continue
		}
		w.peersPending--
		if ev.Fault == FaultNone {
			w.peersAnswered++
		}
		if heard[id] {
			w.peerHeardAt = e.at.Now
		}
	}
}

// writeFence writes the writeFence row of a silent worker. Fences are written at a
// bounded rate: many silent workers at once are more often a cut than deaths.
func (e *Entry) writeFence(w *workerView, inc Incarnation) {
	if e.at.Now.Before(e.nextFence) || e.circuit.IsOpen(e.at.Now) {
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
	w.peersAskedAt = e.at.Now // do not fence again before this one is answered
	w.peersPending = 1
	e.commit(pendingFence{row: row}, []table.Cond{{Key: key, Version: f.version}}, []Record{row}, []string{key})
}

// handleFenceAnswered learns what became of a fence. A lost answer is cleared up by
// the regular reads.
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

// sortedClaims returns the claims at a worker in the order of their tasks.
func (w *workerView) sortedClaims() []*claim {
	cs := make([]*claim, 0, len(w.claims))
	for _, c := range w.claims {
		cs = append(cs, c)
	}
	sort.Slice(cs, func(i, j int) bool { return lessTask(cs[i].attempt.Task, cs[j].attempt.Task) })
	return cs
}
