package sample

import (
	"io/fs"
	"path"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/config"
	"jayloft/core"
	"jayloft/query"
	"jayloft/work"
)

// TestSites checks that the settings files of each site are consistent with each
// other.
func TestSites(t *testing.T) {
	tests := []struct {
		site       string
		size       core.Size
		dcs, racks int
	}{
		{"fichero", core.Size{Millicores: 16000, MemoryMB: 60000}, 3, 5},
		{"mwakalinga", core.Size{Millicores: 32000, MemoryMB: 125000}, 4, 4},
	}
	for _, tc := range tests {
		t.Run(tc.site, func(t *testing.T) {
			peers := map[string]bool{}
			workers := map[core.WorkerID]config.Worker{}
			var agents []config.Agent
			files, err := fs.Glob(Files, tc.site+"/*.toml")
			assert.NilError(t, err)
			for _, name := range files {
				b, err := Files.ReadFile(name)
				assert.NilError(t, err)
				f, err := config.Parse(name, b)
				assert.NilError(t, err)
				switch {
				case f.Entry != nil:
					peers[f.Entry.Peers.String()] = true
				case f.Agent != nil:
					agents = append(agents, *f.Agent)
				default:
					for _, w := range f.Stand.Workers {
						workers[w.Name] = w
					}
				}
			}
			assert.Equal(t, len(peers), 3)
			assert.Equal(t, len(agents), 11)
			assert.Equal(t, len(workers), 11)
			dcs, racks := map[core.DC]bool{}, map[core.Rack]int{}
			for _, a := range agents {
				w := workers[a.Worker]
				assert.Equal(t, w.Addr, a.VM)
				assert.Equal(t, w.DC, a.DC)
				assert.Equal(t, w.Rack, a.Rack)
				assert.Equal(t, w.Size, tc.size)
				assert.Equal(t, w.Slots, 8)
				for _, e := range a.Entries {
					assert.Assert(t, peers[e.String()], e)
				}
				dcs[a.DC] = true
				racks[a.Rack]++
				assert.Assert(t, racks[a.Rack] <= 3, a.Rack)
			}
			assert.Equal(t, len(dcs), tc.dcs)
			assert.Equal(t, len(racks), tc.racks)
		})
	}
}

func TestStatements(t *testing.T) {
	for name, want := range map[string]int{
		"fichero/setup.jay": 6, "fichero/jobs.jay": 2,
		"mwakalinga/setup.jay": 8, "mwakalinga/jobs.jay": 3,
	} {
		b, err := Files.ReadFile(name)
		assert.NilError(t, err)
		stmts, err := query.ParseAll(string(b), time.Now())
		assert.NilError(t, err, name)
		assert.Equal(t, len(stmts), want, name)
		for _, s := range stmts {
			if job, ok := s.Command.(core.CreateJob); ok {
				checkInputs(t, path.Dir(name), job.Spec)
			}
		}
	}
}

// checkInputs checks that each input of a job is valid for its class.
func checkInputs(t *testing.T, site string, job core.JobSpec) {
	t.Helper()
	run := map[string]func(string) (string, error){
		"import": work.Import, "cutplan": work.CutPlan, "printwatch": work.PrintWatch,
	}[job.Class]
	assert.Assert(t, run != nil, job.Class)
	for _, in := range job.Inputs {
		if key, ok := strings.CutPrefix(in, "object:"); ok {
			b, err := Files.ReadFile(path.Join(site, "objects", key))
			assert.NilError(t, err)
			in = string(b)
		}
		_, err := run(in)
		assert.NilError(t, err)
	}
}
