package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as a small site's settings name them.
const (
	maxTxnEntries = 100
	maxRowBytes   = 65536
	maxPageRows   = 500
	txnTime       = 4 * time.Millisecond
)

// row is a row of the store. Its value is kept as it was sent, in base64.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	history []row
	version uint64
	began   time.Time
}

func newStore() *store { return &store{rows: map[string]row{}, began: time.Now()} }

// put writes a row as the operator does. The value is in base64.
func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: value, Version: s.version})
}

func (s *store) write(r row) {
	s.history = append(s.history, r)
	if r.Deleted {
		delete(s.rows, r.id())
		return
	}
	s.rows[r.id()] = r
}

// rowsAnswer is the body of an answer about rows.
type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"ver"`
	Now     int64  `json:"now_ms"`
}

func (s *store) answer(w http.ResponseWriter, code int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	writeJSON(w, code, rowsAnswer{Rows: rows, More: more, Version: s.version, Now: time.Since(s.began).Milliseconds()})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.handleTxn)
	mux.HandleFunc("GET /rows-get", s.handleGet)
	mux.HandleFunc("GET /rows-feed", s.handleFeed)
	return mux
}

// txn is a transaction.
type txn struct {
	Expect []row `json:"expect"`
	Writes []row `json:"writes"`
	Remove []row `json:"remove"`
}

// valid reports whether the store accepts a transaction of this form.
func (t txn) valid() bool {
	if len(t.Expect)+len(t.Writes)+len(t.Remove) > maxTxnEntries {
		return false
	}
	tooLarge := func(r row) bool { return len(r.Value)*3/4 > maxRowBytes || r.Table == "op" || r.Table == "servers" }
	return !slices.ContainsFunc(t.Writes, tooLarge)
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || !t.valid() {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	time.Sleep(txnTime) // one part carries out one transaction after the other
	var current []row
	failed := false
	for _, c := range t.Expect {
		now, ok := s.rows[c.id()]
		if ok {
			current = append(current, now)
		}
		failed = failed || now.Version != c.Version
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, x := range t.Writes {
		x.Version = s.version
		s.write(x)
	}
	for _, x := range t.Remove {
		s.write(row{Table: x.Table, Part: x.Part, Key: x.Key, Version: s.version, Deleted: true})
	}
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, limit)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, x := range s.rows {
		below := q.Get("target") == "" || x.Key < q.Get("target")
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && below {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(len(rows), limit)], more)
}

func (s *store) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, x := range s.history {
		if x.Table == q.Get("table") && x.Version > after {
			rows = append(rows, x)
		}
	}
	s.answer(w, http.StatusOK, rows, false)
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}
