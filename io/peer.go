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
	dialTimeout     = time.Second
	pingAfter       = 2 * time.Second // idle time on a connection before a ping is sent
	pingTimeout     = 2 * time.Second
	peerIdleTimeout = time.Minute // until an unused peer is removed
	maxPeerCalls    = 256         // concurrent calls to one peer
	maxServeConns   = 16          // HTTP/1 connections to one agent
	maxAnswerBytes  = 16 << 20    // bytes of one answer from a peer
	maxWorkerConns  = 64          // HTTP/1 connections to the worker
)

// errBusy reports that a call was not made because too many are in flight.
var errBusy = errors.New("io: too many concurrent calls")

// newHTTP2Transport returns a transport with one HTTP/2 connection to each address.
func newHTTP2Transport() *http.Transport {
	var ps http.Protocols
	ps.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:       &ps,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: peerIdleTimeout,
		MaxConnsPerHost: 1,
		HTTP2: &http.HTTP2Config{
			StrictMaxConcurrentRequests: true,
			SendPingTimeout:             pingAfter,
			PingTimeout:                 pingTimeout,
		},
	}
}

// newHTTP1Transport returns a transport with up to maxConns HTTP/1 connections to
// each address. A single call has a lower latency over HTTP/1 than over HTTP/2.
func newHTTP1Transport(maxConns int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:     peerIdleTimeout,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
	}
}

// clientOptions returns the options of every RPC client.
func clientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxAnswerBytes),
	}
}

// peer is an entry or an agent that this process calls.
type peer struct {
	agent       wire.AgentServiceClient
	entry       wire.EntryServiceClient
	calls       chan struct{} // semaphore of calls in flight
	pooled      wire.AgentServiceClient
	pooledConns chan struct{} // semaphore of busy connections of pooled
	lastUsed    time.Time
}

// serve sends a request over a pooled HTTP/1 connection if one is free, and over
// the shared HTTP/2 connection otherwise.
func (p *peer) serve(ctx context.Context, r *connect.Request[wire.ServeRequest]) (*connect.Response[wire.ServeResponse], error) {
	select {
	case p.pooledConns <- struct{}{}:
		defer func() { <-p.pooledConns }()
		return p.pooled.Serve(ctx, r)
	default:
		return p.agent.Serve(ctx, r)
	}
}

// acquire reserves one of the peer's maxPeerCalls calls and reports whether one
// was free.
func (p *peer) acquire() bool {
	select {
	case p.calls <- struct{}{}:
		return true
	default:
		return false
	}
}

func (p *peer) release() { <-p.calls }

// peers caches the peers that were called recently.
type peers struct {
	client    *http.Client
	pooled    *http.Client
	mu        sync.Mutex
	m         map[netip.AddrPort]*peer
	lastSweep time.Time
}

func newPeers() *peers {
	return &peers{
		client: &http.Client{Transport: newHTTP2Transport()},
		pooled: &http.Client{Transport: newHTTP1Transport(maxServeConns)},
		m:      make(map[netip.AddrPort]*peer),
	}
}

// get returns the peer at addr, and removes peers that have been unused for
// peerIdleTimeout.
func (ps *peers) get(addr netip.AddrPort) *peer {
	now := time.Now()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if now.Sub(ps.lastSweep) > peerIdleTimeout {
		ps.sweep(now)
	}
	p, ok := ps.m[addr]
	if !ok {
		base := "http://" + addr.String()
		p = &peer{
			agent:       wire.NewAgentServiceClient(ps.client, base, clientOptions()...),
			entry:       wire.NewEntryServiceClient(ps.client, base, clientOptions()...),
			calls:       make(chan struct{}, maxPeerCalls),
			pooled:      wire.NewAgentServiceClient(ps.pooled, base, clientOptions()...),
			pooledConns: make(chan struct{}, maxServeConns),
		}
		ps.m[addr] = p
	}
	p.lastUsed = now
	return p
}

func (ps *peers) sweep(now time.Time) {
	ps.lastSweep = now
	for a, p := range ps.m {
		if now.Sub(p.lastUsed) > peerIdleTimeout && len(p.calls) == 0 {
			delete(ps.m, a)
		}
	}
}

func (ps *peers) close() {
	ps.client.CloseIdleConnections()
	ps.pooled.CloseIdleConnections()
}

// call calls the peer at addr, with a deadline. Nothing is sent if addr is not
// valid, the deadline has passed or too many calls are in flight.
func call[Q, A any](ps *peers, addr netip.AddrPort, deadline time.Time, req *Q,
	f func(*peer, context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*A, core.Fault) {
	if !addr.IsValid() || !time.Now().Before(deadline) {
		return nil, core.FaultNotSent
	}
	p := ps.get(addr)
	if !p.acquire() {
		return nil, core.FaultNotSent
	}
	defer p.release()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	res, err := f(p, ctx, connect.NewRequest(req))
	if err != nil {
		return nil, faultOf(err)
	}
	return res.Msg, core.FaultNone
}

// faultOf returns the fault for the error of a call. Only a failure to connect
// proves that nothing was sent.
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
