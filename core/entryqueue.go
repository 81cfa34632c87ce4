package core

import (
	"cmp"
	"slices"
	"time"

	"jayloft/order"
)

// turnsEvery is the longest time for which turns are not worked out anew.
const turnsEvery = 250 * time.Millisecond

// taskQueue holds the tasks that wait for a worker, those that are placed first
// apart from batch tasks.
type taskQueue struct {
	urgent, batch []waiting
	has           map[TaskID]bool
	unsorted      bool
	sorted        time.Time // when the turns were last worked out
	added         uint64    // tasks that were ever added
	blocked       bool      // no room was found, and nothing has changed since
	again         time.Time
}

// waiting is a task that waits for a worker, with what decides its turn.
type waiting struct {
	task       TaskID
	mayPreempt bool
	turn       order.Rank
	number     uint64    // order of arrival
	since      time.Time // when it was added
}

// waiting returns a job's task as it waits in the queue.
func (e *Entry) waiting(j *jobView, n int) waiting {
	spec := &j.row.Spec
	return waiting{
		since: e.at.Now, task: TaskID{Job: spec.ID, N: n}, mayPreempt: spec.mayPreempt(spec.Step(n)), turn: e.turn(j),
	}
}

// turn returns the turn of a job's tasks, as of now.
func (e *Entry) turn(j *jobView) order.Rank {
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

func (q *taskQueue) add(w waiting) {
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
	if !q.unsorted && e.at.Now.Sub(q.sorted) < turnsEvery {
		return
	}
	q.unsorted, q.sorted = false, e.at.Now
	turns := map[JobID]order.Rank{}
	for _, ws := range [][]waiting{q.urgent, q.batch} {
		for i := range ws {
			id := ws[i].task.Job
			j := e.jobs[id]
			if j == nil {
				continue
			}
			if _, ok := turns[id]; !ok {
				turns[id] = e.turn(j)
			}
			ws[i].turn = turns[id]
		}
		slices.SortStableFunc(ws, waiting.compare)
	}
}

func (w waiting) compare(o waiting) int {
	return cmp.Or(w.turn.Compare(o.turn), cmp.Compare(w.number, o.number))
}
