package io

import (
	"context"
	"errors"
	stdio "io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"jayloft/guard"
)

// bodyTimeout bounds the time for receiving a body.
const bodyTimeout = 10 * time.Second

// Shares of a process's memory.
const (
	// clientShare is the part of the memory that requests which are not handled yet may hold. A
	// request takes up to three times its bytes while it is decoded.
	clientShare = 24
	// connShare is the memory for each connection, in bytes.
	connShare = 192 << 10
	// heapShare is the part of the memory from which on garbage is collected more often, and
	// maxHeap its most, in bytes.
	heapShare = 3
	maxHeap   = 96 << 20
)

// ClientLimits returns what the clients of a process with this memory, in bytes, may hold together.
func ClientLimits(memory int64) guard.Limits {
	return guard.Limits{Bytes: memory / clientShare, Conns: int(memory / connShare)}
}

// BoundHeap has garbage collected more often once the heap takes a third of the memory, in bytes.
func BoundHeap(memory int64) { debug.SetMemoryLimit(min(memory/heapShare, maxHeap)) }

// Guard bounds what clients make a process hold, over all servers that share it. It closes
// connections by the decisions of package guard.
type Guard struct {
	log log.Interface

	mu       sync.Mutex
	guard    *guard.Guard
	sources  guard.Source // number of servers so far
	closed   int          // connections, since the last line in the log
	loggedAt time.Time

	closures metrics.Counter
}

// guardLogInterval is the least time between two lines about closed connections.
const guardLogInterval = time.Second

// NewGuard returns a guard that keeps the limits and counts the connections that it closes in the
// registry.
func NewGuard(l guard.Limits, lg log.Interface, r metrics.Registry) *Guard {
	return &Guard{log: lg, guard: guard.New(l), closures: metrics.GetOrRegisterCounter("clients.closed", r)}
}

// join returns the source of a further server.
func (g *Guard) join() guard.Source {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sources++
	return g.sources
}

// do applies a change and closes the connections that it names.
func (g *Guard) do(change func(now time.Time) []*guard.Conn) {
	g.mu.Lock()
	now := time.Now()
	victims := change(now)
	g.note(now, len(victims))
	g.mu.Unlock()
	for _, v := range victims {
		v.Handle()
	}
}

// note counts and logs closed connections. The caller holds g.mu.
func (g *Guard) note(now time.Time, n int) {
	if n == 0 {
		return
	}
	g.closures.Inc(int64(n))
	g.closed += n
	if now.Sub(g.loggedAt) < guardLogInterval {
		return
	}
	bytes, conns := g.guard.Held()
	g.log.WithField("connections", g.closed).WithField("held", bytes).WithField("open", conns).Info("clients closed")
	g.loggedAt, g.closed = now, 0
}

// guardedListener accepts connections that a guard watches.
type guardedListener struct {
	net.Listener
	guard  *Guard
	source guard.Source
}

// Accept waits for the next connection.
func (l *guardedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	gc := &guardedConn{Conn: c, guard: l.guard}
	l.guard.do(func(now time.Time) (victims []*guard.Conn) {
		gc.state, victims = l.guard.guard.Add(now, l.source)
		gc.state.Handle = gc.abort
		return victims
	})
	return gc, nil
}

// guardedConn is a connection that a guard watches.
type guardedConn struct {
	net.Conn
	guard *Guard
	state *guard.Conn
	once  sync.Once

	mu      sync.Mutex
	preface bool // the first bytes have been seen
	http2   bool // requests are multiplexed: their bodies are counted one by one
	readers int  // requests that have not come whole
	active  int  // requests that are not answered
}

// Read reads what the client sends, and counts it.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.isHTTP2(p[:n]) {
		c.guard.do(func(now time.Time) []*guard.Conn { return c.guard.guard.Take(now, c.state, int64(n)) })
	}
	return n, err
}

// isHTTP2 reports whether the connection began with the preface of HTTP/2, of which b may be the
// first bytes.
func (c *guardedConn) isHTTP2(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.preface {
		c.preface, c.http2 = true, len(b) >= len(http2Preface) && string(b[:len(http2Preface)]) == http2Preface
	}
	return c.http2
}

// http2Preface is what a client of HTTP/2 sends first.
const http2Preface = "PRI * HTTP/2"

// Close closes the connection.
func (c *guardedConn) Close() error {
	c.once.Do(func() {
		c.guard.mu.Lock()
		defer c.guard.mu.Unlock()
		c.guard.guard.Remove(c.state)
	})
	return c.Conn.Close()
}

// abort closes the connection at once, with what is not sent yet.
func (c *guardedConn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it, the kernel would keep what is not read
	}
	_ = c.Close() // the server notices when it reads next
}

// rest records that the connection has no unanswered request.
func (c *guardedConn) rest() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.guard.Rest(time.Now(), c.state)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn puts a connection into the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// guardBodies bounds the time for the bodies of requests, and tells the guard of their
// connection when they have come whole.
func guardBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*guardedConn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		b := &guardedBody{ReadCloser: r.Body, conn: c, rc: http.NewResponseController(w), counted: r.ProtoMajor > 1}
		b.begin(r.ContentLength != 0)
		defer b.end()
		r.Body = b
		h.ServeHTTP(w, r)
	})
}

// guardedBody is the body of a request on a connection that a guard watches.
type guardedBody struct {
	stdio.ReadCloser
	conn    *guardedConn
	rc      *http.ResponseController
	counted bool  // its bytes are counted here, as those of other requests share its connection
	bytes   int64 // counted so far
	reading bool
}

func (b *guardedBody) begin(hasBody bool) {
	b.reading = hasBody
	if hasBody {
		// A connection without deadlines is one of a test; it does without the timeout.
		_ = b.rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	}
	b.conn.begin(hasBody)
}

// Read reads a part of the body.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.counted && n > 0 {
		b.bytes += int64(n)
		b.conn.guard.do(func(now time.Time) []*guard.Conn { return b.conn.guard.guard.Take(now, b.conn.state, int64(n)) })
	}
	if errors.Is(err, stdio.EOF) && b.reading {
		b.reading = false
		_ = b.rc.SetReadDeadline(time.Time{})
		b.conn.whole()
	}
	return n, err // after any other error the deadline stands, as the server reads what is left
}

// end records that the request is answered.
func (b *guardedBody) end() {
	b.conn.answered(b.bytes, b.reading)
}

// begin records that the head of a request has come, and whether a body follows.
func (c *guardedConn) begin(hasBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active++
	if hasBody {
		c.readers++
	}
	c.updatePhase()
}

// whole records that a body has come whole.
func (c *guardedConn) whole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readers--
	c.updatePhase()
}

// answered records that a request whose body counted for n bytes is answered, and whether a part
// of the body was not read. The connection of HTTP/1 then still counts as one that sends.
func (c *guardedConn) answered(n int64, unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	if unread {
		c.readers--
	}
	if unread && c.http2 {
		c.updatePhase()
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.guard.Give(c.state, n)
	if c.http2 && c.active == 0 {
		c.guard.guard.Rest(time.Now(), c.state)
	}
}

// updatePhase tells the guard whether all requests have come whole. The caller holds c.mu.
func (c *guardedConn) updatePhase() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.readers == 0 {
		c.guard.guard.Whole(c.state)
		return
	}
	c.guard.guard.Reading(time.Now(), c.state)
}
