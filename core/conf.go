package core

import (
	"sort"
	"strings"

	"jayloft/table"
)

// confView is a process's copy of the configuration. The zero value is empty.
type confView struct {
	rows    map[string]confRow
	rev     uint64 // table version of KeyVersion; zero before the first read
	changes uint64 // number of changes, as shown to operators

	// serviceOfRoute and serviceOfName are the services of the queues, see serviceNow.
	serviceOfRoute map[Route]string
	serviceOfName  map[string]string

	delta      []table.Row // the last result of agentRowsSince; nil after a change
	deltaSince uint64      // the revision that delta was computed for
}

// confRow is a configuration row with its decoded record; the record is nil if the
// row was deleted.
type confRow struct {
	row table.Row
	rec Record
}

// apply merges changed rows that lead to revision rev. With monotonic set it never
// goes back: an older revision or row than the one held is skipped. Rows that
// can't be decoded are returned as errors and leave the held row unchanged.
func (v *confView) apply(rows []table.Row, rev uint64, full bool, monotonic bool) []error {
	if monotonic && rev < v.rev {
		return nil
	}
	if v.rows == nil || full {
		v.rows = map[string]confRow{}
		v.indexQueues()
	}
	v.delta = nil
	var errs []error
	for _, r := range rows {
		if old, ok := v.rows[r.Key]; ok && monotonic && old.row.Version >= r.Version {
			continue
		}
		if err := v.put(r); err != nil {
			errs = append(errs, err)
		}
	}
	v.rev = rev
	if ver, ok := v.rows[KeyVersion].rec.(VersionRow); ok {
		v.changes = ver.N
	}
	return errs
}

// put decodes a row and stores it in the view.
func (v *confView) put(r table.Row) error {
	row := confRow{row: r}
	if !r.Deleted {
		rec, err := Decode(r.Key, r.Value)
		if err != nil {
			return err
		}
		row.rec = rec
	}
	v.rows[r.Key] = row
	if r.Key == KeyQueues {
		v.indexQueues()
	}
	return nil
}

// agentRowsSince returns the rows for agents that were written after a revision, by key.
// The queues are not among them: agents make no use of them, and their row may be as large
// as all other rows together. Nearly all agents ask for the same revision, so the last
// result is cached.
func (v *confView) agentRowsSince(rev uint64) []table.Row {
	if v.delta != nil && v.deltaSince == rev {
		return v.delta
	}
	rows := []table.Row{}
	for key, r := range v.rows {
		if r.row.Version > rev && key != KeyQueues {
			rows = append(rows, r.row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	v.delta, v.deltaSince = rows, rev
	return rows
}

// version returns the table version of a row; zero if there is none.
func (v *confView) version(key string) uint64 {
	r := v.rows[key]
	if r.rec == nil {
		return 0
	}
	return r.row.Version
}

func (v *confView) dc(n DC) (DCRow, bool) {
	row, ok := v.rows[keyDC(n)].rec.(DCRow)
	return row, ok
}

func (v *confView) service(n string) (ServiceRow, bool) {
	row, ok := v.rows[keyService(n)].rec.(ServiceRow)
	return row, ok
}

func (v *confView) team(n Team) (TeamRow, bool) {
	row, ok := v.rows[keyTeam(n)].rec.(TeamRow)
	return row, ok
}

func (v *confView) policy(n string) (float64, bool) {
	row, ok := v.rows[keyPolicy(n)].rec.(PolicyRow)
	return row.Value, ok
}

// list returns the records under a key prefix, in no particular order.
func (v *confView) list(prefix string) []Record {
	var recs []Record
	for k, r := range v.rows {
		if r.rec != nil && strings.HasPrefix(k, prefix) {
			recs = append(recs, r.rec)
		}
	}
	return recs
}
