// Package codec converts between the types of package core and the messages
// of package wire.
//
// Conversions to the wire can't fail, except that of a job's spec. Conversions
// from the wire validate what a misaddressed or outdated peer may have sent; most
// report everything wrong with a message in one error. Times are sent as
// nanoseconds since the Unix epoch on the clock that the schema names; 0 is the
// zero time. Deadlines of requests are sent as the time left, since the clocks of
// sender and receiver may differ.
//
// # Usage
//
//	req := codec.HeartbeatToWire(hb)
//	hb, err := codec.HeartbeatFromWire(req)
package codec

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"jayloft/core"
	"jayloft/crash"
	"jayloft/wire"
)

// Nanos returns t in nanoseconds since the Unix epoch, 0 for the zero time.
func Nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// Time returns the time n nanoseconds after the Unix epoch, the zero time for 0.
func Time(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// SizeToWire converts an amount of resources.
func SizeToWire(s core.Size) *wire.Size {
	return &wire.Size{Millicores: s.Millicores, MemoryMb: s.MemoryMB, Accelerators: s.Accelerators}
}

// SizeFromWire converts an amount of resources; nil is the zero size.
func SizeFromWire(s *wire.Size) core.Size {
	return core.Size{
		Millicores:   s.GetMillicores(),
		MemoryMB:     s.GetMemoryMb(),
		Accelerators: s.GetAccelerators(),
	}
}

// AttemptToWire converts an attempt.
func AttemptToWire(a core.Attempt) *wire.Attempt {
	return &wire.Attempt{Job: string(a.Task.Job), Task: int32(a.Task.N), Number: a.Number}
}

// AttemptFromWire converts an attempt; nil is the zero attempt.
func AttemptFromWire(a *wire.Attempt) core.Attempt {
	return core.Attempt{
		Task:   core.TaskID{Job: core.JobID(a.GetJob()), N: int(a.GetTask())},
		Number: a.GetNumber(),
	}
}

// AttemptsToWire converts a list of attempts.
func AttemptsToWire(as []core.Attempt) []*wire.Attempt { return mapSlice(as, AttemptToWire) }

// AttemptsFromWire converts a list of attempts.
func AttemptsFromWire(as []*wire.Attempt) []core.Attempt { return mapSlice(as, AttemptFromWire) }

// EndToWire converts the end of an attempt.
func EndToWire(e core.End) *wire.End {
	return &wire.End{
		Attempt: AttemptToWire(e.Attempt),
		Kind:    string(e.Kind),
		Output:  e.Output,
		Reason:  e.Reason,
		Saved:   e.Saved,
		Started: e.Started,
		RanNs:   int64(e.Crash.Ran),
		Alone:   e.Crash.Alone,
	}
}

// EndFromWire converts the end of an attempt; nil is the zero end.
func EndFromWire(e *wire.End) core.End {
	return core.End{
		Attempt: AttemptFromWire(e.GetAttempt()),
		Kind:    core.EndKind(e.GetKind()),
		Output:  e.GetOutput(),
		Reason:  e.GetReason(),
		Saved:   e.GetSaved(),
		Started: e.GetStarted(),
		Crash:   crash.Evidence{Ran: time.Duration(e.GetRanNs()), Alone: e.GetAlone()},
	}
}

// Strings converts a slice of one string type to a slice of another.
func Strings[T, S ~string](in []S) []T {
	return mapSlice(in, func(s S) T { return T(s) })
}

func mapSlice[S, T any](in []S, f func(S) T) []T {
	if len(in) == 0 {
		return nil
	}
	out := make([]T, len(in))
	for i, x := range in {
		out[i] = f(x)
	}
	return out
}

// findings collects the validation errors of a message.
type findings struct{ errs []error }

func (f *findings) require(name, value string) {
	if value == "" {
		f.errs = append(f.errs, fmt.Errorf("%s is empty", name))
	}
}

func (f *findings) addr(name, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		f.errs = append(f.errs, fmt.Errorf("%s %q is not an ip:port", name, value))
	}
	return a
}

func (f *findings) attempt(a *wire.Attempt) core.Attempt {
	f.require("attempt.job", a.GetJob())
	if a.GetTask() < 0 {
		f.errs = append(f.errs, fmt.Errorf("attempt.task %d is negative", a.GetTask()))
	}
	if a.GetNumber() == 0 {
		f.errs = append(f.errs, errors.New("attempt.number is 0"))
	}
	return AttemptFromWire(a)
}

func (f *findings) err(message string) error {
	if len(f.errs) == 0 {
		return nil
	}
	return fmt.Errorf("%s: %w", message, errors.Join(f.errs...))
}
