package core

import (
	"fmt"
	"slices"
	"strings"

	"jayloft/crash"
)

// edit is a change to a job's row, mostly to one of its tasks. It names the attempt
// that it refers to, so it can be applied to any later version of the row and
// detects by itself whether it is still valid.
type edit interface {
	task() int
	// apply changes the row and reports the result.
	apply(r *JobRow, p *Policy) editResult
}

// editResult is the result of applying an edit to a row.
type editResult uint8

const (
	editApplied   editResult = iota // the row was changed
	editRedundant                   // the row already holds the change or a later one
	editVoid                        // the row rules the change out
)

// claimEdit assigns a waiting task to a worker.
type claimEdit struct {
	n      int
	number uint32 // of the new attempt
	holder Holder
	dc     DC
	by     EntryID
	// crashes is the task's record when the claim was decided: whether the attempt runs apart
	// from other jobs was decided by it.
	crashes crash.Record
}

// endEdit releases a claim because its attempt has ended.
type endEdit struct {
	end          End
	worker       WorkerID
	neverStarted bool // the attempt is known never to have started
}

// cancelTaskEdit ends a waiting task of a cancelled job.
type cancelTaskEdit struct {
	n int
}

// createEdit stores a new job in the table.
type createEdit struct{}

// cancelJobEdit cancels a job: its waiting tasks are cancelled; its running tasks
// are stopped once the edit is stored.
type cancelJobEdit struct{}

// wholeJob is the task number of edits that concern a whole job.
const wholeJob = -1

func (createEdit) task() int    { return wholeJob }
func (cancelJobEdit) task() int { return wholeJob }

func (createEdit) apply(r *JobRow, _ *Policy) editResult {
	if r.stored {
		return editRedundant
	}
	r.stored = true
	return editApplied
}

func (cancelJobEdit) apply(r *JobRow, _ *Policy) editResult {
	if r.Cancel || !r.Ended.IsZero() {
		return editRedundant
	}
	r.Cancel = true
	for i := range r.Tasks {
		if t := &r.Tasks[i]; t.State == TaskWaiting {
			t.State = TaskCancelled
			t.release()
		}
	}
	return editApplied
}

// failTaskEdit fails a waiting task that can never run.
type failTaskEdit struct {
	n      int
	reason string
}

func (ed claimEdit) task() int      { return ed.n }
func (ed endEdit) task() int        { return ed.end.Attempt.Task.N }
func (ed cancelTaskEdit) task() int { return ed.n }
func (ed failTaskEdit) task() int   { return ed.n }

func (ed claimEdit) apply(r *JobRow, p *Policy) editResult {
	t := &r.Tasks[ed.n]
	if t.State == TaskClaimed && t.Attempt == ed.number && t.Holder == ed.holder && t.By == ed.by {
		return editRedundant
	}
	if t.State != TaskWaiting || r.Cancel || t.Attempt+1 != ed.number || !ed.isAllowed(r, p) {
		return editVoid
	}
	t.State, t.Attempt, t.Holder, t.By = TaskClaimed, ed.number, ed.holder, ed.by
	return editApplied
}

// isAllowed reports whether what the claim was decided by beyond the task's own state holds in
// the row: the steps before it, the bound on the step's tasks per worker, and the task's
// crashes. Another home may have written the row since.
func (ed claimEdit) isAllowed(r *JobRow, p *Policy) bool {
	if !p.on(guardRow) {
		return true
	}
	bound := r.Spec.Step(ed.n).MaxPerWorker
	return r.Tasks[ed.n].Crashes == ed.crashes &&
		(!p.on(guardSteps) || r.dependenciesDone(ed.n)) &&
		(bound == 0 || r.claimsOn(ed.holder.Worker, ed.n) < bound)
}

// claimsOn returns the number of tasks of a task's step that are claimed for the worker.
func (r *JobRow) claimsOn(id WorkerID, n int) int {
	if len(r.Spec.Steps) == 0 {
		return 0
	}
	step, index := r.Spec.Locate(n)
	first := n - index
	held := 0
	for _, t := range r.Tasks[first : first+r.Spec.Steps[step].Count] {
		if t.State == TaskClaimed && t.Holder.Worker == id {
			held++
		}
	}
	return held
}

func (ed endEdit) apply(r *JobRow, p *Policy) editResult {
	t := &r.Tasks[ed.task()]
	number := ed.end.Attempt.Number
	if t.isPast(number) {
		if p.on(guardAttempt) {
			return ed.applyLate(r, t)
		}
	} else if t.Attempt < number {
		return editVoid
	}
	t.Reason = clipReason(ed.end.Reason)
	if ed.end.Kind == EndCrashed {
		t.recordCrash(ed)
	}
	if ed.end.Saved != "" {
		t.Saved = ed.end.Saved
	}
	r.Started = r.Started || ed.end.Started
	t.State = ed.nextState(r, t, p)
	if t.State == TaskDone {
		t.Output = ed.end.Output
	}
	ed.giveUp(r, t)
	t.release()
	return editApplied
}

// isPast reports whether an attempt no longer holds the claim of the task.
func (t *TaskRow) isPast(number uint32) bool {
	return t.Attempt > number || t.Attempt == number && t.State != TaskClaimed
}

// lacksCrash reports whether the task may run again and its record lacks the crash that has
// ended an attempt. Such an attempt may have been released before its agent could report
// the crash.
func (t *TaskRow) lacksCrash(end End) bool {
	return end.Kind == EndCrashed && !t.State.Final() && !slices.Contains(t.CrashedIn, end.Attempt.Number)
}

// lacksCompletion reports whether a task waits to run again though the end says that its
// last attempt is done. Its agent may have reported it as lost before it learnt that.
func (r *JobRow) lacksCompletion(end End) bool {
	n := end.Attempt.Task.N
	t := &r.Tasks[n]
	return end.Kind == EndDone && t.State == TaskWaiting && t.Attempt == end.Attempt.Number && !r.Spec.Step(n).LongRunning
}

// isOver reports whether an attempt no longer holds the claim of its task, and its end changes
// nothing any more.
func (r *JobRow) isOver(end End) bool {
	t := &r.Tasks[end.Attempt.Task.N]
	return t.isPast(end.Attempt.Number) && !t.lacksCrash(end) && !r.lacksCompletion(end)
}

// applyLate applies the end of an attempt that no longer holds the claim: only a crash, and
// the completion of a task that has not been started again, still count.
func (ed endEdit) applyLate(r *JobRow, t *TaskRow) editResult {
	if r.lacksCompletion(ed.end) {
		t.State, t.Reason, t.Output = TaskDone, clipReason(ed.end.Reason), ed.end.Output
		r.Started = true
		t.release()
		return editApplied
	}
	if !t.lacksCrash(ed.end) {
		return editRedundant
	}
	t.recordCrash(ed)
	ed.giveUp(r, t)
	return editApplied
}

// giveUp fails a waiting task that crashes workers, and cancels the rest of a job that can no
// longer succeed.
func (ed endEdit) giveUp(r *JobRow, t *TaskRow) {
	if t.State == TaskWaiting && t.Crashes.Verdict() == crash.GiveUp {
		t.State = TaskFailed
		t.Reason = clipReason(t.crashReason())
	}
	if t.State == TaskFailed {
		r.cancelRest()
	}
}

// cancelRest cancels what is left of a job with steps, one of whose tasks has failed for good:
// the steps after it would wait for ever.
func (r *JobRow) cancelRest() { r.Cancel = r.Cancel || len(r.Spec.Steps) > 0 }

// nextState returns the task's state after the end of an attempt.
func (ed endEdit) nextState(r *JobRow, t *TaskRow, p *Policy) TaskState {
	longRunning := r.Spec.Step(ed.task()).LongRunning
	switch {
	case ed.end.Kind == EndDone && longRunning && !r.Cancel:
		return TaskWaiting
	case ed.end.Kind == EndDone:
		return TaskDone
	case r.Cancel && ed.end.Kind != EndLost:
		return TaskCancelled
	case ed.neverStarted:
		return TaskWaiting
	case ed.end.Kind == EndFailed && longRunning:
		t.FailedOn = []WorkerID{ed.worker}
		return TaskWaiting
	case ed.end.Kind == EndFailed:
		return stateAfterFailure(r, t, ed, p)
	case (ed.end.Kind == EndLost || ed.end.Kind == EndCrashed) && r.Spec.Once:
		return TaskUnknown
	case ed.end.Kind == EndEvicted:
		t.Evictions++
	}
	if r.Cancel {
		return TaskCancelled
	}
	return TaskWaiting
}

// maxCrashesListed bounds TaskRow.CrashedOn and CrashedIn.
const maxCrashesListed = 8

// recordCrash adds a crash to the task's record. Each attempt ends once, so it counts once.
func (t *TaskRow) recordCrash(ed endEdit) {
	t.Crashes = t.Crashes.Add(ed.end.Crash)
	t.CrashedOn = appendLast(t.CrashedOn, ed.worker)
	t.CrashedIn = appendLast(t.CrashedIn, ed.end.Attempt.Number)
}

// appendLast returns a copy of the list with x appended, of at most maxCrashesListed.
func appendLast[T any](list []T, x T) []T {
	list = append(slices.Clone(list), x)
	return list[max(len(list)-maxCrashesListed, 0):]
}

// crashReason says why a task that crashes workers was given up.
func (t *TaskRow) crashReason() string {
	return fmt.Sprintf("%d workers crashed as they ran it, the last ones: %s", t.Crashes.Total, joinWorkers(t.CrashedOn))
}

// joinWorkers returns the ids in one line.
func joinWorkers(ids []WorkerID) string { return strings.Join(workerNames(ids), ", ") }

// stateAfterFailure counts a failure. The task fails for good after the job's
// maximum number of attempts or, if the job sets none, once it has failed on so many
// distinct workers that the fault must be its own, or several times as often on fewer.
func stateAfterFailure(r *JobRow, t *TaskRow, ed endEdit, p *Policy) TaskState {
	if r.Spec.Once {
		return TaskFailed
	}
	t.Failures++
	if limit := r.Spec.Attempts; limit > 0 && int(t.Failures) >= limit {
		return TaskFailed
	}
	t.noteFailedOn(ed.worker, max(maxFailedOn, p.ParkFailures))
	if r.Spec.Attempts == 0 && (len(t.FailedOn) >= p.ParkFailures || int(t.Failures) >= parkingFactor*p.ParkFailures) {
		return TaskFailed
	}
	return TaskWaiting
}

// parkingFactor times Policy.ParkFailures is how often a task may fail on fewer workers.
const parkingFactor = 4

func (ed cancelTaskEdit) apply(r *JobRow, _ *Policy) editResult {
	t := &r.Tasks[ed.n]
	if t.State != TaskWaiting {
		return editRedundant
	}
	t.State = TaskCancelled
	t.release()
	return editApplied
}

func (ed failTaskEdit) apply(r *JobRow, _ *Policy) editResult {
	t := &r.Tasks[ed.n]
	if t.State != TaskWaiting {
		return editRedundant
	}
	t.State, t.Reason = TaskFailed, ed.reason
	r.cancelRest()
	return editApplied
}

// copyTasks returns the row with its own copy of the tasks, to which edits may be
// applied.
func (r JobRow) copyTasks() JobRow {
	r.Tasks = append([]TaskRow{}, r.Tasks...)
	return r
}
