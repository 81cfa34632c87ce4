package core_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"jayloft/core"
	"jayloft/internal/codec"
)

// commitLatency is the simulated latency of a transaction.
const commitLatency = 5 * time.Millisecond

// BenchmarkTicks measures an entry's time for half a second of ticks and reads, without
// a change of configuration and with a changed team or service.
func BenchmarkTicks(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, 29000} {
		for _, change := range []string{"none", "team", "service"} {
			b.Run(fmt.Sprintf("workers=%d/change=%s", n, change), func(b *testing.B) {
				x := newBench(b)
				heartbeats := x.putWorkers(n, tasksPerWorker)
				for b.Loop() {
					b.StopTimer()
					x.heartbeatAll(heartbeats)
					switch change {
					case "team":
						x.putTeam(0, x.table.rev)
					case "service":
						x.putService(time.Duration(x.table.rev) * time.Millisecond)
					}
					b.StartTimer()
					x.run(500 * time.Millisecond)
				}
			})
		}
	}
}

// BenchmarkShow measures the time and the size of the answer of a query without a
// filter.
func BenchmarkShow(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		for _, kind := range []string{"workers", "tasks"} {
			b.Run(fmt.Sprintf("%s=%d", kind, n), func(b *testing.B) {
				x := newBench(b)
				if kind == "workers" {
					x.putWorkers(n, 0)
				} else {
					x.putJobs(n, 20, 100)
					x.run(3 * time.Second)
				}
				bytes := 0
				x.result = func(r core.CommandResult) { bytes = proto.Size(codec.ResultToWire(r)) }
				for b.Loop() {
					x.reduce(core.CommandAsked{Token: 1, ID: "show", Command: core.Show{Kind: kind}})
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/row")
				b.ReportMetric(float64(bytes)/float64(n), "B/row")
			})
		}
	}
}

// putService changes a service and the version of the configuration.
func (b *bench) putService(timeout time.Duration) {
	b.table.put(b.tb, core.PrefixConfig+"service/lookup",
		core.ServiceRow{Name: "lookup", Idempotent: true, Timeout: time.Second + timeout})
	b.table.put(b.tb, core.KeyVersion, core.VersionRow{N: b.table.rev})
}

// putTeam changes a team and the version of the configuration.
func (b *bench) putTeam(n int, quota uint64) {
	name := core.Team(fmt.Sprintf("team%03d", n))
	b.table.put(b.tb, core.PrefixConfig+"team/"+string(name),
		core.TeamRow{Name: name, Quota: core.Size{Millicores: int64(quota)*1000 + 1, MemoryMB: 4000000}})
	b.table.put(b.tb, core.KeyVersion, core.VersionRow{N: b.table.rev})
}

// BenchmarkConfigBytes measures the size of an entry's answer to a heartbeat of an
// agent that has the current configuration, lacks one change, or has none.
func BenchmarkConfigBytes(b *testing.B) {
	for _, teams := range []int{10, 100, 730} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			x := newBench(b)
			for i := range teams {
				x.putTeam(i, 1)
			}
			x.run(time.Second)
			before := x.table.rev
			x.putTeam(0, 2)
			x.run(time.Second)
			for b.Loop() {
				b.ReportMetric(x.answerBytes(before), "delta-B")
				b.ReportMetric(x.answerBytes(0), "full-B")
				b.ReportMetric(x.answerBytes(x.table.rev), "same-B")
			}
		})
	}
}

// BenchmarkDelta measures an entry's time to answer a heartbeat of an agent that lacks
// one change of the configuration.
func BenchmarkDelta(b *testing.B) {
	for _, teams := range []int{10, 100, 730} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			x := newBench(b)
			for i := range teams {
				x.putTeam(i, 1)
			}
			x.run(time.Second)
			before := x.table.rev
			x.putTeam(0, 2)
			x.run(time.Second)
			hb := benchHeartbeat(0, x.now)
			hb.Config = before
			for b.Loop() {
				x.reduce(core.HeartbeatReceived{Token: 1, Heartbeat: hb})
			}
		})
	}
}

// answerBytes returns the size of the answer to a heartbeat of an agent whose
// configuration is of the given revision.
func (b *bench) answerBytes(config uint64) float64 {
	hb := benchHeartbeat(0, b.now)
	hb.Config = config
	for _, eff := range b.e.Reduce(core.Stamp{Now: b.now}, core.HeartbeatReceived{Token: 1, Heartbeat: hb}) {
		if r, ok := eff.(core.BeatReply); ok {
			return float64(proto.Size(codec.HeartbeatAnswerToWire(r.Answer)))
		}
	}
	b.tb.Fatal("no answer")
	return 0
}

// BenchmarkGroup measures, in virtual time, the group commit at several arrival rates
// of tasks, for one of eight entries with its share of the write budget.
func BenchmarkGroup(b *testing.B) {
	const entries, runFor = 8, 5 * time.Second
	for _, perJob := range []int{1, 20, core.MaxTasks} {
		for _, rate := range []int{100, 1000, 2625, 5250, 21000} {
			b.Run(fmt.Sprintf("job=%d/rate=%d", perJob, rate), func(b *testing.B) {
				for b.Loop() {
					x := newBench(b, withWriteShare(entries))
					x.putWorkers(2000, 0)
					x.delay = commitLatency
					x.generateLoad(rate, perJob, runFor)
				}
			})
		}
	}
}

// withWriteShare sets the write budget of one of n entries.
func withWriteShare(n int) core.Option {
	return func(p *core.Policy) { p.WritesPerSecond = core.DefaultPolicy().WritesPerSecond / float64(n) }
}

// generateLoad submits rate tasks per second for d, in jobs of perJob tasks, and reports
// the metrics of transactions and starts in that time.
func (b *bench) generateLoad(rate, perJob int, d time.Duration) {
	b.table.txns, b.table.writes, b.table.bytesWritten, b.starts = 0, 0, 0, 0
	jobs, begin := 0, b.now
	for b.now.Sub(begin) < d {
		for due := float64(rate) * b.now.Sub(begin).Seconds(); float64(jobs*perJob) < due; jobs++ {
			b.putJob(jobs, perJob, 0, 0)
		}
		if b.now.Sub(begin)%time.Second == 0 {
			for i := range 2000 {
				b.reduce(core.HeartbeatReceived{Token: 1, Heartbeat: benchHeartbeat(i, b.now)})
			}
		}
		b.step(time.Millisecond)
	}
	reportMetric(b.tb, "txn/s", float64(b.table.txns)/d.Seconds())
	reportMetric(b.tb, "rows/txn", float64(b.table.writes)/float64(b.table.txns))
	reportMetric(b.tb, "starts/txn", float64(b.starts)/float64(b.table.txns))
	reportMetric(b.tb, "starts/s", float64(b.starts)/d.Seconds())
	reportMetric(b.tb, "B/start", float64(b.table.bytesWritten)/float64(b.starts))
}

func reportMetric(tb testing.TB, unit string, v float64) {
	if b, ok := tb.(*testing.B); ok {
		b.ReportMetric(v, unit)
	}
}

// BenchmarkMove measures, in virtual time, the time and the writes until all tasks of
// one of 11 data centres run elsewhere, after all of its VMs were restarted and are
// leaving. The only entry has the whole write budget.
func BenchmarkMove(b *testing.B) {
	const workers = 2900
	for _, tasks := range []int{1000, 10000, 150000 / 11} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				x := newBench(b, withWriteShare(1))
				x.putJobs(tasks*11, 20, workers)
				x.run(3 * time.Second)
				x.delay = commitLatency
				x.moveTasks(workers, tasks)
			}
		})
	}
}

func (b *bench) moveTasks(workers, tasks int) {
	heartbeats := make([]core.Heartbeat, workers)
	for i := range heartbeats {
		heartbeats[i] = benchHeartbeat(i, b.now)
		if i%11 == 0 {
			heartbeats[i].Inc, heartbeats[i].Dead, heartbeats[i].Leaving = "i2", []core.Incarnation{"i1"}, true
		}
	}
	b.table.txns, b.table.writes, b.starts = 0, 0, 0
	begin, next := b.now, b.now
	for b.starts < tasks && b.now.Sub(begin) < 2*time.Minute {
		if !b.now.Before(next) {
			b.heartbeatAll(heartbeats)
			next = b.now.Add(time.Second)
		}
		b.step(time.Millisecond)
	}
	if b.starts < tasks {
		b.tb.Fatalf("%d of %d tasks moved", b.starts, tasks)
	}
	reportMetric(b.tb, "virtual-s", b.now.Sub(begin).Seconds())
	reportMetric(b.tb, "txn", float64(b.table.txns))
	reportMetric(b.tb, "rows/txn", float64(b.table.writes)/float64(b.table.txns))
}

// BenchmarkRow measures the size and the decoding time of a job's row by its number of
// tasks. The whole row is rewritten at each change of a task.
func BenchmarkRow(b *testing.B) {
	for _, tasks := range []int{1, 20, core.MaxTasks} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			x := newBench(b)
			x.putJob(0, tasks, 0, 1000)
			row := x.table.changes(core.PrefixJob, 0).Rows[0]
			for b.Loop() {
				if _, err := core.Decode(row.Key, row.Value); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(row.Value)), "B/row")
		})
	}
}
