package core_test

import (
	"fmt"
	"maps"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"jayloft/core"
	"jayloft/table"
)

// benchTable is an in-memory table that answers reads and commits immediately.
type benchTable struct {
	rows         map[string]table.Row
	rev          uint64
	txns         int // number of committed transactions
	writes       int // number of rows written
	bytesRead    int // size of the values read
	bytesWritten int // size of the keys and values written
	// rowBytes and txnEntries bound what one transaction holds; zero for no limit.
	rowBytes, txnEntries int
	rejected             int // number of transactions that exceed a limit
}

// rejects reports whether the table refuses a transaction for what it holds.
func (b *benchTable) rejects(txn table.Txn) bool {
	tooLarge := func(w table.Write) bool { return b.rowBytes > 0 && len(w.Value) > b.rowBytes }
	over := b.txnEntries > 0 && len(txn.Conds)+len(txn.Writes) > b.txnEntries
	return over || slices.ContainsFunc(txn.Writes, tooLarge)
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
			b.bytesRead += len(r.Value)
		}
	}
	return v
}

func (b *benchTable) apply(txn table.Txn) table.Result {
	for _, c := range txn.Conds {
		r := b.rows[c.Key]
		if r.Key = c.Key; r.Version != c.Version {
			return table.Result{Conflicts: []table.Row{r}}
		}
	}
	b.rev++
	b.txns++
	b.writes += len(txn.Writes)
	for _, w := range txn.Writes {
		b.bytesWritten += len(w.Key) + len(w.Value)
		b.rows[w.Key] = table.Row{Key: w.Key, Version: b.rev, Value: w.Value}
		if w.Delete {
			delete(b.rows, w.Key)
		}
	}
	return table.Result{Committed: true, Revision: b.rev}
}

// bench simulates one entry with its table, and agents that admit every start.
type bench struct {
	tb      testing.TB
	e       *core.Entry
	table   benchTable
	now     time.Time
	starts  int
	delay   time.Duration  // commit latency of the table
	delayed []delayedEvent // ordered by time
	result  func(core.CommandResult)

	orders   []core.Order // to start attempts
	stops    []core.Attempt
	replies  []core.JobAnswer
	recorded []core.Attempt // whose ends were acknowledged to agents
}

// delayedEvent is an event that is delivered at a given time.
type delayedEvent struct {
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

// reduce delivers an event and all events that result from its effects.
func (b *bench) reduce(ev core.EntryEvent) {
	evs := []core.EntryEvent{ev}
	for len(evs) > 0 {
		ev, evs = evs[0], evs[1:]
		for _, eff := range b.e.Reduce(core.Stamp{Now: b.now, Seed: uint64(b.now.UnixNano())}, ev) {
			switch eff := eff.(type) {
			case core.ReadChanges:
				evs = append(evs, core.ChangesAnswered{Token: eff.Token, View: b.table.changes(eff.Prefix, eff.Since)})
			case core.ReadRows:
				v := table.View{Revision: b.table.rev}
				for _, k := range eff.Keys {
					r := b.table.rows[k]
					r.Key = k
					v.Rows = append(v.Rows, r)
				}
				evs = append(evs, core.RowsAnswered{Token: eff.Token, View: v})
			case core.Commit:
				ans := core.CommitAnswered{Token: eff.Token}
				if b.table.rejects(eff.Txn) {
					b.table.rejected++
					ans.Fault = core.FaultRejected
				} else {
					ans.Result = b.table.apply(eff.Txn)
				}
				if b.delay > 0 {
					b.delayed = append(b.delayed, delayedEvent{b.now.Add(b.delay), ans})
				} else {
					evs = append(evs, ans)
				}
			case core.CommandReply:
				b.result(eff.Result)
			case core.JobReply:
				b.replies = append(b.replies, eff.Answer)
			case core.BeatReply:
				b.recorded = append(b.recorded, eff.Answer.Recorded...)
			case core.Stop:
				b.stops = append(b.stops, eff.Attempt)
			case core.Start:
				b.starts++
				b.orders = append(b.orders, eff.Order)
				evs = append(evs, core.StartAnswered{Token: eff.Token, Started: true})
			}
		}
	}
}

// run advances the time in steps of 50 ms.
func (b *bench) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.step(50 * time.Millisecond)
	}
}

// step advances the time and delivers the delayed events that are due, and a tick.
func (b *bench) step(d time.Duration) {
	b.now = b.now.Add(d)
	for len(b.delayed) > 0 && !b.now.Before(b.delayed[0].at) {
		ev := b.delayed[0].ev
		b.delayed = b.delayed[1:]
		b.reduce(ev)
	}
	b.reduce(core.Tick{})
}

func benchHeartbeat(i int, sent time.Time) core.Heartbeat {
	return core.Heartbeat{
		Worker: core.WorkerID(fmt.Sprintf("w%05d", i)), Inc: "i1", Run: "r1",
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(10000+i%50000)),
		DC:   core.DC(fmt.Sprintf("dc%d", i%11)), Rack: core.Rack(fmt.Sprintf("r%d", i/3)), Sent: sent,
		Capacity: core.Size{Millicores: 16000, MemoryMB: 60000, Accelerators: 2},
		Slots:    8, Services: []core.ServiceLoad{{Service: "lookup", Running: 3, Mean: 5 * time.Millisecond}},
		Config: 1,
	}
}

// tasksPerWorker is the mean load of the target site: 310,000 tasks on 29,000 workers.
const tasksPerWorker = 11

// BenchmarkHeartbeat measures an entry's time per heartbeat and its memory per worker,
// for workers without tasks and for workers all of whose tasks the entry owns.
func BenchmarkHeartbeat(b *testing.B) {
	for _, tasks := range []int{0, tasksPerWorker} {
		for _, n := range []int{100, 1000, 10000, 29000} {
			b.Run(fmt.Sprintf("tasks=%d/workers=%d", tasks, n), func(b *testing.B) {
				before := heapBytes()
				x := newBench(b)
				heartbeats := x.putWorkers(n, tasks)
				perWorker := float64(heapBytes()-before) / float64(n)
				b.ReportAllocs()
				b.ResetTimer()
				for i := 0; i < b.N; i++ {
					x.now = x.now.Add(500 * time.Millisecond / time.Duration(n))
					heartbeats[i%n].Sent = x.now
					x.reduce(core.HeartbeatReceived{Token: 1, Heartbeat: heartbeats[i%n]})
				}
				b.ReportMetric(perWorker, "B/worker")
			})
		}
	}
}

// putWorkers adds n workers with the given number of tasks each, in jobs of 100 tasks,
// and returns their heartbeats.
func (b *bench) putWorkers(n, tasks int) []core.Heartbeat {
	heartbeats := make([]core.Heartbeat, n)
	for i := range heartbeats {
		heartbeats[i] = benchHeartbeat(i, b.now)
	}
	for i := range n * tasks {
		w := i % n
		t := core.TaskID{Job: benchJobID(i / 100), N: i % 100}
		heartbeats[w].Running = append(heartbeats[w].Running, core.Attempt{Task: t, Number: 1})
	}
	b.putJobs(n*tasks, min(100, n*tasks), n)
	b.run(3 * time.Second)
	maps.DeleteFunc(b.table.rows, func(key string, _ table.Row) bool {
		return strings.HasPrefix(key, core.PrefixJob) // the entry has loaded them
	})
	b.heartbeatAll(heartbeats)
	return heartbeats
}

// heartbeatAll delivers one heartbeat of every worker.
func (b *bench) heartbeatAll(heartbeats []core.Heartbeat) {
	for i := range heartbeats {
		heartbeats[i].Sent = b.now
		b.reduce(core.HeartbeatReceived{Token: 1, Heartbeat: heartbeats[i]})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func benchJobID(n int) core.JobID { return core.JobID(fmt.Sprintf("job%06d", n)) }

// putJobs writes jobs of perJob tasks each to the table. The tasks are claimed by the
// workers in turn; without workers they are waiting.
func (b *bench) putJobs(tasks, perJob, workers int) {
	for j := 0; j*perJob < tasks; j++ {
		b.putJob(j, min(perJob, tasks-j*perJob), j*perJob, workers)
	}
}

func (b *bench) putJob(j, tasks, first, workers int) {
	id := benchJobID(j)
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

// BenchmarkRecovery measures the time and the bytes read to rebuild an entry's state
// from the table.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				x := newBench(b)
				x.putJobs(n, 100, 1000)
				x.table.bytesRead = 0
				b.StartTimer()
				x.run(2 * time.Second)
				b.ReportMetric(float64(x.table.bytesRead)/float64(n), "B/task")
			}
		})
	}
}

// BenchmarkStarts measures an entry's time per start, with all jobs waiting from the
// beginning and a table that answers immediately.
func BenchmarkStarts(b *testing.B) {
	for _, perJob := range []int{1, 20, core.MaxTasks} {
		for _, n := range []int{1000, 10000, 100000} {
			b.Run(fmt.Sprintf("job=%d/tasks=%d", perJob, n), func(b *testing.B) {
				total := 0
				for b.Loop() {
					b.StopTimer()
					x := newBench(b)
					x.putWorkers(1000, 0)
					x.putJobs(n, perJob, 0)
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
