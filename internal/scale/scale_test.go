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

// BenchmarkEntry gives what an entry process costs when every agent beats to
// each of three entries.
func BenchmarkEntry(b *testing.B) {
	const entries = 3
	for _, n := range []int{50, 150, 300} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			s := newSite(b)
			var pids []int
			for range entries {
				pids = append(pids, s.entryProcess())
			}
			s.configure()
			for i := range n {
				s.agent(i)
			}
			s.await(n, "show workers where state = open")
			time.Sleep(time.Second)
			s.platform.Traffic().ResetPeak()
			writes, reads := s.platform.Traffic().Total().Writes, s.platform.Traffic().Total().Reads
			var before, after [entries]cost
			for i, pid := range pids {
				before[i] = costOf(b, pid)
			}
			for b.Loop() {
				time.Sleep(measured)
			}
			var cpu time.Duration
			var memory int64
			for i, pid := range pids {
				after[i] = costOf(b, pid)
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

// What an agent may take for control.
const (
	maxMemory = 128 << 20 // bytes resident
	maxBytes  = 19_000.0  // a second
)

// BenchmarkAgent gives what an agent process costs with its 8 slots busy and 8
// tasks running, and the bytes between it and the entries, requests left out.
func BenchmarkAgent(b *testing.B) {
	for _, entries := range []int{1, 3, 6} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			s := newSite(b)
			var bytes atomic.Int64
			for range entries {
				s.entry(&bytes, func(h http.Handler) http.Handler { return h })
			}
			s.configure()
			pid := s.agentProcess("w1")
			s.await(1, "show workers where state = open")
			const tasks = 8
			s.do(`create job long team t class sleep cores 0.5 memory 100MB inputs ` +
				strings.TrimSuffix(strings.Repeat(`"1m", `, tasks), ", "))
			s.await(tasks, "show tasks where state = running")
			stop := s.hold(8)
			time.Sleep(2 * time.Second)
			before, sent := costOf(b, pid), bytes.Load()
			for b.Loop() {
				time.Sleep(measured)
			}
			after := costOf(b, pid)
			assert.Assert(b, after.memory < maxMemory, "%d bytes resident", after.memory)
			assert.Assert(b, float64(bytes.Load()-sent) < maxBytes*b.Elapsed().Seconds())
			b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/b.Elapsed().Seconds(), "%core")
			b.ReportMetric(float64(after.memory)/(1<<20), "MB")
			b.ReportMetric(float64(bytes.Load()-sent)/b.Elapsed().Seconds(), "B/s")
			stop()
		})
	}
}

// agentProcess runs an agent as a process of its own.
func (s *site) agentProcess(name string) int {
	s.b.Helper()
	entries := make([]string, len(s.peers))
	for i, p := range s.peers {
		entries[i] = fmt.Sprintf("%q", p)
	}
	return s.spawn("agent", name, fmt.Sprintf(
		"[agent]\nworker = %q\ndc = \"d1\"\nrack = \"r1\"\naddr = %q\nentries = [%s]\nvm = %q\n",
		name, freeAddr(s.b), strings.Join(entries, ", "), s.worker(core.WorkerID(name))))
}

// hold keeps n slots busy with requests of a second until it is stopped.
func (s *site) hold(n int) (stop func()) {
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
