package scale

import (
	"bytes"
	"fmt"
	stdio "io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/stand"
	"jayloft/wire"
)

// versions is the configuration that each agent says it has.
type versions struct {
	mu sync.Mutex
	m  map[string]uint64
}

// watch takes the versions from the beats that pass.
func (v *versions) watch(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/Beat") {
			body, err := stdio.ReadAll(r.Body)
			var m wire.BeatRequest
			if err == nil && proto.Unmarshal(body, &m) == nil {
				v.mu.Lock()
				v.m[m.GetWorker()] = max(v.m[m.GetWorker()], m.GetConfig())
				v.mu.Unlock()
			}
			r.Body = stdio.NopCloser(bytes.NewReader(body))
		}
		h.ServeHTTP(w, r)
	})
}

// spread returns the lowest and the highest version.
func (v *versions) spread() (low, high uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	low = ^uint64(0)
	for _, n := range v.m {
		low, high = min(low, n), max(high, n)
	}
	return low, high
}

// BenchmarkConfig gives the time from a change of configuration until the last
// agent's beats say that it has it.
func BenchmarkConfig(b *testing.B) {
	const entries = 3
	for _, n := range []int{50, 300} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			s := newSite(b)
			v := &versions{m: map[string]uint64{}}
			for range entries {
				s.entry(new(atomic.Int64), v.watch)
			}
			s.configure()
			for i := range n {
				s.agent(i)
			}
			s.await(n, "show workers where state = open")
			var worst time.Duration
			changes := 0
			for b.Loop() {
				_, old := v.spread()
				began := time.Now()
				s.do(fmt.Sprintf("create team t%d", changes))
				for low, _ := v.spread(); low <= old; low, _ = v.spread() {
					assert.Assert(b, time.Since(began) < patience)
					time.Sleep(5 * time.Millisecond)
				}
				worst = max(worst, time.Since(began))
				changes++
			}
			b.ReportMetric(worst.Seconds(), "worst-s")
		})
	}
}

// BenchmarkStart gives the time from the submission of many tasks at once
// until they run, and the transactions that it takes.
func BenchmarkStart(b *testing.B) {
	const entries, agents = 3, 200
	for _, jobs := range []int{1, 8} {
		b.Run(fmt.Sprintf("tasks=%d", jobs*core.MaxTasks), func(b *testing.B) {
			s := newSite(b)
			var pids []int
			for range entries {
				pids = append(pids, s.entryProcess())
			}
			s.configure()
			for i := range agents {
				s.agent(i)
			}
			s.await(agents, "show workers where state = open")
			idle := s.idle(pids)
			before, cpu := s.platform.Traffic().Total(), s.cpu(pids)
			var began time.Time
			for b.Loop() {
				began = time.Now()
				for j := range jobs {
					s.do(fmt.Sprintf("create job many%d team t class sleep cores 0.1 memory 10MB tasks %d urgent", j, core.MaxTasks))
				}
				s.awaitRuns(jobs * core.MaxTasks)
			}
			after := s.platform.Traffic().Total()
			assert.Equal(b, len(stand.Overlaps(s.journal())), 0)
			waits := s.runs(began)
			work := s.cpu(pids) - cpu - time.Duration(idle*float64(time.Since(began)))
			b.ReportMetric(float64(work.Microseconds())/float64(len(waits)), "entry-us/start")
			b.ReportMetric(float64(len(waits)), "starts")
			b.ReportMetric(waits[len(waits)/2].Seconds(), "p50-s")
			b.ReportMetric(waits[len(waits)-1].Seconds(), "max-s")
			b.ReportMetric(float64(after.Writes-before.Writes), "txn")
			b.ReportMetric(float64(after.Rows-before.Rows), "rows")
		})
	}
}

// cpu returns the processor time that processes have used so far.
func (s *site) cpu(pids []int) time.Duration {
	var d time.Duration
	for _, pid := range pids {
		d += costOf(s.b, pid).cpu
	}
	return d
}

// idle returns the processor time that processes take, in cores.
func (s *site) idle(pids []int) float64 {
	began, before := time.Now(), s.cpu(pids)
	time.Sleep(measured)
	return (s.cpu(pids) - before).Seconds() / time.Since(began).Seconds()
}

// runs returns when tasks began to run, after a time, in order.
func (s *site) runs(began time.Time) []time.Duration {
	var waits []time.Duration
	for _, e := range s.journal() {
		if e.Kind == stand.KindRun {
			waits = append(waits, e.At.Sub(began))
		}
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	return waits
}

// journal returns what all workers have recorded.
func (s *site) journal() []stand.Entry {
	var all []stand.Entry
	for _, w := range s.workers {
		entries, _ := w.Journal().Since(0)
		all = append(all, entries...)
	}
	return all
}

func (s *site) awaitRuns(n int) {
	s.b.Helper()
	for end := time.Now().Add(patience); len(s.runs(time.Time{})) < n; time.Sleep(poll) {
		assert.Assert(s.b, time.Now().Before(end), "%d of %d tasks run", len(s.runs(time.Time{})), n)
	}
}
