package crowd

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Bounds of waiting. A test that gets there hangs, so that they decide nothing else.
const (
	waitTimeout  = 60 * time.Second
	callTimeout  = 10 * time.Second
	pollInterval = 50 * time.Millisecond
)

// bin is the path of the program under test.
var bin string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "jayloft")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin = filepath.Join(dir, "jayloft")
	if out, err := exec.Command("go", "build", "-o", bin, "jayloft/cmd/jayloft").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running process of the program.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when it has exited
}

// spawn starts a process with the settings, and ends it with the test.
func spawn(t *testing.T, name, command, settings string) *process {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, name+".toml")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	log, err := os.Create(filepath.Join(dir, name+".log"))
	assert.NilError(t, err)
	p := &process{t: t, name: name, cmd: exec.Command(bin, command, "-config", path), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		_ = log.Close()
		if b, err := os.ReadFile(log.Name()); t.Failed() && err == nil {
			t.Logf("%s, last lines:\n%s", name, b[max(len(b)-2000, 0):])
		}
	})
	return p
}

// lives reports whether the process runs.
func (p *process) lives() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// peakMemory returns the most resident memory that the process has had, in MB.
func (p *process) peakMemory() int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		if v, ok := strings.CutPrefix(s.Text(), "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(v), " kB"))
			return kb / 1024
		}
	}
	return 0
}

// descriptors returns the number of files that the process has open.
func (p *process) descriptors() int {
	fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(fds)
}

// Bounds of the listening ports. They lie below the ephemeral range, so that no outgoing
// connection uses one.
const (
	firstPort = 20000
	lastPort  = 30000
)

// nextPort is the next port to try.
var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddr returns a loopback address that nothing listens on and that no earlier call returned.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	for range lastPort - firstPort {
		nextPort = firstPort + (nextPort+1-firstPort)%(lastPort-firstPort)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(nextPort))
		if ln, err := net.Listen("tcp", addr.String()); err == nil {
			_ = ln.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

// eventually polls f until it reports true.
func eventually(t *testing.T, condition string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !f(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", waitTimeout, condition)
		}
	}
}

// answers reports whether a request on a connection of its own is answered with a status.
func answers(method, url, body string, statuses ...int) bool {
	c := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := c.Do(r)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	for _, s := range statuses {
		if res.StatusCode == s {
			return true
		}
	}
	return false
}
