// Package guard decides which connections a process closes when its clients hold too much of its
// memory.
//
// The load pattern it answers: many clients at once send heads or bodies, each of legal size, most
// of them stop just short of the end and stay connected. Each such client is cheap for itself and
// costs the process what it has sent. A bound on each connection can't help, as the sum is what
// counts, and a bound on the sum that refuses whoever comes next would refuse ordinary callers
// while the crowd stays.
//
// A Guard keeps the sum of what all connections of a process hold: the bytes that came and whose
// request is not handled yet. Beyond its limits, it names a connection to close: of the address
// whose connections hold most, the one whose unfinished request has held most bytes for the
// longest time. A request that came whole is never a victim, and no connection of a peer is one
// while callers hold more than the peers do.
//
// # Usage
//
//	g := guard.New(guard.Limits{Bytes: 8 << 20, Conns: 1000})
//	c := g.Add(now, callers)            // accepted
//	for _, v := range g.Take(now, c, n) { // n bytes were read
//		v.Close() // by its Handle
//	}
//	g.Whole(c)   // the request has come whole
//	g.Rest(now, c) // it is answered; the connection is idle
//	g.Remove(c)  // closed
package guard

import "time"

// Limits bound what the clients of a process hold together.
type Limits struct {
	Bytes int64 // of requests that are not handled yet
	Conns int   // open connections
}

// connBytes is what a connection counts for beside its bytes, in bytes: its buffers and stacks.
const connBytes = 16 << 10

// Source is one of the addresses at which a process accepts connections.
type Source int

// phase is how far the request on a connection has come.
type phase uint8

const (
	idle    phase = iota // no part of a request has come
	reading              // a part of a request has come, or nothing since the connection was accepted
	whole                // the request is being handled
)

// Conn is an open connection.
type Conn struct {
	// Handle closes the connection of a victim; the owner of the Guard sets it.
	Handle func()

	source Source
	phase  phase
	since  time.Time // when the phase began
	bytes  int64
	closed bool // it has been a victim
	n      int  // index in Guard.conns
}

// Guard keeps what the connections of a process hold. It is not safe for concurrent use.
type Guard struct {
	limits Limits
	conns  []*Conn
	bytes  int64
	held   map[Source]int64 // bytes, and connBytes for each connection
}

// New returns a guard that keeps the limits.
func New(l Limits) *Guard { return &Guard{limits: l, held: map[Source]int64{}} }

// Held returns the bytes that are held, and the number of connections.
func (g *Guard) Held() (bytes int64, conns int) { return g.bytes, len(g.conns) }

// Add records a connection that was accepted, and returns the connections to close.
func (g *Guard) Add(now time.Time, s Source) (c *Conn, victims []*Conn) {
	c = &Conn{source: s, phase: reading, since: now, n: len(g.conns)}
	g.conns = append(g.conns, c)
	g.held[s] += connBytes
	return c, g.victims(now)
}

// Remove forgets a connection that was closed.
func (g *Guard) Remove(c *Conn) {
	if c.n >= len(g.conns) || g.conns[c.n] != c {
		return
	}
	g.release(c)
	if !c.closed {
		g.held[c.source] -= connBytes
	}
	last := g.conns[len(g.conns)-1]
	g.conns[c.n], last.n = last, c.n
	g.conns = g.conns[:len(g.conns)-1]
}

// Take records that n bytes of a request were read, and returns the connections to close.
func (g *Guard) Take(now time.Time, c *Conn, n int64) []*Conn {
	if c.closed {
		return nil
	}
	if c.phase == idle {
		c.phase, c.since = reading, now
	}
	c.bytes += n
	g.bytes += n
	g.held[c.source] += n
	return g.victims(now)
}

// Whole records that all requests on the connection that have begun have come whole.
func (g *Guard) Whole(c *Conn) { c.phase = whole }

// Reading records that a further request on the connection has begun.
func (g *Guard) Reading(now time.Time, c *Conn) {
	if c.phase != reading {
		c.phase, c.since = reading, now
	}
}

// Give records that n bytes were handled.
func (g *Guard) Give(c *Conn, n int64) {
	n = min(n, c.bytes)
	c.bytes -= n
	g.bytes -= n
	g.held[c.source] -= n
}

// Rest records that the connection has no request that is not answered.
func (g *Guard) Rest(now time.Time, c *Conn) {
	if c.closed {
		return
	}
	g.release(c)
	c.phase, c.since = idle, now
}

func (g *Guard) release(c *Conn) { g.Give(c, c.bytes) }

// victims returns the connections to close so that the limits hold. What they hold counts no more.
func (g *Guard) victims(now time.Time) (vs []*Conn) {
	open := 0
	if len(g.conns) > g.limits.Conns {
		for _, c := range g.conns {
			if !c.closed {
				open++
			}
		}
	}
	for g.bytes > g.limits.Bytes || open > g.limits.Conns {
		v := g.victim(now, open > g.limits.Conns)
		if v == nil {
			return vs
		}
		g.release(v)
		v.closed = true
		g.held[v.source] -= connBytes
		vs = append(vs, v)
		open--
	}
	return vs
}

// victim returns the connection to close next: of the address that holds most, the one whose
// unfinished request costs most. If connections are too many, idle ones count too: their clients
// lose nothing.
func (g *Guard) victim(now time.Time, mayRest bool) (v *Conn) {
	s := g.heaviest()
	for _, c := range g.conns {
		if c.source != s || c.closed || c.phase == whole || c.phase == idle && !mayRest {
			continue
		}
		if v == nil || c.cost(now) > v.cost(now) {
			v = c
		}
	}
	return v
}

// heaviest returns the address whose connections hold most.
func (g *Guard) heaviest() (most Source) {
	first := true
	for s, n := range g.held {
		if first || n > g.held[most] || n == g.held[most] && s < most {
			most, first = s, false
		}
	}
	return most
}

// cost returns the bytes that a connection holds times the seconds for which it has held them.
func (c *Conn) cost(now time.Time) float64 {
	return float64(c.bytes+connBytes) * now.Sub(c.since).Seconds()
}
