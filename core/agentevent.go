package core

import (
	"net/netip"
	"time"

	"jayloft/table"
)

// AgentEvent is an input of an agent's reducer.
type AgentEvent interface{ agentEvent() }

// Inspected is the answer to an Inspect: the state of the worker and its tasks. If
// Policy.FencedCalls is set, no call to an earlier boot of the worker and none of an earlier
// process of the agent can take effect any more.
type Inspected struct {
	Fault    Fault
	Boot     string
	Capacity Size
	Slots    int
	Services []string
	Tasks    []WorkerTask
	// Partial says that Tasks may lack some of the worker's tasks.
	Partial bool
	// CopyLost says that an earlier copy of the call got no answer and may take effect
	// later.
	CopyLost bool
	// Broken says, with FaultNoAnswer, that the connection broke before the answer. A worker
	// that carries out calls late leaves them unanswered instead.
	Broken bool
	// Unread lists the tasks whose state the worker may have reported in a form that can't
	// be read. They are not among Tasks.
	Unread []TaskID
	// Draining says that the worker will leave and accepts no new work.
	Draining bool
	// Rack and Labels are as the worker reports them. If Rack is empty, that of
	// the settings applies.
	Rack   Rack
	Labels []string
}

// WorkerLeaving says that the worker has announced its departure.
type WorkerLeaving struct{}

// WorkerResized says that a worker reports another capacity than before.
type WorkerResized struct {
	Boot     string
	Capacity Size
}

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
	Epoch   uint64 // of the Launch
	Started bool
	Reason  string
	// Retryable says that the task was not at fault for the refusal and may be
	// tried again.
	Retryable bool
	// Superseded says that the worker has done nothing, since it has seen a call of a
	// later epoch.
	Superseded bool
	CopyLost   bool // see Inspected
	Broken     bool // likewise
	Fault      Fault
}

// Controlled is the worker's answer to a Control.
type Controlled struct {
	Attempt Attempt
	Verb    Verb
	Epoch   uint64 // of the Control
	Done    bool
	// CopyLost and Broken are as in Inspected.
	CopyLost bool
	Broken   bool
	Fault    Fault
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
func (WorkerResized) agentEvent()     {}
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
