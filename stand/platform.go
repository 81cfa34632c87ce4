package stand

import (
	"fmt"
	"strings"
	"time"
)

// Platform is a table and an object store that share a budget and a journal.
type Platform struct {
	Table   *Table
	Objects *Objects
}

// NewPlatform returns an empty platform.
func NewPlatform(opts ...Option) *Platform {
	g := newConfig(opts)
	if g.budget == nil {
		g.budget = NewBudget(WritesPerSecond, ReadsPerSecond)
	}
	opts = append(opts, WithJournal(g.journal), WithBudget(g.budget))
	return &Platform{Table: NewTable(opts...), Objects: NewObjects(opts...)}
}

// Journal returns what the platform has recorded.
func (p *Platform) Journal() *Journal { return p.Table.Journal() }

// Traffic returns the budget with its counts.
func (p *Platform) Traffic() *Budget { return p.Table.Traffic() }

// SetFault switches a fault of the table ("table.down"), of the object store
// ("objects.down") or of both ("down").
func (p *Platform) SetFault(name Fault, value float64, until time.Time) error {
	part, rest, ok := strings.Cut(string(name), ".")
	switch {
	case !ok:
		if err := p.Table.SetFault(name, value, until); err != nil {
			return err
		}
		return p.Objects.SetFault(name, value, until)
	case part == "table":
		return p.Table.SetFault(Fault(rest), value, until)
	case part == "objects":
		return p.Objects.SetFault(Fault(rest), value, until)
	}
	return fmt.Errorf("stand: unknown fault %q: there is no part %q, only table and objects", name, part)
}
