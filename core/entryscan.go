package core

import (
	"slices"
	"time"
)

// Limits and times of scans of the queue.
const (
	// maxPlacements bounds the placements of one scan.
	maxPlacements = 256
	// maxPlaceFailures bounds the searches for a worker in one scan of a list that find no
	// room.
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
)

// scan is one walk through the queue, in which tasks are placed.
type scan struct {
	placed   int
	failures int              // searches that found no room, in this list
	searches int              // those of all lists
	suspects int              // tasks that wait for a worker of their own, or for a read of their job
	cut      bool             // tasks are left that were not considered
	steps    map[stepKey]bool // steps with a task that found no room
	shapes   map[shape][]Size // needs that found no room
}

// stepKey names the tasks of a step that find no room alike. Those that are overdue may also
// run where they have failed.
type stepKey struct {
	stepID
	overdue bool
}

// shape is what the search for a worker depends on besides the size: a task that needs as
// much as one that found no room, or more, finds none either.
type shape struct {
	service     string // at the submission
	serviceNow  string // of the job's queue
	label       string
	image       string // of a task that may interfere with others
	bestEffort  bool
	longRunning bool
	urgent      bool
	overdue     bool
	quarantine  bool // it may run on a worker in quarantine
}

// schedule places queued tasks: all of them if the last scan lies back long enough, and
// otherwise those that came since. If many edits are not written yet, it places long-running
// tasks only.
func (e *Entry) schedule() {
	if e.leaving || !e.hasConfig() || e.breaker.IsOpen(e.at.Now) {
		return
	}
	q := &e.queue
	if e.at.Now.Before(q.nextScan()) {
		e.placeAdded()
		return
	}
	q.scans++
	q.mergeAdded()
	e.sortQueue()
	s := newScan(nil)
	e.placeLists(&s, &q.waiting)
	q.blocked = s.searches+s.suspects > 0 && !s.cut
	q.retryAt = e.at.Now.Add(placeRetryInterval)
	q.restUntil = e.at.Now.Add(s.rest(q.waiting.len()))
	q.failed = s.shapes
}

// rest returns the time without a scan after one that has left this number of tasks waiting.
func (s *scan) rest(waiting int) time.Duration {
	rest := time.Duration(max(s.searches-freeFailures, 0)) * failureRest
	if !s.cut {
		rest += time.Duration(max(waiting-freeWaiting, 0)) * waitingRest
	}
	return min(rest, placeRetryInterval)
}

// nextScan returns when all queued tasks are considered again.
func (q *taskQueue) nextScan() time.Time {
	if q.blocked {
		return latest(q.retryAt, q.restUntil)
	}
	return q.restUntil
}

// placeAdded places the tasks that came since the last scan, unless they need as much as one
// that waits already. Those that find no room wait with the others.
func (e *Entry) placeAdded() {
	q := &e.queue
	if q.added.len() == 0 {
		return
	}
	added := q.added
	q.added = taskLists{}
	e.sortTasks(&added)
	s := newScan(q.failed)
	e.placeLists(&s, &added)
	q.unsorted = q.unsorted || added.len() > 0
	q.waiting.take(&added)
	if s.cut {
		q.blocked = false
	}
}

// newScan returns a scan in which tasks of some needs are known to find no room.
func newScan(failed map[shape][]Size) scan {
	s := scan{steps: map[stepKey]bool{}, shapes: map[shape][]Size{}}
	for sh, sizes := range failed {
		s.shapes[sh] = slices.Clone(sizes)
	}
	return s
}

// placeLists places tasks and leaves those in the lists that found no room.
func (e *Entry) placeLists(s *scan, l *taskLists) {
	l.longRunning = e.placeAll(s, l.longRunning)
	if e.group.len() > 2*e.pol.TxnRows {
		s.cut = s.cut || len(l.urgent)+len(l.batch) > 0
		return
	}
	l.urgent = e.placeAll(s, l.urgent)
	l.batch = e.placeAll(s, l.batch)
}

// placeAll places the tasks of one list in order and returns those that remain.
func (e *Entry) placeAll(s *scan, ts []queuedTask) []queuedTask {
	var left []queuedTask
	s.failures = 0
	for i, w := range ts {
		s.cut = s.cut || s.placed >= maxPlacements
		if s.cut || s.failures >= maxPlaceFailures {
			left = append(left, ts[i:]...)
			break
		}
		if !e.queue.has[w.task] {
			continue
		}
		before := s.searches
		if e.place(s, w) {
			continue
		}
		if s.searches > before {
			w.searchedIn = e.queue.scans
		}
		left = append(left, w)
	}
	return left
}

// place places one task and reports whether it leaves the queue.
func (e *Entry) place(s *scan, w queuedTask) bool {
	j := e.jobs[w.task.Job]
	if j == nil {
		e.queue.remove(w.task)
		return true
	}
	n := w.task.N
	if j.stale {
		j.waitReasons[n] = ReasonStale
		s.suspects++ // it is considered again once the shard is read
		return false
	}
	step := stepKey{e.stepOf(w.task), e.isOverdue(j, w)}
	if s.steps[step] {
		return false
	}
	sh, general := e.shapeOf(j, w)
	if !j.isSuspect(n) && s.hasFailed(sh, j.row.Spec.Step(n).Size) {
		e.recordNoRoom(j, n)
		s.steps[step] = general
		return false
	}
	if e.placeTask(w) {
		s.placed++
		e.queue.remove(w.task)
		return true
	}
	if j.waitReasons[n] == ReasonIsolated {
		s.suspects++ // it holds up neither its step nor the rest of the queue
		return false
	}
	s.failures++
	s.searches++
	s.steps[step] = len(j.row.Spec.Steps) > 0 && len(j.row.Tasks[n].FailedOn) == 0
	if general && j.waitReasons[n] == ReasonRoom {
		s.shapes[sh] = append(s.shapes[sh], j.row.Spec.Step(n).Size)
	}
	return false
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
		service: spec.Service, serviceNow: e.config.serviceNow(spec), label: st.Label, bestEffort: st.BestEffort, longRunning: st.LongRunning,
		urgent: w.mayPreempt, overdue: e.isOverdue(j, w), quarantine: e.mayUseQuarantined(w),
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
