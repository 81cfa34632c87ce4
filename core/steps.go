package core

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// MaxSteps is the largest number of steps in one job.
const MaxSteps = 64

// StepSpec is one step of a job: a number of identical tasks that may start once
// all tasks of the steps it depends on are done.
type StepSpec struct {
	Count int  `cbor:"1,keyasint"`
	Size  Size `cbor:"2,keyasint"` // declared, of each task
	// Estimate is the estimated run time of a task.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the steps that this one depends on, by number; all are earlier
	// ones.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set if the tasks write checkpoints.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// MaxPerWorker is the step's anti-affinity: the maximum number of its tasks on
	// one worker; zero for no limit.
	MaxPerWorker int `cbor:"6,keyasint,omitempty"`
	// Label is a label that the worker must have; empty for any worker.
	Label string `cbor:"7,keyasint,omitempty"`
	// DataRack is the rack that holds the tasks' data; tasks run faster there.
	DataRack Rack `cbor:"8,keyasint,omitempty"`
	// SpeculativeCopies permits speculative copies of a task.
	SpeculativeCopies bool `cbor:"9,keyasint,omitempty"`
	// LongRunning marks long-running tasks: they run until their job is cancelled,
	// and are restarted however they end.
	LongRunning bool `cbor:"10,keyasint,omitempty"`
	// BestEffort marks best-effort tasks: they run on the CPU time that other tasks
	// leave unused; their declared CPU is not reserved.
	BestEffort bool `cbor:"11,keyasint,omitempty"`
	// Image names the program that the tasks run. Tasks of one image behave alike.
	Image string `cbor:"12,keyasint,omitempty"`
	// Target is the tail-latency objective of a long-running task; zero for none.
	Target time.Duration `cbor:"13,keyasint,omitempty"`
	// DisruptionBudget is the disruption budget of a long-running step, in tasks.
	DisruptionBudget int `cbor:"14,keyasint,omitempty"`
	// Gang marks tasks that make progress only while all of them run.
	Gang bool `cbor:"15,keyasint,omitempty"`
	// SameRack is set if the tasks run slower when spread over several racks.
	SameRack bool `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the resources that are reserved for a task of the step. A
// best-effort task reserves no CPU.
func (s StepSpec) Reserved() Size { return reservedSize(s.Size, s.BestEffort) }

// bestEffortSize returns the size of a task that runs on the CPU time that other
// tasks leave unused; zero for all other tasks.
func (s StepSpec) bestEffortSize() Size {
	if !s.BestEffort {
		return Size{}
	}
	return s.Size
}

// reservedSize returns a task's size, without its CPU for a best-effort task.
func reservedSize(s Size, bestEffort bool) Size {
	if bestEffort {
		s.Millicores = 0
	}
	return s
}

// Len returns the number of tasks in the job.
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

// Step returns the step of a task. A job without steps counts as a single step
// that holds all its tasks.
func (s *JobSpec) Step(n int) StepSpec {
	if len(s.Steps) == 0 {
		return StepSpec{Count: len(s.Inputs), Size: s.Size}
	}
	i, _ := s.Locate(n)
	return s.Steps[i]
}

// hasLongRunning reports whether some step of the job is long-running.
func (s *JobSpec) hasLongRunning() bool {
	return slices.ContainsFunc(s.Steps, func(st StepSpec) bool { return st.LongRunning })
}

// input returns the input of a task.
func (s *JobSpec) input(n int) string {
	if len(s.Steps) == 0 {
		return s.Inputs[n]
	}
	return s.Input
}

// class returns the class of the step's tasks: their image, or the job's class if
// the step names no image.
func (s *JobSpec) class(st StepSpec) string { return cmp.Or(st.Image, s.Class) }

// mayPreempt reports whether tasks of the step are placed before batch tasks, and
// on capacity that batch and best-effort tasks may have to give back.
func (s *JobSpec) mayPreempt(st StepSpec) bool {
	if len(s.Steps) == 0 {
		return s.Urgent
	}
	return !st.BestEffort
}

// criticalPath returns the estimated duration of the longest chain of dependent
// steps.
func (s *JobSpec) criticalPath() time.Duration {
	return s.criticalPathBy(func(i int) time.Duration { return s.Steps[i].Estimate })
}

// criticalPathBy returns the longest sum of durations over a chain of dependent
// steps.
func (s *JobSpec) criticalPathBy(duration func(step int) time.Duration) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(s.Steps))
	for i, st := range s.Steps {
		for _, a := range st.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += duration(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// Deadline returns the time by which the job should be done by its objective.
func (r *JobRow) Deadline() time.Time {
	stretch := max(r.Spec.Stretch, 1)
	return r.Accepted.Add(r.Spec.Objective + time.Duration(stretch*float64(r.Spec.criticalPath())))
}

// dependenciesDone reports whether all steps that a task depends on are done.
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

// isStepDone reports whether all tasks of a step are done.
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

// JobState is the state of a job as its owner sees it.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"  // no task has been claimed yet
	JobRunning   JobState = "running" // some task has been claimed
	JobDone      JobState = "done"
	JobFailed    JobState = "failed" // a task has failed permanently
	JobCancelled JobState = "cancelled"
)

// State returns the state of the job.
func (r *JobRow) State() JobState {
	started, done := false, true
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State == TaskFailed {
			return JobFailed
		}
		started = started || t.Attempt > 0
		done = done && t.State == TaskDone
	}
	switch {
	case done:
		return JobDone
	case r.Cancel:
		return JobCancelled
	case started:
		return JobRunning
	}
	return JobQueued
}

// failure returns why the job has failed: the reason of its first failed task, empty if no
// task has failed.
func (r *JobRow) failure() string {
	for i := range r.Tasks {
		if t := &r.Tasks[i]; t.State == TaskFailed {
			return fmt.Sprintf("task %d: %s", i, t.Reason)
		}
	}
	return ""
}

const tooManyTasks = "the job has more than 1024 tasks"

// CheckSteps returns a description of the first error in a job with steps; empty
// if the job is valid.
func (s *JobSpec) CheckSteps() string {
	switch {
	case s.ID == "":
		return "the job has no id"
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return "the job has no steps or more than 64"
	}
	for i, st := range s.Steps {
		if st.Count > MaxStepTasks {
			return tooManyTasks // before the counts are added up
		}
		if st.Count < 1 || st.Size.Millicores < 0 || st.Size.MemoryMB < 0 || st.Size.Accelerators < 0 {
			return "a step has no tasks or a negative size"
		}
		for _, a := range st.After {
			if a < 0 || a >= i {
				return "a step depends on itself, a later step or an unknown one"
			}
		}
	}
	if s.Len() > MaxStepTasks {
		return tooManyTasks
	}
	return ""
}
