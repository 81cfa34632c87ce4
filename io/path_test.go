package io_test

import (
	"bytes"
	"context"
	stdio "io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/io"
	"jayloft/stand"
	"jayloft/wire"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// path is an entry, an agent and stand-ins in one process, over loopback.
type path struct {
	callers string
	entry   *io.EntryServer
	agent   *io.AgentServer
	peers   netip.AddrPort
	addr    netip.AddrPort // of the agent
	vm      netip.AddrPort
	worker  *stand.Worker
}

// later is a handler that is set after its server listens.
type later struct{ http.Handler }

func listen(t testing.TB, h http.Handler) *io.Server {
	t.Helper()
	srv, err := io.Listen(loopback, h)
	assert.NilError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.NilError(t, srv.Shutdown(ctx))
	})
	return srv
}

func newPath(t testing.TB, slots int, services ...stand.Option) *path {
	t.Helper()
	p := &path{}
	platform := stand.NewPlatform()
	table := io.NewTable(listen(t, platform.Handler()).Addr())
	t.Cleanup(table.Close)
	p.worker = stand.NewWorker(stand.Spec{
		Worker: "w1", Capacity: core.Size{Millicores: 16000, MemoryMB: 60000},
		Slots: slots, Services: []string{"echo"},
	}, append(services, stand.WithStore(platform.Objects))...)
	t.Cleanup(p.worker.Close)
	p.vm = listen(t, p.worker.Handler()).Addr()

	var eh, ah later
	p.peers = listen(t, &eh).Addr()
	p.entry = io.NewEntry(core.EntrySite{ID: "e1", Addr: p.peers}, table)
	t.Cleanup(p.entry.Close)
	eh.Handler = p.entry.Peers()
	p.callers = "http://" + listen(t, p.entry.Callers()).Addr().String()
	p.addr = listen(t, &ah).Addr()
	p.agent = io.NewAgent(core.AgentSite{
		Worker: "w1", DC: "d1", Rack: "r1", Addr: p.addr, Entries: []netip.AddrPort{p.peers}, Run: "run1",
	}, p.vm)
	t.Cleanup(p.agent.Close)
	ah.Handler = p.agent.Peers()
	p.entry.Start()
	p.agent.Start()
	for _, stmt := range []string{`create dc d1`, `create team t`, `create service echo team t timeout 5s`} {
		p.do(t, stmt)
	}
	p.await(t)
	return p
}

func (p *path) do(t testing.TB, stmt string) *wire.DoResponse {
	t.Helper()
	c := wire.NewOperatorServiceClient(http.DefaultClient, "http://"+p.peers.String())
	for end := time.Now().Add(5 * time.Second); ; {
		res, err := c.Do(t.Context(), connect.NewRequest(&wire.DoRequest{Statement: stmt}))
		assert.NilError(t, err)
		if res.Msg.GetOutcome() == "done" {
			return res.Msg
		}
		assert.Assert(t, time.Now().Before(end), "%s: %v", stmt, res.Msg)
		time.Sleep(20 * time.Millisecond)
	}
}

// await waits until the service is served.
func (p *path) await(t testing.TB) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; {
		if status, _ := p.post(t, "ready?"); status == http.StatusOK {
			return
		}
		assert.Assert(t, time.Now().Before(end), "the service isn't served")
		time.Sleep(50 * time.Millisecond)
	}
}

func (p *path) post(t testing.TB, body string) (int, string) {
	t.Helper()
	res, err := http.Post(p.callers+"/v1/services/echo", "", bytes.NewReader([]byte(body)))
	assert.NilError(t, err)
	b, err := stdio.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	return res.StatusCode, string(b)
}

func TestPath(t *testing.T) {
	p := newPath(t, 8, stand.WithService("echo", stand.Service{}))
	for range 20 {
		status, body := p.post(t, "whole")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "whole")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, p.agent.Leave(ctx))
	assert.NilError(t, p.entry.Leave(ctx))
	status, _ := p.post(t, "late")
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

// BenchmarkRequest compares a request through entry and agent with a call
// straight to the worker, one at a time.
func BenchmarkRequest(b *testing.B) {
	p := newPath(b, 8, stand.WithService("echo", stand.Service{}))
	direct := func(h *http.Client) func(*testing.B) {
		return func(b *testing.B) {
			c := wire.NewWorkerServiceClient(h, "http://"+p.vm.String(),
				connect.WithAcceptCompression("gzip", nil, nil))
			for b.Loop() {
				res, err := c.Call(b.Context(), connect.NewRequest(&wire.CallRequest{Id: "r", Service: "echo", Body: []byte("whole")}))
				assert.NilError(b, err)
				assert.Assert(b, res.Msg.GetOk())
			}
		}
	}
	b.Run("direct/http1", direct(&http.Client{Transport: &http.Transport{}}))
	b.Run("direct/http2", direct(h2Client()))
	b.Run("path", func(b *testing.B) {
		for b.Loop() {
			status, _ := p.post(b, "whole")
			assert.Equal(b, status, http.StatusOK)
		}
	})
}

func h2Client() *http.Client {
	var ps http.Protocols
	ps.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: &ps}}
}
