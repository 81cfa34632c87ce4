package stand

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"

	"jayloft/table"
)

// Table is the platform's table, kept in memory. It implements table.Table.
// The rows that it returns must not be changed.
type Table struct {
	gate

	mu       sync.Mutex
	revision uint64
	rows     map[string]table.Row // deleted ones included
	log      []change             // in order of version
}

// change says that a version of a row was written. It is out of date if the
// row has a later version.
type change struct {
	version uint64
	key     string
}

// logSlack is how many changes out of date the log may hold beside as many as
// there are rows.
const logSlack = 1024

var _ table.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable(opts ...Option) *Table {
	return &Table{gate: newGate("table", opts), rows: map[string]table.Row{}}
}

// Commit applies a transaction if its conditions hold. It returns ErrDown or
// ErrBudget if it had no effect and ErrLost if it may have had.
func (t *Table) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	if err := check(txn); err != nil {
		return table.Result{}, err
	}
	if err := t.write(ctx, len(txn.Writes)); err != nil {
		return table.Result{}, err
	}
	res := t.apply(txn)
	if t.loses() {
		return table.Result{}, ErrLost
	}
	return res, nil
}

// check returns all that is wrong with a transaction.
func check(txn table.Txn) error {
	var errs []error
	seen := map[string]bool{}
	for i, w := range txn.Writes {
		switch {
		case w.Key == "":
			errs = append(errs, fmt.Errorf("stand: write %d has no key", i))
		case seen[w.Key]:
			errs = append(errs, fmt.Errorf("stand: write %d: second write of %q", i, w.Key))
		}
		seen[w.Key] = true
	}
	for i, c := range txn.Conds {
		if c.Key == "" {
			errs = append(errs, fmt.Errorf("stand: condition %d has no key", i))
		}
	}
	return errors.Join(errs...)
}

func (t *Table) apply(txn table.Txn) table.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflicts []table.Row
	for _, c := range txn.Conds {
		if row := t.row(c.Key); row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		t.record(KindConflict, firstKeys(conflicts, func(r table.Row) string { return r.Key }))
		return table.Result{Conflicts: conflicts, Revision: t.revision}
	}
	t.revision++
	for _, w := range txn.Writes {
		row := table.Row{Key: w.Key, Version: t.revision, Deleted: w.Delete}
		if !w.Delete {
			row.Value = slices.Clone(w.Value)
		}
		t.rows[w.Key] = row
		t.log = append(t.log, change{t.revision, w.Key})
	}
	t.compact()
	t.record(KindCommit, firstKeys(txn.Writes, func(w table.Write) string { return w.Key }))
	return table.Result{Committed: true, Revision: t.revision}
}

func (t *Table) record(kind Kind, detail string) {
	t.journal.Add(Entry{At: t.clock(), Kind: kind, Subject: strconv.FormatUint(t.revision, 10), Detail: detail})
}

// row returns a row as Read shows it: a deleted one is absent.
func (t *Table) row(key string) table.Row {
	r, ok := t.rows[key]
	if !ok || r.Deleted {
		return table.Row{Key: key}
	}
	return r
}

// compact drops the changes that are out of date when they are many.
func (t *Table) compact() {
	if len(t.log) > 2*len(t.rows)+logSlack {
		t.log = slices.DeleteFunc(t.log, func(c change) bool { return t.rows[c.key].Version != c.version })
	}
}

// Read returns the named rows; absent ones have version zero.
func (t *Table) Read(ctx context.Context, keys ...string) (table.View, error) {
	if err := t.read(ctx); err != nil {
		return table.View{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v := table.View{Revision: t.revision, Rows: make([]table.Row, 0, len(keys))}
	for _, k := range keys {
		v.Rows = append(v.Rows, t.row(k))
	}
	return v, nil
}

// Changes returns the rows below the prefix that were written after the
// revision since, in order of their keys.
func (t *Table) Changes(ctx context.Context, prefix string, since uint64) (table.View, error) {
	if err := t.read(ctx); err != nil {
		return table.View{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v := table.View{Revision: t.revision}
	first := sort.Search(len(t.log), func(i int) bool { return t.log[i].version > since })
	for _, c := range t.log[first:] {
		r := t.rows[c.key]
		if r.Version == c.version && strings.HasPrefix(c.key, prefix) && (since > 0 || !r.Deleted) {
			v.Rows = append(v.Rows, r)
		}
	}
	slices.SortFunc(v.Rows, func(a, b table.Row) int { return cmp.Compare(a.Key, b.Key) })
	return v, nil
}

// shownKeys is how many keys of a transaction the journal shows.
const shownKeys = 8

// firstKeys returns how many rows there are and the keys of the first.
func firstKeys[T any](rows []T, key func(T) string) string {
	s := "rows=" + strconv.Itoa(len(rows))
	for _, r := range rows[:min(len(rows), shownKeys)] {
		s += " " + key(r)
	}
	return s
}
