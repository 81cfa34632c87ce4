// Package table defines the interface to the platform's transactional table,
// the only point of coordination between VMs.
//
// The table stores versioned rows. A transaction consists of conditions on row
// versions and of writes; the platform applies all writes if all conditions hold,
// and none otherwise. Each committed transaction increments the revision by one,
// and a row's version is the revision of its last write. Reads must be strongly
// consistent: a read that begins after a commit was acknowledged sees that commit.
//
// # Usage
//
//	res, err := t.Commit(ctx, table.Txn{
//		Conds:  []table.Cond{{Key: "fence/w1", Version: 0}},
//		Writes: []table.Write{{Key: "job/3/a", Value: b}},
//	})
//
// After an error other than ErrNotSent and ErrRejected the outcome is unknown: the
// transaction may or may not have been applied. Read the rows again to find out.
package table

import (
	"context"
	"errors"
)

// ErrNotSent reports that a call certainly had no effect: it was not sent, or the
// platform answered that it was not applied.
var ErrNotSent = errors.New("table: call not sent or not applied")

// ErrRejected reports that the platform refuses a call for what it holds, such as a row
// that is too large. The call had no effect and never will; another form of it may.
var ErrRejected = errors.New("table: call rejected for what it holds")

// Row is one row as of some revision. Only Changes returns deleted rows.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
	Deleted bool
}

// Cond requires that the row has the version; version zero requires that it does
// not exist.
type Cond struct {
	Key     string
	Version uint64
}

// Write replaces or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a set of writes that apply together if all conditions hold.
type Txn struct {
	Conds  []Cond
	Writes []Write
}

// Result is the platform's answer to a transaction.
type Result struct {
	Committed bool
	// Revision is the revision of the transaction, if committed.
	Revision uint64
	// Conflicts holds the current rows of the failed conditions. A row that does
	// not exist has version zero.
	Conflicts []Row
}

// View holds the rows of a read and the revision at which they were read.
type View struct {
	Rows     []Row
	Revision uint64
}

// Table is the platform's table service.
type Table interface {
	// Commit applies the transaction if its conditions hold. Failed conditions
	// are reported in the result, not as an error.
	Commit(ctx context.Context, txn Txn) (Result, error)
	// Read returns the rows with the keys. Rows that do not exist have version
	// zero.
	Read(ctx context.Context, keys ...string) (View, error)
	// Changes returns the rows with the key prefix that were written after the
	// revision since. It includes deleted rows unless since is zero.
	Changes(ctx context.Context, prefix string, since uint64) (View, error)
}
