package core

import (
	"time"

	"jayloft/table"
)

// jobView is a job as this entry knows it.
type jobView struct {
	row     JobRow
	version uint64
	shard   int
	foreign bool // of a shard that another entry owns; kept for one edit

	steps  map[int]pacing // of the tasks that this entry saw run to their end
	askers []*ask         // who wait for an edit of the whole job

	edits  []edit // to be written
	flying []edit // in the transaction that is in flight
	dirty  bool   // listed in the group's queue
	// flown says that a transaction with the job's first row was sent. It may
	// take effect long after its answer was given up on.
	flown bool

	claims map[int]*claim // by task, decided or committed

	avoid map[WorkerID]time.Time // workers that refused, until then
	waits map[int]Reason         // why tasks wait
	never time.Time              // since when no worker could hold a task
}

// claim is a task's claim as the entry that may have to order it sees it.
type claim struct {
	attempt Attempt
	holder  Holder
	size    Size
	urgent  bool
	once    bool
	class   string

	committed bool      // the table holds it
	since     time.Time // when it was decided or loaded
	began     time.Time // when its agent took the order; zero if this entry did not see it
	echo      time.Time // for the start order
	lasting   bool
	target    time.Duration // of a lasting task's tail latency
	soft      Size          // the part of size that tasks placed first may take
	listed    bool          // the agent has reported it
	heard     time.Time     // when last
	asking    bool          // a start or settle is in flight
	stopSent  time.Time
	losing    bool // a release is on its way
	eased     bool // it runs at less than full speed
}

// jobRow takes a job's row from the table.
func (e *Entry) jobRow(r table.Row) {
	id := JobID(r.Key[len(shardPrefix(0)):])
	j := e.jobs[id]
	if j != nil && r.Version <= j.version {
		return
	}
	if r.Deleted {
		if j != nil {
			e.forget(id, j)
		}
		return
	}
	rec, err := Decode(r.Key, r.Value)
	if err != nil {
		e.note("job row passed over", r.Key, err.Error())
		e.count("decode", ReasonNone)
		return
	}
	row, ok := rec.(JobRow)
	if !ok || row.Spec.ID != id {
		e.note("job row passed over", r.Key, "holds another job")
		return
	}
	if j == nil {
		j = e.newJob(row)
	}
	row.stored = true
	j.foreign = !e.shards[j.shard].owned
	j.row, j.version = row, r.Version
	e.reconcileAll(j)
}

// forget drops a job from memory.
func (e *Entry) forget(id JobID, j *jobView) {
	for n := range j.row.Tasks {
		e.queue.remove(TaskID{Job: id, N: n})
		if c := j.claims[n]; c != nil {
			e.dropClaim(j, c)
		}
	}
	if len(j.flying) == 0 && len(j.edits) == 0 && len(j.askers) == 0 {
		delete(e.jobs, id)
	} else {
		j.foreign = true
	}
}

// reconcile brings the queue and the claims in line with one task of a row.
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
		e.edit(j, cancelEdit{n: n})
		return
	}
	if e.pol.on(guardSteps) && !j.row.ready(n) {
		e.queue.remove(id)
		return
	}
	if !j.pending(n) {
		e.queue.add(e.waiting(j, n))
	}
}

// pending reports whether an edit of the task is on its way to the table.
func (j *jobView) pending(n int) bool {
	for _, ed := range j.edits {
		if ed.task() == n {
			return true
		}
	}
	for _, ed := range j.flying {
		if ed.task() == n {
			return true
		}
	}
	return false
}

// loadClaim keeps track of a claim that the table holds.
func (e *Entry) loadClaim(j *jobView, n int) {
	t := &j.row.Tasks[n]
	c := j.claims[n]
	if c == nil || c.attempt.Number != t.Attempt || c.holder != t.Holder {
		if c != nil {
			e.dropClaim(j, c)
		}
		c = j.newClaim(n, t.Attempt, t.Holder, e.at.Now)
		e.claim(j, c)
	}
	c.committed = true
	if e.worker(t.Holder.Worker).past[t.Holder.Inc] {
		e.releaseLost(c, "its VM was restarted or replaced")
	}
}

// claim keeps track of a claim and takes its room.
func (e *Entry) claim(j *jobView, c *claim) {
	w := e.worker(c.holder.Worker)
	if old := w.claims[c.attempt.Task]; old != nil {
		e.dropClaim(j, old)
	}
	w.claims[c.attempt.Task] = c
	j.claims[c.attempt.Task.N] = c
	e.quota.Take(string(j.row.Spec.Team), c.size)
	e.index.Hold(string(c.attempt.Task.Job), string(w.id))
	e.indexWorker(w)
}

// dropClaim forgets a claim and gives its room back.
func (e *Entry) dropClaim(j *jobView, c *claim) {
	w := e.worker(c.holder.Worker)
	delete(w.claims, c.attempt.Task)
	delete(j.claims, c.attempt.Task.N)
	e.quota.Give(string(j.row.Spec.Team), c.size)
	e.index.Release(string(c.attempt.Task.Job), string(w.id))
	e.indexWorker(w)
}

func (j *jobView) newClaim(n int, number uint32, h Holder, now time.Time) *claim {
	spec := &j.row.Spec
	st := spec.Step(n)
	c := &claim{
		attempt: Attempt{Task: TaskID{Job: spec.ID, N: n}, Number: number},
		holder:  h, size: st.Size, urgent: spec.first(st), once: spec.Once, class: spec.class(st), since: now,
		lasting: st.Lasting, target: st.Target,
	}
	switch {
	case st.Filler:
		c.soft = st.Size.Minus(st.Firm())
	case !c.urgent:
		c.soft = st.Size
	}
	return c
}

// releaseLost releases a claim whose task can't be running any more.
func (e *Entry) releaseLost(c *claim, why string) {
	j := e.jobs[c.attempt.Task.Job]
	if j == nil || c.losing || !c.committed {
		return
	}
	c.losing = true
	end := End{Attempt: c.attempt, Kind: EndLost, Reason: why}
	e.count("move", Reason(EndLost))
	e.edit(j, endEdit{end: end, worker: c.holder.Worker})
}

// jobEnded tells of a job whose last task has ended.
func (e *Entry) jobEnded(j *jobView) {
	e.measure("job", j.row.Accepted)
	e.tell("job ended", string(j.row.Spec.ID), "state", string(j.row.State()), "queue", j.row.Spec.Queue,
		"took", e.at.Now.Sub(j.row.Accepted).String(), "late", e.at.Now.Sub(j.row.Due()).String())
}

// runningHeard takes an attempt that an agent says it holds.
func (e *Entry) runningHeard(w *workerView, t Attempt, ans *BeatAnswer) {
	if c := w.claims[t.Task]; c != nil && c.attempt == t {
		c.listed, c.heard = true, e.at.Now
		return
	}
	j := e.jobs[t.Task.Job]
	if j == nil {
		e.strayHeard(w, t, ans)
		return
	}
	if t.Task.N >= len(j.row.Tasks) {
		return
	}
	row := &j.row.Tasks[t.Task.N]
	older := row.Attempt > t.Number
	over := row.Attempt == t.Number && (row.State != TaskClaimed || row.Holder != Holder{w.id, w.inc})
	if older || over {
		ans.Moved = append(ans.Moved, t)
	}
}

// orphanAfter is how long an end may go unrecorded by its job's owner before
// any entry that hears it records it.
const orphanAfter = 3 * time.Second

// endHeard takes the end of an attempt. It is acknowledged only once the
// table holds it, or a later fact that makes it void.
func (e *Entry) endHeard(w *workerView, end End, ans *BeatAnswer) {
	t := end.Attempt
	j := e.jobs[t.Task.Job]
	if j == nil || j.foreign || t.Task.N >= len(j.row.Tasks) {
		e.orphanHeard(w, end, ans)
		return
	}
	row := &j.row.Tasks[t.Task.N]
	if row.Attempt > t.Number || (row.Attempt == t.Number && row.State != TaskClaimed) {
		delete(w.orphan, t)
		ans.Recorded = append(ans.Recorded, t)
		return
	}
	if row.Attempt < t.Number {
		return
	}
	if c := w.claims[t.Task]; c != nil && c.attempt == t {
		c.listed, c.heard = true, e.at.Now
		if end.Kind == EndDone && !hasEdit(j.edits, endEdit{end: end}) && !hasEdit(j.flying, endEdit{end: end}) {
			j.noteDone(c, e.at.Now)
		}
	}
	e.edit(j, endEdit{end: end, worker: w.id})
}

// strayHeard takes a running attempt of a job that this entry owns but does not
// know. The job may be new, from another entry that takes itself for the owner;
// only a read shows that there is none.
func (e *Entry) strayHeard(w *workerView, t Attempt, ans *BeatAnswer) {
	if sh := &e.shards[ShardOf(t.Task.Job)]; !sh.owned || !sh.loaded {
		return
	}
	if e.foreignOver(w, End{Attempt: t}) {
		ans.Moved = append(ans.Moved, t)
	}
}

// orphanEnd is an end of another entry's job that its owner has not recorded.
type orphanEnd struct {
	read time.Time // when the job's row is read next
	over bool      // the table holds the end, or a later fact
}

// orphanHeard takes the end of another entry's job. If the owner doesn't
// record it, perhaps because it doesn't hear the agent, this entry does.
func (e *Entry) orphanHeard(w *workerView, end End, ans *BeatAnswer) {
	if e.foreignOver(w, end) {
		ans.Recorded = append(ans.Recorded, end.Attempt)
	}
}

// foreignOver reports whether the table holds the end of an attempt, or a later
// fact, and forgets the attempt then. The job's row is read now and then for as long
// as agents name the attempt. The end has no kind while the attempt runs.
func (e *Entry) foreignOver(w *workerView, end End) bool {
	t := end.Attempt
	o := w.orphan[t]
	switch {
	case o == nil:
		w.orphan[t] = &orphanEnd{read: e.at.Now.Add(orphanAfter)}
	case o.over:
		delete(w.orphan, t)
		return true
	case !e.at.Now.Before(o.read):
		o.read = e.at.Now.Add(orphanAfter)
		e.emit(ReadRows{Token: e.expect(waitJob{w: w, end: end}), Keys: []string{keyJob(t.Task.Job)}})
	}
	return false
}

// waitJob waits for the row of another entry's job, to record an end in it.
type waitJob struct {
	w   *workerView
	end End
}

func (waitJob) wait() {}

// jobRead records an orphan end, or finds that it is over.
func (e *Entry) jobRead(q waitJob, ev RowsAnswered) {
	if ev.Fault != FaultNone {
		e.storeFault("read")
		return
	}
	t := q.end.Attempt
	o := q.w.orphan[t]
	for _, r := range ev.View.Rows {
		if r.Version > 0 {
			e.jobRow(r)
		}
	}
	j := e.jobs[t.Task.Job]
	if o == nil {
		return
	}
	if j == nil || t.Task.N >= len(j.row.Tasks) {
		o.over = true // the job has ended and its row was deleted
		return
	}
	row := &j.row.Tasks[t.Task.N]
	o.over = row.Attempt > t.Number || (row.Attempt == t.Number && row.State != TaskClaimed)
	if q.end.Kind == "" { // it runs: the job's row tells the rest
		delete(q.w.orphan, t)
		e.dropForeign(j)
		return
	}
	if !o.over && row.Attempt == t.Number {
		e.edit(j, endEdit{end: q.end, worker: q.w.id})
	}
	e.dropForeign(j)
}

// rowsAnswered takes single rows that were read.
func (e *Entry) rowsAnswered(ev RowsAnswered) {
	switch w := e.take(ev.Token).(type) {
	case waitJob:
		e.jobRead(w, ev)
	case waitCommand:
		e.commandRead(w.c, ev)
	case waitAsk:
		e.askRead(w.a, ev)
	case waitPress:
		e.pressRead(ev)
	case waitWhy:
		e.whyRead(w, ev)
	}
}
