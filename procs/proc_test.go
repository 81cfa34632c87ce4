// Package procs tests jayloft as separate processes on loopback: the built
// binary with stand-ins for the platform and the workers. The tests verify
// what the stand-ins recorded in their journals.
//
// # Usage
//
//	go test ./procs
//
// Set JAYLOFT_LOGS to a directory to keep the processes' logs, and JAYLOFT_RACE
// to build the processes with the race detector.
package procs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	waitTimeout  = 20 * time.Second // for any condition or call that a test waits for
	pollInterval = 20 * time.Millisecond
)

// bin is the path of the binary under test.
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
	args := []string{"build", "-o", bin}
	if os.Getenv("JAYLOFT_RACE") != "" {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "jayloft/cmd/jayloft")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// proc is one running process.
type proc struct {
	t    *testing.T
	name string
	args []string
	cmd  *exec.Cmd
	log  *logBuffer
	done chan struct{} // closed when the process exits
}

// logBuffer collects the output of a process across its restarts.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// spawn starts a process and kills it at the end of the test if it is still
// running.
func spawn(t *testing.T, name string, args ...string) *proc {
	t.Helper()
	p := &proc{t: t, name: name, args: args, log: &logBuffer{}}
	p.start()
	t.Cleanup(func() {
		p.kill()
		if strings.Contains(p.log.String(), "DATA RACE") {
			t.Errorf("%s has a data race", name)
		}
		p.keepLog()
	})
	return p
}

// start starts the process, or restarts it after it has exited.
func (p *proc) start() {
	p.t.Helper()
	p.cmd = exec.Command(bin, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
	cmd, done := p.cmd, make(chan struct{})
	p.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

// signal sends a signal to the process; one that has exited is ignored.
func (p *proc) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("%s: %v", p.name, err)
	}
}

// kill sends SIGKILL to the process and waits until it has exited.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop shuts the process down gracefully and returns its exit code.
func (p *proc) stop() int {
	p.t.Helper()
	began := time.Now()
	p.signal(syscall.SIGTERM)
	code := p.wait()
	p.t.Logf("%s stopped within %v", p.name, time.Since(began).Round(time.Millisecond))
	return code
}

// wait waits until the process has exited and returns its exit code.
func (p *proc) wait() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(2 * waitTimeout):
		p.t.Errorf("%s did not exit in time; killing it", p.name)
		p.kill()
	}
	return p.cmd.ProcessState.ExitCode()
}

func (p *proc) keepLog() {
	if dir := os.Getenv("JAYLOFT_LOGS"); dir != "" {
		path := filepath.Join(dir, p.t.Name()+"-"+p.name+".log")
		_ = os.MkdirAll(filepath.Dir(path), 0o755)
		_ = os.WriteFile(path, []byte(p.log.String()), 0o600)
		return
	}
	const tail = 3000
	if s := p.log.String(); p.t.Failed() && len(s) > 0 {
		p.t.Logf("%s, last lines:\n%s", p.name, s[max(0, len(s)-tail):])
	}
}

// Bounds of the listening ports. They lie below the ephemeral range, so that no
// outgoing connection uses one.
const (
	firstPort = 20000
	lastPort  = 30000
)

var (
	portsMu   sync.Mutex
	usedPorts = map[uint16]bool{}
)

// freeAddr returns a loopback address that nothing listens on and that no
// earlier call returned.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	portsMu.Lock()
	defer portsMu.Unlock()
	for range 1000 {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort))
		if usedPorts[port] {
			continue
		}
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		ln, err := net.Listen("tcp", addr.String())
		if err != nil {
			continue
		}
		usedPorts[port] = true
		_ = ln.Close()
		return addr
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

// eventually polls f until it reports true; it fails the test after waitTimeout.
func eventually(t *testing.T, condition string, f func() bool) {
	t.Helper()
	end := time.Now().Add(waitTimeout)
	for !f() {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", waitTimeout, condition)
		}
		time.Sleep(pollInterval)
	}
}

// healthy reports whether the health check of the process at addr succeeds.
func healthy(addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/healthz", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
