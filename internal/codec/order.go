package codec

import (
	"fmt"
	"net/netip"
	"time"

	"jayloft/core"
	"jayloft/wire"
)

// StartToWire converts an order to start an attempt.
func StartToWire(o core.Order) *wire.StartRequest {
	return &wire.StartRequest{
		Attempt:     AttemptToWire(o.Attempt),
		Incarnation: string(o.Holder.Inc),
		Echo:        Nanos(o.Echo),
		Class:       o.Class,
		Team:        string(o.Team),
		Size:        SizeToWire(o.Size),
		Urgent:      o.Urgent,
		Input:       o.Input,
		Step:        int32(o.Step),
		Index:       int32(o.Index),
		Saved:       o.Saved,
		Filler:      o.BestEffort,
		Lasting:     o.LongRunning,
		TargetNs:    int64(o.Target),
		By:          optionalAddr(o.By),
		Isolated:    o.Isolated,
	}
}

// StartFromWire converts an order to start an attempt at the worker w. It requires
// an incarnation, a class and a valid attempt.
func StartFromWire(m *wire.StartRequest, w core.WorkerID) (core.Order, error) {
	var f findings
	f.require("incarnation", m.GetIncarnation())
	f.require("class", m.GetClass())
	o := core.Order{
		Attempt:     f.attempt(m.GetAttempt()),
		Holder:      core.Holder{Worker: w, Inc: core.Incarnation(m.GetIncarnation())},
		Echo:        Time(m.GetEcho()),
		Team:        core.Team(m.GetTeam()),
		Class:       m.GetClass(),
		Size:        SizeFromWire(m.GetSize()),
		Urgent:      m.GetUrgent(),
		Input:       m.GetInput(),
		Step:        int(m.GetStep()),
		Index:       int(m.GetIndex()),
		Saved:       m.GetSaved(),
		BestEffort:  m.GetFiller(),
		LongRunning: m.GetLasting(),
		Target:      time.Duration(m.GetTargetNs()),
		Isolated:    m.GetIsolated(),
	}
	if by := m.GetBy(); by != "" { // entries of an earlier build don't name themselves
		o.By = f.addr("by", by)
	}
	return o, f.err("start")
}

// optionalAddr converts an address that may be invalid; it is empty then.
func optionalAddr(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// StopToWire converts an order to stop an attempt.
func StopToWire(s core.Stop) *wire.StopRequest {
	return &wire.StopRequest{
		Attempt:     AttemptToWire(s.Attempt),
		Incarnation: string(s.Inc),
		Reason:      s.Reason,
		Kind:        string(s.Kind),
	}
}

// StopFromWire converts an order to stop an attempt. It requires an
// incarnation, a valid attempt and a kind that is evicted or cancelled.
func StopFromWire(m *wire.StopRequest) (core.StopAsked, error) {
	var f findings
	f.require("incarnation", m.GetIncarnation())
	s := core.StopAsked{
		Attempt: f.attempt(m.GetAttempt()),
		Inc:     core.Incarnation(m.GetIncarnation()),
		Kind:    core.EndKind(m.GetKind()),
		Reason:  m.GetReason(),
	}
	if s.Kind != core.EndEvicted && s.Kind != core.EndCancelled {
		f.errs = append(f.errs, fmt.Errorf("kind %q is neither evicted nor cancelled", s.Kind))
	}
	return s, f.err("stop")
}

// SettleToWire converts a query for the state of an attempt.
func SettleToWire(s core.Settle) *wire.SettleRequest {
	return &wire.SettleRequest{Attempt: AttemptToWire(s.Attempt), Incarnation: string(s.Inc)}
}

// SettleFromWire converts a query for the state of an attempt. It requires an
// incarnation and a valid attempt.
func SettleFromWire(m *wire.SettleRequest) (core.SettleAsked, error) {
	var f findings
	f.require("incarnation", m.GetIncarnation())
	s := core.SettleAsked{
		Attempt: f.attempt(m.GetAttempt()),
		Inc:     core.Incarnation(m.GetIncarnation()),
	}
	return s, f.err("settle")
}

// SettleStateFromWire converts the state of an attempt that an agent reports. An
// unknown state is an error.
func SettleStateFromWire(s string) (core.SettleState, error) {
	switch st := core.SettleState(s); st {
	case core.SettleRunning, core.SettleEnded, core.SettleNever, core.SettleForeign:
		return st, nil
	}
	return "", fmt.Errorf("settle: unknown state %q", s)
}
