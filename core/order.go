package core

import (
	"net/netip"
	"time"
)

// SettleState is an agent's definite answer about an attempt.
type SettleState string

// The states of an attempt.
const (
	SettleRunning SettleState = "running"
	SettleEnded   SettleState = "ended"   // its end is reported by heartbeats
	SettleNever   SettleState = "never"   // not started and never will be
	SettleForeign SettleState = "foreign" // of another incarnation
)

// Order is an order of an entry to start an attempt.
type Order struct {
	Attempt Attempt
	Holder  Holder
	Echo    time.Time // on the agent's clock, see HeartbeatAnswer.Echo
	Team    Team
	Class   string
	Size    Size
	Urgent  bool
	Input   string
	// Step and Index are the positions of the step in the job and of the task in
	// the step.
	Step, Index int
	Saved       string        // the checkpoint to resume from; empty for none
	BestEffort  bool          // see StepSpec
	LongRunning bool          // see StepSpec
	Target      time.Duration // see StepSpec
	// Isolated tells the agent to run the task apart from those of other jobs, since it may
	// crash its worker.
	Isolated bool
	// By is the address of the entry that orders the start. Its agent reports changes of
	// the task there first; to others, an invalid address, a little later.
	By netip.AddrPort
}

// Reserved returns the size that is reserved for the task: its declared size, without
// processors if it is best-effort.
func (o Order) Reserved() Size { return reservedSize(o.Size, o.BestEffort) }
