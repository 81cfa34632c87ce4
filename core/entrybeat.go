package core

import (
	"time"

	"jayloft/place"
	"jayloft/table"
)

// workerView is what an entry knows of one worker.
type workerView struct {
	id     WorkerID
	inc    Incarnation // the one in use; empty before the first beat
	past   map[Incarnation]bool
	beat   Beat // the newest
	heard  time.Time
	silent bool

	// cur and prev are the last two beats that may become the echo.
	cur, prev echoMark
	echo      time.Time

	claims map[TaskID]*claim
	orphan map[Attempt]*orphanEnd // ends of other entries' jobs

	asked    time.Time // when the other entries were asked about it
	askedN   int       // answers missing
	answersN int
	elsewhen time.Time // when another entry said that it hears it

	failures workerFailures
	noise    workerNoise
}

// echoMark is a beat's send time and the number of read rounds that had begun
// when it was received. Any later round that succeeds makes it an echo.
type echoMark struct {
	sent  time.Time
	round uint64
}

func (e *Entry) worker(id WorkerID) *workerView {
	w := e.workers[id]
	if w == nil {
		w = &workerView{
			id: id, past: map[Incarnation]bool{}, heard: e.at.Now,
			claims: map[TaskID]*claim{}, orphan: map[Attempt]*orphanEnd{},
		}
		e.workers[id] = w
	}
	return w
}

// beatHeard takes an agent's beat and answers it.
func (e *Entry) beatHeard(ev BeatReceived) {
	b := ev.Beat
	w := e.worker(b.Worker)
	ans := BeatAnswer{Config: e.config.rev, Entries: e.livePeers()}
	e.doneHeard(w, b, &ans)
	for _, inc := range b.Gone {
		e.confirmDead(w, inc)
	}
	e.configRows(&ans, b.Config)
	switch {
	case w.past[b.Inc] || e.fences[w.id].row.Has(b.Inc):
		ans.Fenced = true
		if w.inc == b.Inc {
			w.silent = true
			e.closeWorker(w)
		}
	case !e.current(w, b):
		ans.Prior = w.inc
	default:
		e.takeBeat(w, b, &ans)
		ans.Echo = w.echo
		ans.Checkpoint = e.checkpointEvery()
		ans.Prior = w.unconfirmed()
	}
	e.emit(BeatReply{Token: ev.Token, Answer: ans})
}

// doneHeard takes the ends of tasks that are done, also of an incarnation that is
// fenced or gone: what has run to its end need not run again, as long as its claim
// stands. So it comes before claims are released.
func (e *Entry) doneHeard(w *workerView, b Beat, ans *BeatAnswer) {
	for _, end := range b.Ends {
		if end.Kind == EndDone {
			e.endHeard(w, end, ans)
		}
	}
}

// current reports whether the beat is of the incarnation in use, which it
// becomes once the one before is known to be dead.
func (e *Entry) current(w *workerView, b Beat) bool {
	if w.inc == "" || (w.inc != b.Inc && w.past[w.inc]) {
		w.inc = b.Inc
		e.tasks -= len(w.beat.Running)
		w.beat = Beat{}
		w.cur, w.prev, w.echo = echoMark{}, echoMark{}, time.Time{}
	}
	return w.inc == b.Inc
}

// confirmDead learns from a worker's own agent that an incarnation is dead. What
// it held can't run any more, so its claims move at once.
func (e *Entry) confirmDead(w *workerView, inc Incarnation) {
	if w.past[inc] {
		return
	}
	w.past[inc] = true
	for _, c := range w.claimList() {
		if c.holder.Inc == inc {
			e.releaseLost(c, "its VM was restarted or replaced")
		}
	}
}

// unconfirmed returns an incarnation that claims still name, and that is neither
// in use nor known to be dead.
func (w *workerView) unconfirmed() Incarnation {
	var prior Incarnation
	for _, c := range w.claims {
		inc := c.holder.Inc
		if inc != w.inc && !w.past[inc] && (prior == "" || inc < prior) {
			prior = inc
		}
	}
	return prior
}

// takeBeat brings the view of a worker up to date.
func (e *Entry) takeBeat(w *workerView, b Beat, ans *BeatAnswer) {
	e.markEcho(w, b.Sent)
	w.heard = e.at.Now
	w.asked = time.Time{}
	if !b.Sent.After(w.beat.Sent) {
		return
	}
	e.tasks += len(b.Running) - len(w.beat.Running)
	if w.silent || w.beat.Sent.IsZero() {
		e.tell("worker heard", string(w.id), "inc", string(b.Inc), "running", len(b.Running), "leaving", b.Leaving)
	}
	w.beat, w.silent = b, false
	for _, t := range b.Running {
		e.runningHeard(w, t, ans)
	}
	for _, end := range b.Ends {
		if end.Kind != EndDone {
			e.endHeard(w, end, ans)
		}
	}
	e.observe(w, ans)
	e.observePress(w, ans)
	e.indexWorker(w)
	e.routeWorker(w)
	e.moveSlowed(w)
}

// checkpointEvery returns the time between checkpoints of a task, so that those
// of all tasks stay within what the object store takes.
func (e *Entry) checkpointEvery() time.Duration {
	least := time.Duration(float64(e.tasks) / e.pol.CheckpointsPerSecond * float64(time.Second))
	return max(e.pol.CheckpointEvery, least)
}

// markEcho keeps the send times that may be echoed. Beats received before a
// round of reads began may be echoed once that round has succeeded.
func (e *Entry) markEcho(w *workerView, sent time.Time) {
	w.promote(e.round.done)
	if w.cur.round < e.round.begun {
		w.prev = w.cur
	}
	if sent.After(w.cur.sent) {
		w.cur = echoMark{sent: sent, round: e.round.begun}
	}
	w.promote(e.round.done)
}

func (w *workerView) promote(done uint64) {
	switch {
	case done > w.cur.round:
		w.echo = latest(w.echo, w.cur.sent)
	case done > w.prev.round:
		w.echo = latest(w.echo, w.prev.sent)
	}
}

// configRows adds the configuration that an agent lacks.
func (e *Entry) configRows(ans *BeatAnswer, have uint64) {
	if have >= e.config.rev {
		return
	}
	ans.Full = have == 0
	ans.Rows = e.config.since(have)
}

// committed returns what a worker is committed to, with the claims that its
// agent has not reported yet.
func (w *workerView) committed() (all, batch Size) {
	all, batch = w.beat.Committed, w.beat.Batch
	for _, c := range w.claims {
		if c.holder.Inc != w.inc || c.listed {
			continue
		}
		all = all.Plus(c.size)
		batch = batch.Plus(c.soft)
	}
	return all, batch
}

// lastingIdle is the part of its processors that a lasting task leaves unused:
// it declares them for its users' peaks.
const lastingIdle = 0.5

// slack returns what the lasting tasks on a worker are likely to leave unused.
func (w *workerView) slack() Size {
	lasting := w.beat.Lasting
	for _, c := range w.claims {
		if c.lasting && c.holder.Inc == w.inc && !c.listed {
			lasting += c.size.Millicores
		}
	}
	return Size{Millicores: int64(float64(lasting) * lastingIdle)}
}

// use returns whether tasks with a target for their tail latency run on the
// worker, or will.
func (w *workerView) use() place.Use {
	if w.beat.Serving > 0 {
		return place.Serving
	}
	for _, c := range w.claims {
		if c.target > 0 && c.holder.Inc == w.inc {
			return place.Serving
		}
	}
	return place.Quiet
}

// usable reports whether a worker may be given new work, or why not.
func (e *Entry) usable(w *workerView) (Reason, bool) {
	if w.silent || w.inc == "" || w.beat.Sent.IsZero() {
		return ReasonCut, false
	}
	if w.beat.Leaving {
		return ReasonLeaving, false
	}
	dc, ok := e.config.dc(w.beat.DC)
	if !ok {
		return ReasonConfig, false
	}
	if dc.Out {
		return ReasonLeaving, false
	}
	if e.fences[w.id].row.Has(w.inc) {
		return ReasonIncarnation, false
	}
	return ReasonNone, true
}

// indexWorker brings the placement index up to date for one worker.
func (e *Entry) indexWorker(w *workerView) {
	if w.beat.Sent.IsZero() {
		e.index.Remove(string(w.id))
		return
	}
	_, ok := e.usable(w)
	all, batch := w.committed()
	e.index.Set(string(w.id), place.Worker{
		DC: string(w.beat.DC), Rack: string(w.beat.Rack),
		Capacity: w.beat.Capacity, Committed: all, Batch: batch,
		Use:     w.use(),
		Slack:   w.slack(),
		Closed:  !ok || w.beat.Lapsed || w.failures.quarantined(e.at.Now),
		Penalty: w.failures.penalty() + e.disturbance(w),
		Share:   e.ramp(w.beat.DC),
	})
	e.queue.blocked = false
}

// ramp returns the share of a returned data centre's room that is used.
func (e *Entry) ramp(n DC) float64 {
	dc, ok := e.config.dc(n)
	if !ok || dc.Since.IsZero() || e.pol.RampFor <= 0 {
		return 1
	}
	share := float64(e.at.Now.Sub(dc.Since)) / float64(e.pol.RampFor)
	return min(max(share, minRamp), 1)
}

// minRamp is the share of a data centre that is used right after its return.
const minRamp = 0.2

// closeWorker stops new work for a worker.
func (e *Entry) closeWorker(w *workerView) {
	e.indexWorker(w)
	e.routeWorker(w)
}

// fenceView is a fence row and when this entry learned of each incarnation.
type fenceView struct {
	row     FenceRow
	version uint64
	known   map[Incarnation]time.Time
}

// fenceRow takes a fence row from the table.
func (e *Entry) fenceRow(r table.Row) {
	id := WorkerID(r.Key[len(PrefixFence):])
	f := e.fences[id]
	if r.Version <= f.version {
		return
	}
	f.version = r.Version
	if f.known == nil {
		f.known = map[Incarnation]time.Time{}
	}
	f.row = FenceRow{Worker: id}
	if !r.Deleted {
		rec, err := Decode(r.Key, r.Value)
		if err != nil {
			e.note("fence row passed over", r.Key, err.Error())
			return
		}
		f.row, _ = rec.(FenceRow)
	}
	for _, inc := range f.row.Fenced {
		if _, ok := f.known[inc]; !ok {
			f.known[inc] = e.at.Now
		}
	}
	e.fences[id] = f
}
