package core_test

import (
	"fmt"
	"maps"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"jayloft/core"
	"jayloft/table"
)

// benchTable answers an entry's reads and commits at once, from memory.
type benchTable struct {
	rows   map[string]table.Row
	rev    uint64
	commit int // transactions
	writes int // rows written
	bytes  int // of rows read
	sent   int // bytes of rows written
}

func (b *benchTable) put(tb testing.TB, key string, rec core.Record) {
	tb.Helper()
	v, err := core.Encode(rec)
	if err != nil {
		tb.Fatal(err)
	}
	b.rev++
	b.rows[key] = table.Row{Key: key, Version: b.rev, Value: v}
}

func (b *benchTable) changes(prefix string, since uint64) table.View {
	v := table.View{Revision: b.rev}
	for k, r := range b.rows {
		if len(k) >= len(prefix) && k[:len(prefix)] == prefix && r.Version > since {
			v.Rows = append(v.Rows, r)
			b.bytes += len(r.Value)
		}
	}
	return v
}

func (b *benchTable) apply(txn table.Txn) table.Result {
	for _, c := range txn.Conds {
		if b.rows[c.Key].Version != c.Version {
			return table.Result{Conflicts: []table.Row{b.rows[c.Key]}}
		}
	}
	b.rev++
	b.commit++
	b.writes += len(txn.Writes)
	for _, w := range txn.Writes {
		b.sent += len(w.Key) + len(w.Value)
		b.rows[w.Key] = table.Row{Key: w.Key, Version: b.rev, Value: w.Value}
		if w.Delete {
			delete(b.rows, w.Key)
		}
	}
	return table.Result{Committed: true, Revision: b.rev}
}

// bench is one entry with its table, and agents that admit every start.
type bench struct {
	tb     testing.TB
	e      *core.Entry
	table  benchTable
	now    time.Time
	starts int
	delay  time.Duration // of the table's answers to transactions
	late   []lateEvent   // in order
	result func(core.CommandResult)
}

// lateEvent is an event that comes at a time.
type lateEvent struct {
	at time.Time
	ev core.EntryEvent
}

func newBench(tb testing.TB, opts ...core.Option) *bench {
	p := core.DefaultPolicy()
	p.WritesPerSecond, p.ReadsPerSecond = 1e6, 1e6
	opts = append([]core.Option{core.WithPolicy(p)}, opts...)
	b := &bench{
		tb: tb, now: time.Unix(1_800_000_000, 0), table: benchTable{rows: map[string]table.Row{}},
		e: core.NewEntry(core.EntryIdentity{ID: "e1", Addr: netip.MustParseAddrPort("127.0.0.1:7101")}, opts...),
	}
	b.table.put(tb, core.KeyVersion, core.VersionRow{N: 1})
	for dc := range 11 {
		name := core.DC(fmt.Sprintf("dc%d", dc))
		b.table.put(tb, core.PrefixConfig+"dc/"+string(name), core.DCRow{Name: name})
	}
	b.table.put(tb, core.PrefixConfig+"service/lookup", core.ServiceRow{Name: "lookup", Idempotent: true, Timeout: time.Second})
	return b
}

// reduce runs an event and everything that follows from it.
func (b *bench) reduce(ev core.EntryEvent) {
	evs := []core.EntryEvent{ev}
	for len(evs) > 0 {
		ev, evs = evs[0], evs[1:]
		for _, eff := range b.e.Reduce(core.Stamp{Now: b.now, Seed: uint64(b.now.UnixNano())}, ev) {
			switch eff := eff.(type) {
			case core.ReadChanges:
				evs = append(evs, core.ChangesAnswered{Token: eff.Token, View: b.table.changes(eff.Prefix, eff.Since)})
			case core.Commit:
				ans := core.CommitAnswered{Token: eff.Token, Result: b.table.apply(eff.Txn)}
				if b.delay > 0 {
					b.late = append(b.late, lateEvent{b.now.Add(b.delay), ans})
				} else {
					evs = append(evs, ans)
				}
			case core.CommandReply:
				b.result(eff.Result)
			case core.Start:
				b.starts++
				evs = append(evs, core.StartAnswered{Token: eff.Token, Started: true})
			}
		}
	}
}

// run lets time pass in small steps.
func (b *bench) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.step(50 * time.Millisecond)
	}
}

// step lets time pass and brings what is late by then.
func (b *bench) step(d time.Duration) {
	b.now = b.now.Add(d)
	for len(b.late) > 0 && !b.now.Before(b.late[0].at) {
		ev := b.late[0].ev
		b.late = b.late[1:]
		b.reduce(ev)
	}
	b.reduce(core.Tick{})
}

func benchBeat(i int, sent time.Time) core.Heartbeat {
	return core.Heartbeat{
		Worker: core.WorkerID(fmt.Sprintf("w%05d", i)), Inc: "i1", Run: "r1",
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(10000+i%50000)),
		DC:   core.DC(fmt.Sprintf("dc%d", i%11)), Rack: core.Rack(fmt.Sprintf("r%d", i/3)), Sent: sent,
		Capacity: core.Size{Millicores: 16000, MemoryMB: 60000, Accelerators: 2},
		Slots:    8, Services: []core.ServiceLoad{{Service: "lookup", Running: 3, Mean: 5 * time.Millisecond}},
		Config: 1,
	}
}

// tasksPerWorker is the target's mean: 310,000 tasks on 29,000 workers.
const tasksPerWorker = 11

// BenchmarkBeat gives an entry's cost per heartbeat and its state per worker,
// for workers without tasks and for workers whose tasks the entry all owns.
func BenchmarkBeat(b *testing.B) {
	for _, tasks := range []int{0, tasksPerWorker} {
		for _, n := range []int{100, 1000, 10000, 29000} {
			b.Run(fmt.Sprintf("tasks=%d/workers=%d", tasks, n), func(b *testing.B) {
				before := heap()
				x := newBench(b)
				beats := x.putWorkers(n, tasks)
				perWorker := float64(heap()-before) / float64(n)
				b.ReportAllocs()
				b.ResetTimer()
				for i := 0; i < b.N; i++ {
					x.now = x.now.Add(500 * time.Millisecond / time.Duration(n))
					beats[i%n].Sent = x.now
					x.reduce(core.HeartbeatReceived{Token: 1, Heartbeat: beats[i%n]})
				}
				b.ReportMetric(perWorker, "B/worker")
			})
		}
	}
}

// putWorkers makes n workers known that hold tasks each, in jobs of 100 tasks.
// It returns their beats.
func (b *bench) putWorkers(n, tasks int) []core.Heartbeat {
	beats := make([]core.Heartbeat, n)
	for i := range beats {
		beats[i] = benchBeat(i, b.now)
	}
	for i := range n * tasks {
		w := i % n
		t := core.TaskID{Job: benchJob(i / 100), N: i % 100}
		beats[w].Running = append(beats[w].Running, core.Attempt{Task: t, Number: 1})
	}
	b.putJobs(n*tasks, min(100, n*tasks), n)
	b.run(3 * time.Second)
	maps.DeleteFunc(b.table.rows, func(key string, _ table.Row) bool {
		return strings.HasPrefix(key, core.PrefixJob) // the entry has them now
	})
	b.beat(beats)
	return beats
}

// beat lets every worker send one beat.
func (b *bench) beat(beats []core.Heartbeat) {
	for i := range beats {
		beats[i].Sent = b.now
		b.reduce(core.HeartbeatReceived{Token: 1, Heartbeat: beats[i]})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func benchJob(n int) core.JobID { return core.JobID(fmt.Sprintf("job%06d", n)) }

// putJobs writes jobs of per tasks each into the table. The tasks are claimed
// by that many workers in turn; they wait if there are none.
func (b *bench) putJobs(tasks, per, workers int) {
	for j := 0; j*per < tasks; j++ {
		b.putJob(j, min(per, tasks-j*per), j*per, workers)
	}
}

func (b *bench) putJob(j, tasks, first, workers int) {
	id := benchJob(j)
	row := core.JobRow{Spec: core.JobSpec{
		ID: id, Team: "t", Class: "import", Size: core.Size{Millicores: 100, MemoryMB: 100}, Inputs: make([]string, tasks),
	}, Tasks: make([]core.TaskRow, tasks)}
	for n := range row.Tasks {
		if workers > 0 {
			h := core.Holder{Worker: core.WorkerID(fmt.Sprintf("w%05d", (first+n)%workers)), Inc: "i1"}
			row.Tasks[n] = core.TaskRow{State: core.TaskClaimed, Attempt: 1, Holder: h}
		}
	}
	b.table.put(b.tb, keyOfJob(id), row)
}

func keyOfJob(id core.JobID) string {
	return fmt.Sprintf("%s%03d/%s", core.PrefixJob, core.ShardOf(id), id)
}

// BenchmarkRecovery gives the time and the table's traffic to rebuild an
// entry's state from the table.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				x := newBench(b)
				x.putJobs(n, 100, 1000)
				x.table.bytes = 0
				b.StartTimer()
				x.run(2 * time.Second)
				b.ReportMetric(float64(x.table.bytes)/float64(n), "B/task")
			}
		})
	}
}

// BenchmarkStarts gives an entry's time for each start, with jobs that all
// wait at once and a table that answers at once.
func BenchmarkStarts(b *testing.B) {
	for _, per := range []int{1, 20, core.MaxTasks} {
		for _, n := range []int{1000, 10000, 100000} {
			b.Run(fmt.Sprintf("job=%d/tasks=%d", per, n), func(b *testing.B) {
				total := 0
				for b.Loop() {
					b.StopTimer()
					x := newBench(b)
					x.putWorkers(1000, 0)
					x.putJobs(n, per, 0)
					b.StartTimer()
					for step := 0; x.starts < n && step < 4000; step++ {
						x.step(time.Millisecond)
					}
					if x.starts < n {
						b.Fatalf("%d of %d tasks started", x.starts, n)
					}
					total += n
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(total), "ns/start")
			})
		}
	}
}
