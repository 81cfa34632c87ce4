package core

import "jayloft/table"

// EntryEvent is an input of an entry's reducer.
type EntryEvent interface{ entryEvent() }

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
	// Unsure says that the other entry can't tell that the rest are silent.
	Unsure    bool
	Unsettled []WorkerID // see LivenessReply
	Fault     Fault
}

// CommandAsked is an operator's command. It is answered with a CommandReply.
type CommandAsked struct {
	Token   Token
	ID      string
	Text    string // the statement as written
	Command Command
	// First says that the command was not sent before: as long as it isn't sent again, no
	// copy of it can arrive at another entry.
	First bool
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
