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

// slowAgent answers every request after the delay wait.
type slowAgent struct {
	wire.UnimplementedAgentServiceHandler
	wait   time.Duration
	hangUp chan struct{} // if set: closed by the first request, which gets no answer
}

func (a slowAgent) Serve(_ context.Context, r *connect.Request[wire.ServeRequest]) (*connect.Response[wire.ServeResponse], error) {
	if a.hangUp != nil {
		close(a.hangUp)
		select {}
	}
	time.Sleep(a.wait)
	return connect.NewResponse(&wire.ServeResponse{Id: r.Msg.GetId(), Outcome: "done"}), nil
}

func callServe(ps *peers, addr netip.AddrPort, deadline time.Time) core.Fault {
	_, fault := call(ps, addr, deadline, &wire.ServeRequest{Id: "r"},
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

// newTestServer serves an agent and returns its address, the number of
// connections accepted and the server.
func newTestServer(t *testing.T, a slowAgent) (netip.AddrPort, *atomic.Int32, *http.Server) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	cl := &countingListener{Listener: ln}
	mux := http.NewServeMux()
	mux.Handle(wire.NewAgentServiceHandler(a))
	var ps http.Protocols
	ps.SetHTTP1(true)
	ps.SetUnencryptedHTTP2(true)
	srv := &http.Server{Handler: mux, Protocols: &ps, HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams}}
	go func() { _ = srv.Serve(cl) }()
	t.Cleanup(func() { _ = srv.Close() })
	return netip.MustParseAddrPort(ln.Addr().String()), &cl.n, srv
}

// TestRequestsShareConnections checks that requests share one HTTP/2 connection
// while all connections of the pool are busy.
func TestRequestsShareConnections(t *testing.T) {
	addr, conns, _ := newTestServer(t, slowAgent{wait: 20 * time.Millisecond})
	ps := newPeers()
	t.Cleanup(ps.close)
	for range 3 {
		var wg sync.WaitGroup
		var faults atomic.Int32
		for range 200 {
			wg.Go(func() {
				if callServe(ps, addr, time.Now().Add(5*time.Second)) != core.FaultNone {
					faults.Add(1)
				}
			})
		}
		wg.Wait()
		assert.Equal(t, faults.Load(), int32(0))
	}
	assert.Assert(t, conns.Load() <= maxServeConns+1, "%d", conns.Load())
}

// newTestPeers returns peers whose requests use the HTTP/1 pool or, if shared is
// true, the shared HTTP/2 connection.
func newTestPeers(t *testing.T, shared bool, addr netip.AddrPort) *peers {
	t.Helper()
	ps := newPeers()
	t.Cleanup(ps.close)
	for range maxServeConns {
		if shared {
			ps.get(addr).pooledConns <- struct{}{}
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
		fault := callServe(newTestPeers(t, shared, addr), addr, time.Now().Add(time.Second))
		assert.Equal(t, fault, core.FaultNotSent)
	})
	t.Run("refused after it worked", func(t *testing.T) {
		addr, _, srv := newTestServer(t, slowAgent{})
		ps := newTestPeers(t, shared, addr)
		assert.Equal(t, callServe(ps, addr, time.Now().Add(time.Second)), core.FaultNone)
		assert.NilError(t, srv.Close())
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, callServe(ps, addr, time.Now().Add(time.Second)), core.FaultNotSent)
	})
	t.Run("deadline has passed", func(t *testing.T) {
		addr, conns, _ := newTestServer(t, slowAgent{})
		assert.Equal(t, callServe(newTestPeers(t, shared, addr), addr, time.Now()), core.FaultNotSent)
		assert.Equal(t, conns.Load(), int32(0))
	})
	t.Run("deadline passes", func(t *testing.T) {
		addr, _, _ := newTestServer(t, slowAgent{wait: time.Second})
		fault := callServe(newTestPeers(t, shared, addr), addr, time.Now().Add(50*time.Millisecond))
		assert.Equal(t, fault, core.FaultNoAnswer)
	})
	t.Run("hung up", func(t *testing.T) {
		gone := make(chan struct{})
		addr, _, srv := newTestServer(t, slowAgent{hangUp: gone})
		go func() {
			<-gone
			_ = srv.Close()
		}()
		fault := callServe(newTestPeers(t, shared, addr), addr, time.Now().Add(5*time.Second))
		assert.Equal(t, fault, core.FaultNoAnswer)
	})
	t.Run("too many calls", func(t *testing.T) {
		addr, conns, _ := newTestServer(t, slowAgent{})
		ps := newTestPeers(t, shared, addr)
		p := ps.get(addr)
		for range maxPeerCalls {
			assert.Assert(t, p.acquire())
		}
		assert.Equal(t, callServe(ps, addr, time.Now().Add(time.Second)), core.FaultNotSent)
		assert.Equal(t, conns.Load(), int32(0))
	})
}
