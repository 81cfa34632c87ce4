package stand

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Fault names something that goes wrong at a stand-in while it is switched on.
type Fault string

// The faults of the platform. At a Platform the names may be preceded by
// "table." or "objects." to mean only one of its parts.
const (
	// FaultDown refuses every call; with a value of 2 or more, calls hang.
	FaultDown Fault = "down"
	// FaultReadDown refuses reads only.
	FaultReadDown Fault = "readdown"
	// FaultWriteDown refuses writes only.
	FaultWriteDown Fault = "writedown"
	// FaultSlow delays every call by a number of seconds. A write takes effect
	// after the delay, also when its caller has given up by then. At a worker
	// it is the factor by which everything takes longer.
	FaultSlow Fault = "slow"
	// FaultLostAnswer loses answers to writes that took effect: the next n
	// for a value of 1 or more, else that share of them.
	FaultLostAnswer Fault = "lostanswer"
)

// The faults of a worker, besides FaultSlow.
const (
	// FaultKill ends the VM. It boots anew when the fault is switched off.
	FaultKill Fault = "kill"
	// FaultFail makes everything that starts fail at once.
	FaultFail Fault = "fail"
	// FaultFreeze makes the VM stand still and its interface hang.
	FaultFreeze Fault = "freeze"
)

// hang is the value of FaultDown from which on calls hang.
const hang = 2

// faultState is the value of a fault and when it switches itself off.
type faultState struct {
	value float64
	until time.Time // zero: not by itself
}

// faults holds which faults are on.
type faults struct {
	mu    sync.Mutex
	known []Fault
	on    map[Fault]faultState
	rand  *rand.Rand
}

func newFaults(seed uint64, known ...Fault) *faults {
	return &faults{known: known, on: map[Fault]faultState{}, rand: rand.New(rand.NewPCG(seed, 0))}
}

// set switches a fault on, or off with a value of zero or less.
func (f *faults) set(name Fault, value float64, until time.Time) error {
	if !slices.Contains(f.known, name) {
		return fmt.Errorf("stand: unknown fault %q, want one of %v", name, f.known)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if value <= 0 {
		delete(f.on, name)
	} else {
		f.on[name] = faultState{value, until}
	}
	return nil
}

// value returns a fault's value, or zero if it is off.
func (f *faults) value(now time.Time, name Fault) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.get(now, name)
}

func (f *faults) get(now time.Time, name Fault) float64 {
	s, ok := f.on[name]
	if ok && !s.until.IsZero() && !now.Before(s.until) {
		delete(f.on, name)
		return 0
	}
	return s.value
}

// hits reports whether a fault strikes one call: those with a value of 1 or
// more strike that often, others with that probability.
func (f *faults) hits(now time.Time, name Fault) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.get(now, name)
	if v <= 0 || v < 1 {
		return v > 0 && f.rand.Float64() < v
	}
	s := f.on[name]
	if s.value--; s.value < 1 {
		delete(f.on, name)
	} else {
		f.on[name] = s
	}
	return true
}
