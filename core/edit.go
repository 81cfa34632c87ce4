package core

// edit is one change of a task within its job's row. It names the attempt that
// it is about, so it can be applied to any later version of the row and finds
// out for itself whether it still holds.
type edit interface {
	task() int
	// apply changes the row. It reports what the edit found.
	apply(r *JobRow, p *Policy) editResult
}

// editResult says what an edit found in a row.
type editResult uint8

const (
	editApplied   editResult = iota // the row was changed
	editRedundant                   // the row already says so
	editVoid                        // the row says otherwise
)

// claimEdit gives a waiting task to a worker.
type claimEdit struct {
	n      int
	number uint32 // of the new attempt
	holder Holder
	dc     DC
	by     EntryID
}

// endEdit takes a claim back, because its attempt has ended.
type endEdit struct {
	end          End
	worker       WorkerID
	neverStarted bool // the attempt was surely never started
}

// cancelTaskEdit ends a waiting task of a cancelled job.
type cancelTaskEdit struct {
	n int
}

// createEdit puts a job into the table that is not there yet.
type createEdit struct{}

// cancelJobEdit cancels a job: its waiting tasks end, and those that run are
// stopped.
type cancelJobEdit struct{}

// wholeJob is the task of edits that concern a whole job.
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
		}
	}
	return editApplied
}

// failTaskEdit ends a waiting task that can never run.
type failTaskEdit struct {
	n      int
	reason string
}

func (ed claimEdit) task() int      { return ed.n }
func (ed endEdit) task() int        { return ed.end.Attempt.Task.N }
func (ed cancelTaskEdit) task() int { return ed.n }
func (ed failTaskEdit) task() int   { return ed.n }

func (ed claimEdit) apply(r *JobRow, _ *Policy) editResult {
	t := &r.Tasks[ed.n]
	if t.State == TaskClaimed && t.Attempt == ed.number && t.Holder == ed.holder && t.By == ed.by {
		return editRedundant
	}
	if t.State != TaskWaiting || r.Cancel || t.Attempt+1 != ed.number {
		return editVoid
	}
	t.State, t.Attempt, t.Holder, t.By = TaskClaimed, ed.number, ed.holder, ed.by
	return editApplied
}

func (ed endEdit) apply(r *JobRow, p *Policy) editResult {
	t := &r.Tasks[ed.task()]
	number := ed.end.Attempt.Number
	if t.Attempt > number || (t.Attempt == number && t.State != TaskClaimed) {
		if p.on(guardAttempt) {
			return editRedundant
		}
	} else if t.Attempt < number {
		return editVoid
	}
	t.Reason = ed.end.Reason
	if ed.end.Saved != "" {
		t.Saved = ed.end.Saved
	}
	t.State = ed.nextState(r, t, p)
	if t.State == TaskDone {
		t.Output = ed.end.Output
	}
	if t.State == TaskFailed && len(r.Spec.Steps) > 0 {
		r.Cancel = true // the job can't be done any more, so the rest of it stops
	}
	return editApplied
}

// nextState returns the task's state after the end of an attempt.
func (ed endEdit) nextState(r *JobRow, t *TaskRow, p *Policy) TaskState {
	lasting := r.Spec.Step(ed.task()).LongRunning
	switch {
	case ed.end.Kind == EndDone && lasting && !r.Cancel:
		return TaskWaiting
	case ed.end.Kind == EndDone:
		return TaskDone
	case r.Cancel && ed.end.Kind != EndLost:
		return TaskCancelled
	case ed.neverStarted:
		return TaskWaiting
	case ed.end.Kind == EndFailed && lasting:
		t.FailedOn = []WorkerID{ed.worker}
		return TaskWaiting
	case ed.end.Kind == EndFailed:
		return stateAfterFailure(r, t, ed, p)
	case ed.end.Kind == EndLost && r.Spec.Once:
		return TaskUnknown
	case ed.end.Kind == EndEvicted:
		t.Evictions++
	}
	if r.Cancel {
		return TaskCancelled
	}
	return TaskWaiting
}

// stateAfterFailure counts a failure on one more worker, and parks the task when it
// has failed on enough distinct ones for the fault to be its own.
func stateAfterFailure(r *JobRow, t *TaskRow, ed endEdit, p *Policy) TaskState {
	if r.Spec.Once {
		return TaskFailed
	}
	t.Failures++
	if most := r.Spec.Attempts; most > 0 && int(t.Failures) >= most {
		return TaskFailed
	}
	for _, w := range t.FailedOn {
		if w == ed.worker {
			return TaskWaiting
		}
	}
	t.FailedOn = append(append([]WorkerID{}, t.FailedOn...), ed.worker)
	if r.Spec.Attempts == 0 && len(t.FailedOn) >= p.ParkFailures {
		return TaskFailed
	}
	return TaskWaiting
}

func (ed cancelTaskEdit) apply(r *JobRow, _ *Policy) editResult {
	t := &r.Tasks[ed.n]
	if t.State != TaskWaiting {
		return editRedundant
	}
	t.State = TaskCancelled
	return editApplied
}

func (ed failTaskEdit) apply(r *JobRow, _ *Policy) editResult {
	t := &r.Tasks[ed.n]
	if t.State != TaskWaiting {
		return editRedundant
	}
	t.State, t.Reason = TaskFailed, ed.reason
	return editApplied
}

// copyTasks returns the row with a copy of its tasks, to apply edits to.
func (r JobRow) copyTasks() JobRow {
	r.Tasks = append([]TaskRow{}, r.Tasks...)
	return r
}
