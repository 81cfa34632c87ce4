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
	headerTimeout = 5 * time.Second // to read a request's header
	idleTimeout   = 2 * time.Minute // of a connection without requests
	streams       = 1000            // requests at once on one HTTP/2 connection
	lingerTime    = time.Second     // for clients to see that a server leaves
)

// Server serves HTTP/1 and unencrypted HTTP/2 on one address.
type Server struct {
	http    *http.Server
	addr    netip.AddrPort
	leaving atomic.Bool
	err     chan error
}

// Listen serves h on addr until Shutdown. Port 0 takes a free port.
func Listen(addr netip.AddrPort, h http.Handler) (*Server, error) {
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
	ps.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler:           s.closing(h),
		Protocols:         &ps,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: streams},
	}
	go func() { s.err <- s.http.Serve(ln) }()
	return s, nil
}

// closing tells HTTP/1 clients of a server that leaves not to use their
// connection again.
func (s *Server) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Addr is where the server listens.
func (s *Server) Addr() netip.AddrPort { return s.addr }

// Shutdown stops the server without cutting off a request in flight. Its error
// is that of ctx if requests are still in flight when it ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.leaving.Store(true)
	select {
	case <-time.After(lingerTime):
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
