package core

import "time"

// WorkerTask is the state of one task as its worker reports it.
type WorkerTask struct {
	Attempt      Attempt
	Inc          Incarnation
	Class        string
	Size         Size
	Used         Size
	Urgent       bool
	State        WorkerState
	End          End // with WorkerEnded
	Started      time.Time
	Checkpointed time.Time
	Saved        string // name of the newest checkpoint, if the worker names one
	BestEffort   bool   // see StepSpec
	LongRunning  bool   // see StepSpec
	// Target is a long-running task's tail-latency objective, TailLatency the
	// recent measurement; zero if there is none.
	Target, TailLatency time.Duration
}

// WorkerState is the state of a task at its worker.
type WorkerState string

// The states of a task at its worker.
const (
	WorkerRunning WorkerState = "running"
	WorkerPaused  WorkerState = "paused" // its lease deadline has passed
	WorkerEnded   WorkerState = "ended"
)
