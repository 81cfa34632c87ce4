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

// sentRequest is a request of a load with its reply or error.
type sentRequest struct {
	id      string
	service string
	entry   string
	reply   reply
	err     error
}

// load is an open-loop load generator: it sends requests at a constant rate,
// without waiting for replies, round robin to the entries. A request that can't
// connect to one entry goes to the next.
type load struct {
	s        *system
	mu       sync.Mutex
	requests []sentRequest
	entries  []*entryProc
	stop     chan struct{}
	done     sync.WaitGroup
}

// requestInterval is the interval between two requests of a load.
const requestInterval = 20 * time.Millisecond

// startLoad starts a load. Two of three requests are lookups, which are
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

// setEntries sets the entries that receive the following requests.
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

// isDialError reports whether err is a failure to connect, so that the request
// can't have reached an entry.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// end stops the load, waits for the requests in flight and returns all requests.
func (l *load) end() []sentRequest {
	close(l.stop)
	l.done.Wait()
	return l.requests
}

// tally counts the requests of a load by outcome. A request that got no
// complete response counts as "cut".
type tally map[string]int

// checkRequests verifies the outcomes that callers received against the calls
// that the workers recorded, and counts them.
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
	s.t.Logf("outcomes: %v; %d requests", t, len(all))
	return t
}

func (s *system) checkRequest(q sentRequest, outcome string, calls int) {
	s.t.Helper()
	key := q.id
	if q.service == "lookup" {
		key = "word" + q.id[len("load"):]
	} else {
		assert.Check(s.t, calls <= 1, "%s is not idempotent but ran %d times", q.id, calls)
	}
	switch outcome {
	case "done":
		assert.Check(s.t, q.reply.status == http.StatusOK && q.reply.echoes(key), "%s: %s", q.id, q.reply.body)
		assert.Check(s.t, calls >= 1, "%s has outcome done but never ran", q.id)
	case "refused":
		assert.Check(s.t, calls == 0, "%s has outcome refused but ran %d times", q.id, calls)
	case "unknown", "failed", "cut":
	default:
		s.t.Errorf("%s: status %d, outcome %q, body %q", q.id, q.reply.status, outcome, q.reply.body)
	}
}
