package core

import (
	"cmp"
	"slices"
	"time"

	"jayloft/order"
)

// rankInterval is the longest time between two updates of the ranks.
const rankInterval = 250 * time.Millisecond

// taskQueue holds the tasks that wait for a worker. Those that may preempt are kept
// apart from batch tasks and placed first.
type taskQueue struct {
	urgent, batch []queuedTask
	// newUrgent and newBatch came since the last scan.
	newUrgent, newBatch []queuedTask

	has       map[TaskID]bool // tasks that have not been removed
	unsorted  bool
	sortedAt  time.Time // when the ranks were last updated
	added     uint64    // number of tasks ever added
	blocked   bool      // no room was found, and nothing has changed since
	retryAt   time.Time // when placement is tried again while blocked
	restUntil time.Time // no scan begins before
}

// queuedTask is a task that waits for a worker, with its place in the order.
type queuedTask struct {
	task       TaskID
	mayPreempt bool
	rank       order.Rank
	number     uint64    // order of arrival
	since      time.Time // when it was queued
	idleSince  time.Time // of a long-running task: since when it has not run
	overdue    bool      // see isOverdue, as of the last sort
	passedOver int       // scans since it was last tried that were at their limit of failures
}

// newQueuedTask returns the queue entry of a job's task.
func (e *Entry) newQueuedTask(j *jobView, n int) queuedTask {
	spec := &j.row.Spec
	st := spec.Step(n)
	q := queuedTask{
		since: e.at.Now, idleSince: e.at.Now, task: TaskID{Job: spec.ID, N: n}, mayPreempt: spec.mayPreempt(st), rank: e.rankOf(j),
	}
	if st.LongRunning {
		q.idleSince = j.idleSince(n, e.at.Now)
	}
	return q
}

// rankOf returns the present rank of a job's tasks.
func (e *Entry) rankOf(j *jobView) order.Rank {
	spec := &j.row.Spec
	job := order.Job{Priority: spec.Priority}
	if len(spec.Steps) > 0 {
		job.Accepted, job.Deadline, job.Remaining = j.row.Accepted, j.row.Deadline(), j.row.remainingTime()
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
	q.added++
	w.number = q.added
	if w.mayPreempt {
		q.newUrgent = append(q.newUrgent, w)
	} else {
		q.newBatch = append(q.newBatch, w)
	}
}

// mergeNew moves the tasks that came since the last scan to the others.
func (q *taskQueue) mergeNew() {
	if len(q.newUrgent)+len(q.newBatch) == 0 {
		return
	}
	q.urgent, q.batch = append(q.urgent, q.newUrgent...), append(q.batch, q.newBatch...)
	q.newUrgent, q.newBatch = nil, nil
	q.unsorted = true
}

// remove takes a task out. Its place in the order is dropped when the task is next
// considered for placement.
func (q *taskQueue) remove(t TaskID) { delete(q.has, t) }

// sortQueue sorts the queued tasks: overdue long-running ones first, then by the ranks of
// their jobs, which change as deadlines pass, and then by arrival.
func (e *Entry) sortQueue() {
	q := &e.queue
	if !q.unsorted && e.at.Now.Sub(q.sortedAt) < rankInterval {
		return
	}
	q.unsorted, q.sortedAt = false, e.at.Now
	ranks := map[JobID]order.Rank{}
	for _, ws := range [][]queuedTask{q.urgent, q.batch} {
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
			ws[i].overdue = e.isOverdue(j, ws[i])
		}
		slices.SortStableFunc(ws, queuedTask.compare)
	}
}

// compare orders overdue tasks by the scans that have passed them over, then by how long they
// have had no run, and the others behind them by rank, then by arrival.
func (w queuedTask) compare(o queuedTask) int {
	switch {
	case w.overdue && o.overdue:
		return cmp.Or(cmp.Compare(o.passedOver, w.passedOver), w.idleSince.Compare(o.idleSince), cmp.Compare(w.number, o.number))
	case w.overdue:
		return -1
	case o.overdue:
		return 1
	}
	return cmp.Or(w.rank.Compare(o.rank), cmp.Compare(w.number, o.number))
}
