package core

import (
	"slices"
	"time"

	"jayloft/homes"
)

const (
	// orphanTimeout is how long the owner of a job may leave an end unrecorded before the
	// shard's backup records it, if the owner does not answer the agent that reports it. It is
	// also the time between two reads of the job's row.
	orphanTimeout = 3 * time.Second
	// orphanPatience is the same time if the owner answers the agent: it is only behind, and
	// writes of others would make its transactions conflict.
	orphanPatience = 6 * time.Second
	// maxOrphanJobs bounds the jobs whose rows one call reads.
	maxOrphanJobs = 16
)

// orphan is an attempt of a job that this entry does not own or know, as an agent reports it.
// The end of a running attempt has no kind.
type orphan struct {
	w   *workerView
	end End
}

// orphanEnd is the state of such an attempt: its end may be left unrecorded by the owner.
type orphanEnd struct {
	since    time.Time // when this entry first heard of it
	nextRead time.Time // when the job's row may be read again
	queued   bool      // the job's row is to be read
	over     bool      // the table holds the end, or a later change
}

// orphanReads are the reads of rows of other entries' jobs: one call at a time.
type orphanReads struct {
	due      []orphan
	inFlight bool
}

// reconcileStray handles a running attempt of a job in an owned shard that this entry
// does not know. The job may be new, stored by an entry that considered itself
// the owner; only a read proves that there is none.
func (e *Entry) reconcileStray(w *workerView, t Attempt, ans *HeartbeatAnswer) {
	if sh := &e.shards[ShardOf(t.Task.Job)]; !sh.owned || !sh.loaded {
		return
	}
	if e.isForeignAttemptOver(w, End{Attempt: t}) {
		ans.Moved = append(ans.Moved, t)
	}
}

// recordOrphanEnd handles the end of an attempt of another entry's job. If the owner
// does not record it, perhaps because it receives no heartbeats from the agent, this
// entry does.
func (e *Entry) recordOrphanEnd(w *workerView, end End, ans *HeartbeatAnswer) {
	if e.isForeignAttemptOver(w, end) {
		ans.Recorded = append(ans.Recorded, end.Attempt)
	}
}

// isForeignAttemptOver reports whether the table holds the end of an attempt, or a
// later change; if so, it forgets the attempt. While agents keep reporting the attempt,
// the job's row is read every orphanTimeout, by the entry whose turn it is.
func (e *Entry) isForeignAttemptOver(w *workerView, end End) bool {
	t := end.Attempt
	o := w.orphanEnds[t]
	switch {
	case o == nil:
		w.orphanEnds[t] = &orphanEnd{since: e.at.Now}
	case o.over:
		delete(w.orphanEnds, t)
		return true
	case o.queued || e.at.Now.Before(latest(o.nextRead, o.since.Add(orphanTimeout))):
	case !e.at.Now.Before(o.since.Add(e.orphanWait(w, ShardOf(t.Task.Job)))):
		o.queued = true
		e.orphans.due = append(e.orphans.due, orphan{w: w, end: end})
	}
	return false
}

// orphanWait returns how long this entry leaves an end that a worker's agent reports to the
// owner of the shard. Only the shard's backup takes the owner's place, and the other homes if
// it does not either: all at once would slow down an owner that is behind.
func (e *Entry) orphanWait(w *workerView, shard int) time.Duration {
	owner := e.shards[shard].owner
	if owner == e.self.ID || owner == "" {
		return orphanTimeout
	}
	wait := orphanPatience
	if p := e.peers[owner]; p == nil || slices.Contains(w.heartbeat.Unheard, p.addr) {
		wait = orphanTimeout
	}
	if homes.Backup(e.homes.ids, string(owner), shard) != string(e.self.ID) {
		wait += orphanPatience
	}
	return wait
}

// noteOrphanStored lets the agent know with the next answer that an end is recorded.
func (e *Entry) noteOrphanStored(ed endEdit) {
	if w := e.workers[ed.worker]; w != nil && w.orphanEnds[ed.end.Attempt] != nil {
		w.orphanEnds[ed.end.Attempt].over = true
	}
}

// pendingOrphans awaits the rows of other entries' jobs, to record ends in them.
type pendingOrphans struct{ orphans []orphan }

func (pendingOrphans) pendingAnswer() {}

// advanceOrphans reads the rows of the jobs whose ends are due to be recorded here, a few of
// them in one call.
func (e *Entry) advanceOrphans() {
	r := &e.orphans
	if r.inFlight || len(r.due) == 0 || e.breaker.IsOpen(e.at.Now) {
		return
	}
	var keys []string
	n := 0
	for ; n < len(r.due); n++ {
		key := keyJob(r.due[n].end.Attempt.Task.Job)
		if slices.Contains(keys, key) {
			continue
		}
		if len(keys) == maxOrphanJobs {
			break
		}
		keys = append(keys, key)
	}
	w := pendingOrphans{orphans: slices.Clone(r.due[:n])}
	r.due = slices.Delete(r.due, 0, n)
	r.inFlight = true
	e.load.orphanReads += len(keys)
	e.emit(ReadRows{Token: e.expect(w), Keys: keys})
}

// handleOrphansRead records orphan ends, or notes that the attempts are over. What was not
// read is read again once an agent reports it after orphanTimeout.
func (e *Entry) handleOrphansRead(q pendingOrphans, ev RowsAnswered) {
	e.orphans.inFlight = false
	for _, x := range q.orphans {
		if o := x.w.orphanEnds[x.end.Attempt]; o != nil {
			o.queued, o.nextRead = false, e.at.Now.Add(orphanTimeout)
		}
	}
	if ev.Fault != FaultNone {
		e.recordStoreFault("read")
		return
	}
	for _, r := range ev.View.Rows {
		if r.Version > 0 {
			e.applyJobRow(r)
		}
	}
	for _, x := range q.orphans {
		e.resolveOrphan(x)
	}
	for _, x := range q.orphans {
		if j := e.jobs[x.end.Attempt.Task.Job]; j != nil {
			e.dropForeignJob(j)
		}
	}
}

// resolveOrphan records the end of an attempt by the job's row that was just read.
func (e *Entry) resolveOrphan(x orphan) {
	t := x.end.Attempt
	o := x.w.orphanEnds[t]
	j := e.jobs[t.Task.Job]
	if o == nil {
		return
	}
	if j == nil || t.Task.N >= len(j.row.Tasks) {
		o.over = true // the job has ended and its row is deleted
		return
	}
	o.over = j.row.isOver(x.end)
	if x.end.Kind == "" { // still running: reconcileRunning decides by the job's row
		delete(x.w.orphanEnds, t)
		return
	}
	if !o.over && j.row.Tasks[t.Task.N].Attempt >= t.Number {
		e.addEdit(j, endEdit{end: x.end, worker: x.w.id})
	}
}
