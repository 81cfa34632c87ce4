package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as its pages state them.
const (
	rowBytes        = 65536
	nameBytes       = 200
	entriesPerCall  = 100
	callBytes       = 1 << 20
	rowsPerPage     = 500
	transactionTime = 4 * time.Millisecond
	historyTime     = 20 * time.Second
	feedPoll        = 20 * time.Millisecond
	maxFeedWait     = 30 * time.Second
	operatorTable   = "op"
	serversTable    = "servers"
)

// row is a row of the store, as its calls spell it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowID identifies a row.
type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// change is a version of a row in the history.
type change struct {
	row
	at time.Time
}

// store is a stand-in for the platform's store: versioned rows and atomic transactions.
type store struct {
	rec   *record
	began time.Time
	turn  sync.Mutex // held by the transaction that is carried out: a part handles one at a time

	mu      sync.Mutex
	rows    map[rowID]row
	history []change
	floor   uint64 // the history up to this version is dropped
	version uint64
	refused map[string]int // transactions refused, by reason
}

func newStore(rec *record) *store {
	return &store{rec: rec, began: time.Now(), rows: map[rowID]row{}, refused: map[string]int{}}
}

// put writes a row of the operator.
func (s *store) put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: operatorTable, Key: key, Value: b, Version: s.version})
	s.rec.add("operator writes %s, confirmed as version %d", key, s.version)
}

// write stores or removes a row. The caller holds s.mu.
func (s *store) write(r row) {
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, change{r, time.Now()})
	n := 0
	for n < len(s.history) && time.Since(s.history[n].at) > historyTime {
		s.floor = s.history[n].Version
		n++
	}
	s.history = slices.Delete(s.history, 0, n)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var code int
	var body map[string]any
	switch r.URL.Path {
	case "/rows-tx":
		code, body = s.transact(r)
	case "/rows-get":
		code, body = s.get(r.URL.Query())
	case "/rows-parts":
		code, body = http.StatusOK, map[string]any{"parts": []string{""}}
	case "/rows-feed":
		code, body = s.feed(r)
	default:
		code, body = http.StatusNotFound, map[string]any{}
	}
	body["now_ms"] = time.Since(s.began).Milliseconds()
	respond(w, code, body)
}

// respond writes a response with a JSON body.
func respond(w http.ResponseWriter, code int, body map[string]any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

// transaction is the body of a call that writes.
type transaction struct {
	Expect []row `json:"expect"`
	Writes []row `json:"writes"`
	Remove []row `json:"remove"`
	Across bool  `json:"across"`
}

// transact carries out a transaction.
func (s *store) transact(r *http.Request) (int, map[string]any) {
	var tx transaction
	b, err := readBody(r)
	if err == nil {
		err = json.Unmarshal(b, &tx)
	}
	if err == nil {
		err = tx.check(len(b))
	}
	if err != nil {
		s.noteRefusal(err)
		return http.StatusBadRequest, map[string]any{"error": err.Error()}
	}
	s.turn.Lock()
	defer s.turn.Unlock()
	time.Sleep(transactionTime)
	return s.apply(tx)
}

// check returns an error if a transaction exceeds a limit of the store.
func (tx *transaction) check(size int) error {
	if n := len(tx.Expect) + len(tx.Writes) + len(tx.Remove); n > entriesPerCall {
		return fmt.Errorf("%d entries in a call, at most %d are allowed", n, entriesPerCall)
	}
	if size > callBytes {
		return fmt.Errorf("a call of %d bytes, at most %d are allowed", size, callBytes)
	}
	for _, r := range slices.Concat(tx.Expect, tx.Writes, tx.Remove) {
		if max(len(r.Table), len(r.Part), len(r.Key)) > nameBytes {
			return fmt.Errorf("a key of %d bytes, at most %d are allowed", len(r.Key), nameBytes)
		}
		if r.Part != "" && !tx.Across {
			return fmt.Errorf("several parts in a call without across")
		}
		if len(r.Value) > rowBytes {
			return fmt.Errorf("row %s/%s of %d bytes, at most %d are allowed", r.Table, r.Key, len(r.Value), rowBytes)
		}
	}
	return nil
}

// noteRefusal counts a refused transaction, and records the first ones of each reason.
func (s *store) noteRefusal(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[err.Error()]++
	if n := s.refused[err.Error()]; n <= 3 {
		s.rec.add("store answers 400 to a transaction: %v", err)
	}
}

// apply applies a transaction if the versions that it expects hold.
func (s *store) apply(tx transaction) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, holds := []row{}, true
	for _, e := range tx.Expect {
		x, ok := s.rows[e.id()]
		if ok {
			found = append(found, x)
		}
		holds = holds && x.Version == e.Version
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"rows": found, "ver": s.version}
	}
	for _, x := range slices.Concat(tx.Writes, tx.Remove) {
		if x.Table == operatorTable || x.Table == serversTable {
			return http.StatusForbidden, map[string]any{}
		}
	}
	s.version++
	for _, x := range tx.Writes {
		x.Version, x.Deleted = s.version, false
		s.write(x)
	}
	for _, x := range tx.Remove {
		s.write(row{Table: x.Table, Part: x.Part, Key: x.Key, Version: s.version, Deleted: true})
	}
	return http.StatusOK, map[string]any{"ver": s.version}
}

// get returns a page of rows.
func (s *store) get(q url.Values) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for id, x := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") &&
			(q.Get("target") == "" || id.key < q.Get("target")) {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > rowsPerPage {
		limit = rowsPerPage
	}
	n, size := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value) <= callBytes/2) {
		size += len(rows[n].Value)
		n++
	}
	return http.StatusOK, map[string]any{"rows": rows[:n], "has_more": n < len(rows), "ver": s.version}
}

// feed returns the rows that were changed after a version, once there is one.
func (s *store) feed(r *http.Request) (int, map[string]any) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.Now().Add(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	for {
		rows, version, ok := s.changes(q.Get("table"), after)
		if !ok {
			return http.StatusGone, map[string]any{}
		}
		if len(rows) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			return http.StatusOK, map[string]any{"rows": rows, "ver": version}
		}
		time.Sleep(feedPoll)
	}
}

// changes returns the newest version of each row of a table that was changed after a
// version. It reports false if that history is dropped.
func (s *store) changes(table string, after uint64) (rows []row, version uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.floor {
		return nil, s.version, false
	}
	newest := map[rowID]row{}
	for _, c := range s.history {
		if c.Table == table && c.Version > after {
			newest[c.id()] = c.row
		}
	}
	rows = slices.SortedFunc(maps.Values(newest), func(a, b row) int { return cmp.Compare(a.Version, b.Version) })
	if rows == nil {
		rows = []row{}
	}
	return rows, s.version, true
}
