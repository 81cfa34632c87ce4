package io_test

import (
	"bytes"
	"context"
	stdio "io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/io"
	"jayloft/stand"
	"jayloft/wire"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// cluster is an entry, an agent, a worker and a platform in one process that
// communicate over loopback.
type cluster struct {
	callers string
	entry   *io.EntryServer
	agent   *io.AgentServer
	peers   netip.AddrPort
	addr    netip.AddrPort // of the agent
	vm      netip.AddrPort
	worker  *stand.Worker
}

// lateHandler is a handler that is set after its server has started to listen.
type lateHandler struct{ http.Handler }

// listeners are servers that are shut down together.
type listeners []*io.Server

func (ls *listeners) listen(t testing.TB, h http.Handler) *io.Server {
	t.Helper()
	srv, err := io.Listen(loopback, h, io.WithHTTP2())
	assert.NilError(t, err)
	*ls = append(*ls, srv)
	return srv
}

func (ls *listeners) shutdown(t testing.TB) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var g errgroup.Group
	for _, srv := range *ls {
		g.Go(func() error { return srv.Shutdown(ctx) })
	}
	assert.NilError(t, g.Wait())
}

func newCluster(t testing.TB, services ...stand.Option) *cluster {
	t.Helper()
	p := &cluster{}
	ls := &listeners{}
	t.Cleanup(func() { ls.shutdown(t) })
	platform := stand.NewPlatform()
	table := io.NewTable(ls.listen(t, platform.Handler()).Addr())
	t.Cleanup(table.Close)
	p.worker = stand.NewWorker(stand.Spec{
		Worker: "w1", Capacity: core.Size{Millicores: 16000, MemoryMB: 60000},
		Slots: 8, Services: []string{"echo"},
	}, append(services, stand.WithStore(platform.Objects))...)
	t.Cleanup(p.worker.Close)
	p.vm = ls.listen(t, p.worker.Handler()).Addr()

	var eh, ah lateHandler
	p.peers = ls.listen(t, &eh).Addr()
	p.entry = io.NewEntry(core.EntryIdentity{ID: "e1", Addr: p.peers}, table)
	t.Cleanup(p.entry.Close)
	eh.Handler = p.entry.Peers()
	p.callers = "http://" + ls.listen(t, p.entry.Callers()).Addr().String()
	p.addr = ls.listen(t, &ah).Addr()
	p.agent = io.NewAgent(core.AgentIdentity{
		Worker: "w1", DC: "d1", Rack: "r1", Addr: p.addr, Entries: []netip.AddrPort{p.peers}, Run: "run1",
	}, p.vm)
	t.Cleanup(p.agent.Close)
	ah.Handler = p.agent.Peers()
	p.entry.Start()
	p.agent.Start()
	for _, stmt := range []string{`create dc d1`, `create team t`, `create service echo team t timeout 5s`} {
		p.do(t, stmt)
	}
	p.awaitService(t)
	return p
}

func (p *cluster) do(t testing.TB, stmt string) *wire.DoResponse {
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

// awaitService waits until the service answers requests.
func (p *cluster) awaitService(t testing.TB) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; {
		if status, _ := p.post(t, "ready?"); status == http.StatusOK {
			return
		}
		assert.Assert(t, time.Now().Before(end), "service echo didn't answer within 10 s")
		time.Sleep(50 * time.Millisecond)
	}
}

func (p *cluster) post(t testing.TB, body string) (int, string) {
	t.Helper()
	res, err := http.Post(p.callers+"/v1/services/echo", "", bytes.NewReader([]byte(body)))
	assert.NilError(t, err)
	b, err := stdio.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	return res.StatusCode, string(b)
}

func TestRequestPath(t *testing.T) {
	p := newCluster(t, stand.WithService("echo", stand.Service{}))
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

// TestMalformedMessages checks that invalid messages and messages for an earlier
// run of the agent are refused with a reason, and that valid requests still
// succeed afterwards.
func TestMalformedMessages(t *testing.T) {
	p := newCluster(t, stand.WithService("echo", stand.Service{}))
	agent := wire.NewAgentServiceClient(http.DefaultClient, "http://"+p.addr.String())
	entry := wire.NewEntryServiceClient(http.DefaultClient, "http://"+p.peers.String())
	for _, tc := range []struct {
		name string
		call func() error
		want string
	}{
		{"beat", func() error {
			_, err := entry.Beat(t.Context(), connect.NewRequest(&wire.BeatRequest{Worker: "w1", Addr: "nowhere"}))
			return err
		}, `addr "nowhere" is not an ip:port`},
		{"start", func() error {
			_, err := agent.Start(t.Context(), connect.NewRequest(&wire.StartRequest{Class: "c"}))
			return err
		}, "attempt.number is 0"},
		{"stop", func() error {
			_, err := agent.Stop(t.Context(), connect.NewRequest(&wire.StopRequest{Kind: "done"}))
			return err
		}, "neither evicted nor cancelled"},
		{"settle", func() error {
			_, err := agent.Settle(t.Context(), connect.NewRequest(&wire.SettleRequest{}))
			return err
		}, "incarnation is empty"},
		{"serve", func() error {
			_, err := agent.Serve(t.Context(), connect.NewRequest(&wire.ServeRequest{Id: "x"}))
			return err
		}, "run is empty"},
		{"revoke", func() error {
			_, err := agent.Revoke(t.Context(), connect.NewRequest(&wire.RevokeRequest{Run: "x"}))
			return err
		}, "id is empty"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.call()
			assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
			assert.ErrorContains(t, err, tc.want)
		})
	}
	// A request for an earlier run of the agent isn't executed. Its outcome is
	// unknown, idempotent or not, since that run may have executed a first copy.
	for id, idempotent := range map[string]bool{"once": false, "often": true} {
		res, err := agent.Serve(t.Context(), connect.NewRequest(&wire.ServeRequest{
			Id: id, Call: id, Incarnation: "earlier", Run: "earlier", Service: "echo",
			LeftNs: int64(time.Second), Idempotent: idempotent,
		}))
		assert.NilError(t, err)
		assert.Equal(t, res.Msg.GetOutcome(), "unknown")
		assert.Equal(t, res.Msg.GetReason(), "incarnation")
	}
	status, body := p.post(t, "whole")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "whole")
}

// TestRequestBodies checks the status codes for bodies that are too large or
// truncated.
func TestRequestBodies(t *testing.T) {
	p := newCluster(t, stand.WithService("echo", stand.Service{}))
	for _, tc := range []struct {
		name string
		body stdio.Reader
		want int
	}{
		{"empty", bytes.NewReader(nil), http.StatusOK},
		{"largest", bytes.NewReader(make([]byte, io.MaxBodyBytes)), http.StatusOK},
		{"larger", bytes.NewReader(make([]byte, io.MaxBodyBytes+1)), http.StatusRequestEntityTooLarge},
		{"of unknown length", stdio.MultiReader(bytes.NewReader([]byte("whole"))), http.StatusOK},
		{"of unknown length, larger", stdio.MultiReader(bytes.NewReader(make([]byte, io.MaxBodyBytes+1))), http.StatusRequestEntityTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			res, err := http.Post(p.callers+"/v1/services/echo", "", tc.body)
			assert.NilError(t, err)
			assert.NilError(t, res.Body.Close())
			assert.Equal(t, res.StatusCode, tc.want)
		})
	}
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.callers, "http://"))
	assert.NilError(t, err)
	_, err = conn.Write([]byte("POST /v1/services/echo HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf"))
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	b, err := stdio.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(b), "HTTP/1.1 400 "), "%s", b)
	assert.NilError(t, conn.Close())
}

// BenchmarkRequest compares the latency of a request through entry and agent with
// that of a direct call to the worker, one at a time.
func BenchmarkRequest(b *testing.B) {
	p := newCluster(b, stand.WithService("echo", stand.Service{}))
	direct := func(h *http.Client) func(*testing.B) {
		return func(b *testing.B) {
			c := wire.NewWorkerServiceClient(h, "http://"+p.vm.String(),
				connect.WithAcceptCompression("gzip", nil, nil))
			measureLatency(b, func() {
				res, err := c.Call(b.Context(), connect.NewRequest(&wire.CallRequest{Id: "r", Service: "echo", Body: []byte("whole")}))
				assert.NilError(b, err)
				assert.Assert(b, res.Msg.GetOk())
			})
		}
	}
	b.Run("direct/http1", direct(&http.Client{Transport: &http.Transport{}}))
	b.Run("direct/http2", direct(h2Client()))
	b.Run("path", func(b *testing.B) {
		measureLatency(b, func() {
			status, _ := p.post(b, "whole")
			assert.Equal(b, status, http.StatusOK)
		})
	})
}

// measureLatency runs f and reports the median and 99th percentile of its
// duration in microseconds.
func measureLatency(b *testing.B, f func()) {
	var durations []time.Duration
	for b.Loop() {
		began := time.Now()
		f()
		durations = append(durations, time.Since(began))
	}
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), "p99-µs")
}

func h2Client() *http.Client {
	var ps http.Protocols
	ps.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: &ps}}
}
