package fake

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"jayloft/core"
)

// Bounds on the age of what entries say about the queue's jobs.
const (
	// VisibleFor is how long after the answer to its submission a job may be unknown.
	VisibleFor = 3 * time.Second
	// ReadAge is the maximum age of a count or a state.
	ReadAge = 5 * time.Second
	// RefusedFor is how long after the last fault reads may be refused.
	RefusedFor = 15 * time.Second
)

// ReadOutcome is a kind of read and what became of it.
type ReadOutcome struct{ Read, Outcome string }

// Reads returns how often each kind of read had each outcome.
func (o *Oracle) Reads() map[ReadOutcome]int { return o.reads }

// queueJob is what really became of a job that was submitted to the queue.
type queueJob struct {
	id          core.JobID
	submissions int
	sentAt      time.Time // the newest submission
	acceptedAt  time.Time // when a caller was told so; zero if none was
	cancelSent  time.Time
	absentAt    time.Time   // when a cancellation was answered that there is no such job
	startedAt   time.Time   // of the first attempt that a worker started
	rows        []storedRow // all that the table has held
	deletedAt   time.Time
}

// storedRow is a job's row and when it was committed.
type storedRow struct {
	at  time.Time
	row core.JobRow
}

// queueJobDeleted records that the row of a queue's job was removed.
func (o *Oracle) queueJobDeleted(key string) {
	if j := o.queueJobs[core.JobID(key[strings.LastIndexByte(key, '/')+1:])]; j != nil {
		j.deletedAt = o.w.now
	}
}

// queueJobStored checks that a queue's job which the table did not hold may be stored.
func (o *Oracle) queueJobStored(j *queueJob) {
	if !j.absentAt.IsZero() && len(j.rows) == 0 {
		o.fail(PointCancel, "job %s is stored %s after a cancellation was told that there is no such job", j.id, o.w.now.Sub(j.absentAt))
	}
}

// before reports whether a moment is known and not later than t.
func before(m, t time.Time) bool { return !m.IsZero() && !m.After(t) }

// had reports whether the table has held a row of the job since a time for which ok
// is true.
func (j *queueJob) had(since time.Time, ok func(*core.JobRow) bool) bool {
	if before(j.deletedAt, since) {
		return false
	}
	for i := range j.rows {
		replaced := i+1 < len(j.rows) && j.rows[i+1].at.Before(since)
		if !replaced && ok(&j.rows[i].row) {
			return true
		}
	}
	return false
}

// waited reports whether the job was waiting at some time since then: the table held
// it, and no task was known to have started. The news of a start may be held up by a
// fault; calm is when the last one was over. It never comes if a worker starts a task after
// the call has timed out, and the attempt is given up before the worker lists it: then the
// job has no claim and waits again.
func (j *queueJob) waited(since, calm time.Time) bool {
	started := before(j.startedAt, since) && before(calm, since)
	return j.had(since, func(r *core.JobRow) bool {
		return !r.Cancel && r.Ended.IsZero() && (!started || hasNoClaim(r) && !r.Started)
	})
}

// hasNoClaim reports whether all tasks of a job wait.
func hasNoClaim(r *core.JobRow) bool {
	return !slices.ContainsFunc(r.Tasks, func(t core.TaskRow) bool { return t.State != core.TaskWaiting })
}

// waitingFor reports whether the job has been accepted since t and still waits.
func (j *queueJob) waitingSince(t time.Time) bool {
	return before(j.acceptedAt, t) && j.startedAt.IsZero() && j.cancelSent.IsZero() && j.deletedAt.IsZero()
}

// mustBeKnown reports whether a job was accepted so long ago that every entry has to
// know it.
func (j *queueJob) mustBeKnown(now time.Time) bool {
	return before(j.acceptedAt, now.Add(-VisibleFor)) && j.deletedAt.IsZero()
}

// readAnswered counts a read. It reports whether the entry has answered it, and checks
// that refusals end once no fault is on.
func (o *Oracle) readAnswered(e *entry, p Point, read string, outcome string, answered bool) bool {
	o.reads[ReadOutcome{read, outcome}]++
	if answered {
		return true
	}
	if calm := o.calm(e.proc.resumed); !e.leaving && o.w.now.Sub(calm) > RefusedFor {
		o.fail(p, "entry %s answers a read of %s with %s %s after the last fault", e.id(), read, outcome, o.w.now.Sub(calm))
	}
	return false
}

// judgeCount checks a count of waiting jobs when an entry decides it.
func (o *Oracle) judgeCount(e *entry, a core.JobAnswer) {
	open := a.Outcome == core.JobRefused && a.RetryAfter > 0 || a.Outcome == core.JobUnknown
	if !open && a.Outcome != core.JobAccepted {
		o.fail(PointCount, "entry %s answers a count with outcome %s, retry after %s", e.id(), a.Outcome, a.RetryAfter)
	}
	if !o.readAnswered(e, PointCount, "count", string(a.Outcome), a.Outcome == core.JobAccepted) {
		return
	}
	least, most := 0, 0
	for _, id := range o.queueIDs {
		j := o.queueJobs[id]
		if j.waitingSince(o.w.now.Add(-ReadAge)) {
			least++
		}
		if j.waited(o.w.now.Add(-ReadAge), o.quiet) {
			most++
		}
	}
	if a.Pending < least {
		o.fail(PointCount, "entry %s counts %d waiting jobs, but %d have waited for over %s", e.id(), a.Pending, least, ReadAge)
	}
	if a.Pending > most {
		o.fail(PointCount, "entry %s counts %d waiting jobs, but at most %d have waited in the last %s", e.id(), a.Pending, most, ReadAge)
	}
}

// judgeState checks the state of a job when an entry decides it.
func (o *Oracle) judgeState(e *entry, id core.JobID, a core.JobAnswer) {
	j := o.queueJobs[id]
	open := a.Outcome == core.JobRefused && a.RetryAfter > 0 || a.Outcome == core.JobUnknown
	answered := a.Outcome == core.JobAccepted || a.Outcome == core.JobNotFound
	if !open && !answered {
		o.fail(PointState, "entry %s answers the state of %s with outcome %s, retry after %s", e.id(), id, a.Outcome, a.RetryAfter)
	}
	if !o.readAnswered(e, PointState, "state", string(a.Outcome), answered) {
		return
	}
	since := o.w.now.Add(-ReadAge)
	queued := a.State == core.JobQueued && !before(j.startedAt, since)
	switch {
	case a.Outcome == core.JobNotFound:
		o.unknown(e, j, "state")
	case !j.had(since, func(r *core.JobRow) bool { return r.State() == a.State || queued && !r.Cancel }):
		o.fail(PointState, "entry %s says %s of job %s, which it has not been for %s", e.id(), a.State, id, ReadAge)
	}
}

// unknown checks that an entry which says that a job does not exist may say so.
func (o *Oracle) unknown(e *entry, j *queueJob, read string) {
	if j.mustBeKnown(o.w.now) {
		o.fail(PointState, "entry %s says in %s that job %s does not exist, accepted %s ago", e.id(), read, j.id, o.w.now.Sub(j.acceptedAt))
	}
}

// answeredQuery counts a statement that reads and reports whether it was answered.
func (o *Oracle) answeredQuery(e *entry, read string, r core.CommandResult) bool {
	return o.readAnswered(e, PointState, read, string(r.Outcome), r.Outcome == core.CommandDone)
}

// column returns the index of a column of the answer to a statement.
func column(r core.CommandResult, name string) int {
	for i, c := range r.Columns {
		if c == name {
			return i
		}
	}
	panic("fake: no column " + name)
}

// judgeJobs checks the answer to `show jobs`.
func (o *Oracle) judgeJobs(e *entry, r core.CommandResult) {
	if !o.answeredQuery(e, "show jobs", r) {
		return
	}
	listed := map[core.JobID]bool{}
	at := column(r, "waiting")
	for _, cells := range r.Rows {
		if j := o.queueJobs[core.JobID(cells[column(r, "job")])]; j != nil {
			listed[j.id] = true
			o.judgeCells(e, j, "show jobs", ReadAge, cells[at:at+4], cells[column(r, "state")])
		}
	}
	o.judgeListed(e, "show jobs", listed)
}

// judgeListed checks that a list has all jobs that must be known.
func (o *Oracle) judgeListed(e *entry, read string, listed map[core.JobID]bool) {
	for _, id := range o.queueIDs {
		if !listed[id] {
			o.unknown(e, o.queueJobs[id], read)
		}
	}
}

// wasArriving reports whether the job was on its way to the table at some time since
// then: an entry that holds it may say that its tasks wait.
func (j *queueJob) wasArriving(since time.Time) bool {
	if len(j.rows) > 0 {
		return j.rows[0].at.After(since)
	}
	return j.sentAt.After(since)
}

// judgeCells checks what an entry says of a job's tasks: how many are waiting, running,
// done and ended otherwise, and the job's state. It must be no older than age.
func (o *Oracle) judgeCells(e *entry, j *queueJob, read string, age time.Duration, cells []string, state string) {
	same := func(r *core.JobRow) bool {
		var n [4]int
		for i := range r.Tasks {
			n[taskColumn(r.Tasks[i].State)]++
		}
		for i, c := range cells {
			if c != strconv.Itoa(n[i]) {
				return false
			}
		}
		return state == listedState(r, n)
	}
	since := o.w.now.Add(-age)
	arriving := state == "open" && cells[0] != "0" && j.wasArriving(since)
	if !arriving && !j.had(since, same) {
		o.fail(PointState, "entry %s lists job %s in %s as %s with tasks %v, which it has not been for %s", e.id(), j.id, read, state, cells, age)
	}
}

// taskColumn returns the place of a task's state among waiting, running, done and other.
func taskColumn(s core.TaskState) int {
	switch s {
	case core.TaskWaiting:
		return 0
	case core.TaskClaimed:
		return 1
	case core.TaskDone:
		return 2
	}
	return 3
}

// listedState returns the state that lists give a job.
func listedState(r *core.JobRow, n [4]int) string {
	switch {
	case r.Cancel:
		return "cancelled"
	case n[0]+n[1] == 0:
		return "ended"
	}
	return "open"
}

// judgeTasks checks the answer to `show tasks`.
func (o *Oracle) judgeTasks(e *entry, r core.CommandResult) {
	if !o.answeredQuery(e, "show tasks", r) {
		return
	}
	listed := map[core.JobID]bool{}
	state, attempt, worker := column(r, "state"), column(r, "attempt"), column(r, "worker")
	for _, cells := range r.Rows {
		id := core.ParseTask(cells[column(r, "task")])
		j := o.queueJobs[id.Job]
		if j == nil {
			continue
		}
		listed[id.Job] = true
		same := func(r *core.JobRow) bool {
			if id.N >= len(r.Tasks) {
				return false
			}
			t := &r.Tasks[id.N]
			return cells[state] == t.State.String() && cells[attempt] == fmt.Sprint(t.Attempt) && cells[worker] == string(t.Holder.Worker)
		}
		if !j.had(o.w.now.Add(-ReadAge), same) {
			o.fail(PointState, "entry %s lists task %s as %s, which it has not been for %s", e.id(), id, cells[state], ReadAge)
		}
	}
	o.judgeListed(e, "show tasks", listed)
}

// judgeWhy checks the answer to `why job`.
func (o *Oracle) judgeWhy(e *entry, id core.JobID, r core.CommandResult) {
	j := o.queueJobs[id]
	absent := r.Outcome == core.CommandRefused && strings.HasSuffix(r.Text, "not found")
	if absent {
		o.reads[ReadOutcome{"why", "absent"}]++
		o.unknown(e, j, "why")
		return
	}
	if !o.answeredQuery(e, "why", r) {
		return
	}
	said := map[string]string{}
	for _, cells := range r.Rows {
		said[cells[0]] = cells[1]
	}
	if said["read"] != "" {
		o.readAnswered(e, PointState, "why", "old", false)
	}
	age, ok := toldAge(said["read"])
	if !ok {
		return // it says that it has not read the job's shard yet
	}
	cells := []string{said["waiting"], said["running"], said["done"], said["other"]}
	o.judgeCells(e, j, "why", age, cells, said["state"])
}

// toldAge returns the age that an answer to `why` tells in its row "read", and ReadAge if
// it tells none. It reports false if the entry tells that it can't know the age.
func toldAge(read string) (age time.Duration, ok bool) {
	if read == "" {
		return ReadAge, true
	}
	told, _, ago := strings.Cut(read, " ago;")
	age, err := time.ParseDuration(told)
	return max(age, ReadAge), ago && err == nil
}
