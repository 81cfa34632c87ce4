package core

import (
	"errors"
	"fmt"
	"iter"
	"math"
	"net/netip"
)

// The table's rows may be written by others. A row that decodes but that no process of
// jayloft writes is as malformed as one that does not decode: its numbers are used as
// indices and sums.

// checked is a record whose fields depend on each other or on its key.
type checked interface {
	check(key string) error
}

// check checks that the row holds a job that could have been accepted, with its tasks.
func (r JobRow) check(key string) error {
	switch {
	case key != keyJob(r.Spec.ID):
		return errors.New("holds another job")
	case len(r.Spec.Steps) > 0 && r.Spec.CheckSteps() != "":
		return errors.New(r.Spec.CheckSteps())
	case len(r.Tasks) != r.Spec.Len():
		return fmt.Errorf("%d tasks, want %d", len(r.Tasks), r.Spec.Len())
	}
	for i := range r.Tasks {
		if err := r.Tasks[i].check(); err != nil {
			return fmt.Errorf("task %d: %w", i, err)
		}
	}
	return nil
}

// check checks that the task has a known state and that another attempt can be numbered.
func (t *TaskRow) check() error {
	switch {
	case t.State > TaskUnknown:
		return fmt.Errorf("unknown %s", t.State)
	case t.Attempt == math.MaxUint32:
		return errors.New("no more attempts")
	case t.State == TaskClaimed && (t.Attempt == 0 || t.Holder.Worker == "" || t.Holder.Inc == ""):
		return errors.New("a claim without a holder")
	}
	return nil
}

// maxMillicores bounds the processor time of an entry, so that sums don't overflow.
const maxMillicores = 1 << 40

// check checks that the row names an entry that can be called.
func (r EntryRow) check(key string) error {
	switch {
	case r.ID == "" || key != keyEntry(r.ID):
		return errors.New("holds another entry")
	case r.Millicores < 0 || r.Millicores > maxMillicores:
		return fmt.Errorf("%d millicores are out of range", r.Millicores)
	}
	for i := range r.Reports {
		if err := r.Reports[i].check(); err != nil {
			return err
		}
	}
	_, err := r.addr()
	return err
}

// addr returns the address at which others call the entry.
func (r EntryRow) addr() (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(r.Addr)
	if err == nil && (addr.Port() == 0 || addr.Addr().IsUnspecified()) {
		err = fmt.Errorf("%s is no address to call", addr)
	}
	return addr, err
}

func (r ShardReport) check() error {
	if r.Shard < 0 || r.Shard >= Shards {
		return fmt.Errorf("report of shard %d", r.Shard)
	}
	for n := range r.counts() {
		if n < 0 || n > math.MaxInt32 {
			return fmt.Errorf("report of %d waiting jobs", n)
		}
	}
	return nil
}

// counts yields all numbers of waiting jobs in the report.
func (r ShardReport) counts() iter.Seq[int] {
	return func(yield func(int) bool) {
		for _, n := range r.Waiting {
			if !yield(n) {
				return
			}
		}
		for _, n := range r.Routes {
			if !yield(n) {
				return
			}
		}
	}
}

// check checks that the row is in the place of the job that it names.
func (r TombstoneRow) check(key string) error {
	if r.ID == "" || key != keyJob(r.ID) {
		return errors.New("holds the tombstone of another job")
	}
	return nil
}

// check checks that the row is of the worker of its key.
func (r FenceRow) check(key string) error {
	if key != keyFence(r.Worker) {
		return errors.New("holds the fence of another worker")
	}
	return nil
}
