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

// configVersions records the configuration version that each agent reports.
type configVersions struct {
	mu sync.Mutex
	m  map[string]uint64
}

// observe returns a handler that records the versions in the heartbeats that it
// passes on to h.
func (v *configVersions) observe(h http.Handler) http.Handler {
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

// minMax returns the lowest and the highest version.
func (v *configVersions) minMax() (low, high uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	low = ^uint64(0)
	for _, n := range v.m {
		low, high = min(low, n), max(high, n)
	}
	return low, high
}

// BenchmarkConfig measures the time from a change of the configuration until the
// heartbeats of all agents report it.
func BenchmarkConfig(b *testing.B) {
	const entries = 3
	for _, n := range []int{50, 300} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			s := newSystem(b)
			v := &configVersions{m: map[string]uint64{}}
			for range entries {
				s.startEntry(new(atomic.Int64), v.observe)
			}
			s.configure()
			for i := range n {
				s.startAgent(i)
			}
			s.awaitRows(n, "show workers where state = open")
			var worst time.Duration
			changes := 0
			for b.Loop() {
				_, old := v.minMax()
				began := time.Now()
				s.do(fmt.Sprintf("create team t%d", changes))
				for low, _ := v.minMax(); low <= old; low, _ = v.minMax() {
					assert.Assert(b, time.Since(began) < waitTimeout)
					time.Sleep(5 * time.Millisecond)
				}
				worst = max(worst, time.Since(began))
				changes++
			}
			b.ReportMetric(worst.Seconds(), "worst-s")
		})
	}
}

// BenchmarkStart measures the time from the submission of many tasks at once until
// they run, the transactions and rows written, and the CPU time of the entries per
// start.
func BenchmarkStart(b *testing.B) {
	const entries, agents = 3, 200
	for _, jobs := range []int{1, 8} {
		b.Run(fmt.Sprintf("tasks=%d", jobs*core.MaxTasks), func(b *testing.B) {
			s := newSystem(b)
			var pids []int
			for range entries {
				pids = append(pids, s.startEntryProcess())
			}
			s.configure()
			for i := range agents {
				s.startAgent(i)
			}
			s.awaitRows(agents, "show workers where state = open")
			idle := s.idleCores(pids)
			before, cpu := s.platform.Traffic().Total(), s.cpuTime(pids)
			var began time.Time
			for b.Loop() {
				began = time.Now()
				for j := range jobs {
					s.do(fmt.Sprintf("create job many%d team t class sleep cores 0.1 memory 10MB tasks %d urgent", j, core.MaxTasks))
				}
				s.awaitStarts(jobs * core.MaxTasks)
			}
			after := s.platform.Traffic().Total()
			assert.Equal(b, len(stand.Overlaps(s.journal())), 0)
			waits := s.startDelays(began)
			work := s.cpuTime(pids) - cpu - time.Duration(idle*float64(time.Since(began)))
			b.ReportMetric(float64(work.Microseconds())/float64(len(waits)), "entry-us/start")
			b.ReportMetric(float64(len(waits)), "starts")
			b.ReportMetric(waits[len(waits)/2].Seconds(), "p50-s")
			b.ReportMetric(waits[len(waits)-1].Seconds(), "max-s")
			b.ReportMetric(float64(after.Writes-before.Writes), "txn")
			b.ReportMetric(float64(after.Rows-before.Rows), "rows")
		})
	}
}

// cpuTime returns the total CPU time that the processes have used so far.
func (s *system) cpuTime(pids []int) time.Duration {
	var d time.Duration
	for _, pid := range pids {
		d += usageOf(s.b, pid).cpu
	}
	return d
}

// idleCores returns the average CPU usage of the processes over measurePeriod, in
// cores.
func (s *system) idleCores(pids []int) float64 {
	began, before := time.Now(), s.cpuTime(pids)
	time.Sleep(measurePeriod)
	return (s.cpuTime(pids) - before).Seconds() / time.Since(began).Seconds()
}

// startDelays returns, in ascending order, the time from began to the start of
// each task.
func (s *system) startDelays(began time.Time) []time.Duration {
	var waits []time.Duration
	for _, e := range s.journal() {
		if e.Kind == stand.KindRun {
			waits = append(waits, e.At.Sub(began))
		}
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	return waits
}

// journal returns the journal entries of all workers.
func (s *system) journal() []stand.Entry {
	var all []stand.Entry
	for _, w := range s.workers {
		entries, _ := w.Journal().Since(0)
		all = append(all, entries...)
	}
	return all
}

func (s *system) awaitStarts(n int) {
	s.b.Helper()
	for end := time.Now().Add(waitTimeout); len(s.startDelays(time.Time{})) < n; time.Sleep(pollInterval) {
		assert.Assert(s.b, time.Now().Before(end), "%d of %d tasks run", len(s.startDelays(time.Time{})), n)
	}
}
