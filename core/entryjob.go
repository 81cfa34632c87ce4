package core

import (
	"slices"
	"time"

	"jayloft/table"
)

// jobView is an entry's view of one job.
type jobView struct {
	row     JobRow
	version uint64
	// rowBytes is the size of the row as it was last written or read.
	rowBytes int
	shard    int
	foreign  bool // of another entry's shard; kept only while edits or requests are pending
	// stale is set while the view may lack what another home has decided meanwhile: nothing is
	// placed by it until the shard is read.
	stale bool

	stepTimes map[int]stepRuntimes // by step, of tasks that this entry saw start and complete
	waiters   []*openJobRequest    // requests that wait for a job-wide edit

	edits    []edit // not sent yet
	inFlight []edit // in the transaction in flight
	dirty    bool   // listed in the commit group
	apart    bool   // written in a transaction of its own: one with other jobs was rejected
	// rejectedUntil is when the row may be written again after the last of some rejections.
	rejectedUntil time.Time
	rejections    int
	// everSent is set once a transaction with an edit of the job was sent. It may take
	// effect long after the wait for its answer was given up.
	everSent bool

	claims map[int]*claim // by task, committed or not yet

	avoidUntil       map[WorkerID]time.Time // workers to avoid, and until when
	waitReasons      map[int]Reason         // why tasks are waiting, by task
	unplaceableSince time.Time              // since when a task has fitted no worker; zero if none
	idle             map[int]*idleTask      // long-running tasks, by number
}

// claim is an entry's view of one claim: the assignment of a task's attempt to an
// incarnation of a worker.
type claim struct {
	attempt Attempt
	holder  Holder
	size    Size
	urgent  bool
	once    bool
	class   string

	committed    bool      // the table holds it
	since        time.Time // when it was decided or loaded, or its agent last ordered or, unless it is long-running, queried
	startedAt    time.Time // when its agent accepted the start order; zero if this entry did not see it
	echo         time.Time // for the start order
	longRunning  bool
	target       time.Duration // tail-latency target of a long-running task
	bestEffort   Size          // the part of size that may be preempted
	reported     bool          // a heartbeat has listed it
	launched     bool          // a heartbeat has listed it as started by the worker
	reportedAt   time.Time     // when the last one did
	callInFlight bool          // a Start or Settle is in flight; of a long-running task, a Start
	queriedAt    time.Time     // when the last Settle was sent; zero if none was
	stopSent     time.Time
	releasing    bool // its release is pending
	throttled    bool // it runs at less than full speed
	isolated     bool // it runs apart from other jobs, as a suspect
}

// applyJobRow updates the view of a job from a row of the table.
func (e *Entry) applyJobRow(r table.Row) {
	id := jobIDOf(r.Key)
	j := e.jobs[id]
	if j != nil && r.Version <= j.version {
		return
	}
	if r.Deleted {
		delete(e.tombstones.kept, id)
		if j != nil {
			e.forget(id, j)
		}
		return
	}
	rec, err := Decode(r.Key, r.Value)
	if err != nil {
		e.logNote("job row passed over", r.Key, err.Error())
		e.count("decode", ReasonNone)
		return
	}
	if _, ok := rec.(TombstoneRow); ok {
		e.applyTombstone(id, r.Version)
		return
	}
	row, ok := rec.(JobRow)
	if !ok || row.Spec.ID != id {
		e.logNote("job row passed over", r.Key, "holds another job")
		return
	}
	if j == nil {
		j = e.newJob(row)
	}
	row.stored, j.stale = true, false
	j.foreign = !e.shards[j.shard].owned
	j.row, j.version, j.rowBytes = row, r.Version, len(r.Value)
	e.reconcileAll(j)
}

// isCurrent reports whether this entry schedules the job and has read its shard recently
// enough to answer from memory. Another entry may have taken the shard over otherwise.
func (e *Entry) isCurrent(j *jobView) bool {
	sh := &e.shards[j.shard]
	return !j.foreign && sh.owned && sh.loaded && e.at.Now.Sub(sh.asOf) <= e.pol.MaxCountAge()
}

// forget drops a job from memory, or marks it foreign until its pending edits and
// requests are done.
func (e *Entry) forget(id JobID, j *jobView) {
	for n := range j.row.Tasks {
		e.queue.remove(TaskID{Job: id, N: n})
		if c := j.claims[n]; c != nil {
			e.dropClaim(j, c)
		}
	}
	if len(j.inFlight) == 0 && len(j.edits) == 0 && len(j.waiters) == 0 {
		delete(e.jobs, id)
	} else {
		j.foreign = true
	}
}

// reconcile updates the task queue and the claims from one task of a job's row.
func (e *Entry) reconcile(j *jobView, n int) {
	t := &j.row.Tasks[n]
	id := TaskID{Job: j.row.Spec.ID, N: n}
	if j.foreign {
		return
	}
	if t.State == TaskClaimed {
		e.queue.remove(id)
		e.loadClaim(j, n)
		return
	}
	if c := j.claims[n]; c != nil && c.attempt.Number <= t.Attempt {
		e.dropClaim(j, c)
	}
	if t.State != TaskWaiting {
		e.queue.remove(id)
		return
	}
	if j.row.Cancel {
		e.addEdit(j, cancelTaskEdit{n: n})
		return
	}
	if e.pol.on(guardSteps) && !j.row.dependenciesDone(n) {
		e.queue.remove(id)
		return
	}
	if !j.hasPendingEdit(n) {
		e.queue.add(e.newQueuedTask(j, n))
	}
}

// hasPendingEdit reports whether an edit of the task is not committed yet.
func (j *jobView) hasPendingEdit(n int) bool {
	for _, ed := range j.edits {
		if ed.task() == n {
			return true
		}
	}
	for _, ed := range j.inFlight {
		if ed.task() == n {
			return true
		}
	}
	return false
}

// loadClaim tracks a claim that the table holds.
func (e *Entry) loadClaim(j *jobView, n int) {
	t := &j.row.Tasks[n]
	c := j.claims[n]
	if c == nil || c.attempt.Number != t.Attempt || c.holder != t.Holder {
		if c != nil {
			e.dropClaim(j, c)
		}
		c = j.newClaim(n, t.Attempt, t.Holder, e.at.Now)
		e.addClaim(j, c)
		e.worker(t.Holder.Worker).markReported(c)
	}
	c.committed = true
	if w := e.worker(t.Holder.Worker); w.dead[t.Holder.Inc] {
		e.releaseDead(j, c, w)
	}
}

// releaseDead releases a claim that was loaded after its incarnation was known to be dead.
// The agent goes on reporting ends that no entry has recorded: a task that is done or was
// ended by a crash is recorded so, and all others can't be running any more.
func (e *Entry) releaseDead(j *jobView, c *claim, w *workerView) {
	for _, end := range w.heartbeat.Ends {
		if end.Attempt == c.attempt && end.outlastsIncarnation() {
			e.addEdit(j, endEdit{end: end, worker: w.id})
			return
		}
	}
	e.releaseLost(c, "its VM was restarted or replaced")
}

// markReported marks a claim as reported if the latest heartbeat of its holder lists it.
func (w *workerView) markReported(c *claim) {
	if w.inc == c.holder.Inc && slices.Contains(w.heartbeat.Running, c.attempt) {
		c.reported, c.reportedAt = true, w.heartbeatAt
		c.launched = !slices.Contains(w.heartbeat.Launching, c.attempt)
	}
}

// addClaim tracks a claim and reserves its resources.
func (e *Entry) addClaim(j *jobView, c *claim) {
	w := e.worker(c.holder.Worker)
	if old := w.claims[c.attempt.Task]; old != nil {
		e.dropClaim(j, old)
	}
	w.claims[c.attempt.Task] = c
	j.claims[c.attempt.Task.N] = c
	e.quota.Reserve(string(j.row.Spec.Team), c.size)
	e.index.Assign(string(c.attempt.Task.Job), string(w.id))
	e.indexWorker(w)
}

// dropClaim forgets a claim and releases its resources.
func (e *Entry) dropClaim(j *jobView, c *claim) {
	w := e.worker(c.holder.Worker)
	delete(w.claims, c.attempt.Task)
	delete(j.claims, c.attempt.Task.N)
	e.quota.Release(string(j.row.Spec.Team), c.size)
	e.index.Unassign(string(c.attempt.Task.Job), string(w.id))
	e.indexWorker(w)
}

// newClaim returns a claim for an attempt of a task, not committed yet.
func (j *jobView) newClaim(n int, number uint32, h Holder, now time.Time) *claim {
	spec := &j.row.Spec
	st := spec.Step(n)
	c := &claim{
		attempt: Attempt{Task: TaskID{Job: spec.ID, N: n}, Number: number},
		holder:  h, size: st.Size, urgent: spec.mayPreempt(st), once: spec.Once, class: spec.class(st), since: now,
		longRunning: st.LongRunning, target: st.Target, isolated: j.isSuspect(n),
	}
	switch {
	case st.BestEffort:
		c.bestEffort = st.Size.Minus(st.Reserved())
	case !c.urgent:
		c.bestEffort = st.Size
	}
	return c
}

// releaseLost releases a claim whose task can no longer be running.
func (e *Entry) releaseLost(c *claim, reason string) {
	j := e.jobs[c.attempt.Task.Job]
	if j == nil || c.releasing || !c.committed {
		return
	}
	c.releasing = true
	end := End{Attempt: c.attempt, Kind: EndLost, Reason: reason}
	e.count("move", Reason(EndLost))
	e.addEdit(j, endEdit{end: end, worker: c.holder.Worker})
}

// logJobEnded logs and measures a job whose last task has ended.
func (e *Entry) logJobEnded(j *jobView) {
	e.measure("job", j.row.Accepted)
	e.logEvent("job ended", string(j.row.Spec.ID), "state", string(j.row.State()), "queue", j.row.Spec.Queue,
		"took", e.at.Now.Sub(j.row.Accepted).String(), "late", e.at.Now.Sub(j.row.Deadline()).String())
}

// reconcileRunning matches an attempt that an agent reports as running with its claim.
// An attempt whose claim was released or moved is reported back as moved.
func (e *Entry) reconcileRunning(w *workerView, t Attempt, ans *HeartbeatAnswer) {
	if c := w.claims[t.Task]; c != nil && c.attempt == t {
		c.reported, c.reportedAt = true, e.at.Now
		c.launched = c.launched || !slices.Contains(w.heartbeat.Launching, t)
		if j := e.jobs[t.Task.Job]; j != nil && c.launched {
			e.noteRun(j, t.Task.N)
		}
		return
	}
	j := e.jobs[t.Task.Job]
	if j == nil {
		e.reconcileStray(w, t, ans)
		return
	}
	if t.Task.N >= len(j.row.Tasks) {
		return
	}
	row := &j.row.Tasks[t.Task.N]
	superseded := row.Attempt > t.Number
	released := row.Attempt == t.Number && (row.State != TaskClaimed || row.Holder != Holder{w.id, w.inc})
	if superseded || released {
		ans.Moved = append(ans.Moved, t)
	}
}

// recordEnd records the end of an attempt. It is acknowledged to the agent only once
// the table holds the end, or a later change that makes it void.
func (e *Entry) recordEnd(w *workerView, end End, ans *HeartbeatAnswer) {
	t := end.Attempt
	j := e.jobs[t.Task.Job]
	if j == nil || j.foreign || t.Task.N >= len(j.row.Tasks) {
		e.recordOrphanEnd(w, end, ans)
		return
	}
	row := &j.row.Tasks[t.Task.N]
	if j.row.isOver(end) {
		delete(w.orphanEnds, t)
		ans.Recorded = append(ans.Recorded, t)
		return
	}
	if row.Attempt < t.Number {
		return
	}
	if c := w.claims[t.Task]; c != nil && c.attempt == t {
		c.reported, c.reportedAt = true, e.at.Now
		if end.Kind == EndDone && !hasEdit(j.edits, endEdit{end: end}) && !hasEdit(j.inFlight, endEdit{end: end}) {
			j.recordCompletion(c, e.at.Now)
		}
	}
	e.addEdit(j, endEdit{end: end, worker: w.id})
}

// handleRowsAnswered hands rows that were read to the reader that waits for them.
func (e *Entry) handleRowsAnswered(ev RowsAnswered) {
	switch w := e.takePending(ev.Token).(type) {
	case pendingOrphans:
		e.handleOrphansRead(w, ev)
	case pendingCommand:
		e.handleCommandRead(w.c, ev)
	case pendingJobLookup:
		e.handleJobLookup(w.jr, ev)
	case pendingInterference:
		e.handleInterferenceRead(ev)
	case pendingWhy:
		e.handleWhyRead(w, ev)
	}
}
