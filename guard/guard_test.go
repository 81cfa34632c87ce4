package guard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/guard"
)

const (
	peers guard.Source = iota
	callers
)

var begin = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// A crowd sends bodies that stop short of their end. An ordinary caller comes after it: the
// crowd's connections are closed, never the caller's.
func TestCrowdIsClosedBeforeCallers(t *testing.T) {
	g := guard.New(guard.Limits{Bytes: 10_000_000, Conns: 1000})
	crowd := map[*guard.Conn]bool{}
	now := begin
	closed := 0
	for range 300 {
		now = now.Add(time.Millisecond)
		c, vs := g.Add(now, callers)
		crowd[c] = true
		closed += len(vs) + len(g.Take(now, c, 250_000))
	}
	assert.Equal(t, closed, 260)
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		c, vs := g.Add(now, callers)
		for _, v := range append(vs, g.Take(now, c, 20_000)...) {
			assert.Assert(t, crowd[v], "an ordinary caller is closed")
		}
		g.Whole(c)
	}
	bytes, _ := g.Held()
	assert.Assert(t, bytes <= 10_000_000)
}

// Callers hold all that clients may hold: the connection of a peer is left alone.
func TestPeersAreLeftAloneBesideCrowdOfCallers(t *testing.T) {
	g := guard.New(guard.Limits{Bytes: 1_000_000, Conns: 1000})
	peer, _ := g.Add(begin, peers)
	now := begin
	for range 100 {
		now = now.Add(time.Second)
		for _, v := range g.Take(now, peer, 5000) {
			assert.Assert(t, v != peer)
		}
		c, _ := g.Add(now, callers)
		for _, v := range g.Take(now, c, 100_000) {
			assert.Assert(t, v != peer)
		}
	}
}

// Requests that came whole are not closed, however much they hold; one that comes then is.
func TestWholeRequestsAreNotClosed(t *testing.T) {
	g := guard.New(guard.Limits{Bytes: 1000, Conns: 10})
	c, _ := g.Add(begin, callers)
	assert.Equal(t, len(g.Take(begin, c, 1000)), 0)
	g.Whole(c)
	late, _ := g.Add(begin, callers)
	vs := g.Take(begin.Add(time.Second), late, 1)
	assert.Equal(t, len(vs), 1)
	assert.Equal(t, vs[0], late)
	g.Rest(begin, c)
	next, _ := g.Add(begin, callers)
	assert.Equal(t, len(g.Take(begin, next, 1000)), 0)
}

// With too many connections, the one that has rested longest goes, not the one that comes.
func TestConnectionsAreBounded(t *testing.T) {
	g := guard.New(guard.Limits{Bytes: 1000, Conns: 3})
	now := begin
	var first *guard.Conn
	for i := range 4 {
		now = now.Add(time.Second)
		c, vs := g.Add(now, callers)
		if i == 0 {
			first = c
		}
		if i < 3 {
			assert.Equal(t, len(vs), 0)
			g.Rest(now, c)
			continue
		}
		assert.Equal(t, len(vs), 1)
		assert.Equal(t, vs[0], first)
	}
	_, conns := g.Held()
	assert.Equal(t, conns, 4, "a victim counts until it is removed")
}
