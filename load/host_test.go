package load

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
)

// TestHostKill checks that a kill breaks off what is in flight, and that the
// address can be used again.
func TestHostKill(t *testing.T) {
	began := make(chan struct{})
	h, err := newHost(anyPort, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
	}))
	assert.NilError(t, err)
	url := "http://" + h.addr().String()
	failed := make(chan error, 1)
	go func() {
		res, err := http.Post(url, "", strings.NewReader("x"))
		if err == nil {
			err = res.Body.Close()
		}
		failed <- err
	}()
	<-began
	h.kill()
	assert.Assert(t, <-failed != nil)

	again, err := h.again()
	assert.NilError(t, err)
	defer again.kill()
	assert.Equal(t, again.addr(), h.addr())
	again.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "new life") }))
	res, err := http.Get(url)
	assert.NilError(t, err)
	b, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, string(b), "new life")
}

var cmpAddr = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

// TestBalancer checks that requests go past entries that aren't healthy.
func TestBalancer(t *testing.T) {
	status := func(code int) *host {
		h, err := newHost(anyPort, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }))
		assert.NilError(t, err)
		t.Cleanup(h.kill)
		return h
	}
	good, bad, dead := status(http.StatusOK), status(http.StatusServiceUnavailable), status(http.StatusOK)
	dead.kill()
	b := newBalancer([]netip.AddrPort{bad.addr(), dead.addr(), good.addr()})
	assert.Equal(t, len(b.at(1)), 3)
	ctx, cancel := context.WithTimeout(t.Context(), 10*healthEvery)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.watch(ctx)
	}()
	for len(b.at(0)) != 1 && ctx.Err() == nil {
		time.Sleep(healthEvery / 4)
	}
	for n := range 3 {
		assert.DeepEqual(t, b.at(n), []netip.AddrPort{good.addr()}, cmpAddr)
	}
	cancel()
	<-done
}
