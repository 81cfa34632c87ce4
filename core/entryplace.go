package core

import (
	"sort"
	"time"

	"jayloft/place"
	"jayloft/table"
)

// Bounds on the placing of tasks.
const (
	// placeBurst bounds the placements of one step.
	placeBurst = 256
	// placeTries is how many tasks that find no room are passed over.
	placeTries = 16
	// avoidFor is how long a worker that refused a job's task is avoided.
	avoidFor = 2 * time.Second
	// stopEvery is the time between two orders to stop a cancelled task.
	stopEvery = 2 * time.Second
	// parkAfter is how long a task waits for a worker that could hold it.
	parkAfter = time.Minute
	// retryPlace is how long a queue without room waits if nothing changes.
	retryPlace = 250 * time.Millisecond
)

// taskQueue holds the tasks that wait for a worker, urgent ones first.
type taskQueue struct {
	urgent, batch []TaskID
	has           map[TaskID]bool
	blocked       bool // no room was found, and nothing has changed since
	again         time.Time
}

func (q *taskQueue) add(t TaskID, urgent bool) {
	if q.has[t] {
		return
	}
	if q.has == nil {
		q.has = map[TaskID]bool{}
	}
	q.has[t] = true
	if urgent {
		q.urgent = append(q.urgent, t)
	} else {
		q.batch = append(q.batch, t)
	}
	q.blocked = false
}

// remove takes a task out; its place in the order is dropped by the next step.
func (q *taskQueue) remove(t TaskID) { delete(q.has, t) }

// schedule places waiting tasks.
func (e *Entry) schedule() {
	if e.leaving || !e.ready() || e.circuit.Open(e.at.Now) || len(e.group.dirty) > 2*e.pol.TxnRows {
		return
	}
	if e.queue.blocked && e.at.Now.Before(e.queue.again) {
		return
	}
	e.queue.urgent = e.placeAll(e.queue.urgent)
	e.queue.batch = e.placeAll(e.queue.batch)
}

// placeAll places tasks of one queue in order and returns those that are left.
func (e *Entry) placeAll(ts []TaskID) []TaskID {
	var left []TaskID
	tries, placed := 0, 0
	for i, t := range ts {
		if tries >= placeTries || placed >= placeBurst {
			left = append(left, ts[i:]...)
			break
		}
		if !e.queue.has[t] {
			continue
		}
		if e.placeTask(t) {
			placed++
			e.queue.remove(t)
			continue
		}
		tries++
		left = append(left, t)
	}
	if tries > 0 {
		e.queue.blocked, e.queue.again = true, e.at.Now.Add(retryPlace)
	}
	return left
}

// placeTask chooses a worker for a task and decides its claim. It reports
// whether the task need not stay in the queue.
func (e *Entry) placeTask(t TaskID) bool {
	j := e.jobs[t.Job]
	if j == nil || t.N >= len(j.row.Tasks) || j.row.Tasks[t.N].State != TaskWaiting || j.pending(t.N) {
		return true
	}
	spec := &j.row.Spec
	if !e.withinQuota(spec) {
		j.waits[t.N] = ReasonQuota
		return false
	}
	id, ok := e.pick(j, t)
	if !ok {
		e.noRoom(j, t.N)
		return false
	}
	w := e.workers[id]
	delete(j.waits, t.N)
	number := j.row.Tasks[t.N].Attempt + 1
	h := Holder{Worker: w.id, Inc: w.inc}
	e.claim(j, j.newClaim(t.N, number, h, e.at.Now))
	e.edit(j, claimEdit{n: t.N, number: number, holder: h, dc: w.beat.DC, by: e.site.ID})
	return true
}

// pick chooses the worker for a task: dense for batch, spread for urgent, and
// for urgent work also where batch work can make room.
func (e *Entry) pick(j *jobView, t TaskID) (WorkerID, bool) {
	need := place.Need{
		Size: j.row.Spec.Size, Spread: j.row.Spec.Urgent, Owner: string(t.Job), Avoid: e.avoided(j, t.N),
	}
	seed := e.at.Seed ^ uint64(e.token)<<20 ^ uint64(t.N)
	if e.pol.FirstFit {
		return e.firstFit(need)
	}
	if !j.row.Spec.Urgent {
		id, ok := e.pickQuiet(need, j.row.Spec.Class, seed)
		return WorkerID(id), ok
	}
	if id, ok := e.index.Pick(need, seed); ok {
		return WorkerID(id), true
	}
	id, ok := e.index.PickReclaim(need, seed)
	if ok {
		e.count("preempt", ReasonRoom)
	}
	return WorkerID(id), ok
}

// firstFit is the baseline that takes the first open worker with room.
func (e *Entry) firstFit(need place.Need) (WorkerID, bool) {
	for _, id := range e.workerIDs() {
		w, ok := e.index.Get(string(id))
		if ok && !w.Closed && need.Size.Fits(w.Capacity.Minus(w.Committed)) && indexOf(need.Avoid, string(id)) < 0 {
			return id, true
		}
	}
	return "", false
}

// avoided returns the workers that a task should not go to for now.
func (e *Entry) avoided(j *jobView, n int) []string {
	var ids []string
	for w, until := range j.avoid {
		if e.at.Now.Before(until) {
			ids = append(ids, string(w))
		} else {
			delete(j.avoid, w)
		}
	}
	for _, w := range j.row.Tasks[n].FailedOn {
		ids = append(ids, string(w))
	}
	sort.Strings(ids)
	return ids
}

// withinQuota reports whether the team may hold one more task of the job. Each
// live entry holds an equal share of the team's quota.
func (e *Entry) withinQuota(spec *JobSpec) bool {
	row, ok := e.config.team(spec.Team)
	if !ok || row.Quota == (Size{}) {
		return true
	}
	n := int64(max(len(e.live()), 1))
	share := Size{
		Millicores: row.Quota.Millicores / n, MemoryMB: row.Quota.MemoryMB / n, Accelerators: row.Quota.Accelerators / n,
	}
	return e.quota.Allows(string(spec.Team), spec.Size, share.Max(e.oneTask(spec, row.Quota)))
}

// oneTask returns the task's own size where the whole quota holds it, so that
// a share smaller than one task doesn't keep it out for ever.
func (e *Entry) oneTask(spec *JobSpec, quota Size) Size {
	if !spec.Size.Fits(unlimited(quota)) {
		return Size{}
	}
	return spec.Size
}

// unlimited replaces the zero fields of a quota, which set no limit.
func unlimited(q Size) Size {
	const most = int64(1) << 50
	if q.Millicores == 0 {
		q.Millicores = most
	}
	if q.MemoryMB == 0 {
		q.MemoryMB = most
	}
	if q.Accelerators == 0 {
		q.Accelerators = most
	}
	return q
}

// noRoom says why a task waits, and parks one that no worker could ever hold.
func (e *Entry) noRoom(j *jobView, n int) {
	if e.index.Len() == 0 || e.index.Possible(j.row.Spec.Size) {
		j.waits[n] = ReasonRoom
		j.never = time.Time{}
		return
	}
	j.waits[n] = ReasonNever
	if j.never.IsZero() {
		j.never = e.at.Now
	}
	if e.at.Now.Sub(j.never) > parkAfter {
		e.count("park", ReasonNever)
		e.edit(j, parkEdit{n: n, reason: "no worker could ever hold it"})
	}
}

// waitStart waits for the answer to a start order.
type waitStart struct{ c *claim }

// waitSettle waits for an agent's word on an attempt.
type waitSettle struct{ c *claim }

func (waitStart) wait()  {}
func (waitSettle) wait() {}

// order sends the start order of a claim that the table holds.
func (e *Entry) order(j *jobView, ed claimEdit) {
	c := j.claims[ed.n]
	if c == nil || c.attempt.Number != ed.number || c.asking {
		return
	}
	w := e.workers[c.holder.Worker]
	spec := &j.row.Spec
	c.asking, c.since = true, e.at.Now
	e.emit(Start{Token: e.expect(waitStart{c}), Addr: w.beat.Addr, Order: Order{
		Attempt: c.attempt, Holder: c.holder, Echo: c.echo, Team: spec.Team, Class: spec.Class,
		Size: spec.Size, Urgent: spec.Urgent, Input: spec.Inputs[ed.n],
	}})
}

// startAnswered takes an agent's answer to a start order. A refusal proves
// that the attempt never started. No answer is settled later.
func (e *Entry) startAnswered(ev StartAnswered) {
	q, ok := e.take(ev.Token).(waitStart)
	if !ok {
		return
	}
	c := q.c
	c.asking = false
	j := e.jobs[c.attempt.Task.Job]
	if j == nil || j.claims[c.attempt.Task.N] != c {
		return
	}
	switch {
	case ev.Fault == FaultCut:
		e.count("start.lost", ReasonCut)
	case ev.Fault == FaultNotSent:
		e.never(j, c, ReasonCut)
	case !ev.Started:
		e.never(j, c, ev.Reason)
	}
}

// never releases a claim whose attempt was surely not started.
func (e *Entry) never(j *jobView, c *claim, r Reason) {
	if c.losing {
		return
	}
	c.losing = true
	j.avoid[c.holder.Worker] = e.at.Now.Add(avoidFor)
	e.count("restart", r)
	end := End{Attempt: c.attempt, Kind: EndLost, Reason: "not started: " + string(r)}
	e.edit(j, endEdit{end: end, worker: c.holder.Worker, never: true})
}

// claimsEvery is the time between two looks at all claims.
const claimsEvery = 500 * time.Millisecond

// claimsDue asks about claims that no beat mentions, and stops the tasks of
// cancelled jobs.
func (e *Entry) claimsDue() {
	if e.at.Now.Before(e.nextClaims) || !e.ready() {
		return
	}
	e.nextClaims = e.at.Now.Add(claimsEvery)
	for _, id := range e.workerIDs() {
		w := e.workers[id]
		if w.silent || len(w.claims) == 0 {
			continue
		}
		for _, c := range w.claimList() {
			e.claimDue(w, c)
		}
	}
}

func (e *Entry) claimDue(w *workerView, c *claim) {
	j := e.jobs[c.attempt.Task.Job]
	if j == nil || !c.committed || c.losing || c.holder.Inc != w.inc {
		return
	}
	if j.row.Cancel && e.at.Now.Sub(c.stopSent) > stopEvery {
		c.stopSent = e.at.Now
		e.emit(Stop{Addr: w.beat.Addr, Attempt: c.attempt, Inc: w.inc, Kind: EndCancelled, Reason: "job cancelled"})
	}
	quiet := e.at.Now.Sub(latest(c.since, c.heard))
	if c.asking || quiet < e.pol.SettleAfter {
		return
	}
	c.asking = true
	e.emit(Settle{Token: e.expect(waitSettle{c}), Addr: w.beat.Addr, Attempt: c.attempt, Inc: w.inc})
}

// settleAnswered takes an agent's word on an attempt.
func (e *Entry) settleAnswered(ev SettleAnswered) {
	q, ok := e.take(ev.Token).(waitSettle)
	if !ok {
		return
	}
	c := q.c
	c.asking, c.since = false, e.at.Now
	j := e.jobs[c.attempt.Task.Job]
	if j == nil || j.claims[c.attempt.Task.N] != c || ev.Fault != FaultNone {
		return
	}
	if ev.State != SettleNever {
		return
	}
	if c.listed {
		e.lose(c, "its agent no longer knows of it")
		return
	}
	e.never(j, c, ReasonCut)
}

// ended counts how attempts end at a worker.
func (e *Entry) ended(_ *jobView, ed endEdit) {
	w := e.workers[ed.worker]
	if w == nil || ed.never {
		return
	}
	e.count("end", Reason(ed.end.Kind))
	w.failures.note(ed.end, e.at.Now)
	e.indexWorker(w)
}

func sortConds(cs []table.Cond) {
	sort.Slice(cs, func(i, j int) bool { return cs[i].Key < cs[j].Key })
}
