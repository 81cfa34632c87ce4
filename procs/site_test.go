package procs

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/stand"
	"jayloft/wire"
)

// entryProc is a running entry.
type entryProc struct {
	*proc
	callers, peers netip.AddrPort
}

// agentProc is a running agent.
type agentProc struct {
	*proc
	worker core.WorkerID
	addr   netip.AddrPort
	vm     netip.AddrPort
}

// system is a small deployment under test: a platform, workers, agents and entries.
type system struct {
	t        *testing.T
	dir      string
	policy   string
	platform *proc
	vms      *proc
	table    netip.AddrPort
	entries  []*entryProc
	agents   []*agentProc
}

// systemConfig is the size and policy of a system.
type systemConfig struct {
	workers, entries int
	policy           string // lines of [policy]
}

// newSystem starts a system, configures it and waits until it is ready. Its
// workers alternate between the data centres dc1 and dc2.
func newSystem(t *testing.T, sh systemConfig) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir(), policy: sh.policy, table: freeAddr(t)}
	s.startStandIns(sh.workers)
	for i := range sh.entries {
		s.addEntry(fmt.Sprintf("entry-%d", i+1))
	}
	for _, a := range s.agents {
		s.startAgent(a)
	}
	for _, e := range s.entries {
		eventually(t, e.name+" is ready", func() bool { return healthy(e.callers) })
	}
	s.configure()
	for _, a := range s.agents {
		eventually(t, a.name+" is ready", func() bool { return healthy(a.addr) })
	}
	s.awaitWorkers()
	return s
}

func (s *system) startStandIns(workers int) {
	s.platform = spawn(s.t, "platform", "stand", "-config", s.write("platform",
		fmt.Sprintf("[stand]\nplatform = %q\n", s.table)))
	var b strings.Builder
	fmt.Fprintf(&b, "[stand]\nobjects = %q\n", s.table)
	for i := range workers {
		a := &agentProc{worker: core.WorkerID(fmt.Sprintf("w%d", i+1)), addr: freeAddr(s.t), vm: freeAddr(s.t)}
		s.agents = append(s.agents, a)
		fmt.Fprintf(&b, `[[stand.workers]]
name = %q
dc = %q
rack = "r1"
addr = %q
cores = 4
memory = "8GB"
slots = 4
services = ["lookup", "proof"]
`, a.worker, dcOf(i), a.vm)
	}
	s.vms = spawn(s.t, "vms", "stand", "-config", s.write("vms", b.String()))
}

// dcOf returns the data centre of the worker with index i.
func dcOf(i int) string { return fmt.Sprintf("dc%d", i%2+1) }

func (s *system) addEntry(name string) *entryProc {
	e := &entryProc{callers: freeAddr(s.t), peers: freeAddr(s.t)}
	path := s.write(name, fmt.Sprintf(`[entry]
name = %q
callers = %q
peers = %q
table = %q
grace = "10s"
%s`, name, e.callers, e.peers, s.table, s.policyTable()))
	e.proc = spawn(s.t, name, "entry", "-config", path)
	s.entries = append(s.entries, e)
	return e
}

func (s *system) startAgent(a *agentProc) {
	i := slices.Index(s.agents, a)
	var entries []string
	for _, e := range s.entries {
		entries = append(entries, fmt.Sprintf("%q", e.peers))
	}
	name := "agent-" + string(a.worker)
	path := s.write(name, fmt.Sprintf(`[agent]
worker = %q
dc = %q
rack = "r1"
addr = %q
entries = [%s]
vm = %q
grace = "10s"
%s`, a.worker, dcOf(i), a.addr, strings.Join(entries, ", "), a.vm, s.policyTable()))
	a.proc = spawn(s.t, name, "agent", "-config", path)
}

func (s *system) policyTable() string {
	if s.policy == "" {
		return ""
	}
	return "[policy]\n" + s.policy
}

func (s *system) write(name, text string) string {
	path := filepath.Join(s.dir, name+".toml")
	assert.NilError(s.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// configure creates the data centres, a team and the services.
func (s *system) configure() {
	for _, stmt := range []string{
		`create dc dc1`,
		`create dc dc2`,
		`create team fichero`,
		`create service lookup team fichero idempotent timeout 5s cores 0.5 memory 100MB`,
		`create service proof team fichero timeout 5s cores 0.5 memory 100MB`,
	} {
		s.mustDo(stmt)
	}
}

// awaitWorkers waits until every entry lists all workers and services.
func (s *system) awaitWorkers() {
	for _, e := range s.entries {
		eventually(s.t, e.name+" knows the workers", func() bool {
			workers, err := e.do("", "show workers")
			return err == nil && len(workers.GetRows()) == len(s.agents)
		})
		eventually(s.t, e.name+" knows the services", func() bool {
			services, err := e.do("", "show services")
			return err == nil && len(services.GetRows()) == 2
		})
	}
}

// do executes a statement at the entry. The id identifies the command.
func (e *entryProc) do(id, stmt string) (*wire.DoResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c := wire.NewOperatorServiceClient(http.DefaultClient, "http://"+e.peers.String())
	res, err := c.Do(ctx, connect.NewRequest(&wire.DoRequest{Id: id, Statement: stmt, Operator: "test"}))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// mustDo executes a statement at the first entry and requires the outcome done.
func (s *system) mustDo(stmt string) *wire.DoResponse {
	s.t.Helper()
	res, err := s.entries[0].do("", stmt)
	assert.NilError(s.t, err, stmt)
	assert.Equal(s.t, res.GetOutcome(), "done", "%s: %s %v", stmt, res.GetText(), res.GetFindings())
	return res
}

// journal returns the whole journal of the stand-in at addr.
func (s *system) journal(addr netip.AddrPort) []stand.Entry {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c := stand.NewClient(addr)
	defer c.Close()
	var all []stand.Entry
	for n := 0; ; {
		entries, next, err := c.Journal(ctx, n)
		assert.NilError(s.t, err)
		all = append(all, entries...)
		if next == n || len(entries) == 0 {
			return all
		}
		n = next
	}
}

// journals returns the journal entries of all workers.
func (s *system) journals() []stand.Entry {
	s.t.Helper()
	var all []stand.Entry
	for _, a := range s.agents {
		for _, e := range s.journal(a.vm) {
			if e.Worker == a.worker {
				all = append(all, e)
			}
		}
	}
	return all
}

// count returns the number of entries of the kind that match.
func count(entries []stand.Entry, kind stand.Kind, match func(stand.Entry) bool) int {
	n := 0
	for _, e := range entries {
		if e.Kind == kind && match(e) {
			n++
		}
	}
	return n
}

// fault injects a fault at the stand-in at addr; the value zero clears it.
func (s *system) fault(addr netip.AddrPort, name stand.Fault, value float64) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c := stand.NewClient(addr)
	defer c.Close()
	assert.NilError(s.t, c.SetFault(ctx, name, value, time.Time{}))
}
