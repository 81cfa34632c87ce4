package fake

import (
	"sort"
	"strings"
	"time"

	"jayloft/core"
	"jayloft/table"
)

// store is the platform's table.
type store struct {
	w        *World
	proc     *proc
	rows     map[string]table.Row
	keys     []string // sorted
	revision uint64
	down     int
	slow     time.Duration  // added at most
	lose     float64        // chance that an answer is lost after the change
	late     float64        // chance that a commit takes effect after its answer is given up
	unread   map[unread]int // reads that get no answer
	writes   rate
	reads    rate
}

// unread names a process's reads of keys with a prefix.
type unread struct {
	proc   *proc
	prefix string
}

// failsRead reports whether a process's read of a key or prefix gets no answer.
func (s *store) failsRead(from *proc, key string) bool {
	for u, n := range s.unread {
		if n > 0 && u.proc == from && strings.HasPrefix(key, u.prefix) {
			return true
		}
	}
	return false
}

func newStore(w *World) *store {
	s := &store{w: w, rows: make(map[string]table.Row), unread: make(map[unread]int), proc: w.newProc("table", "table")}
	w.boot(s.proc)
	return s
}

// seed writes the configuration that every World starts with.
func (s *store) seed() {
	var writes []table.Write
	add := func(key string, r core.Record) {
		b, err := core.Encode(r)
		if err != nil {
			panic(err)
		}
		writes = append(writes, table.Write{Key: key, Value: b})
	}
	for i := range s.w.cfg.dcs {
		add(core.PrefixConfig+"dc/"+string(dcName(i)), core.DCRow{Name: dcName(i)})
	}
	for _, r := range s.w.cfg.services {
		add(core.PrefixConfig+"service/"+r.Name, r)
	}
	for _, r := range s.w.cfg.teams {
		add(core.PrefixConfig+"team/"+string(r.Name), r)
	}
	add(core.KeyQueues, queueRow())
	add(core.KeyVersion, core.VersionRow{N: 1})
	s.apply(table.Txn{Writes: writes})
}

// apply runs a transaction against the rows.
func (s *store) apply(txn table.Txn) table.Result {
	var res table.Result
	for _, c := range txn.Conds {
		r, ok := s.rows[c.Key]
		if !ok {
			r = table.Row{Key: c.Key}
		}
		if r.Deleted {
			r = table.Row{Key: c.Key}
		}
		if r.Version != c.Version {
			res.Conflicts = append(res.Conflicts, r)
		}
	}
	if len(res.Conflicts) > 0 {
		return res
	}
	s.revision++
	before := make([]table.Row, 0, len(txn.Writes))
	for _, x := range txn.Writes {
		old, ok := s.rows[x.Key]
		if !ok {
			i := sort.SearchStrings(s.keys, x.Key)
			s.keys = append(s.keys, "")
			copy(s.keys[i+1:], s.keys[i:])
			s.keys[i] = x.Key
		}
		before = append(before, old)
		s.rows[x.Key] = table.Row{Key: x.Key, Version: s.revision, Value: x.Value, Deleted: x.Delete}
	}
	s.w.oracle.committed(txn, before, s.revision)
	return table.Result{Committed: true, Revision: s.revision}
}

func (s *store) read(keys []string) table.View {
	v := table.View{Revision: s.revision}
	for _, k := range keys {
		r, ok := s.rows[k]
		if !ok || r.Deleted {
			r = table.Row{Key: k}
		}
		v.Rows = append(v.Rows, r)
	}
	return v
}

func (s *store) changes(prefix string, since uint64) table.View {
	v := table.View{Revision: s.revision}
	for i := sort.SearchStrings(s.keys, prefix); i < len(s.keys); i++ {
		if !strings.HasPrefix(s.keys[i], prefix) {
			break
		}
		r := s.rows[s.keys[i]]
		if r.Version > since && (since > 0 || !r.Deleted) {
			v.Rows = append(v.Rows, r)
		}
	}
	return v
}

// tableLimit is how long an entry waits for the table.
const tableLimit = 2 * time.Second

// answer is what the table says, of one kind.
type answer struct {
	res  table.Result
	view table.View
}

// ask carries out one call of the table with the faults that are on.
func (s *store) ask(from *proc, do func() answer, done func(answer, core.Fault)) {
	send(s.w, request[answer]{
		from: from, to: s.proc, limit: tableLimit, done: done,
		serve: func(reply func(answer)) { s.serve(do, reply) },
	})
}

func (s *store) serve(do func() answer, reply func(answer)) {
	if s.down > 0 {
		if s.w.chance(s.late) {
			s.w.after(s.w.between(0, 2*tableLimit), func() { do() })
		}
		return
	}
	run := func() {
		a := do()
		if s.w.chance(s.late) { // doubled within the platform
			s.w.after(s.w.between(0, 2*tableLimit), func() { do() })
		}
		if !s.w.chance(s.lose) {
			reply(a)
		}
	}
	if s.slow > 0 {
		s.w.after(s.w.between(0, s.slow), run)
		return
	}
	run()
}

func (s *store) commit(from *proc, txn table.Txn, done func(table.Result, core.Fault)) {
	s.writes.add(s.w.now)
	s.ask(from, func() answer { return answer{res: s.apply(txn)} },
		func(a answer, f core.Fault) { done(a.res, f) })
}

// view reads rows, of which key is the first one's key or the prefix.
func (s *store) view(from *proc, key string, read func() table.View, done func(table.View, core.Fault)) {
	s.reads.add(s.w.now)
	if s.failsRead(from, key) {
		life := from.life
		s.w.after(tableLimit, func() {
			s.w.deliver(from, life, func() { done(table.View{}, core.FaultNoAnswer) })
		})
		return
	}
	s.ask(from, func() answer { return answer{view: read()} },
		func(a answer, f core.Fault) { done(a.view, f) })
}
