package procs

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	jio "jayloft/io"
	"jayloft/stand"
)

// sentRequest is one request of a load and what came of it.
type sentRequest struct {
	id      string
	service string
	entry   string
	reply   reply
	err     error
}

// load sends requests at a steady rate, whatever becomes of them, in turn to
// entries that can be reached.
type load struct {
	s       *system
	mu      sync.Mutex
	requests     []sentRequest
	entries []*entryProc
	stop    chan struct{}
	done    sync.WaitGroup
}

// requestInterval is the time between two requests of a load.
const requestInterval = 20 * time.Millisecond

// startLoad begins a load. Two of three requests are lookups, which are
// idempotent, and one is a proof, which isn't.
func (s *system) startLoad() *load {
	l := &load{s: s, entries: s.entries, stop: make(chan struct{})}
	l.done.Go(func() {
		tick := time.NewTicker(requestInterval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-tick.C:
				l.done.Go(func() { l.send(n) })
			case <-l.stop:
				return
			}
		}
	})
	return l
}

// setEntries sets the entries that get requests from now on.
func (l *load) setEntries(entries ...*entryProc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
}

func (l *load) send(n int) {
	l.mu.Lock()
	entries := l.entries
	l.mu.Unlock()
	q := sentRequest{id: fmt.Sprintf("load%d", n), service: "lookup"}
	if n%3 == 0 {
		q.service = "proof"
	}
	for i := range entries {
		e := entries[(n+i)%len(entries)]
		q.entry = e.name
		if q.service == "proof" {
			q.reply, q.err = e.proof(q.id)
		} else {
			q.reply, q.err = e.lookup(q.id, fmt.Sprintf("word%d", n))
		}
		if !isDialError(q.err) {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, q)
}

// isDialError reports whether a request has surely not reached an entry.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// end ends the load and returns what it sent.
func (l *load) end() []sentRequest {
	close(l.stop)
	l.done.Wait()
	return l.requests
}

// tally counts the outcomes of a load; a broken connection counts as "cut".
type tally map[string]int

// checkRequests compares what callers were told with what the workers recorded.
func (s *system) checkRequests(all []sentRequest) tally {
	s.t.Helper()
	calls := map[string]int{}
	for _, e := range s.journals() {
		if e.Kind == stand.KindCall {
			calls[e.Subject]++
		}
	}
	t := tally{}
	for _, q := range all {
		outcome := q.reply.header.Get(jio.HeaderOutcome)
		if q.err != nil {
			outcome = "cut"
			s.t.Logf("%s %s at %s: %v", q.service, q.id, q.entry, q.err)
		}
		t[outcome]++
		if outcome != "done" {
			s.t.Logf("%s %s at %s: %d %s", q.service, q.id, q.entry, q.reply.status, q.reply.body)
		}
		s.checkRequest(q, outcome, calls[q.id])
	}
	s.t.Logf("outcomes: %v of %d", t, len(all))
	return t
}

func (s *system) checkRequest(q sentRequest, outcome string, calls int) {
	s.t.Helper()
	key := q.id
	if q.service == "lookup" {
		key = "word" + q.id[len("load"):]
	} else {
		assert.Check(s.t, calls <= 1, "%s ran %d times", q.id, calls)
	}
	switch outcome {
	case "done":
		assert.Check(s.t, q.reply.status == http.StatusOK && q.reply.echoes(key), "%s: %s", q.id, q.reply.body)
		assert.Check(s.t, calls >= 1, "%s is done but never ran", q.id)
	case "refused":
		assert.Check(s.t, calls == 0, "%s is refused but ran %d times", q.id, calls)
	case "unknown", "failed", "cut":
	default:
		s.t.Errorf("%s: status %d, outcome %q, body %q", q.id, q.reply.status, outcome, q.reply.body)
	}
}
