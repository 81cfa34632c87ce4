// Package table describes the platform's transactional table, the only
// arbiter between VMs.
//
// The table holds versioned rows. A transaction lists conditions on row
// versions and writes; the platform applies all writes if all conditions hold,
// and none otherwise. Each transaction that commits raises the revision by one,
// and a row's version is the revision of its last write. Reads must be strongly
// consistent: a read that begins after a commit was answered sees that commit.
//
// # Usage
//
//	res, err := t.Commit(ctx, table.Txn{
//		Conds:  []table.Cond{{Key: "fence/w1", Version: 0}},
//		Writes: []table.Write{{Key: "job/3/a", Value: b}},
//	})
//
// An error other than ErrNotSent means that the transaction may or may not have
// taken effect: read the rows again to find out which.
package table

import (
	"context"
	"errors"
)

// ErrNotSent says that a transaction never left this process.
var ErrNotSent = errors.New("table: not sent")

// Row is one row as of some revision. Deleted rows are seen only in Changes.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
	Deleted bool
}

// Cond requires that the row has the version; zero means that it is absent.
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
	// Revision is the one that the transaction made, if committed.
	Revision uint64
	// Conflicts holds the current rows of the conditions that failed. An
	// absent row has version zero.
	Conflicts []Row
}

// View is the rows of a read and the revision they are from.
type View struct {
	Rows     []Row
	Revision uint64
}

// Table is the platform's table service.
type Table interface {
	// Commit applies the transaction if its conditions hold.
	Commit(ctx context.Context, txn Txn) (Result, error)
	// Read returns the named rows; absent ones have version zero.
	Read(ctx context.Context, keys ...string) (View, error)
	// Changes returns the rows below the prefix that were written after the
	// revision since, deleted ones included unless since is zero.
	Changes(ctx context.Context, prefix string, since uint64) (View, error)
}
