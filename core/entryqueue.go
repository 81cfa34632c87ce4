package core

import (
	"cmp"
	"slices"
	"time"

	"jayloft/order"
)

// rankInterval is the longest time between two updates of the ranks.
const rankInterval = 250 * time.Millisecond

// taskQueue holds the tasks that wait for a worker.
type taskQueue struct {
	waiting taskLists
	added   taskLists // since the last scan

	has       map[TaskID]bool // tasks that have not been removed
	unsorted  bool
	sortedAt  time.Time        // when the ranks were last updated
	number    uint64           // of tasks ever added
	scans     uint64           // number of scans so far
	blocked   bool             // no room was found, and nothing has changed since
	retryAt   time.Time        // when placement is tried again while blocked
	restUntil time.Time        // no scan begins before
	failed    map[shape][]Size // that found no room in the last scan
}

// taskLists are tasks in the order in which they are placed: long-running ones first, which
// must not wait behind others, then the other ones that may preempt, then batch tasks.
type taskLists struct {
	longRunning, urgent, batch []queuedTask
}

// all returns the lists in their order.
func (l *taskLists) all() []*[]queuedTask {
	return []*[]queuedTask{&l.longRunning, &l.urgent, &l.batch}
}

// len returns the number of tasks in all lists.
func (l *taskLists) len() int { return len(l.longRunning) + len(l.urgent) + len(l.batch) }

// listOf returns the list that a task belongs to.
func (l *taskLists) listOf(w queuedTask) *[]queuedTask {
	switch {
	case w.longRunning:
		return &l.longRunning
	case w.mayPreempt:
		return &l.urgent
	}
	return &l.batch
}

// take moves the tasks of other lists here.
func (l *taskLists) take(o *taskLists) {
	for i, ts := range l.all() {
		*ts = append(*ts, *o.all()[i]...)
	}
	*o = taskLists{}
}

// queuedTask is a task that waits for a worker, with its place in the order.
type queuedTask struct {
	task        TaskID
	mayPreempt  bool
	longRunning bool
	rank        order.Rank
	number      uint64    // order of arrival
	since       time.Time // when it was queued
	idleSince   time.Time // of a long-running task: since when it has not run
	searchedIn  uint64    // number of the last scan in which no room was found for it
}

// newQueuedTask returns the queue entry of a job's task.
func (e *Entry) newQueuedTask(j *jobView, n int) queuedTask {
	spec := &j.row.Spec
	st := spec.Step(n)
	q := queuedTask{
		since: e.at.Now, idleSince: e.at.Now, task: TaskID{Job: spec.ID, N: n}, mayPreempt: spec.mayPreempt(st), rank: e.rankOf(j),
	}
	if st.LongRunning {
		q.longRunning, q.idleSince = true, j.idleSince(n, e.at.Now)
	}
	return q
}

// rankOf returns the present rank of a job's tasks.
func (e *Entry) rankOf(j *jobView) order.Rank {
	spec := &j.row.Spec
	job := order.Job{Priority: spec.Priority}
	if len(spec.Steps) > 0 {
		job.Accepted, job.Deadline, job.Remaining = j.row.Accepted, j.row.Deadline(), j.remaining(e.at.Now)
		job.Undone = j.undone()
	}
	if spec.hasLongRunning() {
		job.Accepted = time.Time{} // no deadline: long-running tasks never become worthless
	}
	if e.pol.EarliestDeadline {
		return order.EarliestDeadline(job)
	}
	return order.RankOf(e.at.Now, job)
}

// add queues a task that is not queued yet. It is considered at once, before the next scan.
func (q *taskQueue) add(w queuedTask) {
	if q.has[w.task] {
		return
	}
	if q.has == nil {
		q.has = map[TaskID]bool{}
	}
	q.has[w.task] = true
	q.number++
	w.number = q.number
	list := q.added.listOf(w)
	*list = append(*list, w)
}

// mergeAdded moves the tasks that came since the last scan to the others.
func (q *taskQueue) mergeAdded() {
	q.unsorted = q.unsorted || q.added.len() > 0
	q.waiting.take(&q.added)
}

// remove takes a task out. Its place in the order is dropped when the task is next
// considered for placement.
func (q *taskQueue) remove(t TaskID) { delete(q.has, t) }

// sortQueue sorts the queued tasks by the ranks of their jobs, which change as
// deadlines pass, and then by arrival.
func (e *Entry) sortQueue() {
	q := &e.queue
	if !q.unsorted && e.at.Now.Sub(q.sortedAt) < rankInterval {
		return
	}
	q.unsorted, q.sortedAt = false, e.at.Now
	e.sortTasks(&q.waiting)
}

// sortTasks sorts tasks by the ranks of their jobs, and long-running ones by how long they
// have not run.
func (e *Entry) sortTasks(l *taskLists) {
	slices.SortStableFunc(l.longRunning, queuedTask.compareIdle)
	ranks := map[JobID]order.Rank{}
	for _, ws := range [][]queuedTask{l.urgent, l.batch} {
		for i := range ws {
			id := ws[i].task.Job
			j := e.jobs[id]
			if j == nil {
				continue
			}
			if _, ok := ranks[id]; !ok {
				ranks[id] = e.rankOf(j)
			}
			ws[i].rank = ranks[id]
		}
		slices.SortStableFunc(ws, queuedTask.compare)
	}
}

// compareIdle orders long-running tasks by the scan that considered them last, so that each is
// considered in turn, and then by how long they have not run, longest first.
func (w queuedTask) compareIdle(o queuedTask) int {
	return cmp.Or(cmp.Compare(w.searchedIn, o.searchedIn), w.idleSince.Compare(o.idleSince), cmp.Compare(w.number, o.number))
}

// compare orders tasks by rank, then by arrival.
func (w queuedTask) compare(o queuedTask) int {
	return cmp.Or(w.rank.Compare(o.rank), cmp.Compare(w.number, o.number))
}
