package core

import (
	"net/netip"
	"time"

	"jayloft/table"
)

// EntryEvent is something that an entry's reducer learns.
type EntryEvent interface{ entryEvent() }

// Tick says that time has passed; both reducers take it. It comes at the time
// of the last Wake effect, or earlier.
type Tick struct{}

// HeartbeatReceived is an agent's heartbeat. It is answered with a BeatReply.
type HeartbeatReceived struct {
	Token     Token
	Heartbeat Heartbeat
}

// RequestArrived is a caller's request. It is answered with an Answer.
type RequestArrived struct {
	Request Request
}

// RequestAbandoned says that a caller no longer waits for its answer.
type RequestAbandoned struct {
	ID RequestID
}

// ServeAnswered is an agent's answer to a Serve, or the failure to get one.
type ServeAnswered struct {
	Call   Token
	Answer ServeAnswer
	Fault  Fault
}

// RevokeAnswered is an agent's answer to a Revoke.
type RevokeAnswered struct {
	Call   Token
	State  RevokeState
	Answer ServeAnswer // with RevokeResult
	Fault  Fault
}

// CommitAnswered is the table's answer to a Commit.
type CommitAnswered struct {
	Token  Token
	Result table.Result
	Fault  Fault
}

// ChangesAnswered is the table's answer to a ReadChanges.
type ChangesAnswered struct {
	Token Token
	View  table.View
	Fault Fault
}

// RowsAnswered is the table's answer to a ReadRows.
type RowsAnswered struct {
	Token Token
	View  table.View
	Fault Fault
}

// StartAnswered is an agent's answer to a Start.
type StartAnswered struct {
	Token   Token
	Started bool
	Reason  Reason
	Fault   Fault
}

// SettleAnswered is an agent's answer to a Settle.
type SettleAnswered struct {
	Token Token
	State SettleState
	Fault Fault
}

// LivenessAsked is another entry's question which workers this one has heard. It
// is answered with a HearReply.
type LivenessAsked struct {
	Token   Token
	Workers []WorkerID
}

// LivenessAnswered is another entry's answer to a Hear.
type LivenessAnswered struct {
	Token Token
	Alive []WorkerID
	Fault Fault
}

// CommandAsked is an operator's command. It is answered with a CommandReply.
type CommandAsked struct {
	Token   Token
	ID      string
	Text    string // the statement as written
	Command Command
}

// Leave asks a process to stop gracefully; both reducers take it. Its end is
// an Exit effect.
type Leave struct {
	Deadline time.Time
}

func (Tick) entryEvent()              {}
func (HeartbeatReceived) entryEvent() {}
func (RequestArrived) entryEvent()    {}
func (RequestAbandoned) entryEvent()  {}
func (ServeAnswered) entryEvent()     {}
func (RevokeAnswered) entryEvent()    {}
func (CommitAnswered) entryEvent()    {}
func (ChangesAnswered) entryEvent()   {}
func (RowsAnswered) entryEvent()      {}
func (StartAnswered) entryEvent()     {}
func (SettleAnswered) entryEvent()    {}
func (LivenessAsked) entryEvent()     {}
func (LivenessAnswered) entryEvent()  {}
func (CommandAsked) entryEvent()      {}
func (Leave) entryEvent()             {}

// Fault says how a call to another process failed.
type Fault uint8

// The kinds of faults.
const (
	FaultNone     Fault = iota
	FaultNotSent        // the call never left this process
	FaultNoAnswer       // sent, no answer: it may or may not have taken effect
)

// Heartbeat is what an agent says about its VM.
type Heartbeat struct {
	Worker        WorkerID
	Inc           Incarnation
	Run           Run
	Addr          netip.AddrPort
	DC            DC
	Rack          Rack
	Sent          time.Time // agent's clock
	Capacity      Size
	Committed     Size
	Batch         Size // part of Committed that batch tasks hold
	Used          Size // measured, late
	Slots         int
	Services      []ServiceLoad
	Mix           []ClassLoad // batch tasks by class
	Running       []Attempt
	Ends          []End
	Config        uint64 // version in force at the agent
	Leaving       bool
	LeaseLapsed   bool     // there is no lease to start tasks under
	Labels        []string // of the worker
	TargetedTasks int      // tasks with a target for their tail latency
	LongRunning   int64    // thousandths of a core that lasting tasks hold
	TailLatencies []ImageTailLatency
	BestEffort    []BestEffortLoad
	Window        uint64    // counts the windows that Tails and Fillers are of
	Slowed        []Attempt // fillers that hardly run, to spare lasting tasks
	// Dead lists earlier incarnations that this one vouches are dead, as
	// asked by BeatAnswer.Prior.
	Dead []Incarnation
}

// ServiceLoad is how busy a VM's endpoint is with one service.
type ServiceLoad struct {
	Service string
	Running int
	Queued  int
	// Mean is the mean service time of late; zero if none was served.
	Mean time.Duration
}

// ClassLoad is how many batch tasks of one class run on a VM.
type ClassLoad struct {
	Class   string
	Running int
}

// ImageTailLatency is the tails of a VM's lasting tasks of one image in the last window.
type ImageTailLatency struct {
	Image       string
	Worst       float64 // the largest, as a part of its target
	Utilization float64 // the mean utilization, see package press
	Tasks       int     // that it is the mean of
}

// BestEffortLoad is what a VM's fillers of one image take of the processors at their
// speeds, weighed by how they use them (see package press), in thousandths of a
// core, smoothed over the time that tails cover.
type BestEffortLoad struct {
	Image      string
	Millicores int64
}

// ImageInterference is how hard fillers of one image press on lasting tasks of another,
// see package press.
type ImageInterference struct {
	LongRunning, BestEffort string
	Interference            float64
}

// Throttle sets the speed of a task that disturbs a service.
type Throttle struct {
	Attempt Attempt
	Percent int // of full speed
}

// HeartbeatAnswer is what an entry answers to a beat.
type HeartbeatAnswer struct {
	// Echo is the last Beat.Sent of this incarnation that the entry had
	// received before it began its last successful read of the table. Zero
	// if there is none.
	Echo      time.Time
	Fenced    bool
	Config    uint64
	Rows      []table.Row // changed configuration
	Full      bool        // Rows is the whole configuration
	Recorded  []Attempt   // ends that are known to be in the table
	Moved     []Attempt   // attempts whose claim is no longer theirs
	Entries   []netip.AddrPort
	Throttles []Throttle
	// Interference holds what is known of the VM's lasting tasks and fillers.
	Interference []ImageInterference
	// Checkpoint is the time between checkpoints of a task.
	Checkpoint time.Duration
	// Prior is another incarnation of the same worker that the entry knows
	// of. The agent vouches in its next beat that it is dead.
	Prior Incarnation
}

// Request is a caller's request.
type Request struct {
	ID         RequestID
	Service    string
	Team       Team
	Body       []byte
	Deadline   time.Time // zero: the service's timeout from now
	Idempotent bool      // by the caller's word; the service's row may say so too
}

// ServeAnswer is an agent's answer to a request.
type ServeAnswer struct {
	ID      RequestID
	Outcome Outcome
	Reason  Reason
	Text    string // of a failure
	Body    []byte
	Wait    time.Duration // expected until a slot is free
	Queued  int
	Running int
}

// RevokeState is what an agent says of a request taken back.
type RevokeState string

// The states of a revoked request.
const (
	RevokeNever   RevokeState = "never"   // not run and never will be
	RevokeRunning RevokeState = "running" // still running; ask again
	RevokeResult  RevokeState = "result"  // has run; here is the answer
	RevokeUnknown RevokeState = "unknown" // the agent has forgotten
)

// SettleState is what an agent says of an attempt.
type SettleState string

// The states of an attempt asked about.
const (
	SettleRunning SettleState = "running"
	SettleEnded   SettleState = "ended"   // its end comes with the beats
	SettleNever   SettleState = "never"   // not started and never will be
	SettleForeign SettleState = "foreign" // of another incarnation
)

// Order is an order to start an attempt.
type Order struct {
	Attempt Attempt
	Holder  Holder
	Echo    time.Time // agent's clock, see BeatAnswer.Echo
	Team    Team
	Class   string
	Size    Size
	Urgent  bool
	Input   string
	// Step and Index place the task within its job.
	Step, Index int
	Saved       string        // the checkpoint to go on from; empty for none
	BestEffort  bool          // see StepSpec
	LongRunning bool          // see StepSpec
	Target      time.Duration // see StepSpec
}

// Firm returns what the task takes for itself.
func (o Order) Firm() Size { return reservedSize(o.Size, o.BestEffort) }

// AgentEvent is something that an agent's reducer learns.
type AgentEvent interface{ agentEvent() }

// Inspected is the worker's account of itself.
type Inspected struct {
	Fault    Fault
	Boot     string
	Capacity Size
	Slots    int
	Services []string
	Tasks    []WorkerTask
	// Draining says that the worker will leave and wants no new work.
	Draining bool
	// Rack and Labels are the worker's own word; an empty Rack leaves the one
	// of the settings.
	Rack   Rack
	Labels []string
}

// WorkerTask is one task as its worker sees it.
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
	BestEffort   bool // see StepSpec
	LongRunning  bool // see StepSpec
	// Target and TailLatency are the objective of a lasting task's tail latency and
	// what was measured of late; zero where there is none.
	Target, TailLatency time.Duration
}

// WorkerState is the state of a task at its worker.
type WorkerState string

// The states of a task at its worker.
const (
	WorkerRunning WorkerState = "running"
	WorkerPaused  WorkerState = "paused" // its deadline has passed
	WorkerEnded   WorkerState = "ended"
)

// WorkerLeaving says that the worker has announced that it will leave.
type WorkerLeaving struct{}

// WorkerGone says that the worker has left: nothing runs there any more.
type WorkerGone struct{}

// EntriesRead is the answer to a ReadEntries: the rows of entries.
type EntriesRead struct {
	View  table.View
	Fault Fault
}

// HeartbeatAnswered is an entry's answer to a beat. Sent is the beat's own.
type HeartbeatAnswered struct {
	Entry  netip.AddrPort
	Sent   time.Time
	Answer HeartbeatAnswer
	Fault  Fault
}

// StartAsked is an entry's order. It is answered with a StartReply.
type StartAsked struct {
	Token Token
	Order Order
}

// StopAsked is an entry's order to stop an attempt.
type StopAsked struct {
	Attempt Attempt
	Inc     Incarnation
	Kind    EndKind // EndEvicted or EndCancelled
	Reason  string
}

// SettleAsked asks about an attempt. It is answered with a SettleReply.
type SettleAsked struct {
	Token   Token
	Attempt Attempt
	Inc     Incarnation
}

// ServeAsked is a request from an entry. It is answered with a ServeReply.
type ServeAsked struct {
	Token   Token
	Call    string // unique name of this try, to recognise a second copy
	Inc     Incarnation
	Run     Run
	Request Request // its deadline on the agent's clock
}

// RevokeAsked takes a request back. It is answered with a RevokeReply.
type RevokeAsked struct {
	Token Token
	ID    RequestID
	Run   Run
}

// Launched is the worker's answer to a Launch.
type Launched struct {
	Attempt Attempt
	Started bool
	Reason  string
	// Retryable says that the refusal was no fault of the task's: it may be tried
	// again.
	Retryable bool
	Fault     Fault
}

// Controlled is the worker's answer to a Control.
type Controlled struct {
	Attempt Attempt
	Verb    Verb
	Done    bool
	Fault   Fault
}

// Called is the endpoint's answer to a Call.
type Called struct {
	ID   RequestID
	OK   bool
	Body []byte
	Text string
	// Invalid says that the request itself is at fault.
	Invalid bool
	Fault   Fault
}

func (Tick) agentEvent()              {}
func (Inspected) agentEvent()         {}
func (WorkerLeaving) agentEvent()     {}
func (WorkerGone) agentEvent()        {}
func (EntriesRead) agentEvent()       {}
func (HeartbeatAnswered) agentEvent() {}
func (StartAsked) agentEvent()        {}
func (StopAsked) agentEvent()         {}
func (SettleAsked) agentEvent()       {}
func (ServeAsked) agentEvent()        {}
func (RevokeAsked) agentEvent()       {}
func (Launched) agentEvent()          {}
func (Controlled) agentEvent()        {}
func (Called) agentEvent()            {}
func (Leave) agentEvent()             {}
