// Package scale benchmarks the processes of jayloft end to end over loopback, to
// obtain the cost per unit of load given in docs/CAPACITY.md. It contains only
// benchmarks.
//
// # Usage
//
//	go test ./internal/scale -run '^$' -bench . -benchtime 1x
package scale

import (
	"context"
	"fmt"
	stdio "io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/io"
	"jayloft/stand"
	"jayloft/wire"
)

const (
	waitTimeout   = 20 * time.Second // limit of each wait of a benchmark
	pollInterval  = 50 * time.Millisecond
	measurePeriod = 5 * time.Second // length of a measurement
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// system is a platform with its table and the entries, agents and workers under
// test. They stop when the benchmark ends.
type system struct {
	b        *testing.B
	dir      string
	platform *stand.Platform
	table    netip.AddrPort
	peers    []netip.AddrPort // addresses of the entries for agents and other entries
	callers  []netip.AddrPort
	workers  []*stand.Worker
}

func newSystem(b *testing.B) *system {
	b.Helper()
	s := &system{b: b, dir: b.TempDir(), platform: stand.NewPlatform()}
	s.table = s.listen(s.platform.Handler())
	return s
}

func (s *system) listen(h http.Handler) netip.AddrPort {
	s.b.Helper()
	srv, err := io.Listen(loopback, h, io.WithHTTP2())
	assert.NilError(s.b, err)
	s.b.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // don't wait for requests in flight
		_ = srv.Shutdown(ctx)
	})
	return srv.Addr()
}

// buildBinary builds the jayloft binary once and returns its path.
var buildBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "jayloft")
	if err != nil {
		return "", err
	}
	binaryDir = dir
	bin := filepath.Join(dir, "jayloft")
	out, err := exec.Command("go", "build", "-o", bin, "jayloft/cmd/jayloft").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return bin, nil
})

// binaryDir is the directory of the binary; empty until it is built.
var binaryDir string

func TestMain(m *testing.M) {
	code := m.Run()
	if binaryDir != "" {
		_ = os.RemoveAll(binaryDir)
	}
	os.Exit(code)
}

// spawn starts a subcommand of the binary with the given settings and returns its
// process id.
func (s *system) spawn(command, name, settings string) int {
	s.b.Helper()
	bin, err := buildBinary()
	assert.NilError(s.b, err)
	path := filepath.Join(s.dir, name+".toml")
	assert.NilError(s.b, os.WriteFile(path, []byte(settings), 0o600))
	cmd := exec.Command(bin, command, "-config", path)
	assert.NilError(s.b, cmd.Start())
	s.b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process.Pid
}

// lateHandler is a handler that is set after its server has started, since the
// handler's identity needs the server's address.
type lateHandler struct{ http.Handler }

// startEntry starts an entry in this process. Its peer address is that of a proxy
// that adds the bytes in both directions to count; watch wraps its handler.
func (s *system) startEntry(count *atomic.Int64, watch func(http.Handler) http.Handler) {
	s.b.Helper()
	t := io.NewTable(s.table)
	s.b.Cleanup(t.Close)
	h := &lateHandler{}
	peers := startProxy(s.b, s.listen(h), count)
	e := io.NewEntry(core.EntryIdentity{ID: core.EntryID(fmt.Sprint("e", len(s.peers))), Addr: peers}, t)
	s.b.Cleanup(e.Close)
	h.Handler = watch(e.Peers())
	s.peers, s.callers = append(s.peers, peers), append(s.callers, s.listen(e.Callers()))
	e.Start()
}

// startEntryProcess starts an entry in a separate process and returns the process
// id.
func (s *system) startEntryProcess() int {
	s.b.Helper()
	name := fmt.Sprint("entry", len(s.peers))
	callers, peers := freeAddr(s.b), freeAddr(s.b)
	s.peers, s.callers = append(s.peers, peers), append(s.callers, callers)
	return s.spawn("entry", name, fmt.Sprintf("[entry]\nname = %q\ncallers = %q\npeers = %q\ntable = %q\n",
		name, callers, peers, s.table))
}

// startWorker starts a stand-in for a worker and returns its address.
func (s *system) startWorker(name core.WorkerID) netip.AddrPort {
	s.b.Helper()
	w := stand.NewWorker(stand.Spec{
		Worker: name, Capacity: core.Size{Millicores: 16000, MemoryMB: 60000}, Slots: 8, Services: []string{"hold"},
	}, stand.WithStore(s.platform.Objects), stand.WithService("hold", stand.Service{Time: time.Second}))
	s.b.Cleanup(w.Close)
	s.workers = append(s.workers, w)
	return s.listen(w.Handler())
}

// startAgent starts an agent in this process, and its worker.
func (s *system) startAgent(n int) {
	s.b.Helper()
	name := core.WorkerID(fmt.Sprintf("w%05d", n))
	h := &lateHandler{}
	a := io.NewAgent(core.AgentIdentity{
		Worker: name, DC: "d1", Rack: core.Rack(fmt.Sprint("r", n/3)), Addr: s.listen(h), Entries: s.peers, Run: "run1",
	}, s.startWorker(name))
	s.b.Cleanup(a.Close)
	h.Handler = a.Peers()
	a.Start()
}

// do runs a statement at the first entry, and retries it until its outcome is done.
func (s *system) do(stmt string) *wire.DoResponse {
	s.b.Helper()
	c := wire.NewOperatorServiceClient(http.DefaultClient, "http://"+s.peers[0].String())
	for end := time.Now().Add(waitTimeout); ; time.Sleep(pollInterval) {
		res, err := c.Do(context.Background(), connect.NewRequest(&wire.DoRequest{Statement: stmt}))
		if err == nil && res.Msg.GetOutcome() == "done" {
			return res.Msg
		}
		assert.Assert(s.b, time.Now().Before(end), "%s: %v %v", stmt, res, err)
	}
}

// configure creates the data centre, team and service that the benchmarks use.
func (s *system) configure() {
	for _, stmt := range []string{`create dc d1`, `create team t`, `create service hold team t timeout 5s`} {
		s.do(stmt)
	}
}

// awaitRows waits until the statement returns n rows at the first entry.
func (s *system) awaitRows(n int, stmt string) {
	s.b.Helper()
	for end := time.Now().Add(waitTimeout); len(s.do(stmt).GetRows()) != n; time.Sleep(pollInterval) {
		assert.Assert(s.b, time.Now().Before(end), "%s: %d rows", stmt, len(s.do(stmt).GetRows()))
	}
}

func freeAddr(b *testing.B) netip.AddrPort {
	b.Helper()
	ln, err := net.Listen("tcp", loopback.String())
	assert.NilError(b, err)
	defer func() { _ = ln.Close() }()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// startProxy forwards connections to an address, adds the bytes in both directions
// to count, and returns the proxy's address.
func startProxy(b *testing.B, to netip.AddrPort, count *atomic.Int64) netip.AddrPort {
	b.Helper()
	ln, err := net.Listen("tcp", loopback.String())
	assert.NilError(b, err)
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to.String())
			if err != nil {
				_ = in.Close()
				continue
			}
			go copyCounted(in, out, count)
			go copyCounted(out, in, count)
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func copyCounted(to, from net.Conn, count *atomic.Int64) {
	defer func() { _, _ = to.Close(), from.Close() }()
	_, _ = stdio.Copy(&countingWriter{to, count}, from)
}

// countingWriter adds the number of bytes written to n.
type countingWriter struct {
	to net.Conn
	n  *atomic.Int64
}

func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.to.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// usage is the resource usage of a process.
type usage struct {
	cpu    time.Duration
	memory int64 // bytes resident
}

// usageOf returns the CPU time that a process has used so far and its resident
// memory.
func usageOf(b *testing.B, pid int) usage {
	b.Helper()
	var c usage
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	assert.NilError(b, err)
	for _, path := range threads {
		c.cpu += time.Duration(procField(b, path, 0))
	}
	c.memory = procField(b, fmt.Sprintf("/proc/%d/statm", pid), 1) * int64(os.Getpagesize())
	return c
}

// procField returns the integer in field n of a file in /proc, counted from 0.
func procField(b *testing.B, path string, n int) int64 {
	b.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(b, err)
	v, err := strconv.ParseInt(strings.Fields(string(text))[n], 10, 64)
	assert.NilError(b, err)
	return v
}
