package core_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/table"
)

// maxCountAge is the users' bound on the age of a count: an accepted job is visible
// within 3 s, and a count may be 2 s old.
const maxCountAge = 5 * time.Second

// askCount asks for the number of waiting jobs and returns the answer.
func (h *entryHarness) askCount() core.JobAnswer {
	h.t.Helper()
	h.post(core.JobRequested{Token: 500, Request: core.JobRequest{Verb: core.JobGet, Path: "/q/", Deadline: h.now.Add(time.Second)}})
	return mustFind[core.JobReply](h).Answer
}

// pass lets time pass in ticks. With answered set, the reads that are due find no
// changes; otherwise they get no answer.
func (h *entryHarness) pass(d time.Duration, answered bool) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(100 * time.Millisecond)
		h.post(core.Tick{})
		if answered {
			h.answerReads(nil)
		} else {
			h.failReads()
		}
	}
}

// failReads loses the answers of the reads of the last event.
func (h *entryHarness) failReads() {
	for _, eff := range h.out {
		if r, ok := eff.(core.ReadChanges); ok {
			h.post(core.ChangesAnswered{Token: r.Token, Fault: core.FaultNoAnswer})
		}
	}
}

// An entry that can't read the table must not go on counting what it read before: it
// knows nothing of the jobs that came since.
func TestPendingCountOfOldView(t *testing.T) {
	h := newEntryHarness(t)
	h.pass(maxCountAge, true)
	assert.Equal(t, h.askCount().Outcome, core.JobAccepted)
	h.pass(maxCountAge+time.Second, false)
	ans := h.askCount()
	assert.Equal(t, ans.Outcome, core.JobRefused, "%d jobs are counted from a view that is over %s old", ans.Pending, maxCountAge)
	assert.Assert(t, ans.RetryAfter > 0)
	h.pass(maxCountAge, true)
	assert.Equal(t, h.askCount().Outcome, core.JobAccepted)
}

// An entry that has just started owns shards that it has not read yet: the jobs in them
// must not be left out of a count.
func TestPendingCountBeforeShardsAreRead(t *testing.T) {
	h := newEntryHarness(t)
	ans := h.askCount()
	assert.Equal(t, ans.Outcome, core.JobRefused, "%d jobs are counted before any shard was read", ans.Pending)
	assert.Assert(t, ans.RetryAfter > 0)
}

// report returns another entry's row with a report for each shard that holds one waiting
// job of the test's queue.
func (h *entryHarness) report(heartbeat, readUpTo uint64) core.EntryRow {
	row := core.EntryRow{ID: "peer", Addr: "10.0.0.1:1", Heartbeats: heartbeat}
	for s := range core.Shards {
		row.Reports = append(row.Reports, core.ShardReport{
			Shard: s, ReadUpTo: readUpTo, Waiting: map[string]int{testQueue: 1},
		})
	}
	return row
}

// passWithPeer lets time pass in ticks, in which the table's revision rises and the other
// entry's row, as f returns it, changes in each read.
func (h *entryHarness) passWithPeer(d time.Duration, f func() core.EntryRow) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(100 * time.Millisecond)
		h.rev++
		row := f()
		h.post(core.Tick{})
		h.answerReads(map[string][]table.Row{core.PrefixEntry: {h.row(core.PrefixEntry+"peer", row)}})
	}
}

// Another entry schedules some of the shards and is alive, but its row says nothing of
// them: they must not count as empty.
func TestPendingCountNeedsReportOfEachShard(t *testing.T) {
	h := newEntryHarness(t)
	beats := uint64(0)
	silent := func() core.EntryRow {
		beats++
		return core.EntryRow{ID: "peer", Addr: "10.0.0.1:1", Heartbeats: beats}
	}
	h.passWithPeer(maxCountAge+time.Second, silent)
	assert.Equal(t, h.askCount().Outcome, core.JobRefused)
	h.passWithPeer(time.Second, func() core.EntryRow { beats++; return h.report(beats, h.rev) })
	ans := h.askCount()
	assert.Equal(t, ans.Outcome, core.JobAccepted)
	assert.Assert(t, ans.Pending > 0 && ans.Pending < core.Shards, "%d counted", ans.Pending)
}

// Another entry is alive and keeps rewriting its row, but has not read its shards for
// long: its counts are as old as those reads, however new the row is.
func TestPendingCountOfOldReport(t *testing.T) {
	h := newEntryHarness(t)
	beats, read := uint64(0), h.rev
	stuck := func() core.EntryRow { beats++; return h.report(beats, read) }
	h.passWithPeer(time.Second, func() core.EntryRow { read = h.rev; return stuck() })
	assert.Equal(t, h.askCount().Outcome, core.JobAccepted)
	h.passWithPeer(maxCountAge+time.Second, stuck)
	assert.Equal(t, h.askCount().Outcome, core.JobRefused)
}

// An entry that can't read the table must not report the state that a job had when it
// could: another entry may have moved it on.
func TestJobStateOfOldView(t *testing.T) {
	h := newEntryHarness(t)
	h.pass(time.Second, true)
	h.submit()
	h.commitAll(testJob)
	get := core.JobRequested{Token: 501, Request: core.JobRequest{Verb: core.JobGet, Path: testJobPath, Deadline: h.now.Add(time.Minute)}}
	h.post(get)
	assert.Equal(t, mustFind[core.JobReply](h).Answer.State, core.JobQueued)
	h.pass(maxCountAge+time.Second, false)
	h.post(get)
	if r, ok := find[core.JobReply](h); ok {
		assert.Equal(t, r.Answer.Outcome, core.JobRefused, "state %q is over %s old", r.Answer.State, maxCountAge)
		assert.Assert(t, r.Answer.RetryAfter > 0)
	} else {
		mustFind[core.ReadRows](h)
	}
}

// An entry that can't read the table says how old its view of a job is.
func TestWhyOfOldView(t *testing.T) {
	h := newEntryHarness(t)
	h.pass(time.Second, true)
	h.submit()
	h.commitAll(testJob)
	h.pass(maxCountAge+time.Second, false)
	h.post(core.CommandAsked{Token: 9, ID: "c", Command: core.Why{Kind: "job", ID: string(testJob)}})
	if r, ok := find[core.CommandReply](h); ok {
		last := r.Result.Rows[len(r.Result.Rows)-1]
		assert.Equal(t, last[0], "read", "the answer does not tell its age: %q", r.Result.Rows)
	} else {
		mustFind[core.ReadRows](h)
	}
}

// A claim is not a start: as long as no agent has started a task of a job, the job waits,
// however often its tasks were claimed.
func TestPendingCountOfClaimsThatNeverStart(t *testing.T) {
	h := newEntryHarness(t)
	h.pass(time.Second, true)
	h.submit()
	h.commitAll(testJob)
	assert.Equal(t, h.askCount().Pending, 1)
	h.sendHeartbeat(8)
	start := core.Start{}
	for start.Token == 0 {
		commit := mustFind[core.Commit](h)
		h.rev++
		h.post(core.CommitAnswered{Token: commit.Token, Result: table.Result{Committed: true, Revision: h.rev}})
		start, _ = find[core.Start](h)
	}
	assert.Equal(t, h.askCount().Pending, 1, "the order is not answered yet")
	h.post(core.StartAnswered{Token: start.Token, Started: true})
	hb := core.Heartbeat{
		Worker: "w", Inc: "i", Run: "r", DC: "dc", Capacity: core.Size{Millicores: 8000, MemoryMB: 1000},
		Services: []core.ServiceLoad{{Service: "s"}}, Running: []core.Attempt{start.Order.Attempt},
	}
	hb.Sent, hb.Launching = h.now.Add(time.Millisecond), hb.Running
	h.post(core.HeartbeatReceived{Token: 2, Heartbeat: hb})
	assert.Equal(t, h.askCount().Pending, 1, "the worker has not confirmed the start")
	hb.Sent, hb.Launching = h.now.Add(2*time.Millisecond), nil
	h.post(core.HeartbeatReceived{Token: 3, Heartbeat: hb})
	assert.Equal(t, h.askCount().Pending, 0)
}

// nextReads lets time pass until reads are due. It answers those of the round, and returns
// those of shards.
func (h *entryHarness) nextReads(entries ...table.Row) (shards []core.ReadChanges) {
	h.t.Helper()
	h.now = h.now.Add(core.DefaultPolicy().ReadInterval)
	h.rev++
	h.post(core.Tick{})
	for _, eff := range h.out {
		r, ok := eff.(core.ReadChanges)
		switch {
		case !ok:
		case strings.HasPrefix(r.Prefix, core.PrefixJob):
			shards = append(shards, r)
		case r.Prefix == core.PrefixEntry:
			h.post(core.ChangesAnswered{Token: r.Token, View: table.View{Rows: entries, Revision: h.rev}})
		default:
			h.post(core.ChangesAnswered{Token: r.Token, View: table.View{Revision: h.rev}})
		}
	}
	return shards
}

// A shard is handed over and taken back while a read of its changes is in flight. The
// answer holds only what has changed since, but the jobs before were forgotten with the
// shard: it must not count as read.
func TestPendingCountOfShardTakenBackDuringRead(t *testing.T) {
	h := newEntryHarness(t)
	h.pass(time.Second, true)
	peer := h.row(core.PrefixEntry+"peer", core.EntryRow{ID: "peer", Addr: "10.0.0.1:1", Heartbeats: 1})
	peer.Version = h.rev + 1
	reads := h.nextReads(peer) // the peer takes some of the shards
	h.nextReads(table.Row{Key: peer.Key, Version: h.rev + 2, Deleted: true})
	for _, r := range reads {
		h.post(core.ChangesAnswered{Token: r.Token, View: table.View{Revision: h.rev}})
	}
	assert.Assert(t, len(reads) == core.Shards && reads[0].Since > 0)
	assert.Equal(t, h.askCount().Outcome, core.JobRefused)
	h.pass(2*time.Second, true)
	assert.Equal(t, h.askCount().Outcome, core.JobAccepted)
}
