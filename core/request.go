package core

import "time"

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
