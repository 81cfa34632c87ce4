package core

import "time"

// Tick says that time has passed; both reducers take it. It comes no later than
// the time of the last Wake effect.
type Tick struct{}

// Leave asks a process to shut down gracefully by a deadline; both reducers take
// it. The reducer makes an Exit effect when it is done.
type Leave struct {
	Deadline time.Time
}

// Fault says how a call to another process failed.
type Fault uint8

// The kinds of faults.
const (
	FaultNone     Fault = iota
	FaultNotSent        // the call was not sent
	FaultNoAnswer       // sent, but not answered: it may or may not have taken effect
	FaultRejected       // refused for what it holds: it had no effect, and never will in this form
)
