package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/fake"
	"jayloft/table"
)

// ticks lets a time pass. Each read of shards is kept in late, unanswered; the other reads
// are answered at once.
func (h *entryHarness) ticks(d time.Duration, late *[]core.ReadChanges, entries func() []table.Row) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(100 * time.Millisecond)
		h.rev++
		h.post(core.Tick{})
		for _, eff := range h.out {
			r, ok := eff.(core.ReadChanges)
			switch {
			case !ok:
			case strings.HasPrefix(r.Prefix, core.PrefixJob):
				*late = append(*late, r)
			default:
				v := table.View{Revision: h.rev}
				if r.Prefix == core.PrefixEntry && entries != nil {
					v.Rows = entries()
				}
				h.post(core.ChangesAnswered{Token: r.Token, View: v})
			}
		}
	}
}

// loseAndRetake makes other entries come, which take some shards, and leave again, so that
// this entry takes them once more. It returns the reads of shards that were not answered.
func (h *entryHarness) loseAndRetake() (late []core.ReadChanges) {
	var ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprint("p", i))
	}
	rows := func(deleted bool) func() []table.Row {
		return func() (rs []table.Row) {
			for _, id := range ids {
				r := h.row(core.PrefixEntry+id, core.EntryRow{ID: core.EntryID(id), Addr: "10.0.0.1:1", Heartbeats: 1})
				if deleted {
					r = table.Row{Key: r.Key, Version: h.rev, Deleted: true}
				}
				rs = append(rs, r)
			}
			return rs
		}
	}
	h.ticks(700*time.Millisecond, &late, nil)
	h.ticks(700*time.Millisecond, &late, rows(false))
	h.ticks(700*time.Millisecond, &late, rows(true))
	return late
}

// harnessWithWaitingJob returns an entry that schedules all shards and counts one job.
func harnessWithWaitingJob(t *testing.T) *entryHarness {
	h := newEntryHarness(t)
	h.pass(time.Second, true)
	h.submit()
	h.commitAll(testJob)
	h.pass(2*time.Second, true)
	assert.Equal(t, h.askCount().Pending, 1)
	return h
}

// passWithout lets time pass in which the reads of one prefix get no answer and the other
// reads find no changes.
func (h *entryHarness) passWithout(d time.Duration, prefix string) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(100 * time.Millisecond)
		h.post(core.Tick{})
		for _, eff := range h.out {
			r, ok := eff.(core.ReadChanges)
			switch {
			case ok && r.Prefix == prefix:
				h.post(core.ChangesAnswered{Token: r.Token, Fault: core.FaultNoAnswer})
			case ok:
				h.post(core.ChangesAnswered{Token: r.Token, View: table.View{Revision: h.rev}})
			}
		}
	}
}

// A shard that was lost and taken again has not been read since: what is in memory must
// not be counted, however recent the last read before the loss is.
func TestPendingCountBeforeRetakenShardIsRead(t *testing.T) {
	h := harnessWithWaitingJob(t)
	h.loseAndRetake()
	ans := h.askCount()
	assert.Equal(t, ans.Outcome, core.JobRefused, "%d jobs are counted before the shards are read again", ans.Pending)
}

// A report must not name a revision up to which its shard was not read, however recent the
// entry's other reads are.
func TestReportOfShardThatCannotBeRead(t *testing.T) {
	h := newEntryHarness(t)
	h.pass(2*time.Second, true)
	read := h.rev
	var late []core.ReadChanges
	found := 0
	for range 50 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.rev++
		h.post(core.Tick{})
		for _, eff := range h.out {
			switch x := eff.(type) {
			case core.Commit:
				for _, w := range x.Txn.Writes {
					rec, err := core.Decode(w.Key, w.Value)
					assert.NilError(t, err)
					if row, ok := rec.(core.EntryRow); ok {
						for _, r := range row.Reports {
							found++
							assert.Assert(t, r.ReadUpTo <= read, "shard %d was read up to %d, not %d", r.Shard, read, r.ReadUpTo)
						}
					}
				}
			case core.ReadChanges:
				if strings.HasPrefix(x.Prefix, core.PrefixJob) {
					late = append(late, x)
					continue
				}
				h.post(core.ChangesAnswered{Token: x.Token, View: table.View{Revision: h.rev}})
			}
		}
	}
	assert.Assert(t, found > 0 && len(late) > 0)
}

// A job whose task has started and was lost does not wait again, also for an entry that
// takes its shard over and knows only the row.
func TestPendingCountOfJobThatHasStartedBefore(t *testing.T) {
	h := newEntryHarness(t)
	h.pass(time.Second, true)
	h.submit()
	h.commitAll(testJob)
	h.sendHeartbeat(8)
	start := core.Start{}
	for start.Token == 0 {
		commit := mustFind[core.Commit](h)
		h.rev++
		h.post(core.CommitAnswered{Token: commit.Token, Result: table.Result{Committed: true, Revision: h.rev}})
		start, _ = find[core.Start](h)
	}
	h.post(core.StartAnswered{Token: start.Token, Started: true})
	hb := core.Heartbeat{
		Worker: "w", Inc: "i", Run: "r", DC: "dc", Capacity: core.Size{Millicores: 8000, MemoryMB: 1000},
		Services: []core.ServiceLoad{{Service: "s"}}, Running: []core.Attempt{start.Order.Attempt}, Sent: h.now.Add(time.Millisecond),
	}
	h.post(core.HeartbeatReceived{Token: 2, Heartbeat: hb})
	hb.Sent, hb.Running, hb.Capacity = h.now.Add(2*time.Millisecond), nil, core.Size{}
	hb.Ends = []core.End{{Attempt: start.Order.Attempt, Kind: core.EndLost, Reason: "worker restarted"}}
	h.post(core.HeartbeatReceived{Token: 3, Heartbeat: hb})
	var stored core.JobRow
	for _, eff := range h.out {
		if c, ok := eff.(core.Commit); ok {
			for _, w := range c.Txn.Writes {
				if rec, err := core.Decode(w.Key, w.Value); err == nil {
					if row, ok := rec.(core.JobRow); ok {
						stored = row
					}
				}
			}
		}
	}
	assert.Assert(t, stored.Started, "the row does not tell that a task has started")
	h.commitAll(testJob)
	assert.Equal(t, h.askCount().Pending, 0)
	other := newEntryHarness(t)
	other.now = other.now.Add(600 * time.Millisecond)
	other.post(core.Tick{})
	for _, eff := range other.out {
		if r, ok := eff.(core.ReadChanges); ok {
			v := table.View{Revision: other.rev}
			if strings.HasPrefix(core.KeyJob(testJob), r.Prefix) {
				v.Rows = []table.Row{other.row(core.KeyJob(testJob), stored)}
			}
			other.post(core.ChangesAnswered{Token: r.Token, View: v})
		}
	}
	other.pass(time.Second, true)
	ans := other.askCount()
	assert.Equal(t, ans.Outcome, core.JobAccepted)
	assert.Equal(t, ans.Pending, 0)
}

// A read of a shard that took long proves only what was committed before it began.
func TestPendingCountOfSlowShardReads(t *testing.T) {
	h := newEntryHarness(t)
	h.pass(2*time.Second, true)
	var late []core.ReadChanges
	h.ticks(maxCountAge-time.Second, &late, nil)
	for _, r := range late {
		h.post(core.ChangesAnswered{Token: r.Token, View: table.View{Revision: h.rev}})
	}
	var unanswered []core.ReadChanges
	h.ticks(2*time.Second, &unanswered, nil)
	assert.Equal(t, h.askCount().Outcome, core.JobRefused)
}

// The revision of a read that took long proves a report to be as recent as the read's start.
func TestPendingCountOfReportSeenBySlowReads(t *testing.T) {
	h := newEntryHarness(t)
	h.pass(time.Second, true)
	h.now = h.now.Add(time.Second)
	h.post(core.Tick{})
	reads := append([]core.EntryEffect{}, h.out...)
	h.now = h.now.Add(maxCountAge - time.Second)
	for _, eff := range reads {
		if r, ok := eff.(core.ReadChanges); ok && !strings.HasPrefix(r.Prefix, core.PrefixJob) {
			v := table.View{Revision: h.rev}
			if r.Prefix == core.PrefixEntry {
				v.Rows = []table.Row{{Key: core.PrefixEntry + "peer", Version: h.rev, Value: h.row("", h.report(1, h.rev)).Value}}
			}
			h.post(core.ChangesAnswered{Token: r.Token, View: v})
		}
	}
	h.now = h.now.Add(2 * time.Second)
	assert.Equal(t, h.askCount().Outcome, core.JobRefused)
}

// A report of an earlier read must not replace a more recent one of the same shard, and the
// recent one holds although its entry has ended.
func TestPendingCountKeepsNewestReport(t *testing.T) {
	h := newEntryHarness(t)
	entry := func(id core.EntryID, readUpTo uint64, waiting int) table.Row {
		row := h.report(1, readUpTo)
		row.ID = id
		for i := range row.Reports {
			row.Reports[i].Waiting = map[string]int{testQueue: waiting}
		}
		return h.row(core.PrefixEntry+string(id), row)
	}
	var late []core.ReadChanges
	h.ticks(700*time.Millisecond, &late, func() []table.Row { return []table.Row{entry("p0", h.rev, 1)} })
	h.ticks(700*time.Millisecond, &late, func() []table.Row {
		return []table.Row{entry("p1", 1, 0), {Key: core.PrefixEntry + "p0", Version: h.rev, Deleted: true}}
	})
	ans := h.askCount()
	assert.Equal(t, ans.Outcome, core.JobAccepted)
	assert.Equal(t, ans.Pending, core.Shards)
}

// deployedPolicy returns the intervals of deploy/entry.toml.
func deployedPolicy() core.Policy {
	p := core.DefaultPolicy()
	p.EntryTimeout, p.ReadInterval, p.ShardReadInterval = 3*time.Second, 500*time.Millisecond, 3*time.Second
	p.HeartbeatInterval, p.Visible = time.Second, 3*time.Second
	return p
}

// Without a fault, no count may be refused with the intervals that are deployed.
func TestPendingCountIsNotRefusedWithoutFault(t *testing.T) {
	t.Parallel()
	w := fake.New(1, fake.Entries(9), fake.Workers(3, 3), fake.CoreOptions(core.WithPolicy(deployedPolicy())))
	w.Run(20 * time.Second)
	w.Do(fake.Read{Of: fake.ReadCounts, Every: 100 * time.Millisecond, For: time.Minute})
	w.Run(time.Minute)
	t.Log(w.Oracle().Reads())
	for o, n := range w.Oracle().Reads() {
		assert.Assert(t, o.Outcome == string(core.JobAccepted), "%s: %d", o, n)
	}
}
