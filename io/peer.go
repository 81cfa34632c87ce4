package io

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/wire"
)

const (
	dialTimeout = time.Second
	pingAfter   = 2 * time.Second // without a frame on a connection
	pingTimeout = 2 * time.Second
	peerIdle    = time.Minute // until an unused peer is dropped
	peerCalls   = 256         // calls to one peer at once
	serveConns  = 16          // HTTP/1 connections to one agent
	maxAnswer   = 16 << 20    // bytes of one answer from a peer
	workerConns = 64          // to the worker
)

// errBusy says that a call was not made because too many run already.
var errBusy = errors.New("io: too many calls at once")

// newTransport returns a transport that keeps one HTTP/2 connection to each
// address.
func newTransport() *http.Transport {
	var ps http.Protocols
	ps.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:       &ps,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: peerIdle,
		MaxConnsPerHost: 1,
		HTTP2: &http.HTTP2Config{
			StrictMaxConcurrentRequests: true,
			SendPingTimeout:             pingAfter,
			PingTimeout:                 pingTimeout,
		},
	}
}

// newPool returns a transport that keeps up to conns HTTP/1 connections to each
// address. One call takes less time over HTTP/1 than over HTTP/2.
func newPool(conns int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:     peerIdle,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
	}
}

// clientOptions are those of every RPC client.
func clientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxAnswer),
	}
}

// peer is another process of jayloft.
type peer struct {
	agent wire.AgentServiceClient
	entry wire.EntryServiceClient
	calls chan struct{} // holds one element for each running call
	quick wire.AgentServiceClient
	conns chan struct{} // holds one element for each busy connection of quick
	used  time.Time
}

// serve sends a request over a connection of its own as long as there are few,
// and else over the one that all calls share.
func (p *peer) serve(ctx context.Context, r *connect.Request[wire.ServeRequest]) (*connect.Response[wire.ServeResponse], error) {
	select {
	case p.conns <- struct{}{}:
		defer func() { <-p.conns }()
		return p.quick.Serve(ctx, r)
	default:
		return p.agent.Serve(ctx, r)
	}
}

// take reserves one of the peer's calls, or reports that all are taken.
func (p *peer) take() bool {
	select {
	case p.calls <- struct{}{}:
		return true
	default:
		return false
	}
}

func (p *peer) give() { <-p.calls }

// peers holds the peers that were called lately.
type peers struct {
	client *http.Client
	quick  *http.Client
	mu     sync.Mutex
	m      map[netip.AddrPort]*peer
	swept  time.Time
}

func newPeers() *peers {
	return &peers{
		client: &http.Client{Transport: newTransport()},
		quick:  &http.Client{Transport: newPool(serveConns)},
		m:      make(map[netip.AddrPort]*peer),
	}
}

// get returns the peer at addr and drops those that were not used lately.
func (ps *peers) get(addr netip.AddrPort) *peer {
	now := time.Now()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if now.Sub(ps.swept) > peerIdle {
		ps.sweep(now)
	}
	p, ok := ps.m[addr]
	if !ok {
		base := "http://" + addr.String()
		p = &peer{
			agent: wire.NewAgentServiceClient(ps.client, base, clientOptions()...),
			entry: wire.NewEntryServiceClient(ps.client, base, clientOptions()...),
			calls: make(chan struct{}, peerCalls),
			quick: wire.NewAgentServiceClient(ps.quick, base, clientOptions()...),
			conns: make(chan struct{}, serveConns),
		}
		ps.m[addr] = p
	}
	p.used = now
	return p
}

func (ps *peers) sweep(now time.Time) {
	ps.swept = now
	for a, p := range ps.m {
		if now.Sub(p.used) > peerIdle && len(p.calls) == 0 {
			delete(ps.m, a)
		}
	}
}

func (ps *peers) close() {
	ps.client.CloseIdleConnections()
	ps.quick.CloseIdleConnections()
}

// call makes one call to the peer at addr that ends by the deadline. Nothing
// is sent if the deadline has passed or too many calls run.
func call[Q, A any](ps *peers, addr netip.AddrPort, by time.Time, req *Q,
	f func(*peer, context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*A, core.Fault) {
	if !addr.IsValid() || !time.Now().Before(by) {
		return nil, core.FaultNotSent
	}
	p := ps.get(addr)
	if !p.take() {
		return nil, core.FaultNotSent
	}
	defer p.give()
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	res, err := f(p, ctx, connect.NewRequest(req))
	if err != nil {
		return nil, faultOf(err)
	}
	return res.Msg, core.FaultNone
}

// faultOf tells how far a call that failed has got. Only a connection that was
// never made proves that nothing was sent.
func faultOf(err error) core.Fault {
	if err == nil {
		return core.FaultNone
	}
	var op *net.OpError
	if errors.Is(err, errBusy) || errors.As(err, &op) && op.Op == "dial" {
		return core.FaultNotSent
	}
	return core.FaultNoAnswer
}
