package io

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	headerTimeout = 5 * time.Second // for reading a request's header
	idleTimeout   = 2 * time.Minute // of a connection without requests
	maxStreams    = 256             // concurrent requests on one HTTP/2 connection, see maxPeerCalls
	maxHeadBytes  = 16 << 10        // of a request; the library allows 4 KB more
	// streamWindow and connWindow bound what a client of HTTP/2 may send before it is read.
	streamWindow = 64 << 10
	connWindow   = 128 << 10
	lingerPeriod = time.Second // for clients to notice that the server is leaving
)

// Server serves HTTP/1, and unencrypted HTTP/2 if it is asked to, on one address.
type Server struct {
	http    *http.Server
	addr    netip.AddrPort
	leaving atomic.Bool
	err     chan error
}

// ListenOption configures a Server.
type ListenOption func(*listenOptions)

type listenOptions struct {
	guard *Guard
	http2 bool
}

// WithGuard bounds what the server's clients hold together with those of other servers.
func WithGuard(g *Guard) ListenOption { return func(o *listenOptions) { o.guard = g } }

// WithHTTP2 serves unencrypted HTTP/2 too, which RPC clients speak.
func WithHTTP2() ListenOption { return func(o *listenOptions) { o.http2 = true } }

// Listen serves h on addr until Shutdown. Port 0 selects a free port. It returns
// an error if addr can't be bound.
func Listen(addr netip.AddrPort, h http.Handler, opts ...ListenOption) (*Server, error) {
	var cfg listenOptions
	for _, o := range opts {
		o(&cfg)
	}
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	bound, err := netip.ParseAddrPort(ln.Addr().String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", errors.Join(err, ln.Close()))
	}
	s := &Server{addr: bound, err: make(chan error, 1)}
	var ps http.Protocols
	ps.SetHTTP1(true)
	ps.SetUnencryptedHTTP2(cfg.http2)
	s.http = &http.Server{
		Handler:           s.closeWhenLeaving(guardBodies(h)),
		Protocols:         &ps,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerStream: streamWindow, MaxReceiveBufferPerConnection: connWindow,
		},
	}
	if cfg.guard != nil {
		ln = &guardedListener{Listener: ln, guard: cfg.guard, source: cfg.guard.join()}
		s.http.ConnContext = withConn
		s.http.ConnState = restWhenIdle
	}
	go func() { s.err <- s.http.Serve(ln) }()
	return s, nil
}

// restWhenIdle tells the guard of a connection that its requests are answered.
func restWhenIdle(c net.Conn, state http.ConnState) {
	if gc, ok := c.(*guardedConn); ok && state == http.StateIdle {
		gc.rest()
	}
}

// closeWhenLeaving asks HTTP/1 clients to close their connections while the
// server shuts down.
func (s *Server) closeWhenLeaving(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort { return s.addr }

// Shutdown stops the server after the requests in flight have completed. It
// returns the error of ctx if that ends first, and the error of the listener if
// serving had failed before.
func (s *Server) Shutdown(ctx context.Context) error {
	s.leaving.Store(true)
	select {
	case <-time.After(lingerPeriod):
	case <-ctx.Done():
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	if err := <-s.err; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
