package core

import (
	"cmp"
	"slices"
	"time"

	"jayloft/order"
)

// rankInterval is the longest time for which turns are not worked out anew.
const rankInterval = 250 * time.Millisecond

// taskQueue holds the tasks that wait for a worker, those that are placed first
// apart from batch tasks.
type taskQueue struct {
	urgent, batch []queuedTask
	has           map[TaskID]bool
	unsorted      bool
	sorted        time.Time // when the turns were last worked out
	added         uint64    // tasks that were ever added
	blocked       bool      // no room was found, and nothing has changed since
	again         time.Time
}

// queuedTask is a task that waits for a worker, with what decides its turn.
type queuedTask struct {
	task       TaskID
	mayPreempt bool
	rank       order.Rank
	number     uint64    // order of arrival
	since      time.Time // when it was added
}

// newQueuedTask returns a job's task as it waits in the queue.
func (e *Entry) newQueuedTask(j *jobView, n int) queuedTask {
	spec := &j.row.Spec
	return queuedTask{
		since: e.at.Now, task: TaskID{Job: spec.ID, N: n}, mayPreempt: spec.mayPreempt(spec.Step(n)), rank: e.rankOf(j),
	}
}

// rankOf returns the rankOf of a job's tasks, as of now.
func (e *Entry) rankOf(j *jobView) order.Rank {
	spec := &j.row.Spec
	job := order.Job{Priority: spec.Priority}
	if len(spec.Steps) > 0 {
		job.Accepted, job.Deadline, job.Remaining = j.row.Accepted, j.row.Deadline(), j.row.remainingTime()
	}
	if spec.hasLongRunning() {
		job.Accepted = time.Time{} // it is owed for as long as it lasts
	}
	if e.pol.EarliestDeadline {
		return order.EarliestDeadline(job)
	}
	return order.RankOf(e.at.Now, job)
}

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
		q.urgent = append(q.urgent, w)
	} else {
		q.batch = append(q.batch, w)
	}
	q.unsorted, q.blocked = true, false
}

// remove takes a task out; its place in the order is dropped by the next step.
func (q *taskQueue) remove(t TaskID) { delete(q.has, t) }

// sortQueue brings the waiting tasks in order: by the turns of their jobs, which
// change as dates pass, and then by arrival.
func (e *Entry) sortQueue() {
	q := &e.queue
	if !q.unsorted && e.at.Now.Sub(q.sorted) < rankInterval {
		return
	}
	q.unsorted, q.sorted = false, e.at.Now
	turns := map[JobID]order.Rank{}
	for _, ws := range [][]queuedTask{q.urgent, q.batch} {
		for i := range ws {
			id := ws[i].task.Job
			j := e.jobs[id]
			if j == nil {
				continue
			}
			if _, ok := turns[id]; !ok {
				turns[id] = e.rankOf(j)
			}
			ws[i].rank = turns[id]
		}
		slices.SortStableFunc(ws, queuedTask.compare)
	}
}

func (w queuedTask) compare(o queuedTask) int {
	return cmp.Or(w.rank.Compare(o.rank), cmp.Compare(w.number, o.number))
}
