package config_test

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/config"
	"jayloft/core"
)

const entryFile = `
[entry]
name = "entry-1"
callers = "127.0.0.1:7001"
peers = "127.0.0.1:7002"
metrics = "127.0.0.1:7003"
table = "127.0.0.1:7100"

[log]
level = "debug"

[policy]
lease = "20s"
retries = 0.2
rows = 50
`

const agentFile = `
[agent]
worker = "bog-w1"
dc = "bog-1"
rack = "bog-1-a"
addr = "127.0.0.1:7201"
entries = ["127.0.0.1:7002", "127.0.0.1:7012"]
vm = "127.0.0.1:7301"
grace = "1m30s"
`

const standFile = `
[stand]
platform = "127.0.0.1:7100"
slips = "slips.csv"
seed = 7

[[stand.workers]]
name = "bog-w1"
dc = "bog-1"
rack = "bog-1-a"
addr = "127.0.0.1:7301"
cores = 16
memory = "60GB"
services = ["lookup"]

[[stand.workers]]
name = "bog-w2"
dc = "bog-1"
rack = "bog-1-a"
addr = "127.0.0.1:7302"
cores = 15.5
memory = "60GB"
accelerators = 1
slots = 4
`

func TestParseEntry(t *testing.T) {
	f, err := config.Parse("entry.toml", []byte(entryFile))
	assert.NilError(t, err)
	assert.Equal(t, *f.Entry, config.Entry{
		Name:    "entry-1",
		Callers: netip.MustParseAddrPort("127.0.0.1:7001"),
		Peers:   netip.MustParseAddrPort("127.0.0.1:7002"),
		Metrics: netip.MustParseAddrPort("127.0.0.1:7003"),
		Table:   netip.MustParseAddrPort("127.0.0.1:7100"),
		Objects: netip.MustParseAddrPort("127.0.0.1:7100"),
		Grace:   20 * time.Second,
	})
	want := core.DefaultPolicy()
	want.Lease, want.RetryShare, want.TxnRows = 20*time.Second, 0.2, 50
	assert.Assert(t, f.Policy == want)
	assert.Equal(t, f.Log, config.Log{Level: "debug", Format: "text"})
	assert.Assert(t, f.Agent == nil && f.Stand == nil)
}

func TestParseAgent(t *testing.T) {
	f, err := config.Parse("agent.toml", []byte(agentFile))
	assert.NilError(t, err)
	assert.Equal(t, f.Agent.Worker, core.WorkerID("bog-w1"))
	assert.Equal(t, len(f.Agent.Entries), 2)
	assert.Equal(t, f.Agent.Grace, 90*time.Second)
	assert.Assert(t, !f.Agent.Metrics.IsValid())
}

func TestParseStand(t *testing.T) {
	f, err := config.Parse(filepath.Join("fichero", "stand.toml"), []byte(standFile))
	assert.NilError(t, err)
	assert.Equal(t, f.Stand.Slips, filepath.Join("fichero", "slips.csv"))
	assert.Equal(t, f.Stand.Objects, f.Stand.Platform)
	assert.Equal(t, f.Stand.Workers[0].Size, core.Size{Millicores: 16000, MemoryMB: 60000})
	assert.Equal(t, f.Stand.Workers[0].Slots, 8)
	assert.Equal(t, f.Stand.Workers[1].Size, core.Size{Millicores: 15500, MemoryMB: 60000, Accelerators: 1})
	assert.Equal(t, f.Stand.Workers[1].Slots, 4)
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent.toml")
	assert.NilError(t, os.WriteFile(path, []byte(agentFile), 0o600))
	f, err := config.Load(path)
	assert.NilError(t, err)
	assert.Equal(t, f.Agent.DC, core.DC("bog-1"))
	_, err = config.Load(path + ".absent")
	assert.Assert(t, errors.Is(err, os.ErrNotExist))
}

func TestParseFindings(t *testing.T) {
	tests := []struct {
		name string
		in   string
		want []string
	}{
		{"empty", "", []string{"1:1: the file has no table [entry], [agent] or [stand]"}},
		{"all kinds of errors at once", strings.Join([]string{
			`[entry]`,
			`label = "e1"`,
			`callers = "localhost:80"`,
			`peers = "127.0.0.1:7002"`,
			`metrics = "127.0.0.1:7002"`,
			`table = 7100`,
			`grace = 20`,
			`[policy]`,
			`lease = "20"`,
			`permit = "3h"`,
			`retries = "a tenth"`,
			`rows = 1.5`,
			`parking = 0`,
			`[log]`,
			`level = "loud"`,
		}, "\n"), []string{
			`1:2: [entry] is missing the key "name"`,
			`2:1: unknown key "label" in [entry]; its keys are name, callers`,
			`3:11: "localhost:80" is not an IP address with a port`,
			`5:11: metrics 127.0.0.1:7002 conflicts with peers on line 4`,
			`6:9: want a string such as "10.0.0.1:7001", not an integer`,
			`7:9: want a string such as "15s", not an integer`,
			`9:9: "20" has no unit; write 20ms, 20s, 20m or 20h`,
			`10:10: 3h is not between 100ms and 30s`,
			`11:11: want a number such as 0.1, not a string`,
			`12:8: 1.5 is not an integer`,
			`13:11: 0 is not between 1 and 100`,
			`15:9: "loud" is not one of debug, info, warn, error`,
		}},
		{"syntax errors hide no findings in other tables", strings.Join([]string{
			`[entry]`,
			`name = `,
			`callers = "127.0.0.1:7001"`,
			`[log]`,
			`level = "loud"`,
			`[policy`,
			`lease = "20s"`,
			`[policy]`,
			`lease = "20h"`,
		}, "\n"), []string{
			`2:8: `,
			`5:9: "loud" is not one of`,
			`6:8: expected ']' to close table name`,
			`9:9: 20h is not between 1s and 10m`,
		}},
		{"twice", strings.Join([]string{
			`[agent]`,
			`dc = "bog-1"`,
			`dc = "bog-2"`,
			`[agent]`,
			`rack = "a"`,
			`[log]`,
			`level = { a = 1, a = 2 }`,
		}, "\n"), []string{
			`1:2: [agent] is missing the key "worker"`,
			`1:2: [agent] is missing the key "rack"`,
			`1:2: [agent] is missing the key "addr"`,
			`1:2: [agent] is missing the key "entries"`,
			`1:2: [agent] is missing the key "vm"`,
			`3:1: "dc" is set twice, first on line 2`,
			`4:2: "agent" is set twice, first on line 1`,
			`7:9: want a string such as "debug", not a table`,
			`7:18: "a" is set twice, first on line 7`,
		}},
		{"addresses of an agent", strings.Join([]string{
			`[agent]`,
			`worker = "w1"`,
			`dc = "bog 1"`,
			`rack = ""`,
			`addr = "0.0.0.0:7201"`,
			`entries = ["127.0.0.1:7002", "127.0.0.1:7002", "224.0.0.1:1", "127.0.0.1:0"]`,
			`vm = "127.0.0.1:7002"`,
		}, "\n"), []string{
			`3:6: "bog 1" has the character ' '`,
			`4:8: the name is empty`,
			`5:8: other processes can't reach the unspecified address 0.0.0.0:7201`,
			`6:30: entries 127.0.0.1:7002 conflicts with entries on line 6`,
			`6:48: 224.0.0.1:1 is a multicast address`,
			`6:63: 127.0.0.1:0 has no port`,
			`7:6: vm 127.0.0.1:7002 conflicts with entries on line 6`,
		}},
		{"workers", strings.Join([]string{
			`[stand]`,
			`[[stand.workers]]`,
			`name = "w1"`,
			`dc = "bog-1"`,
			`rack = "r"`,
			`addr = "127.0.0.1:7301"`,
			`cores = 0`,
			`memory = "60 GB"`,
			`services = ["lookup", "lookup"]`,
			`[[stand.workers]]`,
			`name = "w1"`,
			`dc = "bog-1"`,
			`rack = "r"`,
			`addr = "0.0.0.0:7301"`,
			`cores = 16`,
			`memory = "60gb"`,
			`slots = true`,
		}, "\n"), []string{
			`7:9: 0 is not between 0.001 and 4096 cores`,
			`8:10: "60 GB" has the unknown unit " GB"`,
			`9:23: "lookup" is listed twice`,
			`10:9: worker "w1" is listed twice, first on line 2`,
			`14:8: addr 0.0.0.0:7301 conflicts with addr on line 6`,
			`16:10: "60gb" has the unknown unit "gb"`,
			`17:9: want an integer such as 1, not a boolean`,
		}},
		{"one process per file", "[stand]\nplatform = \"127.0.0.1:1\"\n[agent]\n", []string{
			`3:2: the file already has [stand]`,
			`3:2: [agent] is missing the key "worker"`,
			`3:2: [agent] is missing the key "dc"`,
			`3:2: [agent] is missing the key "rack"`,
			`3:2: [agent] is missing the key "addr"`,
			`3:2: [agent] is missing the key "entries"`,
			`3:2: [agent] is missing the key "vm"`,
		}},
		{"order of policy parameters", standFile + "[policy]\nbeat = \"2s\"\nsuspect = \"1s\"\n", []string{
			`beat (2s) must be less than silent (1.5s)`,
			`beat (2s) must be less than permit (2s)`,
			`silent (1.5s) must be less than suspect (1s)`,
		}},
		{"age of counts", standFile + "[policy]\ndead = \"3s\"\nshards = \"3s\"\n", []string{
			`shards, a third of dead, and read take 4.5s together; with visible (3s) they must not exceed 3.75s`,
		}},
		{"homes without a platform", entryFile + "homes = 5\n", []string{
			`16:9: homes needs [platform]`,
		}},
		{"no homes", entryFile + "homes = 0\n", []string{`16:9: 0 is not between 1 and 1000`}},
		{"more homes than entries may exist", entryFile + "homes = 1001\n", []string{`16:9: 1001 is not between 1 and 1000`}},
		{"columns count characters", "[stand]\nplatform = \"127.0.0.1:1\"\nslips = { \"ñ\" = 1, \"ñ\" = 2 }", []string{
			`3:9: want a string such as "slips.csv", not a table`,
			`3:20: "ñ" is set twice, first on line 3`,
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := config.Parse("a.toml", []byte(tc.in))
			var fs config.Findings
			assert.Assert(t, errors.As(err, &fs), "%v", err)
			for i, f := range fs {
				if i < len(tc.want) {
					assert.Assert(t, strings.Contains(f.String(), tc.want[i]), "finding %d: %s", i, f)
				}
			}
			assert.Equal(t, len(fs), len(tc.want), "%v", err)
		})
	}
}

func TestParamsCoverDefaults(t *testing.T) {
	for _, n := range config.Params() {
		v := n.Value(core.DefaultPolicy())
		back, err := n.Parse(n.Format(v))
		assert.NilError(t, err, n.Name)
		assert.Equal(t, back, v, n.Name)
		var p core.Policy
		n.Apply(&p, v)
		assert.Equal(t, n.Value(p), v, n.Name)
	}
}

func FuzzLoad(f *testing.F) {
	for _, s := range []string{entryFile, agentFile, standFile, "", "[entry", "a.b.c = 1\n[a]\n[[a.b]]", "x = \"\"\"", "\xff", "[a]\nb = [1, {c = 2"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		_, err := config.Parse("f.toml", b)
		if err == nil {
			return
		}
		var fs config.Findings
		assert.Assert(t, errors.As(err, &fs), "%v", err)
		lines := strings.Count(string(b), "\n") + 1
		for _, x := range fs {
			assert.Assert(t, x.Line >= 1 && x.Line <= lines && x.Column >= 1, "%v", x)
			assert.Assert(t, x.Text != "" && x.File == "f.toml", "%v", x)
		}
	})
}
