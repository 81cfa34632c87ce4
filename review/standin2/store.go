package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of an answer of the store.
const (
	maxRows     = 500
	maxEntries  = 100
	maxFeedWait = 30 * time.Second
)

// rowKey names a row.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row as the store answers it.
type row struct {
	rowKey
	Value   string `json:"value,omitempty"` // base64
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// transaction is the body of a write call.
type transaction struct {
	Expect []struct {
		rowKey
		Version uint64 `json:"ver"`
	} `json:"expect"`
	Writes []struct {
		rowKey
		Value string `json:"value"`
	} `json:"writes"`
	Remove []rowKey `json:"remove"`
}

// store stands in for the platform's store in table form. It loses nothing, and its answers are
// linearizable.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row // all changes, in order of their versions
	version uint64
}

func newStore() *store { return &store{began: time.Now(), rows: map[rowKey]row{}} }

// handler returns the handler of the store's calls.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /rows-get", s.serveRows)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	return mux
}

// put writes a row of the operator.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{rowKey: rowKey{Table: "op", Key: key}, Value: encodeBase64(value), Version: s.version})
}

// set stores a row. The caller holds s.mu.
func (s *store) set(r row) {
	s.history = append(s.history, r)
	if r.Deleted {
		delete(s.rows, r.rowKey)
		return
	}
	s.rows[r.rowKey] = r
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(t.Expect)+len(t.Writes)+len(t.Remove) > maxEntries {
		http.Error(w, "too many entries", http.StatusBadRequest)
		return
	}
	for _, wr := range t.Writes {
		if wr.Table == "op" || wr.Table == "servers" {
			http.Error(w, "not the system's table", http.StatusForbidden)
			return
		}
	}
	time.Sleep(transactionTime)
	conflicts, ok := s.apply(t)
	if !ok {
		s.answer(w, http.StatusPreconditionFailed, conflicts, false)
		return
	}
	s.answer(w, http.StatusOK, nil, false)
}

// transactionTime is how long a transaction takes.
const transactionTime = 4 * time.Millisecond

// apply applies a transaction if its conditions hold, and otherwise returns the rows that they
// name.
func (s *store) apply(t transaction) ([]row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var named []row
	holds := true
	for _, e := range t.Expect {
		r, ok := s.rows[e.rowKey]
		if ok {
			named = append(named, r)
		}
		holds = holds && r.Version == e.Version
	}
	if !holds {
		return named, false
	}
	s.version++
	for _, wr := range t.Writes {
		s.set(row{rowKey: wr.rowKey, Value: wr.Value, Version: s.version})
	}
	for _, k := range t.Remove {
		if _, ok := s.rows[k]; ok {
			s.set(row{rowKey: k, Version: s.version, Deleted: true})
		}
	}
	return nil, true
}

// answer writes rows together with the newest version.
func (s *store) answer(w http.ResponseWriter, code int, rows []row, more bool) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	s.answerAt(w, code, rows, more, version)
}

func (s *store) answerAt(w http.ResponseWriter, code int, rows []row, more bool, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	writeJSON(w, code, map[string]any{
		"rows": rows, "has_more": more, "ver": version, "now_ms": time.Since(s.began).Milliseconds(),
	})
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, maxRows)
	}
	s.mu.Lock()
	var rows []row
	for k, r := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("target") == "" || k.Key < q.Get("target")) {
			rows = append(rows, r)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return compareText(a.Key, b.Key) })
	more := len(rows) > limit
	s.answerAt(w, http.StatusOK, rows[:min(len(rows), limit)], more, version)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is missing", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.Now().Add(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	rows, version := s.changes(q.Get("table"), after)
	for len(rows) == 0 && time.Now().Before(until) && r.Context().Err() == nil {
		time.Sleep(transactionTime)
		rows, version = s.changes(q.Get("table"), after)
	}
	s.answerAt(w, http.StatusOK, rows, false, version)
}

// changes returns the changes of a table after a version, and the newest version.
func (s *store) changes(table string, after uint64) ([]row, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
			rows = append(rows, r)
		}
	}
	return rows, s.version
}
