package core

import (
	"slices"
	"time"
)

// Limits and times of scans of the queue.
const (
	// maxPlacements bounds the placements of one scan.
	maxPlacements = 256
	// maxPlaceFailures bounds the searches for a worker in one scan that find no room,
	// those for long-running tasks apart from the others.
	maxPlaceFailures = 48
	// placeRetryInterval is how long a queue without room waits if nothing changes.
	placeRetryInterval = 250 * time.Millisecond
	// failureRest is the rest after a scan for each search beyond freeFailures that found no
	// room, and waitingRest the one for each task that is left waiting beyond freeWaiting. An
	// entry with a long queue has time left to record ends and to send orders.
	failureRest  = 2 * time.Millisecond
	freeFailures = 4
	waitingRest  = 50 * time.Microsecond
	freeWaiting  = 64
	// maxRest bounds the rest, in which room that becomes free stays unused.
	maxRest = time.Second
)

// scan is one walk through the queue, in which tasks are placed.
type scan struct {
	placed   int
	failures int // searches that found no room
	awaited  int // those of them for long-running tasks
	suspects int // tasks that wait for a worker of their own
	cut      bool
	steps    map[stepID]bool // steps with a task that found no room
	shapes   map[shape][]Size
}

// shape is what the search for a worker depends on besides the size: a task that needs as
// much as one that found no room, or more, finds none either.
type shape struct {
	service     string
	label       string
	image       string // of a task that may interfere with others
	bestEffort  bool
	longRunning bool
	urgent      bool
	overdue     bool
}

// schedule places queued tasks, urgent ones first: all of them if the last scan lies back long
// enough, and otherwise those that came since.
func (e *Entry) schedule() {
	if e.leaving || !e.hasConfig() || e.breaker.IsOpen(e.at.Now) || len(e.group.dirty) > 2*e.pol.TxnRows {
		return
	}
	q := &e.queue
	if e.at.Now.Before(q.nextScan()) {
		e.placeNew()
		return
	}
	q.mergeNew()
	e.sortQueue()
	s := newScan()
	q.urgent = e.placeAll(&s, q.urgent)
	q.batch = e.placeAll(&s, q.batch)
	q.blocked = s.failures+s.suspects > 0 && !s.cut
	q.retryAt = e.at.Now.Add(placeRetryInterval)
	q.restUntil = e.at.Now.Add(s.rest(len(q.urgent) + len(q.batch)))
}

// rest returns the time without a scan after one that has left this number of tasks waiting.
func (s *scan) rest(waiting int) time.Duration {
	if s.cut {
		return 0
	}
	rest := time.Duration(max(s.failures-freeFailures, 0))*failureRest + time.Duration(max(waiting-freeWaiting, 0))*waitingRest
	return min(rest, maxRest)
}

// nextScan returns when all queued tasks are considered again.
func (q *taskQueue) nextScan() time.Time {
	if q.blocked {
		return latest(q.retryAt, q.restUntil)
	}
	return q.restUntil
}

// placeNew places the tasks that came since the last scan. Those that find no room wait with
// the others.
func (e *Entry) placeNew() {
	q := &e.queue
	if len(q.newUrgent)+len(q.newBatch) == 0 {
		return
	}
	s := newScan()
	urgent := e.placeAll(&s, q.newUrgent)
	batch := e.placeAll(&s, q.newBatch)
	q.newUrgent, q.newBatch = nil, nil
	q.urgent = append(q.urgent, urgent...)
	q.batch = append(q.batch, batch...)
	q.unsorted = q.unsorted || len(urgent)+len(batch) > 0
	if s.cut {
		q.blocked = false
	}
}

func newScan() scan { return scan{steps: map[stepID]bool{}, shapes: map[shape][]Size{}} }

// placeAll places the tasks of one queue in order and returns those that remain.
func (e *Entry) placeAll(s *scan, ts []queuedTask) []queuedTask {
	var left []queuedTask
	for i, w := range ts {
		if s.isOver() {
			left = append(left, ts[i:]...)
			break
		}
		if e.queue.has[w.task] && !e.place(s, &w) {
			left = append(left, w)
		}
	}
	return left
}

// isOver reports whether no further task is considered.
func (s *scan) isOver() bool {
	s.cut = s.cut || s.placed >= maxPlacements
	return s.cut || s.failures-s.awaited >= maxPlaceFailures
}

// place places one task and reports whether it leaves the queue.
func (e *Entry) place(s *scan, w *queuedTask) bool {
	j := e.jobs[w.task.Job]
	step := e.stepOf(w.task)
	if s.steps[step] {
		return false
	}
	sh, general := e.shapeOf(j, *w)
	if j != nil && s.hasFailed(sh, j.row.Spec.Step(w.task.N).Size) {
		e.recordNoRoom(j, w.task.N)
		s.steps[step] = general && !sh.longRunning
		return false
	}
	if sh.longRunning && s.awaited >= maxPlaceFailures {
		w.passedOver++
		return false
	}
	w.passedOver = 0
	if e.placeTask(*w) {
		s.placed++
		e.queue.remove(w.task)
		return true
	}
	s.noteFailure(e.jobs[w.task.Job], w.task.N, step, sh, general)
	return false
}

// noteFailure records a search that found no room, and what it says about other tasks.
func (s *scan) noteFailure(j *jobView, n int, step stepID, sh shape, general bool) {
	reason := j.waitReasons[n]
	if reason == ReasonIsolated {
		s.suspects++ // it holds up neither its step nor the rest of the queue
		return
	}
	s.failures++
	if sh.longRunning {
		s.awaited++
	} else {
		s.steps[step] = len(j.row.Spec.Steps) > 0
	}
	if general && reason == ReasonRoom {
		s.shapes[sh] = append(s.shapes[sh], j.row.Spec.Step(n).Size)
	}
}

// hasFailed reports whether a task of the shape that needs no more than the size has found no
// room.
func (s *scan) hasFailed(sh shape, size Size) bool {
	return slices.ContainsFunc(s.shapes[sh], func(least Size) bool { return least.Fits(size) })
}

// shapeOf returns the shape of a task. It is general if the search for a worker depends on
// nothing else: neither on workers that the task avoids nor on where its step runs already.
func (e *Entry) shapeOf(j *jobView, w queuedTask) (sh shape, general bool) {
	if j == nil {
		return shape{}, false
	}
	spec := &j.row.Spec
	st := spec.Step(w.task.N)
	sh = shape{
		service: spec.Service, label: st.Label, bestEffort: st.BestEffort, longRunning: st.LongRunning,
		urgent: w.mayPreempt, overdue: e.isOverdue(j, w),
	}
	switch {
	case len(spec.Steps) == 0:
		sh.image = spec.Class
	case st.BestEffort:
		sh.image = st.Image
		sh.overdue = e.isStuck(j, w)
	}
	general = st.MaxPerWorker == 0 && !j.isSuspect(w.task.N) && len(e.avoided(j, w.task.N)) == 0
	return sh, general
}

// isStuck reports whether a job has had nothing running for too long because its best-effort
// tasks would interfere with long-running ones.
func (e *Entry) isStuck(j *jobView, q queuedTask) bool {
	return len(j.claims) == 0 && e.at.Now.Sub(q.since) > bestEffortMaxWait && e.index.NonPreemptibleFraction() < busySiteUtilization
}
