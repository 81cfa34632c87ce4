package core

import (
	"iter"
	"slices"
	"sort"
	"time"

	"jayloft/place"
	"jayloft/table"
)

// Limits and delays of placement.
const (
	// refusalAvoidTime is how long a job avoids a worker that refused or lost one of
	// its tasks.
	refusalAvoidTime = 2 * time.Second
	// stopInterval is the time between two orders to stop the same attempt.
	stopInterval = 2 * time.Second
	// parkAfter is how long a task that no known worker could hold waits for a larger
	// worker to join before it is parked.
	parkAfter = time.Minute
	// bestEffortMaxWait is how long a job may have nothing running because its
	// best-effort tasks would interfere with long-running ones: half of the time that
	// the callers' requirements allow a task at the head of the queue.
	bestEffortMaxWait = 1500 * time.Millisecond
	// busySiteUtilization is the site utilization from which on such a job waits
	// longer. The requirements say 0.5; the entry's view of the site is delayed.
	busySiteUtilization = 0.6
)

// stepID identifies a step of a job.
type stepID struct {
	job  JobID
	step int
}

// stepOf returns the step of a task.
func (e *Entry) stepOf(t TaskID) stepID {
	id := stepID{job: t.Job}
	if j := e.jobs[t.Job]; j != nil {
		id.step, _ = j.row.Spec.Locate(t.N)
	}
	return id
}

// placeTask chooses a worker for a task and queues the edit that claims it. It reports
// whether the task leaves the queue.
func (e *Entry) placeTask(q queuedTask) bool {
	t := q.task
	j := e.jobs[t.Job]
	if j == nil || t.N >= len(j.row.Tasks) || j.row.Tasks[t.N].State != TaskWaiting || j.hasPendingEdit(t.N) {
		return true
	}
	spec := &j.row.Spec
	if !e.withinQuota(spec) {
		j.waitReasons[t.N] = ReasonQuota
		return false
	}
	if j.isRejected(e.at.Now) {
		j.waitReasons[t.N] = ReasonRejected
		return false
	}
	if !e.hasRowRoom(j) {
		j.waitReasons[t.N] = ReasonRow
		return false
	}
	e.load.tried++
	id, isolated, ok := e.pickFor(j, q)
	if !ok && isolated {
		j.waitReasons[t.N] = ReasonIsolated
		return false
	}
	if !ok {
		e.recordNoRoom(j, t.N)
		return false
	}
	w := e.workers[id]
	delete(j.waitReasons, t.N)
	adds, _ := e.addedInterference(w, spec.Step(t.N).Image, spec.Step(t.N).bestEffortSize())
	number := j.row.Tasks[t.N].Attempt + 1
	h := Holder{Worker: w.id, Inc: w.inc}
	c := j.newClaim(t.N, number, h, e.at.Now)
	c.isolated = isolated
	e.addClaim(j, c)
	e.load.placed++
	e.measure("place", q.since)
	e.logEvent("task placed", Attempt{Task: t, Number: number}.String(), "worker", string(w.id), "inc", string(w.inc),
		"free", w.heartbeat.Capacity.Minus(w.heartbeat.Committed).Millicores, "size", j.row.Spec.Step(t.N).Size.Millicores,
		"adds", adds, "heard", e.at.Now.Sub(w.heartbeatAt).String(), "due", j.row.Deadline().Sub(e.at.Now).String(), "isolated", isolated)
	e.addEdit(j, claimEdit{
		n: t.N, number: number, holder: h, dc: w.heartbeat.DC, by: e.self.ID, crashes: j.row.Tasks[t.N].Crashes,
	})
	return true
}

// pick chooses the worker for a task: batch tasks are packed densely, urgent ones
// spread, and urgent tasks may preempt batch tasks. A task whose data is in a rack is
// placed in that rack if there is room. An overdue task goes where there is room at all,
// or waits for it, where it has done so already if it has.
func (e *Entry) pick(j *jobView, q queuedTask) (WorkerID, bool) {
	st := j.row.Spec.Step(q.task.N)
	need := e.need(j, q, st)
	awaited := e.workers[j.takeAwaited(q.task.N)]
	if j.isSuspect(q.task.N) {
		reliable := need
		reliable.Exclude = append(slices.Clone(need.Exclude), e.lessReliable()...)
		if id, ok := e.pickOne(reliable, j, q, st); ok {
			return id, true
		}
	}
	if st.DataRack != "" {
		near := need
		near.Exclude = append(slices.Clone(need.Exclude), e.workersOutside(st.DataRack)...)
		if id, ok := e.pickOne(near, j, q, st); ok {
			return id, true
		}
	}
	if id, ok := e.pickOne(need, j, q, st); ok {
		return id, true
	}
	switch {
	case !st.LongRunning:
		return e.pickAvoided(need, j, q, st)
	case !e.isOverdue(j, q):
		return "", false
	}
	if awaited != nil && e.canAwait(awaited, need) && !e.mayLeaveForQuarantine(q, need) {
		return awaited.id, true
	}
	return e.pickOverdue(need, j, q, st)
}

// need returns a task's requirements for placement.
func (e *Entry) need(j *jobView, q queuedTask, st StepSpec) place.Need {
	n := q.task.N
	return place.Need{
		Size: st.Size, Spread: q.mayPreempt || st.BestEffort, Owner: string(q.task.Job),
		Exclude: append(e.avoided(j, n), e.unfit(j, n, st)...),
	}
}

// workersOutside returns the workers that are not in the rack. Tasks whose data is in
// the rack run longer on them, so they are the second choice.
func (e *Entry) workersOutside(rack Rack) []string {
	var ids []string
	for _, id := range e.workerIDs() {
		if e.workers[id].heartbeat.Rack != rack {
			ids = append(ids, string(id))
		}
	}
	return ids
}

// pickOne chooses a worker that meets the need, by the policy and the kind of job.
func (e *Entry) pickOne(need place.Need, j *jobView, q queuedTask, st StepSpec) (WorkerID, bool) {
	seed := e.at.Seed ^ uint64(e.token)<<20 ^ uint64(q.task.N)
	if e.pol.FirstFit {
		return e.firstFit(need)
	}
	if len(j.row.Spec.Steps) > 0 {
		if st.LongRunning && j.hasBeenRefused(q.task.N) {
			if id, ok := e.pickOwn(need, seed); ok {
				return WorkerID(id), true
			}
		}
		id, ok := e.pickSeparated(need, st, e.isStuck(j, q), seed)
		return WorkerID(id), ok
	}
	if !q.mayPreempt {
		id, ok := e.pickLeastDisturbed(need, j.row.Spec.Class, seed)
		return WorkerID(id), ok
	}
	if id, ok := e.index.Pick(need, seed); ok {
		return WorkerID(id), true
	}
	id, ok := e.index.PickPreempt(need, seed)
	if ok {
		e.count("preempt", ReasonRoom)
	}
	return WorkerID(id), ok
}

// pickSeparated separates best-effort tasks from long-running ones, whose tail latency
// they would raise, while there is room. Long-running tasks share workers by image,
// and short tasks join them there. Best-effort tasks get the other workers first;
// beside long-running tasks they run only where the learnt interference is tolerable.
// The best-effort tasks of a job that is stuck, with nothing running for too long, go
// wherever there is room.
func (e *Entry) pickSeparated(need place.Need, st StepSpec, stuck bool, seed uint64) (string, bool) {
	need.Spread = st.BestEffort
	need.Constraint = place.ServingOnly
	if st.BestEffort {
		need.Constraint = place.NonServingOnly
	}
	switch {
	case st.BestEffort:
		return e.pickBestEffort(need, st.Image, stuck, seed)
	case st.Target > 0:
		return e.pickLongRunning(need, st.Image, seed)
	}
	if id, ok := e.pickOwn(need, seed); ok {
		return id, true
	}
	if id, ok := e.index.Pick(need, seed); ok {
		return id, true
	}
	need.Constraint, need.Spread = place.AnyWorker, true
	if id, ok := e.index.Pick(need, seed); ok {
		return id, true
	}
	need.Own = true
	if id, ok := e.index.PickPreempt(need, seed); ok {
		return id, true
	}
	need.Own = false
	return e.index.PickPreempt(need, seed)
}

// pickOwn chooses a worker that this home prefers: one that meets the need, or else any. All
// homes see the same free capacity on the others, and place there at the same time.
func (e *Entry) pickOwn(need place.Need, seed uint64) (string, bool) {
	need.Own = true
	if id, ok := e.index.Pick(need, seed); ok {
		return id, true
	}
	need.Constraint, need.Spread = place.AnyWorker, true
	return e.index.Pick(need, seed)
}

// candidates yields up to n workers that pick chooses for a need, each of them once.
func candidates(pick func(place.Need, uint64) (string, bool), need place.Need, seed uint64, n int) iter.Seq[string] {
	return func(yield func(string) bool) {
		need.Exclude = slices.Clip(need.Exclude)
		for range n {
			id, ok := pick(need, seed)
			if !ok || !yield(id) {
				return
			}
			need.Exclude = append(need.Exclude, id)
		}
	}
}

// unfit returns the workers on which a task of a job with steps must not run: those
// that don't run a service of the job's queue, lack the step's label, or already hold the
// maximum number of the step's tasks per worker.
func (e *Entry) unfit(j *jobView, n int, st StepSpec) []string {
	spec := &j.row.Spec
	if len(spec.Steps) == 0 {
		return nil
	}
	var ids []string
	serviceNow := e.config.serviceNow(spec)
	for _, id := range e.workerIDs() {
		w := e.workers[id]
		if !w.serves(spec.Service) && !w.serves(serviceNow) || !w.hasLabel(st.Label) {
			ids = append(ids, string(id))
		}
	}
	if st.MaxPerWorker == 0 {
		return ids
	}
	step, _ := spec.Locate(n)
	held := map[WorkerID]int{}
	for m, c := range j.claims {
		if s, _ := spec.Locate(m); s == step {
			held[c.holder.Worker]++
		}
	}
	for id, k := range held {
		if k >= st.MaxPerWorker {
			ids = append(ids, string(id))
		}
	}
	return ids
}

// serves reports whether a worker runs the service; an empty name matches any worker.
func (w *workerView) serves(service string) bool {
	return service == "" || slices.ContainsFunc(w.heartbeat.Services, func(s ServiceLoad) bool { return s.Service == service })
}

// hasLabel reports whether a worker has the label; an empty label matches any worker.
func (w *workerView) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.heartbeat.Labels, label)
}

// firstFit returns the first open worker with room, as a baseline to measure against.
func (e *Entry) firstFit(need place.Need) (WorkerID, bool) {
	for _, id := range e.workerIDs() {
		w, ok := e.index.Get(string(id))
		if ok && !w.Closed && need.Size.Fits(w.Capacity.Minus(w.Committed)) && indexOf(need.Exclude, string(id)) < 0 {
			return id, true
		}
	}
	return "", false
}

// withinQuota reports whether one more task of the job fits this entry's share of the
// team's quota. All homes have equal shares.
func (e *Entry) withinQuota(spec *JobSpec) bool {
	row, ok := e.config.team(spec.Team)
	if !ok || row.Quota == (Size{}) {
		return true
	}
	if !e.hasReadOwnedShards() {
		return false // they may hold claims of the team
	}
	n := int64(max(len(e.homes.ids), 1))
	quota := unlimited(row.Quota)
	share := Size{
		Millicores: quota.Millicores / n, MemoryMB: quota.MemoryMB / n, Accelerators: quota.Accelerators / n,
	}
	if spec.Size.Fits(quota) {
		share = share.Max(spec.Size) // a share below the size of one task would block the job for ever
	}
	return e.quota.Allows(string(spec.Team), spec.Size, share)
}

// hasReadOwnedShards reports whether every shard that this entry owns has been read.
func (e *Entry) hasReadOwnedShards() bool {
	return !slices.ContainsFunc(e.shards[:], func(sh shardView) bool { return sh.owned && !sh.loaded })
}

// unlimited replaces the zero fields of a quota, which mean no limit, by a number
// that no team reaches.
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

// recordNoRoom records why a task waits. A task that no known worker could hold for
// longer than parkAfter is parked, unless its job came in through a queue.
func (e *Entry) recordNoRoom(j *jobView, n int) {
	if st := j.row.Spec.Step(n); !e.exceedsAllWorkers(st.Reserved()) {
		j.waitReasons[n] = ReasonRoom
		j.unplaceableSince = time.Time{}
		return
	}
	j.waitReasons[n] = ReasonUnplaceable
	if j.unplaceableSince.IsZero() {
		j.unplaceableSince = e.at.Now
	}
	if e.at.Now.Sub(j.unplaceableSince) > parkAfter && j.row.Spec.Queue == "" {
		e.count("park", ReasonUnplaceable)
		e.addEdit(j, failTaskEdit{n: n, reason: "no worker could ever hold it"})
	}
}

// exceedsAllWorkers reports whether a size exceeds the capacity of every worker. It reports
// false as long as workers may exist that this entry has not heard of.
func (e *Entry) exceedsAllWorkers(s Size) bool {
	return e.hasHeardAgents() && e.index.Len() > 0 && !e.index.Possible(s)
}

func sortConds(cs []table.Cond) {
	sort.Slice(cs, func(i, j int) bool { return cs[i].Key < cs[j].Key })
}
