package scale

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// BenchmarkEntry measures the CPU time, memory and table traffic of an entry
// process when every agent sends heartbeats to each of three entries.
func BenchmarkEntry(b *testing.B) {
	const entries = 3
	for _, n := range []int{50, 150, 300} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			s := newSystem(b)
			var pids []int
			for range entries {
				pids = append(pids, s.startEntryProcess())
			}
			s.configure()
			for i := range n {
				s.startAgent(i)
			}
			s.awaitRows(n, "show workers where state = open")
			time.Sleep(time.Second)
			s.platform.Traffic().ResetPeak()
			writes, reads := s.platform.Traffic().Total().Writes, s.platform.Traffic().Total().Reads
			var before, after [entries]usage
			for i, pid := range pids {
				before[i] = usageOf(b, pid)
			}
			for b.Loop() {
				time.Sleep(measurePeriod)
			}
			var cpu time.Duration
			var memory int64
			for i, pid := range pids {
				after[i] = usageOf(b, pid)
				cpu += after[i].cpu - before[i].cpu
				memory += after[i].memory
			}
			beats := float64(n) * b.Elapsed().Seconds() / core.DefaultPolicy().HeartbeatInterval.Seconds()
			total := s.platform.Traffic().Total()
			b.ReportMetric(100*cpu.Seconds()/b.Elapsed().Seconds()/entries, "%core/entry")
			b.ReportMetric(float64(cpu.Microseconds())/entries/beats, "us/beat")
			b.ReportMetric(float64(memory)/entries/(1<<20), "MB/entry")
			b.ReportMetric(float64(total.Reads-reads)/b.Elapsed().Seconds(), "reads/s")
			b.ReportMetric(float64(total.Writes-writes)/b.Elapsed().Seconds(), "writes/s")
		})
	}
}

// Limits on the overhead of an agent.
const (
	maxResidentBytes  = 128 << 20
	maxBytesPerSecond = 19_000.0
)

// BenchmarkAgent measures the CPU time and memory of an agent process with its 8
// slots busy and 8 tasks running, and the bytes on connections to the entries' peer
// addresses. Requests are excluded, since entries send them to the agent's address.
func BenchmarkAgent(b *testing.B) {
	for _, entries := range []int{1, 3, 6} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			s := newSystem(b)
			var bytes atomic.Int64
			for range entries {
				s.startEntry(&bytes, func(h http.Handler) http.Handler { return h })
			}
			s.configure()
			pid := s.startAgentProcess("w1")
			s.awaitRows(1, "show workers where state = open")
			const tasks = 8
			s.do(`create job long team t class sleep cores 0.5 memory 100MB inputs ` +
				strings.TrimSuffix(strings.Repeat(`"1m", `, tasks), ", "))
			s.awaitRows(tasks, "show tasks where state = running")
			stop := s.occupySlots(8)
			time.Sleep(2 * time.Second)
			before, sent := usageOf(b, pid), bytes.Load()
			for b.Loop() {
				time.Sleep(measurePeriod)
			}
			after := usageOf(b, pid)
			assert.Assert(b, after.memory < maxResidentBytes, "%d bytes resident", after.memory)
			assert.Assert(b, float64(bytes.Load()-sent) < maxBytesPerSecond*b.Elapsed().Seconds())
			b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/b.Elapsed().Seconds(), "%core")
			b.ReportMetric(float64(after.memory)/(1<<20), "MB")
			b.ReportMetric(float64(bytes.Load()-sent)/b.Elapsed().Seconds(), "B/s")
			stop()
		})
	}
}

// startAgentProcess starts an agent in a separate process and returns the process
// id.
func (s *system) startAgentProcess(name string) int {
	s.b.Helper()
	entries := make([]string, len(s.peers))
	for i, p := range s.peers {
		entries[i] = fmt.Sprintf("%q", p)
	}
	return s.spawn("agent", name, fmt.Sprintf(
		"[agent]\nworker = %q\ndc = \"d1\"\nrack = \"r1\"\naddr = %q\nentries = [%s]\nvm = %q\n",
		name, freeAddr(s.b), strings.Join(entries, ", "), s.startWorker(core.WorkerID(name))))
}

// occupySlots keeps n slots busy with requests of one second each until stop is
// called.
func (s *system) occupySlots(n int) (stop func()) {
	var wg sync.WaitGroup
	done := make(chan struct{})
	var good atomic.Int64
	for i := range n {
		url := "http://" + s.callers[i%len(s.callers)].String() + "/v1/services/hold"
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				res, err := http.Post(url, "", strings.NewReader("x"))
				if err != nil {
					continue
				}
				if res.StatusCode == http.StatusOK {
					good.Add(1)
				}
				_ = res.Body.Close()
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
		assert.Assert(s.b, good.Load() >= int64(n), "%d requests were answered", good.Load())
	}
}
