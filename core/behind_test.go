package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/crash"
	"jayloft/fake"
)

// placeBench is a bench that records which attempts are placed, in order.
type placeBench struct {
	*bench
	placed  []string
	queries int // about attempts
}

// post delivers an event and all events that result from its effects.
func (b *placeBench) post(ev core.EntryEvent) {
	evs := []core.EntryEvent{ev}
	for len(evs) > 0 {
		ev, evs = evs[0], evs[1:]
		for _, eff := range b.e.Reduce(core.Stamp{Now: b.now, Seed: uint64(b.now.UnixNano())}, ev) {
			switch eff := eff.(type) {
			case core.Note:
				if eff.Text == "task placed" {
					b.placed = append(b.placed, eff.Subject)
				}
			case core.ReadChanges:
				evs = append(evs, core.ChangesAnswered{Token: eff.Token, View: b.table.changes(eff.Prefix, eff.Since)})
			case core.Commit:
				ans := core.CommitAnswered{Token: eff.Token, Result: b.table.apply(eff.Txn)}
				if b.delay > 0 {
					b.delayed = append(b.delayed, delayedEvent{b.now.Add(b.delay), ans})
				} else {
					evs = append(evs, ans)
				}
			case core.Settle:
				b.queries++
				evs = append(evs, core.SettleAnswered{Token: eff.Token, State: core.SettleRunning})
			case core.Start:
				evs = append(evs, core.StartAnswered{Token: eff.Token, Started: true})
			}
		}
	}
}

// pass advances the time and delivers a heartbeat of each worker each 100 ms.
func (b *placeBench) pass(d time.Duration, hbs []core.Heartbeat) {
	for end := b.now.Add(d); b.now.Before(end); {
		for i := range hbs {
			b.now = b.now.Add(100 * time.Millisecond / time.Duration(len(hbs)))
			for len(b.delayed) > 0 && !b.now.Before(b.delayed[0].at) {
				ev := b.delayed[0].ev
				b.delayed = b.delayed[1:]
				b.post(ev)
			}
			hbs[i].Sent = b.now
			b.post(core.HeartbeatReceived{Token: 1, Heartbeat: hbs[i]})
		}
	}
}

// commitAll sets what all workers have committed.
func commitAll(hbs []core.Heartbeat, millicores int64) {
	for i := range hbs {
		hbs[i].Committed.Millicores = millicores
	}
}

// site returns an entry and heartbeats of workers that run service s.
func site(t *testing.T, workers int, opts ...core.Option) (*placeBench, []core.Heartbeat) {
	b := &placeBench{bench: newBench(t, opts...)}
	hbs := make([]core.Heartbeat, workers)
	for i := range hbs {
		hbs[i] = benchHeartbeat(i, b.now)
		hbs[i].Services = []core.ServiceLoad{{Service: "s"}}
	}
	b.run(3 * time.Second)
	return b, hbs
}

// submit adds the row of a job with one step.
func (b *placeBench) submit(id core.JobID, priority int, st core.StepSpec, tasks ...core.TaskRow) {
	st.Count = max(st.Count, 1)
	if tasks == nil {
		tasks = make([]core.TaskRow, st.Count)
	}
	b.table.put(b.tb, keyOfJob(id), core.JobRow{Tasks: tasks, Spec: core.JobSpec{
		ID: id, Service: "s", Priority: priority, Steps: []core.StepSpec{st},
	}})
}

func size(millicores int64) core.Size { return core.Size{Millicores: millicores, MemoryMB: 10} }

// Many long-running tasks of one step find no worker, since the step may not share one.
// Long-running tasks of other jobs must be placed where there is room.
func TestSpreadStepHoldsUpNoOtherLongRunningTask(t *testing.T) {
	b, hbs := site(t, 3)
	b.submit("spread", 0, core.StepSpec{LongRunning: true, Count: 60, MaxPerWorker: 1, Size: size(1000)})
	b.pass(3*time.Second, hbs)
	assert.Equal(t, len(b.placed), 3)
	commitAll(hbs, 16000)
	b.pass(time.Second, hbs)
	b.submit("other", 1, core.StepSpec{LongRunning: true, Size: size(1000)})
	b.pass(time.Second, hbs)
	commitAll(hbs, 8000)
	b.pass(9*time.Second, hbs)
	assert.Equal(t, len(b.placed), 4, "a long-running task waits beside 7 free cores on each of 3 workers: %v", b.placed)
}

// Many steps of short tasks find no worker. A long-running task of a lower rank must be
// placed where there is room for it.
func TestShortStepsHoldUpNoLongRunningTask(t *testing.T) {
	b, hbs := site(t, 3)
	commitAll(hbs, 16000)
	b.pass(time.Second, hbs)
	for i := range 60 {
		b.submit(benchJobID(i), 0, core.StepSpec{MaxPerWorker: 1, Size: size(8000)})
	}
	b.submit("long", 1, core.StepSpec{LongRunning: true, Size: size(1000)})
	b.pass(500*time.Millisecond, hbs) // too short for it to be sent to a full worker
	assert.Equal(t, len(b.placed), 0)
	commitAll(hbs, 14000)
	b.pass(9*time.Second, hbs)
	assert.Equal(t, len(b.placed), 1, "a long-running task waits beside 2 free cores on each of 3 workers")
}

// A task of a low priority is evicted while the queue rests. The room that it leaves belongs to
// a task of a higher priority that waits.
func TestEvictedTaskDoesNotOvertakeAWaitingOne(t *testing.T) {
	b, hbs := site(t, 20)
	commitAll(hbs, 15900)
	low := core.Attempt{Task: core.TaskID{Job: "low"}, Number: 1}
	hbs[0].Running = []core.Attempt{low}
	b.submit("low", 5, core.StepSpec{Size: size(500)}, core.TaskRow{
		State: core.TaskClaimed, Attempt: 1, Holder: core.Holder{Worker: hbs[0].Worker, Inc: hbs[0].Inc},
	})
	for i := range 400 {
		b.submit(benchJobID(i), 1, core.StepSpec{Size: size(1000)})
	}
	b.submit("high", 0, core.StepSpec{Size: size(500)})
	b.pass(3*time.Second, hbs)
	assert.Equal(t, len(b.placed), 0)
	b.now = b.now.Add(time.Second)
	hbs[1].Sent = b.now
	b.post(core.HeartbeatReceived{Token: 1, Heartbeat: hbs[1]}) // all waiting tasks are considered
	hbs[0].Running, hbs[0].Committed = nil, size(15400)
	hbs[0].Ends = []core.End{{Attempt: low, Kind: core.EndEvicted, Started: true}}
	b.pass(time.Second, hbs)
	assert.Assert(t, len(b.placed) > 0)
	assert.Equal(t, b.placed[0], "high.0#1", "placed: %v", b.placed)
}

// A suspect could run apart from others on a worker whose short tasks are evicted for it. It
// must not wait because other tasks of its size find no free capacity.
func TestSuspectIsPlacedWhileOthersFindNoRoom(t *testing.T) {
	b, hbs := site(t, 12)
	commitAll(hbs, 16000)
	for i := range hbs {
		hbs[i].LeaseLapsed = true
	}
	b.submit("first", 0, core.StepSpec{Size: size(500)})
	b.submit("suspect", 1, core.StepSpec{Size: size(500)}, core.TaskRow{Attempt: 1, Crashes: crash.Record{}.Add(crash.Evidence{Ran: time.Millisecond})})
	b.pass(3*time.Second, hbs)
	assert.Equal(t, len(b.placed), 0)
	for i := range hbs {
		hbs[i].LeaseLapsed = false
	}
	b.pass(9*time.Second, hbs)
	assert.Equal(t, len(b.placed), 1, "a suspect waits though a worker could be its own")
}

// sitePolicy has the times of deploy/entry.toml and deploy/agent.toml.
func sitePolicy() core.Policy {
	p := homePolicy(5)
	p.Permit, p.Lease, p.Drift, p.HeartbeatInterval = 2500*time.Millisecond, 6*time.Second, 400*time.Millisecond, time.Second
	p.Silent, p.Suspect, p.EntryTimeout = 2500*time.Millisecond, 3500*time.Millisecond, 3*time.Second
	p.ReadInterval, p.ShardReadInterval, p.SettleAfter = 500*time.Millisecond, 2*time.Second, 2*time.Second
	p.TxnRows, p.TxnEntries, p.TxnKilobytes = 30, 100, 500
	return p
}

// The entry that has claimed a long-running task is frozen before its order is on the way, and
// can't read the table afterwards. The job is cancelled meanwhile through another entry. The order, which arrives within its
// permit, awaits room. It must not start the task later than cancel_ms after the cancelling.
func TestNoStartLongAfterCancel(t *testing.T) {
	const cancelWithin = 3 * time.Second // cancel_ms of the site
	var latest time.Duration
	starts := 0
	for seed := range uint64(40) {
		owner := -1
		var cancelled, launched time.Time
		trace := func(at time.Time, who, what string) {
			switch {
			case strings.HasPrefix(what, "-> core.Start{") && strings.Contains(what, "Attempt:job1.0#1 "):
				owner = int(who[1] - '0')
			case strings.HasPrefix(who, "worker") && strings.HasPrefix(what, "job1.0#1 is launched"):
				launched = at
			case strings.HasPrefix(what, "-> core.CommandReply") && strings.Contains(what, `"job1" cancelled`):
				cancelled = at
			}
		}
		short := 4*time.Second + time.Duration(seed)*150*time.Millisecond
		w := fake.New(seed, fake.Entries(5), fake.Workers(1, 1), fake.Discover(), fake.CoreOptions(core.WithPolicy(sitePolicy())),
			fake.Trace(trace), fake.Work(func(id core.TaskID) time.Duration {
				if strings.HasPrefix(id.String(), "job0.") {
					return short
				}
				return time.Hour
			}))
		w.Run(8 * time.Second)
		w.Do(fake.Submit{Tasks: 3, Size: core.Size{Millicores: 1000, MemoryMB: 100}, Urgent: true})
		w.Run(2500 * time.Millisecond)
		for i := range 5 {
			w.Do(fake.PauseEntry{Entry: i, On: "Start", For: 1900 * time.Millisecond})
		}
		w.Do(fake.Submit{Tasks: 1, LongRunning: true, Size: core.Size{Millicores: 2500, MemoryMB: 100}, Class: "api"})
		for i := 0; i < 100 && owner < 0; i++ {
			w.Run(50 * time.Millisecond)
		}
		w.Do(fake.CutStore{Entry: owner, For: 5 * time.Second})
		w.Do(fake.Cancel{Entry: owner + 1, Last: 1})
		w.Run(12 * time.Second)
		assert.Equal(t, len(w.Violations()), 0, "%v", w.Violations())
		if !cancelled.IsZero() && !launched.IsZero() {
			starts++
			latest = max(latest, launched.Sub(cancelled))
		}
	}
	t.Logf("%d starts, the latest %s after the cancelling", starts, latest)
	assert.Assert(t, latest <= cancelWithin, "a task started %s after its job was cancelled", latest)
}

// Ends of many jobs wait to be written, as the table answers slowly. A long-running task must be
// placed beside free capacity nonetheless.
func TestUnwrittenEndsHoldUpNoLongRunningTask(t *testing.T) {
	p := core.DefaultPolicy()
	p.WritesPerSecond, p.ReadsPerSecond, p.TxnRows = 1e6, 1e6, 30
	b, hbs := site(t, 20, core.WithPolicy(p))
	const jobs = 400
	for i := range jobs {
		h := &hbs[i%len(hbs)]
		id := benchJobID(i)
		h.Running = append(h.Running, core.Attempt{Task: core.TaskID{Job: id}, Number: 1})
		b.submit(id, 0, core.StepSpec{Size: size(100)}, core.TaskRow{
			State: core.TaskClaimed, Attempt: 1, Holder: core.Holder{Worker: h.Worker, Inc: h.Inc},
		})
	}
	b.pass(3*time.Second, hbs)
	b.delay = time.Second
	for i := range hbs {
		for _, a := range hbs[i].Running {
			hbs[i].Ends = append(hbs[i].Ends, core.End{Attempt: a, Kind: core.EndDone, Started: true})
		}
		hbs[i].Running = nil
	}
	b.submit("long", 0, core.StepSpec{LongRunning: true, Size: size(1000)})
	began := b.now
	for len(b.placed) == 0 && b.now.Sub(began) < 30*time.Second {
		b.pass(100*time.Millisecond, hbs)
	}
	waited := b.now.Sub(began)
	t.Logf("placed after %s", waited)
	assert.Assert(t, waited < 3*time.Second, "a long-running task waited for %s beside free workers", waited)
}

// BenchmarkHeartbeatWithEnds measures an entry's time per heartbeat that lists ends which their
// owners have not recorded, of its own jobs or of those of eight other homes.
func BenchmarkHeartbeatWithEnds(b *testing.B) {
	for _, entries := range []int{1, 9} {
		for _, ends := range []int{0, 10, 40, 160} {
			b.Run(fmt.Sprintf("homes=%d/ends=%d", entries, ends), func(b *testing.B) {
				x := newBench(b)
				for i := 2; i <= entries; i++ {
					id := core.EntryID(fmt.Sprintf("e%d", i))
					x.table.put(b, core.PrefixEntry+string(id), core.EntryRow{ID: id, Addr: fmt.Sprintf("127.0.0.1:%d", 7100+i), Heartbeats: 1})
				}
				hb := benchHeartbeat(0, x.now)
				for i := range ends {
					a := core.Attempt{Task: core.TaskID{Job: benchJobID(i)}, Number: 1}
					hb.Ends = append(hb.Ends, core.End{Attempt: a, Kind: core.EndDone, Started: true})
					if entries == 1 {
						x.table.put(b, keyOfJob(a.Task.Job), core.JobRow{Tasks: []core.TaskRow{{
							State: core.TaskClaimed, Attempt: 1, Holder: core.Holder{Worker: hb.Worker, Inc: hb.Inc},
						}}, Spec: core.JobSpec{ID: a.Task.Job, Steps: []core.StepSpec{{Count: 1, Size: size(100)}}}})
					}
				}
				x.run(3 * time.Second)
				x.delay = time.Hour // the ends stay unrecorded
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					hb.Sent = x.now.Add(time.Duration(i))
					x.reduce(core.HeartbeatReceived{Token: 1, Heartbeat: hb})
				}
			})
		}
	}
}

// One job of a transaction of 30 was changed by another entry. The ends of the other 29 must not
// wait until all that came after them is written.
func TestConflictDelaysOnlyTheJobThatConflicts(t *testing.T) {
	p := core.DefaultPolicy()
	p.WritesPerSecond, p.ReadsPerSecond, p.TxnRows = 1e6, 1e6, 30
	b, hbs := site(t, 20, core.WithPolicy(p))
	const jobs = 600
	for i := range jobs {
		h := &hbs[i%len(hbs)]
		id := benchJobID(i)
		h.Running = append(h.Running, core.Attempt{Task: core.TaskID{Job: id}, Number: 1})
		b.submit(id, 0, core.StepSpec{Size: size(100)}, core.TaskRow{
			State: core.TaskClaimed, Attempt: 1, Holder: core.Holder{Worker: h.Worker, Inc: h.Inc},
		})
	}
	b.pass(3*time.Second, hbs)
	b.delay = time.Second
	for i := range hbs {
		for _, a := range hbs[i].Running {
			hbs[i].Ends = append(hbs[i].Ends, core.End{Attempt: a, Kind: core.EndDone, Started: true})
		}
		hbs[i].Running = nil
	}
	other := b.table.rows[keyOfJob(benchJobID(0))]
	rec, err := core.Decode(keyOfJob(benchJobID(0)), other.Value)
	assert.NilError(t, err)
	b.table.put(t, keyOfJob(benchJobID(0)), rec)
	second := keyOfJob(benchJobID(20)) // in the same transaction: it ends on the same worker
	before, began := b.table.rows[second].Version, b.now
	for b.table.rows[second].Version == before && b.now.Sub(began) < 60*time.Second {
		b.pass(100*time.Millisecond, hbs)
	}
	waited := b.now.Sub(began)
	t.Logf("written after %s", waited)
	assert.Assert(t, waited <= 3*time.Second, "an end was written after %s by a table that answers in %s", waited, b.delay)
}

// A home that is behind hears each worker every 2.6 s only. It must not ask after every attempt
// that runs there, one call each.
func TestLateHeartbeatsCauseNoQueriesOfEachAttempt(t *testing.T) {
	p := sitePolicy()
	p.WritesPerSecond, p.ReadsPerSecond = 1e6, 1e6
	b, hbs := site(t, 20, core.WithPolicy(p))
	const tasks = 12
	for i := range 20 * tasks {
		h := &hbs[i%len(hbs)]
		id := benchJobID(i)
		h.Running = append(h.Running, core.Attempt{Task: core.TaskID{Job: id}, Number: 1})
		b.submit(id, 0, core.StepSpec{Size: size(100)}, core.TaskRow{
			State: core.TaskClaimed, Attempt: 1, Holder: core.Holder{Worker: h.Worker, Inc: h.Inc},
		})
	}
	queries := func(every time.Duration) int {
		b.pass(5*time.Second, hbs)
		before := b.queries
		for range int(20 * time.Second / every) {
			for i := range hbs {
				hbs[i].Sent = b.now
				b.post(core.HeartbeatReceived{Token: 1, Heartbeat: hbs[i]})
			}
			for end := b.now.Add(every); b.now.Before(end); {
				b.now = b.now.Add(100 * time.Millisecond)
				b.post(core.Tick{})
			}
		}
		return b.queries - before
	}
	onTime, late := queries(time.Second), queries(2600*time.Millisecond)
	t.Logf("queries in 20 s about %d attempts on 20 workers: %d with a heartbeat each 1 s, %d with one each 2.6 s", 20*tasks, onTime, late)
	assert.Assert(t, late <= 20*20, "%d queries in 20 s about 20 workers", late)
}

// Two long-running tasks that have awaited room at a worker are handed back in one moment. Both
// must be let in again when they come back at once.
func TestTasksHandedBackTogetherMayAwaitRoomAgain(t *testing.T) {
	s := newAgentHarness()
	s.start("short1", 1500, false)
	s.start("short2", 1500, false)
	for _, job := range []core.JobID{"one", "two"} {
		_, reply := s.start(job, 1900, true)
		assert.Assert(t, reply.Started, "refused: %s", reply.Reason)
	}
	for len(s.last.Ends) < 2 {
		s.run(100 * time.Millisecond)
	}
	for _, job := range []core.JobID{"one", "two"} {
		again := core.Attempt{Task: core.TaskID{Job: job}, Number: 2}
		s.reduce(core.StartAsked{Token: 1, Order: core.Order{
			Attempt: again, Holder: core.Holder{Worker: "w", Inc: s.last.Inc}, Echo: s.now, Urgent: true, LongRunning: true,
			Size: core.Size{Millicores: 1900, MemoryMB: 1000},
		}})
		reply := s.replies[len(s.replies)-1]
		assert.Check(t, reply.Started, "%s refused: %s", job, reply.Reason)
	}
}
