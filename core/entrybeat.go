package core

import (
	"time"

	"jayloft/place"
	"jayloft/table"
)

// workerView is an entry's view of one worker.
type workerView struct {
	id          WorkerID
	inc         Incarnation // the current one; empty before the first heartbeat
	dead        map[Incarnation]bool
	heartbeat   Heartbeat // the latest
	heartbeatAt time.Time
	silent      bool
	// unsettled says that calls of its agents that got no answer may still take effect there,
	// as its last heartbeat of any incarnation or another home has reported.
	unsettled bool

	// cur and prev are the last two heartbeats that may become the echo.
	cur, prev echoCandidate
	echo      time.Time

	claims     map[TaskID]*claim
	orphanEnds map[Attempt]*orphanEnd // ends of other entries' jobs

	peersAskedAt    time.Time // when the other entries were last asked about the worker
	peersPending    int       // answers that are outstanding
	peersAsked      int
	peersAnswered   int
	peerHeartbeatAt time.Time // when another entry last reported heartbeats from the worker

	largest     Size      // the largest capacity of the current incarnation
	restartedAt time.Time // when its last restart was learnt of; zero if none was
	preferredBy EntryID   // the home that places tasks here first; empty until it is determined

	failures workerFailures
	impact   workerImpact
}

// echoCandidate is the send time of a heartbeat and the number of read rounds that
// had started when it was received. The next round that succeeds makes it the echo.
type echoCandidate struct {
	sent  time.Time
	round uint64
}

// worker returns the view of a worker, a new one if it is not known yet.
func (e *Entry) worker(id WorkerID) *workerView {
	w := e.workers[id]
	if w == nil {
		w = &workerView{
			id: id, dead: map[Incarnation]bool{}, heartbeatAt: latest(e.at.Now, e.homes.heardFrom()),
			claims: map[TaskID]*claim{}, orphanEnds: map[Attempt]*orphanEnd{},
		}
		e.workers[id] = w
	}
	return w
}

// handleHeartbeatReceived applies an agent's heartbeat and answers it.
func (e *Entry) handleHeartbeatReceived(ev HeartbeatReceived) {
	hb := ev.Heartbeat
	w := e.worker(hb.Worker)
	ans := HeartbeatAnswer{Config: e.config.rev, Entries: e.homes.addrs}
	w.unsettled = hb.Unsettled
	e.recordFinalEnds(w, hb, &ans)
	for _, inc := range hb.Dead {
		e.confirmDead(w, inc)
	}
	e.addConfigRows(&ans, hb.Config)
	switch {
	case w.dead[hb.Inc] || e.fences[w.id].row.Has(hb.Inc):
		ans.Fenced = true
		if w.inc == hb.Inc {
			w.silent = true
			e.closeWorker(w)
		}
	case !e.adoptIncarnation(w, hb):
		ans.Prior = w.inc
	default:
		e.applyHeartbeat(w, hb, &ans)
		ans.Echo = w.echo
		ans.Checkpoint = e.checkpointInterval()
		ans.Prior = w.unconfirmedIncarnation()
	}
	e.emit(BeatReply{Token: ev.Token, Answer: ans})
}

// recordFinalEnds records the tasks that a heartbeat reports as done, failed or ended by a
// crash, also those of an incarnation that is fenced or dead: a task that has completed need
// not run again as long as its claim stands, and failures and crashes count. It must therefore run before
// claims are released.
func (e *Entry) recordFinalEnds(w *workerView, hb Heartbeat, ans *HeartbeatAnswer) {
	for _, end := range hb.Ends {
		if end.outlastsIncarnation() {
			e.recordEnd(w, end, ans)
		}
	}
}

// outlastsIncarnation reports whether the end says more than that the attempt's incarnation
// is dead.
func (e End) outlastsIncarnation() bool {
	return e.Kind == EndDone || e.Kind == EndCrashed || e.Kind == EndFailed
}

// adoptIncarnation reports whether the heartbeat is of the worker's current
// incarnation. A new incarnation becomes the current one once the one before is known
// to be dead.
func (e *Entry) adoptIncarnation(w *workerView, hb Heartbeat) bool {
	if w.inc == "" || (w.inc != hb.Inc && w.dead[w.inc]) {
		w.inc = hb.Inc
		e.runningTasks -= len(w.heartbeat.Running)
		w.heartbeat = Heartbeat{}
		w.cur, w.prev, w.echo = echoCandidate{}, echoCandidate{}, time.Time{}
		w.largest = Size{}
	}
	return w.inc == hb.Inc
}

// confirmDead records that an incarnation is dead, as reported by the worker's own
// agent. Its tasks can't be running any more, so its claims are released at once.
func (e *Entry) confirmDead(w *workerView, inc Incarnation) {
	if w.dead[inc] {
		return
	}
	w.dead[inc] = true
	w.restartedAt = e.at.Now
	for _, c := range w.sortedClaims() {
		if c.holder.Inc == inc {
			e.releaseLost(c, "its VM was restarted or replaced")
		}
	}
}

// unconfirmedIncarnation returns an incarnation that holds claims and is neither
// current nor known to be dead; empty if there is none.
func (w *workerView) unconfirmedIncarnation() Incarnation {
	var prior Incarnation
	for _, c := range w.claims {
		inc := c.holder.Inc
		if inc != w.inc && !w.dead[inc] && (prior == "" || inc < prior) {
			prior = inc
		}
	}
	return prior
}

// applyHeartbeat updates the view of a worker from a heartbeat of its current
// incarnation.
func (e *Entry) applyHeartbeat(w *workerView, hb Heartbeat, ans *HeartbeatAnswer) {
	e.noteEchoCandidate(w, hb.Sent)
	e.load.heartbeats++
	w.heartbeatAt = e.at.Now
	w.peersAskedAt = time.Time{}
	if !hb.Sent.After(w.heartbeat.Sent) {
		return
	}
	e.runningTasks += len(hb.Running) - len(w.heartbeat.Running)
	if w.silent || w.heartbeat.Sent.IsZero() {
		e.logEvent("worker heard", string(w.id), "inc", string(hb.Inc), "running", len(hb.Running), "leaving", hb.Leaving)
	}
	w.heartbeat, w.silent = hb, false
	w.largest = w.largest.Max(hb.Capacity)
	for _, t := range hb.Running {
		e.reconcileRunning(w, t, ans)
	}
	for _, end := range hb.Ends {
		if !end.outlastsIncarnation() {
			e.recordEnd(w, end, ans)
		}
	}
	e.observeImpact(w, ans)
	e.observeInterference(w, ans)
	e.indexWorker(w)
	e.updateRoutes(w)
	e.evictSlowed(w)
}

// checkpointInterval returns the time between checkpoints of one task, stretched so
// that the checkpoints of all tasks stay within what the object store accepts.
func (e *Entry) checkpointInterval() time.Duration {
	shortest := time.Duration(float64(e.runningTasks) / e.pol.CheckpointsPerSecond * float64(time.Second))
	return max(e.pol.CheckpointInterval, shortest)
}

// noteEchoCandidate records the send time of a heartbeat that may be echoed. It may be
// echoed once a read round that started after its receipt has succeeded.
func (e *Entry) noteEchoCandidate(w *workerView, sent time.Time) {
	w.promoteEcho(e.round.done)
	if w.cur.round < e.round.begun {
		w.prev = w.cur
	}
	if sent.After(w.cur.sent) {
		w.cur = echoCandidate{sent: sent, round: e.round.begun}
	}
	w.promoteEcho(e.round.done)
}

// promoteEcho sets the echo to the latest candidate that was received before the last
// successful read round started, if there is one.
func (w *workerView) promoteEcho(done uint64) {
	switch {
	case done > w.cur.round:
		w.echo = latest(w.echo, w.cur.sent)
	case done > w.prev.round:
		w.echo = latest(w.echo, w.prev.sent)
	}
}

// addConfigRows adds the configuration rows that changed since the agent's revision.
func (e *Entry) addConfigRows(ans *HeartbeatAnswer, have uint64) {
	if have >= e.config.rev {
		return
	}
	ans.Full = have == 0
	ans.Rows = e.config.agentRowsSince(have)
}

// committed returns the resources that are committed on a worker, and the part of them
// that batch and best-effort tasks hold, including claims that its agent has not
// reported yet.
func (w *workerView) committed() (all, batch Size) {
	all, batch = w.heartbeat.Committed, w.heartbeat.Preemptible
	for _, c := range w.claims {
		if c.holder.Inc != w.inc || c.reported {
			continue
		}
		all = all.Plus(c.size)
		batch = batch.Plus(c.bestEffort)
	}
	return all, batch
}

// longRunningIdleFraction is the fraction of its declared CPU that a long-running task
// is assumed to leave unused: it declares its CPU for peak load.
const longRunningIdleFraction = 0.5

// slack returns the CPU that the long-running tasks on a worker are expected to leave
// unused.
func (w *workerView) slack() Size {
	return Size{Millicores: int64(float64(w.longRunningMillicores()) * longRunningIdleFraction)}
}

// longRunningMillicores returns the CPU that the long-running tasks on a worker declare,
// including claims that its agent has not reported yet.
func (w *workerView) longRunningMillicores() int64 {
	n := w.heartbeat.LongRunning
	for _, c := range w.claims {
		if c.longRunning && c.holder.Inc == w.inc && !c.reported {
			n += c.size.Millicores
		}
	}
	return n
}

// role returns place.Serving if tasks with a tail-latency target run on the worker or
// are claimed for it.
func (w *workerView) role() place.Role {
	if w.heartbeat.TargetedTasks > 0 {
		return place.Serving
	}
	for _, c := range w.claims {
		if c.target > 0 && c.holder.Inc == w.inc {
			return place.Serving
		}
	}
	return place.NonServing
}

// usable reports whether a worker may receive new work, and if not, the reason.
func (e *Entry) usable(w *workerView) (Reason, bool) {
	if w.silent || w.inc == "" || w.heartbeat.Sent.IsZero() {
		return ReasonCut, false
	}
	if w.heartbeat.Leaving {
		return ReasonLeaving, false
	}
	dc, ok := e.config.dc(w.heartbeat.DC)
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

// indexWorker updates a worker in the placement index.
func (e *Entry) indexWorker(w *workerView) {
	if w.heartbeat.Sent.IsZero() {
		e.index.Remove(string(w.id))
		return
	}
	e.noteHolder(w)
	_, ok := e.usable(w)
	all, batch := w.committed()
	e.index.Set(string(w.id), place.Worker{
		DC: string(w.heartbeat.DC), Rack: string(w.heartbeat.Rack),
		Capacity: w.heartbeat.Capacity, Largest: w.largest, Committed: all, Preemptible: batch,
		Role:      w.role(),
		Slack:     w.slack(),
		Closed:    !ok || w.heartbeat.LeaseLapsed || w.failures.isQuarantined(e.at.Now) || w.isolatedJob() != "",
		Penalty:   w.failures.penalty() + e.impactPenalty(w),
		RampShare: e.rampShare(w.heartbeat.DC),
		Preferred: e.prefers(w),
	})
	e.queue.blocked = false
}

// rampShare returns the share of a data centre's capacity that may be used, in (0, 1].
// It grows linearly for Policy.RampUpTime after the data centre returned to service.
func (e *Entry) rampShare(n DC) float64 {
	dc, ok := e.config.dc(n)
	if !ok || dc.Since.IsZero() || e.pol.RampUpTime <= 0 {
		return 1
	}
	share := float64(e.at.Now.Sub(dc.Since)) / float64(e.pol.RampUpTime)
	return min(max(share, minRampShare), 1)
}

// minRampShare is the share of a data centre's capacity that may be used right after
// its return.
const minRampShare = 0.2

// closeWorker excludes a worker that is no longer usable from placement and routing.
func (e *Entry) closeWorker(w *workerView) {
	e.indexWorker(w)
	e.updateRoutes(w)
}

// fenceView is an entry's view of a worker's fence row, and when the entry first saw
// each fenced incarnation in it.
type fenceView struct {
	row       FenceRow
	version   uint64
	learnedAt map[Incarnation]time.Time
}

// applyFenceRow updates the view of a fence from a row of the table.
func (e *Entry) applyFenceRow(r table.Row) {
	id := WorkerID(r.Key[len(PrefixFence):])
	f := e.fences[id]
	if r.Version <= f.version {
		return
	}
	f.version = r.Version
	if f.learnedAt == nil {
		f.learnedAt = map[Incarnation]time.Time{}
	}
	if row, ok := e.readFence(r); ok { // otherwise the next write replaces it
		f.row = row
	}
	for _, inc := range f.row.Fenced {
		if _, ok := f.learnedAt[inc]; !ok {
			f.learnedAt[inc] = e.at.Now
		}
	}
	e.fences[id] = f
}

// readFence decodes the row of a worker's fence. It reports false if the row is not one.
func (e *Entry) readFence(r table.Row) (FenceRow, bool) {
	id := WorkerID(r.Key[len(PrefixFence):])
	if r.Deleted {
		return FenceRow{Worker: id}, true
	}
	rec, err := Decode(r.Key, r.Value)
	if err != nil {
		e.logNote("fence row passed over", r.Key, err.Error())
		return FenceRow{}, false
	}
	row, ok := rec.(FenceRow)
	return row, ok
}
