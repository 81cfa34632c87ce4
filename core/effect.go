package core

import (
	"net/netip"
	"time"

	"jayloft/table"
)

// EntryEffect is something that an entry's reducer wants done.
type EntryEffect interface{ entryEffect() }

// BeatReply answers a BeatHeard.
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

// Revoke takes a request back from an agent. It comes back as RevokeAnswered.
type Revoke struct {
	Call     Token
	Addr     netip.AddrPort
	Run      Run
	ID       RequestID
	Deadline time.Time // when the answer is no longer of use
}

// Answer is the final answer to a caller's request.
type Answer struct {
	ID         RequestID
	Outcome    Outcome
	Reason     Reason
	Text       string
	Body       []byte
	RetryAfter time.Duration // with a refusal: when to come back
	Worker     WorkerID      // that ran it, if any
	Tries      int
}

// Commit sends a transaction to the table. It comes back as CommitAnswered.
type Commit struct {
	Token Token
	Txn   table.Txn
}

// ReadChanges reads changed rows. It comes back as ChangesAnswered.
type ReadChanges struct {
	Token  Token
	Prefix string
	Since  uint64
}

// ReadRows reads rows. It comes back as RowsAnswered.
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

// Stop tells an agent to stop an attempt; the end comes with its beats.
type Stop struct {
	Addr    netip.AddrPort
	Attempt Attempt
	Inc     Incarnation
	Kind    EndKind
	Reason  string
}

// Settle asks an agent about an attempt. It comes back as SettleAnswered.
type Settle struct {
	Token   Token
	Addr    netip.AddrPort
	Attempt Attempt
	Inc     Incarnation
}

// QueryLiveness asks another entry. It comes back as HearAnswered.
type QueryLiveness struct {
	Token   Token
	Addr    netip.AddrPort
	Workers []WorkerID
}

// LivenessReply answers a HearAsked.
type LivenessReply struct {
	Token Token
	Alive []WorkerID
}

// CommandReply answers a CommandAsked.
type CommandReply struct {
	Token  Token
	Result CommandResult
}

// Count raises a counter by one; both reducers make it.
type Count struct {
	Name   string // what happened: "refuse", "retry", …
	Reason Reason
}

// Measure says how long something took; both reducers make it.
type Measure struct {
	Name string // docs/OPERATIONS.md lists them
	Took time.Duration
}

// Note is a line for the log; both reducers make it.
type Note struct {
	Text    string // names the event; docs/OPERATIONS.md lists them
	Subject string // the id that it is about
	Detail  string
	Fields  []Field // what decided, and what came of it
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

// Exit says that a process that leaves is done; both reducers make it.
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

// AgentEffect is something that an agent's reducer wants done.
type AgentEffect interface{ agentEffect() }

// SendBeat sends a beat to an entry. It comes back as BeatAnswered.
type SendBeat struct {
	Entry     netip.AddrPort
	Heartbeat Heartbeat
}

// Inspect asks the worker for its account. It comes back as Inspected, by the
// time Until or once a task has ended.
type Inspect struct {
	Until time.Time // zero: at once
}

// ReadEntries reads the rows of entries from the table, for an agent that hears
// from none. It comes back as EntriesRead.
type ReadEntries struct{}

// Launch starts a task at the worker. It comes back as Launched.
type Launch struct {
	Order    Order
	Deadline time.Time // worker's clock: the worker pauses the task then
}

// Renew moves the deadlines of tasks at the worker.
type Renew struct {
	Attempts []Attempt
	Deadline time.Time
}

// Verb is what a Control does.
type Verb string

// The verbs of Control.
const (
	VerbThrottle   Verb = "throttle"
	VerbCheckpoint Verb = "checkpoint"
	VerbStop       Verb = "stop" // after a checkpoint, unless cancelled
	VerbForget     Verb = "forget"
)

// Control changes a task at the worker. It comes back as Controlled.
type Control struct {
	Attempt Attempt
	Verb    Verb
	Percent int     // of full speed, with VerbThrottle
	Kind    EndKind // with VerbStop
	Reason  string
}

// Call runs a request in the endpoint. It comes back as Called.
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
