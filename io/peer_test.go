package io

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/wire"
)

// slowAgent answers every request after a while.
type slowAgent struct {
	wire.UnimplementedAgentServiceHandler
	wait time.Duration
	gone chan struct{} // closed: hang up without an answer
}

func (a slowAgent) Serve(_ context.Context, r *connect.Request[wire.ServeRequest]) (*connect.Response[wire.ServeResponse], error) {
	if a.gone != nil {
		close(a.gone)
		select {}
	}
	time.Sleep(a.wait)
	return connect.NewResponse(&wire.ServeResponse{Id: r.Msg.GetId(), Outcome: "done"}), nil
}

func serveOn(ps *peers, addr netip.AddrPort, by time.Time) core.Fault {
	_, fault := call(ps, addr, by, &wire.ServeRequest{Id: "r"},
		func(p *peer, ctx context.Context, r *connect.Request[wire.ServeRequest]) (*connect.Response[wire.ServeResponse], error) {
			return p.serve(ctx, r)
		})
	return fault
}

// countingListener counts accepted connections.
type countingListener struct {
	net.Listener
	n atomic.Int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.n.Add(1)
	}
	return c, err
}

// testServer serves an agent and returns its address, the count of its
// connections and how to end it at once.
func testServer(t *testing.T, a slowAgent) (netip.AddrPort, *atomic.Int32, *http.Server) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	cl := &countingListener{Listener: ln}
	mux := http.NewServeMux()
	mux.Handle(wire.NewAgentServiceHandler(a))
	var ps http.Protocols
	ps.SetHTTP1(true)
	ps.SetUnencryptedHTTP2(true)
	srv := &http.Server{Handler: mux, Protocols: &ps, HTTP2: &http.HTTP2Config{MaxConcurrentStreams: streams}}
	go func() { _ = srv.Serve(cl) }()
	t.Cleanup(func() { _ = srv.Close() })
	return netip.MustParseAddrPort(ln.Addr().String()), &cl.n, srv
}

// TestFewConnectionsForEachPeer shows that many requests share one connection
// once those of the pool are busy.
func TestFewConnectionsForEachPeer(t *testing.T) {
	addr, conns, _ := testServer(t, slowAgent{wait: 20 * time.Millisecond})
	ps := newPeers()
	t.Cleanup(ps.close)
	for range 3 {
		var wg sync.WaitGroup
		var faults atomic.Int32
		for range 200 {
			wg.Go(func() {
				if serveOn(ps, addr, time.Now().Add(5*time.Second)) != core.FaultNone {
					faults.Add(1)
				}
			})
		}
		wg.Wait()
		assert.Equal(t, faults.Load(), int32(0))
	}
	assert.Assert(t, conns.Load() <= serveConns+1, "%d", conns.Load())
}

// newTestPeers returns peers whose requests go over the pool, or over the
// connection that all calls share.
func newTestPeers(t *testing.T, shared bool, addr netip.AddrPort) *peers {
	t.Helper()
	ps := newPeers()
	t.Cleanup(ps.close)
	for range serveConns {
		if shared {
			ps.get(addr).conns <- struct{}{}
		}
	}
	return ps
}

func TestFaults(t *testing.T) {
	t.Run("pool", func(t *testing.T) { testFaults(t, false) })
	t.Run("shared", func(t *testing.T) { testFaults(t, true) })
}

func testFaults(t *testing.T, shared bool) {
	t.Run("refused", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		assert.NilError(t, ln.Close())
		addr := netip.MustParseAddrPort(ln.Addr().String())
		fault := serveOn(newTestPeers(t, shared, addr), addr, time.Now().Add(time.Second))
		assert.Equal(t, fault, core.FaultNotSent)
	})
	t.Run("refused after it worked", func(t *testing.T) {
		addr, _, srv := testServer(t, slowAgent{})
		ps := newTestPeers(t, shared, addr)
		assert.Equal(t, serveOn(ps, addr, time.Now().Add(time.Second)), core.FaultNone)
		assert.NilError(t, srv.Close())
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, serveOn(ps, addr, time.Now().Add(time.Second)), core.FaultNotSent)
	})
	t.Run("deadline has passed", func(t *testing.T) {
		addr, conns, _ := testServer(t, slowAgent{})
		assert.Equal(t, serveOn(newTestPeers(t, shared, addr), addr, time.Now()), core.FaultNotSent)
		assert.Equal(t, conns.Load(), int32(0))
	})
	t.Run("deadline passes", func(t *testing.T) {
		addr, _, _ := testServer(t, slowAgent{wait: time.Second})
		fault := serveOn(newTestPeers(t, shared, addr), addr, time.Now().Add(50*time.Millisecond))
		assert.Equal(t, fault, core.FaultNoAnswer)
	})
	t.Run("hung up", func(t *testing.T) {
		gone := make(chan struct{})
		addr, _, srv := testServer(t, slowAgent{gone: gone})
		go func() {
			<-gone
			_ = srv.Close()
		}()
		fault := serveOn(newTestPeers(t, shared, addr), addr, time.Now().Add(5*time.Second))
		assert.Equal(t, fault, core.FaultNoAnswer)
	})
	t.Run("too many calls", func(t *testing.T) {
		addr, conns, _ := testServer(t, slowAgent{})
		ps := newTestPeers(t, shared, addr)
		p := ps.get(addr)
		for range peerCalls {
			assert.Assert(t, p.take())
		}
		assert.Equal(t, serveOn(ps, addr, time.Now().Add(time.Second)), core.FaultNotSent)
		assert.Equal(t, conns.Load(), int32(0))
	})
}
