package core

// edit is one change of a task within its job's row. It names the attempt that
// it is about, so it can be applied to any later version of the row and finds
// out for itself whether it still holds.
type edit interface {
	task() int
	// apply changes the row. It reports what the edit found.
	apply(r *JobRow, p *Policy) applied
}

// applied says what an edit found in a row.
type applied uint8

const (
	editMade applied = iota // the row was changed
	editDone                // the row already says so
	editVoid                // the row says otherwise
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
	end    End
	worker WorkerID
	never  bool // the attempt was surely never started
}

// cancelEdit ends a waiting task of a cancelled job.
type cancelEdit struct {
	n int
}

// createEdit puts a job into the table that is not there yet.
type createEdit struct{}

// stopEdit cancels a job: its waiting tasks end, and those that run are
// stopped.
type stopEdit struct{}

// jobWide is the task of edits that concern a whole job.
const jobWide = -1

func (createEdit) task() int { return jobWide }
func (stopEdit) task() int   { return jobWide }

func (createEdit) apply(r *JobRow, _ *Policy) applied {
	if r.stored {
		return editDone
	}
	r.stored = true
	return editMade
}

func (stopEdit) apply(r *JobRow, _ *Policy) applied {
	if r.Cancel || !r.Ended.IsZero() {
		return editDone
	}
	r.Cancel = true
	for i := range r.Tasks {
		if t := &r.Tasks[i]; t.State == TaskWaiting {
			t.State = TaskCancelled
		}
	}
	return editMade
}

// parkEdit ends a waiting task that can never run.
type parkEdit struct {
	n      int
	reason string
}

func (ed claimEdit) task() int  { return ed.n }
func (ed endEdit) task() int    { return ed.end.Attempt.Task.N }
func (ed cancelEdit) task() int { return ed.n }
func (ed parkEdit) task() int   { return ed.n }

func (ed claimEdit) apply(r *JobRow, _ *Policy) applied {
	t := &r.Tasks[ed.n]
	if t.State == TaskClaimed && t.Attempt == ed.number && t.Holder == ed.holder && t.By == ed.by {
		return editDone
	}
	if t.State != TaskWaiting || r.Cancel || t.Attempt+1 != ed.number {
		return editVoid
	}
	t.State, t.Attempt, t.Holder, t.By = TaskClaimed, ed.number, ed.holder, ed.by
	return editMade
}

func (ed endEdit) apply(r *JobRow, p *Policy) applied {
	t := &r.Tasks[ed.task()]
	number := ed.end.Attempt.Number
	if t.Attempt > number || (t.Attempt == number && t.State != TaskClaimed) {
		if p.on(guardAttempt) {
			return editDone
		}
	} else if t.Attempt < number {
		return editVoid
	}
	t.Reason = ed.end.Reason
	if ed.end.Saved != "" {
		t.Saved = ed.end.Saved
	}
	t.State = ed.next(r, t, p)
	if t.State == TaskDone {
		t.Output = ed.end.Output
	}
	if t.State == TaskFailed && len(r.Spec.Steps) > 0 {
		r.Cancel = true // the job can't be done any more, so the rest of it stops
	}
	return editMade
}

// next returns the task's state after the end of an attempt.
func (ed endEdit) next(r *JobRow, t *TaskRow, p *Policy) TaskState {
	lasting := r.Spec.Step(ed.task()).Lasting
	switch {
	case ed.end.Kind == EndDone && lasting && !r.Cancel:
		return TaskWaiting
	case ed.end.Kind == EndDone:
		return TaskDone
	case r.Cancel && ed.end.Kind != EndLost:
		return TaskCancelled
	case ed.never:
		return TaskWaiting
	case ed.end.Kind == EndFailed && lasting:
		t.FailedOn = []WorkerID{ed.worker}
		return TaskWaiting
	case ed.end.Kind == EndFailed:
		return failedState(r, t, ed, p)
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

// failedState counts a failure on one more worker, and parks the task when it
// has failed on enough distinct ones for the fault to be its own.
func failedState(r *JobRow, t *TaskRow, ed endEdit, p *Policy) TaskState {
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

func (ed cancelEdit) apply(r *JobRow, _ *Policy) applied {
	t := &r.Tasks[ed.n]
	if t.State != TaskWaiting {
		return editDone
	}
	t.State = TaskCancelled
	return editMade
}

func (ed parkEdit) apply(r *JobRow, _ *Policy) applied {
	t := &r.Tasks[ed.n]
	if t.State != TaskWaiting {
		return editDone
	}
	t.State, t.Reason = TaskFailed, ed.reason
	return editMade
}

// copyTasks returns the row with a copy of its tasks, to apply edits to.
func (r JobRow) copyTasks() JobRow {
	r.Tasks = append([]TaskRow{}, r.Tasks...)
	return r
}
