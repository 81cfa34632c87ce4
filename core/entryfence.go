package core

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayloft/table"
)

// suspectEvery is the time between two looks at all workers.
const suspectEvery = 200 * time.Millisecond

// fencedKept bounds the incarnations that a fence row lists.
const fencedKept = 8

// waitFence waits for the write of a fence row.
type waitFence struct {
	row FenceRow
}

// waitHear waits for another entry's word on a worker.
type waitHear struct {
	workers []WorkerID
}

func (waitFence) wait() {}
func (waitHear) wait()  {}

// suspectDue looks for workers that have gone silent. New work stops at once;
// claims move only after the worker was fenced and its lease has lapsed.
func (e *Entry) suspectDue() {
	if e.at.Now.Before(e.nextSus) || !e.ready() {
		return
	}
	e.nextSus = e.at.Now.Add(suspectEvery)
	var ask []WorkerID
	for _, id := range e.rotated() {
		w := e.workers[id]
		quiet := e.at.Now.Sub(w.heard)
		if quiet > e.pol.Silent && !w.silent {
			w.silent = true
			e.count("worker", ReasonCut)
			e.tell("worker silent", string(id), "quiet", quiet.String(), "claims", len(w.claims))
			e.closeWorker(w)
		}
		if quiet <= e.pol.Suspect || len(w.claims) == 0 {
			continue
		}
		if e.suspect(w) {
			ask = append(ask, id)
		}
	}
	e.askOthers(ask)
}

// rotated returns the workers in an order that starts elsewhere in each entry,
// so that entries don't all fence the same worker first.
func (e *Entry) rotated() []WorkerID {
	ids := e.workerIDs()
	if len(ids) == 0 {
		return ids
	}
	n := int(xxhash.Sum64String(string(e.site.ID)) % uint64(len(ids)))
	return append(append(make([]WorkerID, 0, len(ids)), ids[n:]...), ids[:n]...)
}

// suspect deals with a silent worker that holds claims. It reports whether
// the other entries have to be asked about it.
func (e *Entry) suspect(w *workerView) bool {
	e.releaseFenced(w)
	inc := w.unfenced(e.fences[w.id].row)
	if inc == "" {
		return false
	}
	if w.asked.IsZero() || e.at.Now.Sub(w.asked) > e.pol.Suspect {
		return true
	}
	if w.askedN > 0 || e.at.Now.Sub(w.elsewhen) < e.pol.Suspect {
		return false
	}
	if w.answersN == 0 && len(e.livePeers()) > 0 {
		return false // nobody else could be asked: the fault may be here
	}
	e.fence(w, inc)
	return false
}

// unfenced returns an incarnation that holds claims and is not fenced.
func (w *workerView) unfenced(f FenceRow) Incarnation {
	for _, c := range w.claimList() {
		if !f.Has(c.holder.Inc) && !w.past[c.holder.Inc] {
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
	for _, c := range w.claimList() {
		known, ok := f.known[c.holder.Inc]
		if ok && f.row.Has(c.holder.Inc) && e.at.Now.Sub(known) > wait {
			e.releaseLost(c, "its VM went silent and was fenced")
		}
	}
}

// askOthers asks the other live entries which of the workers they hear. An
// entry that hears nothing at all may be the one at fault.
func (e *Entry) askOthers(ids []WorkerID) {
	if len(ids) == 0 {
		return
	}
	peers := e.livePeers()
	for _, id := range ids {
		w := e.workers[id]
		w.asked, w.askedN, w.answersN = e.at.Now, len(peers), 0
	}
	for _, addr := range peers {
		e.emit(Hear{Token: e.expect(waitHear{workers: ids}), Addr: addr, Workers: ids})
	}
}

func (e *Entry) hearAsked(ev LivenessAsked) {
	var heard []WorkerID
	for _, id := range ev.Workers {
		if w := e.workers[id]; w != nil && !w.beat.Sent.IsZero() && e.at.Now.Sub(w.heard) < e.pol.Suspect {
			heard = append(heard, id)
		}
	}
	e.emit(LivenessReply{Token: ev.Token, Alive: heard})
}

func (e *Entry) hearAnswered(ev LivenessAnswered) {
	q, ok := e.take(ev.Token).(waitHear)
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
		w.askedN--
		if ev.Fault == FaultNone {
			w.answersN++
		}
		if heard[id] {
			w.elsewhen = e.at.Now
		}
	}
}

// fence writes the fence row of a silent worker. Fences are written at a
// bounded rate: many silent workers at once are more often a cut than deaths.
func (e *Entry) fence(w *workerView, inc Incarnation) {
	if e.at.Now.Before(e.nextFence) || e.circuit.Open(e.at.Now) {
		e.count("fence.wait", ReasonBudget)
		return
	}
	e.nextFence = e.at.Now.Add(e.pol.FencesEvery)
	f := e.fences[w.id]
	row := FenceRow{Worker: w.id, Fenced: append(append([]Incarnation{}, f.row.Fenced...), inc)}
	if n := len(row.Fenced); n > fencedKept {
		row.Fenced = row.Fenced[n-fencedKept:]
	}
	key := keyFence(w.id)
	e.note("fencing", string(w.id), fmt.Sprintf("silent, %d claims", len(w.claims)))
	e.count("fence", ReasonCut)
	w.asked = e.at.Now // do not fence again before this one is answered
	w.askedN = 1
	e.commit(waitFence{row: row}, []table.Cond{{Key: key, Version: f.version}}, []Record{row}, []string{key})
}

// fenceAnswered learns what became of a fence. A lost answer is cleared up by
// the regular reads.
func (e *Entry) fenceAnswered(q waitFence, ev CommitAnswered) {
	w := e.workers[q.row.Worker]
	if w == nil {
		return
	}
	w.askedN = 0
	key := keyFence(q.row.Worker)
	for _, r := range ev.Result.Conflicts {
		if r.Key == key {
			e.fenceRow(r)
		}
	}
	b, err := Encode(q.row)
	if ev.Result.Committed && err == nil {
		e.fenceRow(table.Row{Key: key, Version: ev.Result.Revision, Value: b})
	}
}

// claimList returns the claims at a worker in the order of their tasks.
func (w *workerView) claimList() []*claim {
	cs := make([]*claim, 0, len(w.claims))
	for _, c := range w.claims {
		cs = append(cs, c)
	}
	sort.Slice(cs, func(i, j int) bool { return lessTask(cs[i].attempt.Task, cs[j].attempt.Task) })
	return cs
}
