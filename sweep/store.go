package sweep

import (
	"maps"
	"slices"
	"strings"
	"time"

	"jayloft/core"
	"jayloft/table"
)

// store is the platform's table.
type store struct {
	rows     map[string]table.Row
	revision uint64
	downTo   time.Duration // refuses every call until then
}

func (s *store) init(rows map[string]core.Record) {
	s.rows = map[string]table.Row{}
	var txn table.Txn
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		b, err := core.Encode(rows[key])
		if err != nil {
			panic(err) // the rows are made by this package
		}
		txn.Writes = append(txn.Writes, table.Write{Key: key, Value: b})
	}
	s.commit(txn)
}

func (s *store) get(key string) table.Row {
	r, ok := s.rows[key]
	if !ok || r.Deleted {
		return table.Row{Key: key}
	}
	return r
}

func (s *store) commit(txn table.Txn) table.Result {
	var res table.Result
	for _, c := range txn.Conds {
		if r := s.get(c.Key); r.Version != c.Version {
			res.Conflicts = append(res.Conflicts, r)
		}
	}
	if len(res.Conflicts) > 0 {
		return res
	}
	s.revision++
	for _, w := range txn.Writes {
		s.rows[w.Key] = table.Row{Key: w.Key, Version: s.revision, Value: w.Value, Deleted: w.Delete}
	}
	return table.Result{Committed: true, Revision: s.revision}
}

func (s *store) read(keys []string) table.View {
	v := table.View{Revision: s.revision}
	for _, k := range keys {
		v.Rows = append(v.Rows, s.get(k))
	}
	return v
}

func (s *store) changes(prefix string, since uint64) table.View {
	v := table.View{Revision: s.revision}
	if since == s.revision {
		return v
	}
	for k, r := range s.rows {
		if strings.HasPrefix(k, prefix) && r.Version > since && (since > 0 || !r.Deleted) {
			v.Rows = append(v.Rows, r)
		}
	}
	slices.SortFunc(v.Rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	return v
}

// tableTime is how long the table takes for a call.
const tableTime = 3 * time.Millisecond

// ask carries out one call of the table by an entry.
func ask[A any](e *entry, do func(*store) A, done func(A, core.Fault)) {
	s := e.sim
	s.after(tableTime/2, func() {
		var a A
		if s.now < s.store.downTo {
			s.after(tableTime/2, func() { done(a, core.FaultNoAnswer) })
			return
		}
		a = do(&s.store)
		s.after(tableTime/2, func() { done(a, core.FaultNone) })
	})
}
