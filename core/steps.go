package core

import (
	"cmp"
	"slices"
	"time"
)

// MaxSteps is the largest number of steps in one job.
const MaxSteps = 64

// StepSpec is one step of a job: a number of equal tasks that start once the
// steps it depends on have ended.
type StepSpec struct {
	Count int  `cbor:"1,keyasint"`
	Size  Size `cbor:"2,keyasint"` // of each task, declared
	// Estimate is roughly how long a task runs.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps, by number, whose tasks must all be done.
	After []int `cbor:"4,keyasint,omitempty"`
	// Saves says that the tasks write checkpoints.
	Saves bool `cbor:"5,keyasint,omitempty"`
	// PerWorker is the most tasks of the step on one worker, its
	// anti-affinity; zero sets no limit.
	PerWorker int `cbor:"6,keyasint,omitempty"`
	// Label is one that the worker must have; empty for any.
	Label string `cbor:"7,keyasint,omitempty"`
	// DataRack is where the tasks' data is; tasks run faster there.
	DataRack Rack `cbor:"8,keyasint,omitempty"`
	// Copies says that speculative copies of a task may run.
	Copies bool `cbor:"9,keyasint,omitempty"`
	// Lasting tasks run until their job is cancelled, and start anew however
	// they end.
	Lasting bool `cbor:"10,keyasint,omitempty"`
	// Filler tasks take the processor time that others leave; their declared
	// processors are not reserved.
	Filler bool `cbor:"11,keyasint,omitempty"`
	// Image names what the tasks run. Tasks of one image behave alike.
	Image string `cbor:"12,keyasint,omitempty"`
	// Target is the objective of a lasting task's own tail latency.
	Target time.Duration `cbor:"13,keyasint,omitempty"`
	// DisruptionBudget is the disruption budget of a lasting step, in tasks.
	DisruptionBudget int `cbor:"14,keyasint,omitempty"`
	// Gang tasks work only while all of them run.
	Gang bool `cbor:"15,keyasint,omitempty"`
	// SameRack says that the tasks run slower on more than one rack.
	SameRack bool `cbor:"16,keyasint,omitempty"`
}

// Reserved returns what a task of the step takes for itself. What a filler uses of
// the processors is only what others leave.
func (s StepSpec) Reserved() Size { return reservedSize(s.Size, s.Filler) }

// bestEffortSize returns what a task of the step takes of the processors that other tasks
// leave unused.
func (s StepSpec) bestEffortSize() Size {
	if !s.Filler {
		return Size{}
	}
	return s.Size
}

func reservedSize(s Size, filler bool) Size {
	if filler {
		s.Millicores = 0
	}
	return s
}

// Len returns the number of the job's tasks.
func (s *JobSpec) Len() int {
	if len(s.Steps) == 0 {
		return len(s.Inputs)
	}
	n := 0
	for _, st := range s.Steps {
		n += st.Count
	}
	return n
}

// Locate returns the step of a task and its index within the step.
func (s *JobSpec) Locate(n int) (step, index int) {
	for i, st := range s.Steps {
		if n < st.Count {
			return i, n
		}
		n -= st.Count
	}
	return 0, n
}

// TaskNumber returns the number of the task at an index of a step. It reports
// false if there is no such task.
func (s *JobSpec) TaskNumber(step, index int) (n int, ok bool) {
	if step < 0 || step >= len(s.Steps) || index < 0 || index >= s.Steps[step].Count {
		return 0, false
	}
	for _, st := range s.Steps[:step] {
		n += st.Count
	}
	return n + index, true
}

// Step returns the step that a task belongs to. A job without steps is one
// step of all its tasks.
func (s *JobSpec) Step(n int) StepSpec {
	if len(s.Steps) == 0 {
		return StepSpec{Count: len(s.Inputs), Size: s.Size}
	}
	i, _ := s.Locate(n)
	return s.Steps[i]
}

// hasLongRunning reports whether some step of the job hasLongRunning.
func (s *JobSpec) hasLongRunning() bool {
	return slices.ContainsFunc(s.Steps, func(st StepSpec) bool { return st.Lasting })
}

// input returns what a task is given to work on.
func (s *JobSpec) input(n int) string {
	if len(s.Steps) == 0 {
		return s.Inputs[n]
	}
	return s.Input
}

// class returns what tells tasks of the step apart from others: what they run,
// where that is known.
func (s *JobSpec) class(st StepSpec) string { return cmp.Or(st.Image, s.Class) }

// mayPreempt returns whether tasks of the step are placed before batch work, on the
// room that batch work and fillers may have to give back.
func (s *JobSpec) mayPreempt(st StepSpec) bool {
	if len(s.Steps) == 0 {
		return s.Urgent
	}
	return !st.Filler
}

// criticalPath returns the longest time that steps which wait for each other take by
// their estimates.
func (s *JobSpec) criticalPath() time.Duration {
	return s.criticalPathBy(func(i int) time.Duration { return s.Steps[i].Estimate })
}

// criticalPathBy returns the longest sum over steps that wait for each other.
func (s *JobSpec) criticalPathBy(long func(step int) time.Duration) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(s.Steps))
	for i, st := range s.Steps {
		for _, a := range st.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += long(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// remainingTime returns how long the rest of the job takes by its estimates, if all of it
// starts as soon as it can.
func (r *JobRow) remainingTime() time.Duration {
	return r.Spec.criticalPathBy(func(i int) time.Duration {
		if r.isStepDone(i) {
			return 0
		}
		return r.Spec.Steps[i].Estimate
	})
}

// Deadline returns when the job should have ended by its objective.
func (r *JobRow) Deadline() time.Time {
	stretch := max(r.Spec.Stretch, 1)
	return r.Accepted.Add(r.Spec.Objective + time.Duration(stretch*float64(r.Spec.criticalPath())))
}

// dependenciesDone reports whether all steps that a task depends on have ended.
func (r *JobRow) dependenciesDone(n int) bool {
	if len(r.Spec.Steps) == 0 {
		return true
	}
	for _, a := range r.Spec.Step(n).After {
		if !r.isStepDone(a) {
			return false
		}
	}
	return true
}

func (r *JobRow) isStepDone(step int) bool {
	first := 0
	for _, st := range r.Spec.Steps[:step] {
		first += st.Count
	}
	for _, t := range r.Tasks[first : first+r.Spec.Steps[step].Count] {
		if t.State != TaskDone {
			return false
		}
	}
	return true
}

// JobState is where a job stands, as its owner sees it.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"  // no task has been claimed yet
	JobRunning   JobState = "running" // some task has been claimed
	JobDone      JobState = "done"
	JobFailed    JobState = "failed" // a task failed for good
	JobCancelled JobState = "cancelled"
)

// State returns where the job stands.
func (r *JobRow) State() JobState {
	begun, done := false, true
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State == TaskFailed {
			return JobFailed
		}
		begun = begun || t.Attempt > 0
		done = done && t.State == TaskDone
	}
	switch {
	case done:
		return JobDone
	case r.Cancel:
		return JobCancelled
	case begun:
		return JobRunning
	}
	return JobQueued
}

// CheckSteps reports the first thing that is wrong with a job of steps; empty
// if nothing is.
func (s *JobSpec) CheckSteps() string {
	switch {
	case s.ID == "":
		return "a job needs an id"
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return "a job has 1 to 64 steps"
	}
	for i, st := range s.Steps {
		if st.Count < 1 || st.Size.Millicores < 0 || st.Size.MemoryMB < 0 || st.Size.Accelerators < 0 {
			return "a step needs a task, and sizes that are not negative"
		}
		for _, a := range st.After {
			if a < 0 || a >= i {
				return "a step may only depend on earlier ones"
			}
		}
	}
	if s.Len() > MaxStepTasks {
		return "the job has too many tasks"
	}
	return ""
}
