package load

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"

	"jayloft/io"
)

// host is a server that can be killed: its connections break as if its process
// had died.
type host struct {
	at      netip.AddrPort
	server  *io.Server
	handler atomic.Pointer[http.Handler]
	dead    context.Context
	die     context.CancelFunc
}

// newHost listens on an address. Requests before serve are broken off.
func newHost(at netip.AddrPort, h http.Handler) (*host, error) {
	n := &host{}
	n.dead, n.die = context.WithCancel(context.Background())
	if h != nil {
		n.serve(h)
	}
	srv, err := io.Listen(at, n, io.WithHTTP2())
	if err != nil {
		return nil, err
	}
	n.server, n.at = srv, srv.Addr()
	return n, nil
}

// again returns a host at the address of h, or on a free port if h is nil.
func (h *host) again() (*host, error) {
	at := anyPort
	if h != nil {
		at = h.at
	}
	return newHost(at, nil)
}

func (h *host) addr() netip.AddrPort { return h.at }

func (h *host) serve(to http.Handler) { h.handler.Store(&to) }

// ServeHTTP passes a request on. It breaks the connection off if the host is
// killed before the answer is complete.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	to := h.handler.Load()
	if to == nil || h.dead.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(h.dead, cancel)()
	(*to).ServeHTTP(w, r.WithContext(ctx))
	if h.dead.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// kill breaks off every request and stops to listen.
func (h *host) kill() {
	if h == nil || h.dead.Err() != nil {
		return
	}
	h.die()
	_ = h.server.Shutdown(h.dead) // its error is that nothing was waited for
}
