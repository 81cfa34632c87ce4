package core_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"jayloft/core"
	"jayloft/internal/codec"
)

// tableTime is how long the table takes to answer a transaction.
const tableTime = 5 * time.Millisecond

// BenchmarkTicks gives an entry's time for half a second of ticks and reads,
// without a change of configuration, and with one of a team or a service.
func BenchmarkTicks(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, 29000} {
		for _, change := range []string{"none", "team", "service"} {
			b.Run(fmt.Sprintf("workers=%d/change=%s", n, change), func(b *testing.B) {
				x := newBench(b)
				beats := x.putWorkers(n, tasksPerWorker)
				for b.Loop() {
					b.StopTimer()
					x.beat(beats)
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

// BenchmarkShow gives an entry's time for a query without a filter, and the
// size of its answer.
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

// putService changes a service and thereby the configuration.
func (b *bench) putService(timeout time.Duration) {
	b.table.put(b.tb, core.PrefixConfig+"service/lookup",
		core.ServiceRow{Name: "lookup", Idempotent: true, Timeout: time.Second + timeout})
	b.table.put(b.tb, core.KeyVersion, core.VersionRow{N: b.table.rev})
}

// putTeam changes one team and thereby the configuration.
func (b *bench) putTeam(n int, quota uint64) {
	name := core.Team(fmt.Sprintf("team%03d", n))
	b.table.put(b.tb, core.PrefixConfig+"team/"+string(name),
		core.TeamRow{Name: name, Quota: core.Size{Millicores: int64(quota)*1000 + 1, MemoryMB: 4000000}})
	b.table.put(b.tb, core.KeyVersion, core.VersionRow{N: b.table.rev})
}

// BenchmarkConfigBytes gives the bytes of an entry's answer to a beat from an
// agent that has the configuration, lacks one change, or has none of it.
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

// BenchmarkDelta gives an entry's time to answer a beat from an agent that
// lacks one change.
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
			beat := benchBeat(0, x.now)
			beat.Config = before
			for b.Loop() {
				x.reduce(core.HeartbeatReceived{Token: 1, Heartbeat: beat})
			}
		})
	}
}

// answerBytes returns the size of the answer to a beat of an agent with the
// configuration of a revision.
func (b *bench) answerBytes(config uint64) float64 {
	beat := benchBeat(0, b.now)
	beat.Config = config
	for _, eff := range b.e.Reduce(core.Stamp{Now: b.now}, core.HeartbeatReceived{Token: 1, Heartbeat: beat}) {
		if r, ok := eff.(core.BeatReply); ok {
			return float64(proto.Size(codec.BeatAnswerToWire(r.Answer)))
		}
	}
	b.tb.Fatal("no answer")
	return 0
}

// BenchmarkGroup gives, in virtual time, what transactions carry as the rate
// of tasks that come grows, for one entry of eight with its share of the
// budget of writes.
func BenchmarkGroup(b *testing.B) {
	const entries, runFor = 8, 5 * time.Second
	for _, per := range []int{1, 20, core.MaxTasks} {
		for _, rate := range []int{100, 1000, 2625, 5250, 21000} {
			b.Run(fmt.Sprintf("job=%d/rate=%d", per, rate), func(b *testing.B) {
				for b.Loop() {
					x := newBench(b, shareOf(entries))
					x.putWorkers(2000, 0)
					x.delay = tableTime
					x.offer(rate, per, runFor)
				}
			})
		}
	}
}

// shareOf returns the budget of one entry of n.
func shareOf(n int) core.Option {
	return func(p *core.Policy) { p.WritesPerSecond = core.DefaultPolicy().WritesPerSecond / float64(n) }
}

// offer brings tasks at a rate a second, in jobs of per tasks, and reports
// what became of them in that time.
func (b *bench) offer(rate, per int, d time.Duration) {
	b.table.commit, b.table.writes, b.table.sent, b.starts = 0, 0, 0, 0
	jobs, begin := 0, b.now
	for b.now.Sub(begin) < d {
		for due := float64(rate) * b.now.Sub(begin).Seconds(); float64(jobs*per) < due; jobs++ {
			b.putJob(jobs, per, 0, 0)
		}
		if b.now.Sub(begin)%time.Second == 0 {
			for i := range 2000 {
				b.reduce(core.HeartbeatReceived{Token: 1, Heartbeat: benchBeat(i, b.now)})
			}
		}
		b.step(time.Millisecond)
	}
	report(b.tb, "txn/s", float64(b.table.commit)/d.Seconds())
	report(b.tb, "rows/txn", float64(b.table.writes)/float64(b.table.commit))
	report(b.tb, "starts/txn", float64(b.starts)/float64(b.table.commit))
	report(b.tb, "starts/s", float64(b.starts)/d.Seconds())
	report(b.tb, "B/start", float64(b.table.sent)/float64(b.starts))
}

func report(tb testing.TB, unit string, v float64) {
	if b, ok := tb.(*testing.B); ok {
		b.ReportMetric(v, unit)
	}
}

// BenchmarkMove gives, in virtual time, how long it takes and what is written
// until all tasks of one of 11 data centres run elsewhere, after all of its
// VMs were restarted. One entry has the whole budget of writes.
func BenchmarkMove(b *testing.B) {
	const workers = 2900
	for _, tasks := range []int{1000, 10000, 150000 / 11} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				x := newBench(b, shareOf(1))
				x.putJobs(tasks*11, 20, workers)
				x.run(3 * time.Second)
				x.delay = tableTime
				x.move(workers, tasks)
			}
		})
	}
}

func (b *bench) move(workers, tasks int) {
	beats := make([]core.Heartbeat, workers)
	for i := range beats {
		beats[i] = benchBeat(i, b.now)
		if i%11 == 0 {
			beats[i].Inc, beats[i].Dead, beats[i].Leaving = "i2", []core.Incarnation{"i1"}, true
		}
	}
	b.table.commit, b.table.writes, b.starts = 0, 0, 0
	begin, next := b.now, b.now
	for b.starts < tasks && b.now.Sub(begin) < 2*time.Minute {
		if !b.now.Before(next) {
			b.beat(beats)
			next = b.now.Add(time.Second)
		}
		b.step(time.Millisecond)
	}
	if b.starts < tasks {
		b.tb.Fatalf("%d of %d tasks moved", b.starts, tasks)
	}
	report(b.tb, "virtual-s", b.now.Sub(begin).Seconds())
	report(b.tb, "txn", float64(b.table.commit))
	report(b.tb, "rows/txn", float64(b.table.writes)/float64(b.table.commit))
}

// BenchmarkRow gives the bytes of a job's row, which is written whole at each
// change of a task, by the number of its tasks.
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
