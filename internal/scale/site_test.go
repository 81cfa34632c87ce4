// Package scale measures processes of jayloft end to end over loopback, for
// the slopes in docs/CAPACITY.md. It has benchmarks only.
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
	patience = 20 * time.Second // for anything that a benchmark waits for
	poll     = 50 * time.Millisecond
	measured = 5 * time.Second // length of a measurement
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// site is a platform with its table. Everything on it ends with the benchmark.
type site struct {
	b        *testing.B
	dir      string
	platform *stand.Platform
	table    netip.AddrPort
	peers    []netip.AddrPort // of the entries, as agents are told
	callers  []netip.AddrPort
	workers  []*stand.Worker
}

func newSite(b *testing.B) *site {
	b.Helper()
	s := &site{b: b, dir: b.TempDir(), platform: stand.NewPlatform()}
	s.table = s.listen(s.platform.Handler())
	return s
}

func (s *site) listen(h http.Handler) netip.AddrPort {
	s.b.Helper()
	srv, err := io.Listen(loopback, h)
	assert.NilError(s.b, err)
	s.b.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // what is in flight doesn't matter any more
		_ = srv.Shutdown(ctx)
	})
	return srv.Addr()
}

// binary is where the built binary is.
var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "jayloft")
	if err != nil {
		return "", err
	}
	built = dir
	bin := filepath.Join(dir, "jayloft")
	out, err := exec.Command("go", "build", "-o", bin, "jayloft/cmd/jayloft").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return bin, nil
})

// built is the directory of the binary, once it is built.
var built string

func TestMain(m *testing.M) {
	code := m.Run()
	if built != "" {
		_ = os.RemoveAll(built)
	}
	os.Exit(code)
}

// spawn runs a command of the binary with settings and returns its process id.
func (s *site) spawn(command, name, settings string) int {
	s.b.Helper()
	bin, err := binary()
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

// later is a handler that is set after its server listens.
type later struct{ http.Handler }

// entry runs an entry in this process. Agents reach it through a counter and
// what watch makes of its handler.
func (s *site) entry(count *atomic.Int64, watch func(http.Handler) http.Handler) {
	s.b.Helper()
	t := io.NewTable(s.table)
	s.b.Cleanup(t.Close)
	h := &later{}
	peers := forward(s.b, s.listen(h), count)
	e := io.NewEntry(core.EntryIdentity{ID: core.EntryID(fmt.Sprint("e", len(s.peers))), Addr: peers}, t)
	s.b.Cleanup(e.Close)
	h.Handler = watch(e.Peers())
	s.peers, s.callers = append(s.peers, peers), append(s.callers, s.listen(e.Callers()))
	e.Start()
}

// entryProcess runs an entry as a process of its own.
func (s *site) entryProcess() int {
	s.b.Helper()
	name := fmt.Sprint("entry", len(s.peers))
	callers, peers := freeAddr(s.b), freeAddr(s.b)
	s.peers, s.callers = append(s.peers, peers), append(s.callers, callers)
	return s.spawn("entry", name, fmt.Sprintf("[entry]\nname = %q\ncallers = %q\npeers = %q\ntable = %q\n",
		name, callers, peers, s.table))
}

// worker runs a worker's stand-in and returns its address.
func (s *site) worker(name core.WorkerID) netip.AddrPort {
	s.b.Helper()
	w := stand.NewWorker(stand.Spec{
		Worker: name, Capacity: core.Size{Millicores: 16000, MemoryMB: 60000}, Slots: 8, Services: []string{"hold"},
	}, stand.WithStore(s.platform.Objects), stand.WithService("hold", stand.Service{Time: time.Second}))
	s.b.Cleanup(w.Close)
	s.workers = append(s.workers, w)
	return s.listen(w.Handler())
}

// agent runs an agent in this process, with its worker.
func (s *site) agent(n int) {
	s.b.Helper()
	name := core.WorkerID(fmt.Sprintf("w%05d", n))
	h := &later{}
	a := io.NewAgent(core.AgentIdentity{
		Worker: name, DC: "d1", Rack: core.Rack(fmt.Sprint("r", n/3)), Addr: s.listen(h), Entries: s.peers, Run: "run1",
	}, s.worker(name))
	s.b.Cleanup(a.Close)
	h.Handler = a.Peers()
	a.Start()
}

// do runs a statement at the first entry until it is done.
func (s *site) do(stmt string) *wire.DoResponse {
	s.b.Helper()
	c := wire.NewOperatorServiceClient(http.DefaultClient, "http://"+s.peers[0].String())
	for end := time.Now().Add(patience); ; time.Sleep(poll) {
		res, err := c.Do(context.Background(), connect.NewRequest(&wire.DoRequest{Statement: stmt}))
		if err == nil && res.Msg.GetOutcome() == "done" {
			return res.Msg
		}
		assert.Assert(s.b, time.Now().Before(end), "%s: %v %v", stmt, res, err)
	}
}

// configure creates what the benchmarks need.
func (s *site) configure() {
	for _, stmt := range []string{`create dc d1`, `create team t`, `create service hold team t timeout 5s`} {
		s.do(stmt)
	}
}

// await waits until the first entry shows n rows.
func (s *site) await(n int, stmt string) {
	s.b.Helper()
	for end := time.Now().Add(patience); len(s.do(stmt).GetRows()) != n; time.Sleep(poll) {
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

// forward passes connections on to an address and counts the bytes.
func forward(b *testing.B, to netip.AddrPort, count *atomic.Int64) netip.AddrPort {
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
			go pass(in, out, count)
			go pass(out, in, count)
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func pass(to, from net.Conn, count *atomic.Int64) {
	defer func() { _, _ = to.Close(), from.Close() }()
	_, _ = stdio.Copy(&counter{to, count}, from)
}

// counter counts what it writes.
type counter struct {
	to net.Conn
	n  *atomic.Int64
}

func (c *counter) Write(p []byte) (int, error) {
	n, err := c.to.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// cost is what a process has used.
type cost struct {
	cpu    time.Duration
	memory int64 // bytes resident
}

// costOf reads what a process has used so far.
func costOf(b *testing.B, pid int) cost {
	b.Helper()
	var c cost
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	assert.NilError(b, err)
	for _, path := range threads {
		c.cpu += time.Duration(field(b, path, 0))
	}
	c.memory = field(b, fmt.Sprintf("/proc/%d/statm", pid), 1) * int64(os.Getpagesize())
	return c
}

// field reads one number of a file in /proc.
func field(b *testing.B, path string, n int) int64 {
	b.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(b, err)
	v, err := strconv.ParseInt(strings.Fields(string(text))[n], 10, 64)
	assert.NilError(b, err)
	return v
}
