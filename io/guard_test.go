package io_test

import (
	"fmt"
	stdio "io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"jayloft/guard"
	"jayloft/io"
)

// A body that stops short of its end is given up at its deadline, and its connection is closed: it
// holds nothing any longer, and a request that comes whole then is answered.
func TestStalledBodyIsGivenUp(t *testing.T) {
	t.Parallel()
	g := io.NewGuard(guard.Limits{Bytes: 1 << 20, Conns: 10}, &log.Logger{Handler: discard.New()}, metrics.NewRegistry())
	srv, err := io.Listen(loopback, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := stdio.ReadAll(r.Body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	}), io.WithGuard(g))
	assert.NilError(t, err)
	c, err := net.Dial("tcp", srv.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nshort of it")
	assert.NilError(t, err)
	const hangs = time.Minute
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(hangs)))
	_, err = stdio.ReadAll(c)
	assert.NilError(t, err, "the connection is not closed")
	res, err := http.Get("http://" + srv.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusOK)
}
