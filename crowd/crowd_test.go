package crowd

import (
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// The crowd and the bounds of each test.
const (
	clients = 300
	// maxMemory is the most resident memory of a process, in MB: an agent's VM has 152 MB, an
	// entry's 184 MB at the least.
	maxMemory = 90
	// maxDescriptors is the most open files beside a crowd, and leftDescriptors the most that a
	// process has more than before when the crowd has gone.
	maxDescriptors  = clients + 100
	leftDescriptors = 20
)

// place is an address of a process under test, and an ordinary request to it.
type place struct {
	target
	proc     *process
	ordinary func() bool
}

// site is a small deployment with stand-ins, and one whose platform has no store.
type site struct {
	places map[string]place
}

// newSite starts the processes, and waits until they answer.
func newSite(t *testing.T) *site {
	t.Helper()
	at := func() netip.AddrPort { return freeAddr(t) }
	table, vm, callers, peers, metrics, addr := at(), at(), at(), at(), at(), at()
	spawn(t, "platform", "stand", fmt.Sprintf("[stand]\nplatform = %q\n", table))
	spawn(t, "vms", "stand", fmt.Sprintf("[stand]\nobjects = %q\n[[stand.workers]]\nname = \"w1\"\ndc = \"dc1\"\nrack = \"r1\"\naddr = %q\ncores = 4\nmemory = \"8GB\"\nservices = [\"lookup\"]\n", table, vm))
	entry := spawn(t, "entry", "entry", fmt.Sprintf("[entry]\nname = \"e1\"\ncallers = %q\npeers = %q\nmetrics = %q\ntable = %q\n", callers, peers, metrics, table))
	agent := spawn(t, "agent", "agent", fmt.Sprintf("[agent]\nworker = \"w1\"\ndc = \"dc1\"\nrack = \"r1\"\naddr = %q\nentries = [%q]\nvm = %q\n", addr, peers, vm))
	query := func(statement string) bool {
		body := fmt.Sprintf(`{"statement":%q,"operator":"test"}`, statement)
		return answers(http.MethodPost, fmt.Sprintf("http://%s/jayloft.OperatorService/Do", peers), body, http.StatusOK)
	}
	lookup := func() bool {
		return answers(http.MethodPost, fmt.Sprintf("http://%s/v1/services/lookup", callers), `{"word":"tinto"}`, http.StatusOK)
	}
	eventually(t, "the entry is ready", func() bool {
		return answers(http.MethodGet, fmt.Sprintf("http://%s/healthz", callers), "", http.StatusOK)
	})
	for _, stmt := range []string{"create dc dc1", "create team fichero", "create service lookup team fichero idempotent timeout 5s cores 0.5 memory 100MB"} {
		assert.Assert(t, query(stmt), stmt)
	}
	eventually(t, "a request is served", lookup)

	store, front, ready, control, rpc, side := at(), at(), at(), at(), at(), at()
	platformEntry := spawn(t, "platform-entry", "entry", fmt.Sprintf(
		"[entry]\nname = \"e2\"\npeers = %q\n[platform]\nstore = %q\nfront = %q\nready = %q\ndcs = [\"dc1\"]\n", rpc, store, front, ready))
	platformAgent := spawn(t, "platform-agent", "agent", fmt.Sprintf(
		"[agent]\nworker = \"w2\"\ndc = \"dc1\"\naddr = %q\n[platform]\nstore = %q\nbeats = %q\nworker = %q\ndcs = [\"dc1\"]\n", side, store, control, vm))
	submit := func() bool {
		return answers(http.MethodPost, fmt.Sprintf("http://%s/q/00000000000000aa", front), `{"task_spec":"x","steps":[{"count":1}]}`, http.StatusServiceUnavailable)
	}
	beat := func() bool {
		return answers(http.MethodPut, fmt.Sprintf("http://%s/instances/w2", control),
			`{"born":1,"service":"s","address":"127.0.0.1:1","state":"ready","sequence":1,"capacity":{"cpu":1000,"mem_mb":1000}}`, http.StatusOK)
	}
	eventually(t, "a submission is answered", submit)
	eventually(t, "a heartbeat is answered", beat)
	return &site{places: map[string]place{
		"callers": {target{callers, http.MethodPost, "/v1/services/lookup"}, entry, lookup},
		"peers":   {target{peers, http.MethodPost, "/jayloft.OperatorService/Do"}, entry, func() bool { return query("show workers") }},
		"metrics": {target{metrics, http.MethodPost, "/metrics"}, entry, func() bool {
			return answers(http.MethodGet, fmt.Sprintf("http://%s/metrics", metrics), "", http.StatusOK)
		}},
		"agent": {target{addr, http.MethodPost, "/jayloft.AgentService/Serve"}, agent, lookup},
		"front": {target{front, http.MethodPost, "/q/00000000000000ab"}, platformEntry, submit},
		"ready": {target{ready, http.MethodGet, "/ready"}, platformEntry, submit},
		"beats": {target{control, http.MethodPut, "/instances/w2"}, platformAgent, beat},
	}}
}

// check gathers a crowd before an address of a process, and checks what must hold.
func check(t *testing.T, where string, gather func(g target) *crowd) {
	t.Helper()
	p, ok := newSite(t).places[where]
	assert.Assert(t, ok)
	before := p.proc.descriptors()
	c := gather(p.target)
	defer c.dismiss()
	most := p.proc.descriptors()
	assert.Assert(t, p.proc.lives(), "%s has ended", p.proc.name)
	eventually(t, "an ordinary request is answered beside the crowd", p.ordinary)
	t.Logf("%s: %d MB at the most, %d descriptors beside the crowd, %d before", p.proc.name, p.proc.peakMemory(), most, before)
	assert.Check(t, p.proc.peakMemory() <= maxMemory, "%s had %d MB", p.proc.name, p.proc.peakMemory())
	assert.Check(t, most <= maxDescriptors, "%s had %d descriptors", p.proc.name, most)
	c.dismiss()
	eventually(t, "the descriptors are closed", func() bool { return p.proc.descriptors() <= before+leftDescriptors })
	assert.Assert(t, p.ordinary(), "an ordinary request is answered after the crowd")
}

// A crowd of each kind stands before each address that can be reached.
func TestCrowd(t *testing.T) {
	for _, where := range []string{"callers", "peers", "metrics", "agent", "front", "ready", "beats"} {
		for _, kind := range slices.Sorted(maps.Keys(scripts)) {
			t.Run(where+"/"+kind, func(t *testing.T) {
				check(t, where, func(g target) *crowd { return gather(g, clients, scripts[kind]) })
			})
		}
		t.Run(where+"/streams", func(t *testing.T) {
			check(t, where, func(g target) *crowd { return gatherStreams(g, clients) })
		})
	}
}
