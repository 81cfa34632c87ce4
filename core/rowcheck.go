package core

import (
	"errors"
	"fmt"
	"math"
)

// The table's rows may be written by others. A row that decodes but that no process of
// jayloft writes is as malformed as one that does not decode: its numbers are used as
// indices and sums.

// checked is a record whose fields depend on each other or on its key.
type checked interface {
	check(key string) error
}

// check checks that the row holds a job that could have been accepted, with its tasks.
func (r JobRow) check(key string) error {
	switch {
	case key != keyJob(r.Spec.ID):
		return errors.New("holds another job")
	case len(r.Spec.Steps) > 0 && r.Spec.CheckSteps() != "":
		return errors.New(r.Spec.CheckSteps())
	case len(r.Tasks) != r.Spec.Len():
		return fmt.Errorf("%d tasks, want %d", len(r.Tasks), r.Spec.Len())
	}
	for i := range r.Tasks {
		if err := r.Tasks[i].check(); err != nil {
			return fmt.Errorf("task %d: %w", i, err)
		}
	}
	return nil
}

// check checks that the task has a known state and that another attempt can be numbered.
func (t *TaskRow) check() error {
	switch {
	case t.State > TaskUnknown:
		return fmt.Errorf("unknown %s", t.State)
	case t.Attempt == math.MaxUint32:
		return errors.New("no more attempts")
	case t.State == TaskClaimed && (t.Attempt == 0 || t.Holder.Worker == "" || t.Holder.Inc == ""):
		return errors.New("a claim without a holder")
	}
	return nil
}
