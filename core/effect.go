package core

import (
	"net/netip"
	"time"

	"jayloft/table"
)

// EntryEffect is an action that an entry's reducer asks for.
type EntryEffect interface{ entryEffect() }

// BeatReply answers a HeartbeatReceived.
type BeatReply struct {
	Token  Token
	Answer HeartbeatAnswer
}

// Serve sends a request to an agent. It comes back as ServeAnswered.
type Serve struct {
	Call    Token
	Name    string // unique name of this try, see ServeAsked.Call
	Worker  WorkerID
	Addr    netip.AddrPort
	Inc     Incarnation
	Run     Run
	Request Request
}

// Revoke revokes a request at an agent. It comes back as RevokeAnswered.
type Revoke struct {
	Call     Token
	Addr     netip.AddrPort
	Run      Run
	ID       RequestID
	Deadline time.Time // after which the answer is of no use
}

// Answer is the final answer to a request of a caller.
type Answer struct {
	ID         RequestID
	Outcome    Outcome
	Reason     Reason
	Text       string
	Body       []byte
	RetryAfter time.Duration // with OutcomeRefused: the time to wait before a retry
	Worker     WorkerID      // that ran the request, if any
	Tries      int
}

// Commit sends a transaction to the table. It comes back as CommitAnswered.
type Commit struct {
	Token Token
	Txn   table.Txn
}

// ReadChanges reads the rows with a prefix that changed after a revision. It comes
// back as ChangesAnswered.
type ReadChanges struct {
	Token  Token
	Prefix string
	Since  uint64
}

// ReadRows reads rows by key. It comes back as RowsAnswered.
type ReadRows struct {
	Token Token
	Keys  []string
}

// Start sends an order to an agent. It comes back as StartAnswered.
type Start struct {
	Token Token
	Addr  netip.AddrPort
	Order Order
}

// Stop orders an agent to stop an attempt. The end is reported by heartbeats.
type Stop struct {
	Addr    netip.AddrPort
	Attempt Attempt
	Inc     Incarnation
	Kind    EndKind
	Reason  string
}

// Settle asks an agent for the definite state of an attempt. It comes back as
// SettleAnswered.
type Settle struct {
	Token   Token
	Addr    netip.AddrPort
	Attempt Attempt
	Inc     Incarnation
}

// QueryLiveness asks another entry which of some workers it receives heartbeats
// from. It comes back as LivenessAnswered.
type QueryLiveness struct {
	Token   Token
	Addr    netip.AddrPort
	Workers []WorkerID
}

// LivenessReply answers a LivenessAsked.
type LivenessReply struct {
	Token Token
	Alive []WorkerID
	// Unsure says that workers that are not in Alive may send heartbeats nonetheless:
	// the entry has not been a home for long enough to tell.
	Unsure bool
	// Unsettled lists the workers whose last heartbeat to the entry had Heartbeat.Unsettled.
	Unsettled []WorkerID
}

// CommandReply answers a CommandAsked.
type CommandReply struct {
	Token  Token
	Result CommandResult
}

// Count raises a counter by one; both reducers make it.
type Count struct {
	Name   string // the counted event: "refuse", "retry", …
	Reason Reason
}

// Measure records a duration; both reducers make it.
type Measure struct {
	Name string // of the metric; docs/OPERATIONS.md lists them
	Took time.Duration
}

// Note is a log line; both reducers make it.
type Note struct {
	Text    string // the event; docs/OPERATIONS.md lists them
	Subject string // the id that the event is about
	Detail  string
	Fields  []Field // the inputs of the decision and its result
}

// Field is one field of a Note.
type Field struct {
	Name  string
	Value any
}

// Wake asks for a Tick at a time or earlier; both reducers make it.
type Wake struct {
	At time.Time
}

// Exit says that a process has finished its shutdown; both reducers make it.
type Exit struct{}

func (BeatReply) entryEffect()     {}
func (Serve) entryEffect()         {}
func (Revoke) entryEffect()        {}
func (Answer) entryEffect()        {}
func (Commit) entryEffect()        {}
func (ReadChanges) entryEffect()   {}
func (ReadRows) entryEffect()      {}
func (Start) entryEffect()         {}
func (Stop) entryEffect()          {}
func (Settle) entryEffect()        {}
func (QueryLiveness) entryEffect() {}
func (LivenessReply) entryEffect() {}
func (CommandReply) entryEffect()  {}
func (Count) entryEffect()         {}
func (Note) entryEffect()          {}
func (Measure) entryEffect()       {}
func (Wake) entryEffect()          {}
func (Exit) entryEffect()          {}

// AgentEffect is an action that an agent's reducer asks for.
type AgentEffect interface{ agentEffect() }

// SendBeat sends a heartbeat to an entry. It comes back as HeartbeatAnswered.
type SendBeat struct {
	Entry     netip.AddrPort
	Heartbeat Heartbeat
}

// Inspect queries the state of the worker and its tasks. It comes back as
// Inspected, by the time Until or as soon as a task has ended.
type Inspect struct {
	Until time.Time // zero: answer at once
	Epoch uint64    // see Policy.FencedCalls
	// Deadline extends that of all tasks if Policy.FencedCalls is set; zero does not.
	Deadline time.Time
}

// ReadEntries reads the rows of all entries from the table, for an agent that no
// entry answers. It comes back as EntriesRead.
type ReadEntries struct{}

// Launch starts a task at the worker. It comes back as Launched.
type Launch struct {
	Order    Order
	Deadline time.Time // on the worker's clock; the worker pauses the task then unless it is renewed
	Epoch    uint64    // see Policy.FencedCalls
	Boot     string    // the worker's boot that it is meant for, as of the last inspection
}

// Renew extends the deadlines of tasks at a worker without Policy.FencedCalls.
type Renew struct {
	Attempts []Attempt
	Deadline time.Time
}

// Verb is the operation of a Control.
type Verb string

// The verbs of Control.
const (
	VerbThrottle   Verb = "throttle"
	VerbCheckpoint Verb = "checkpoint"
	VerbStop       Verb = "stop" // checkpoints first, unless the kind is EndCancelled
	VerbForget     Verb = "forget"
)

// Control operates on a task at the worker. It comes back as Controlled.
type Control struct {
	Attempt Attempt
	Verb    Verb
	Percent int     // of full speed; with VerbThrottle
	Kind    EndKind // with VerbStop
	Reason  string
	Epoch   uint64 // see Policy.FencedCalls
}

// Call runs a request at the worker's endpoint. It comes back as Called.
type Call struct {
	ID       RequestID
	Service  string
	Body     []byte
	Deadline time.Time
}

// StartReply answers a StartAsked.
type StartReply struct {
	Token   Token
	Started bool
	Reason  Reason
}

// SettleReply answers a SettleAsked.
type SettleReply struct {
	Token Token
	State SettleState
}

// ServeReply answers a ServeAsked.
type ServeReply struct {
	Token  Token
	Answer ServeAnswer
}

// RevokeReply answers a RevokeAsked.
type RevokeReply struct {
	Token  Token
	State  RevokeState
	Answer ServeAnswer
}

func (SendBeat) agentEffect()    {}
func (Inspect) agentEffect()     {}
func (ReadEntries) agentEffect() {}
func (Launch) agentEffect()      {}
func (Renew) agentEffect()       {}
func (Control) agentEffect()     {}
func (Call) agentEffect()        {}
func (StartReply) agentEffect()  {}
func (SettleReply) agentEffect() {}
func (ServeReply) agentEffect()  {}
func (RevokeReply) agentEffect() {}
func (Count) agentEffect()       {}
func (Note) agentEffect()        {}
func (Measure) agentEffect()     {}
func (Wake) agentEffect()        {}
func (Exit) agentEffect()        {}
