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
	quota := unlimited(row.Quota)
	share := Size{
		Millicores: quota.Millicores / n, MemoryMB: quota.MemoryMB / n, Accelerators: quota.Accelerators / n,
	}
	if spec.Size.Fits(quota) {
		share = share.Max(spec.Size) // a share smaller than one task would keep it out for ever
	}
	return e.quota.Allows(string(spec.Team), spec.Size, share)
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

func sortConds(cs []table.Cond) {
	sort.Slice(cs, func(i, j int) bool { return cs[i].Key < cs[j].Key })
}
