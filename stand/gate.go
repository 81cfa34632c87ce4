package stand

import (
	"context"
	"errors"
	"time"
)

// Errors of a call to the platform.
var (
	// ErrDown says that the platform refused a call without any effect.
	ErrDown = errors.New("stand: the platform is down")
	// ErrBudget says that the platform refused a call beyond its budget.
	ErrBudget = errors.New("stand: beyond the platform's budget")
	// ErrLost says that a write took effect and its answer was lost.
	ErrLost = errors.New("stand: answer lost")
)

// hangPoll is how often a hanging call looks whether its fault is off.
const hangPoll = 20 * time.Millisecond

// maxDelay bounds the delay of FaultSlow.
const maxDelay = 10 * time.Second

// gate is what every call to a part of the platform passes.
type gate struct {
	part    string // its name before those of faults
	faults  *faults
	budget  *Budget
	journal *Journal
	clock   func() time.Time
}

func newGate(part string, opts []Option) gate {
	g := newConfig(opts)
	if g.budget == nil {
		g.budget = NewBudget(WritesPerSecond, ReadsPerSecond)
	}
	if g.budget.journal == nil {
		g.budget.journal = g.journal
	}
	return gate{
		part:    part,
		faults:  newFaults(g.seed, FaultDown, FaultReadDown, FaultWriteDown, FaultSlow, FaultLostAnswer),
		budget:  g.budget,
		journal: g.journal,
		clock:   g.clock,
	}
}

// Journal returns what the stand-in has recorded.
func (g *gate) Journal() *Journal { return g.journal }

// Traffic returns the budget with its counts.
func (g *gate) Traffic() *Budget { return g.budget }

// SetFault switches a fault on until a time, which may be zero, or off with a
// value of zero.
func (g *gate) SetFault(name Fault, value float64, until time.Time) error {
	if err := g.faults.set(name, value, until); err != nil {
		return err
	}
	g.journal.Add(faultEntry(g.clock(), Fault(g.part)+"."+name, value, ""))
	return nil
}

// read lets a read pass, or fails it.
func (g *gate) read(ctx context.Context) error {
	if err := g.pass(ctx, FaultReadDown); err != nil {
		return err
	}
	if !g.budget.read(g.clock()) {
		return ErrBudget
	}
	return nil
}

// write lets a write of a number of rows pass, or fails it.
func (g *gate) write(ctx context.Context, rows int) error {
	if err := g.pass(ctx, FaultWriteDown); err != nil {
		return err
	}
	if !g.budget.write(g.clock(), rows) {
		return ErrBudget
	}
	return nil
}

func (g *gate) pass(ctx context.Context, half Fault) error {
	for g.faults.value(g.clock(), FaultDown) >= hang {
		if err := sleep(ctx, hangPoll); err != nil {
			return err
		}
	}
	if g.faults.value(g.clock(), FaultDown) > 0 || g.faults.value(g.clock(), half) > 0 {
		return ErrDown
	}
	if s := g.faults.value(g.clock(), FaultSlow); s > 0 {
		time.Sleep(min(time.Duration(s*float64(time.Second)), maxDelay))
	}
	return nil
}

// loses reports whether the answer to a write that took effect is lost.
func (g *gate) loses() bool { return g.faults.hits(g.clock(), FaultLostAnswer) }

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
