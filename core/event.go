package core

import (
	"net/netip"
	"time"

	"jayloft/table"
)

// EntryEvent is an input of an entry's reducer.
type EntryEvent interface{ entryEvent() }

// Tick says that time has passed; both reducers take it. It comes no later than
// the time of the last Wake effect.
type Tick struct{}

// HeartbeatReceived is an agent's heartbeat. It is answered with a BeatReply.
type HeartbeatReceived struct {
	Token     Token
	Heartbeat Heartbeat
}

// RequestArrived is a request of a caller. It is answered with an Answer.
type RequestArrived struct {
	Request Request
}

// RequestAbandoned says that a caller no longer waits for its answer.
type RequestAbandoned struct {
	ID RequestID
}

// ServeAnswered is an agent's answer to a Serve, or the fault that prevented one.
type ServeAnswered struct {
	Call   Token
	Answer ServeAnswer
	Fault  Fault
}

// RevokeAnswered is an agent's answer to a Revoke, or the fault that prevented
// one.
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

// LivenessAsked is a query of another entry: from which of some workers this one
// receives heartbeats. It is answered with a LivenessReply.
type LivenessAsked struct {
	Token   Token
	Workers []WorkerID
}

// LivenessAnswered is another entry's answer to a QueryLiveness.
type LivenessAnswered struct {
	Token Token
	Alive []WorkerID // those of them that the other entry receives heartbeats from
	Fault Fault
}

// CommandAsked is an operator's command. It is answered with a CommandReply.
type CommandAsked struct {
	Token   Token
	ID      string
	Text    string // the statement as written
	Command Command
}

// Leave asks a process to shut down gracefully by a deadline; both reducers take
// it. The reducer makes an Exit effect when it is done.
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
	FaultNotSent        // the call was not sent
	FaultNoAnswer       // sent, but not answered: it may or may not have taken effect
)

// Heartbeat is an agent's report of the state of its VM.
type Heartbeat struct {
	Worker        WorkerID
	Inc           Incarnation
	Run           Run
	Addr          netip.AddrPort
	DC            DC
	Rack          Rack
	Sent          time.Time // on the agent's clock
	Capacity      Size
	Committed     Size
	Preemptible   Size // part of Committed that urgent tasks may preempt
	Used          Size // measured; lags behind
	Slots         int
	Services      []ServiceLoad
	ClassLoads    []ClassLoad // running batch tasks, by class
	Running       []Attempt
	Ends          []End
	Config        uint64 // table version of the configuration in force at the agent
	Leaving       bool
	LeaseLapsed   bool     // the agent holds no valid lease to start tasks under
	Labels        []string // of the worker
	TargetedTasks int      // number of tasks with a tail-latency target
	LongRunning   int64    // millicores declared by long-running tasks
	TailLatencies []ImageTailLatency
	BestEffort    []BestEffortLoad
	Window        uint64    // number of the window that TailLatencies and BestEffort cover
	Slowed        []Attempt // best-effort tasks throttled so far that they make little progress
	// Dead lists earlier incarnations that the agent confirms to be dead, as asked
	// by HeartbeatAnswer.Prior.
	Dead []Incarnation
}

// ServiceLoad is the load of one service on a VM's endpoint.
type ServiceLoad struct {
	Service string
	Running int
	Queued  int
	// Mean is the recent mean service time; zero if no request was served.
	Mean time.Duration
}

// ClassLoad is the number of running batch tasks of one class on a VM.
type ClassLoad struct {
	Class   string
	Running int
}

// ImageTailLatency summarises the tail latencies of a VM's long-running tasks of
// one image in the last window.
type ImageTailLatency struct {
	Image       string
	Worst       float64 // the largest, as a fraction of its target
	Utilization float64 // the mean over Tasks, estimated from the tail latencies; see package interf
	Tasks       int     // number of tasks measured
}

// BestEffortLoad is the CPU, in millicores, that a VM's best-effort tasks of one
// image may use at their present throttling, weighted by how much of it they do
// use (see package interf). It is smoothed over the windows that the tail latencies
// cover.
type BestEffortLoad struct {
	Image      string
	Millicores int64
}

// ImageInterference is the interference of best-effort tasks of one image with
// long-running tasks of another, see package interf.
type ImageInterference struct {
	LongRunning, BestEffort string
	Interference            float64
}

// Throttle sets the speed of a task that interferes with a service.
type Throttle struct {
	Attempt Attempt
	Percent int // of full speed
}

// HeartbeatAnswer is an entry's answer to a heartbeat.
type HeartbeatAnswer struct {
	// Echo is the latest Heartbeat.Sent of this incarnation that the entry had
	// received before it began its last successful read of the table. Zero if
	// there is none. Leases and permits count from it.
	Echo      time.Time
	Fenced    bool
	Config    uint64
	Rows      []table.Row // changed configuration
	Full      bool        // Rows is the whole configuration
	Recorded  []Attempt   // attempts whose ends the table holds
	Moved     []Attempt   // attempts that no longer hold the claim of their task
	Entries   []netip.AddrPort
	Throttles []Throttle
	// Interference holds the estimates for the VM's pairs of long-running and
	// best-effort images.
	Interference []ImageInterference
	// Checkpoint is the interval between a task's checkpoints; zero leaves it
	// unchanged.
	Checkpoint time.Duration
	// Prior is another incarnation of the same worker that the entry knows of. If
	// it is dead, the agent confirms that in its next heartbeat.
	Prior Incarnation
}

// Request is a request of a caller to a service.
type Request struct {
	ID         RequestID
	Service    string
	Team       Team
	Body       []byte
	Deadline   time.Time // zero means now plus the timeout of the service
	Idempotent bool      // declared by the caller; the service's row may declare it too
}

// ServeAnswer is an agent's answer to a request.
type ServeAnswer struct {
	ID      RequestID
	Outcome Outcome
	Reason  Reason
	Text    string // with OutcomeFailed
	Body    []byte
	Wait    time.Duration // expected time until a slot is free
	Queued  int
	Running int
}

// RevokeState is an agent's answer about a revoked request.
type RevokeState string

// The states of a revoked request.
const (
	RevokeNever   RevokeState = "never"   // has not run and never will
	RevokeRunning RevokeState = "running" // still running; ask again
	RevokeResult  RevokeState = "result"  // has run; the answer comes with it
	RevokeUnknown RevokeState = "unknown" // the agent has no record of it and may have run it
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
}

// Reserved returns the size that is reserved for the task: its declared size, without
// processors if it is best-effort.
func (o Order) Reserved() Size { return reservedSize(o.Size, o.BestEffort) }

// AgentEvent is an input of an agent's reducer.
type AgentEvent interface{ agentEvent() }

// Inspected is the answer to an Inspect: the state of the worker and its tasks.
type Inspected struct {
	Fault    Fault
	Boot     string
	Capacity Size
	Slots    int
	Services []string
	Tasks    []WorkerTask
	// Draining says that the worker will leave and accepts no new work.
	Draining bool
	// Rack and Labels are as the worker reports them. If Rack is empty, that of
	// the settings applies.
	Rack   Rack
	Labels []string
}

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
	BestEffort   bool // see StepSpec
	LongRunning  bool // see StepSpec
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

// WorkerLeaving says that the worker has announced its departure.
type WorkerLeaving struct{}

// WorkerGone says that the worker has left and runs no tasks any more.
type WorkerGone struct{}

// EntriesRead is the answer to a ReadEntries: the entries' rows of the table.
type EntriesRead struct {
	View  table.View
	Fault Fault
}

// HeartbeatAnswered is an entry's answer to a heartbeat. Sent is Heartbeat.Sent of
// the answered one.
type HeartbeatAnswered struct {
	Entry  netip.AddrPort
	Sent   time.Time
	Answer HeartbeatAnswer
	Fault  Fault
}

// StartAsked is an entry's order to start an attempt. It is answered with a
// StartReply.
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

// SettleAsked asks for the definite state of an attempt. It is answered with a
// SettleReply.
type SettleAsked struct {
	Token   Token
	Attempt Attempt
	Inc     Incarnation
}

// ServeAsked is a request that an entry sends. It is answered with a ServeReply.
type ServeAsked struct {
	Token   Token
	Call    string // unique name of this try, to detect a duplicate delivery
	Inc     Incarnation
	Run     Run
	Request Request // its deadline is on the agent's clock
}

// RevokeAsked revokes a request. It is answered with a RevokeReply.
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
	// Retryable says that the task was not at fault for the refusal and may be
	// tried again.
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
	// Invalid says that the request itself was rejected as invalid.
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
