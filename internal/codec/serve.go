package codec

import (
	"fmt"
	"strings"
	"time"

	"jayloft/core"
	"jayloft/wire"
)

// ServeToWire converts a request for an agent. The wire carries the time left from
// now to the deadline.
func ServeToWire(s core.Serve, now time.Time) *wire.ServeRequest {
	return &wire.ServeRequest{
		Id:          string(s.Request.ID),
		Incarnation: string(s.Inc),
		Run:         string(s.Run),
		Service:     s.Request.Service,
		Team:        string(s.Request.Team),
		Body:        s.Request.Body,
		LeftNs:      int64(s.Request.Deadline.Sub(now)),
		Idempotent:  s.Request.Idempotent,
		Call:        s.Name,
	}
}

// ServeFromWire converts a request for an agent. Its deadline is on the clock
// that now is from. An empty id, incarnation, run, service or call is an error.
func ServeFromWire(m *wire.ServeRequest, now time.Time) (core.ServeAsked, error) {
	var f findings
	f.require("id", m.GetId())
	f.require("incarnation", m.GetIncarnation())
	f.require("run", m.GetRun())
	f.require("service", m.GetService())
	f.require("call", m.GetCall())
	s := core.ServeAsked{
		Call: m.GetCall(),
		Inc:  core.Incarnation(m.GetIncarnation()),
		Run:  core.Run(m.GetRun()),
		Request: core.Request{
			ID:         core.RequestID(m.GetId()),
			Service:    m.GetService(),
			Team:       core.Team(m.GetTeam()),
			Body:       m.GetBody(),
			Deadline:   now.Add(time.Duration(m.GetLeftNs())),
			Idempotent: m.GetIdempotent(),
		},
	}
	return s, f.err("serve")
}

// reasonSep separates an answer's reason from its text on the wire.
const reasonSep = ": "

// ServeAnswerToWire converts an agent's answer to a request.
func ServeAnswerToWire(a core.ServeAnswer) *wire.ServeResponse {
	reason := string(a.Reason)
	if a.Text != "" {
		reason += reasonSep + a.Text
	}
	return &wire.ServeResponse{
		Id:      string(a.ID),
		Outcome: string(a.Outcome),
		Reason:  reason,
		Body:    a.Body,
		WaitNs:  int64(a.Wait),
		Queued:  int32(a.Queued),
		Running: int32(a.Running),
	}
}

// ServeAnswerFromWire converts an agent's answer to the request id. An answer
// to another request and an unknown outcome are errors.
func ServeAnswerFromWire(m *wire.ServeResponse, id core.RequestID) (core.ServeAnswer, error) {
	var f findings
	if m.GetId() != string(id) {
		f.errs = append(f.errs, fmt.Errorf("answer to %q, not to %q", m.GetId(), id))
	}
	reason, text, _ := strings.Cut(m.GetReason(), reasonSep)
	a := core.ServeAnswer{
		ID:      id,
		Outcome: core.Outcome(m.GetOutcome()),
		Reason:  core.Reason(reason),
		Text:    text,
		Body:    m.GetBody(),
		Wait:    time.Duration(m.GetWaitNs()),
		Queued:  int(m.GetQueued()),
		Running: int(m.GetRunning()),
	}
	switch a.Outcome {
	case core.OutcomeDone, core.OutcomeRefused, core.OutcomeFailed, core.OutcomeUnknown:
	default:
		f.errs = append(f.errs, fmt.Errorf("unknown outcome %q", a.Outcome))
	}
	return a, f.err("serve answer")
}

// RevokeFromWire converts the revocation of a request. An empty id or run is an
// error.
func RevokeFromWire(m *wire.RevokeRequest) (core.RevokeAsked, error) {
	var f findings
	f.require("id", m.GetId())
	f.require("run", m.GetRun())
	return core.RevokeAsked{ID: core.RequestID(m.GetId()), Run: core.Run(m.GetRun())}, f.err("revoke")
}

// RevokeReplyToWire converts an agent's answer to a revocation.
func RevokeReplyToWire(r core.RevokeReply) *wire.RevokeResponse {
	m := &wire.RevokeResponse{State: string(r.State)}
	if r.State == core.RevokeResult {
		m.Result = ServeAnswerToWire(r.Answer)
	}
	return m
}

// RevokeReplyFromWire converts an agent's answer to the revocation of id. An
// unknown state and an invalid result are errors.
func RevokeReplyFromWire(m *wire.RevokeResponse, id core.RequestID) (core.RevokeReply, error) {
	r := core.RevokeReply{State: core.RevokeState(m.GetState())}
	switch r.State {
	case core.RevokeNever, core.RevokeRunning, core.RevokeUnknown:
		return r, nil
	case core.RevokeResult:
		var err error
		r.Answer, err = ServeAnswerFromWire(m.GetResult(), id)
		return r, err
	}
	return r, fmt.Errorf("revoke: unknown state %q", r.State)
}
