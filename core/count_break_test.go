package core_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/table"
)

// A read of a shard's changes that began before the shard was lost and taken again returns
// only what has changed since an earlier read: it is no read of the whole shard.
func TestPendingCountAfterShardIsLostAndTakenAgain(t *testing.T) {
	h := harnessWithWaitingJob(t)
	for _, r := range h.loseAndRetake() {
		if r.Since > 0 { // began before the loss; nothing has changed
			h.post(core.ChangesAnswered{Token: r.Token, View: table.View{Revision: h.rev}})
		}
	}
	ans := h.askCount()
	assert.Check(t, ans.Outcome == core.JobRefused || ans.Pending == 1, "%s: %d jobs wait, although one does", ans.Outcome, ans.Pending)
	full := false
	for range 300 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.post(core.Tick{})
		for _, eff := range h.out {
			r, ok := eff.(core.ReadChanges)
			full = full || ok && r.Since == 0 && strings.HasPrefix(core.KeyJob(testJob), r.Prefix)
		}
		h.answerReads(nil)
	}
	assert.Check(t, full, "the shard is not read as a whole within 30 s: the job is never scheduled")
}

// An attempt that its agent gave up before the launch has not started: its job still waits.
func TestPendingCountOfAttemptsThatEndUnlaunched(t *testing.T) {
	for _, end := range []core.End{
		{Kind: core.EndEvicted, Reason: "no room within its permit"},
		{Kind: core.EndFailed, Reason: "worker refused: image"},
	} {
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
			Services: []core.ServiceLoad{{Service: "s"}}, Running: []core.Attempt{start.Order.Attempt}, Launching: []core.Attempt{start.Order.Attempt},
		}
		hb.Sent = h.now.Add(time.Millisecond)
		h.post(core.HeartbeatReceived{Token: 2, Heartbeat: hb})
		end.Attempt = start.Order.Attempt
		hb.Sent, hb.Running, hb.Launching, hb.Ends = h.now.Add(2*time.Millisecond), nil, nil, []core.End{end}
		hb.Capacity = core.Size{}
		h.post(core.HeartbeatReceived{Token: 3, Heartbeat: hb})
		h.commitAll(testJob)
		assert.Check(t, h.askCount().Pending == 1, "%s: a job of which no task has started is not counted", end.Reason)
	}
}

// An entry that can't read the configuration must not count for a queue that may be gone.
func TestPendingCountOfOldConfiguration(t *testing.T) {
	h := newEntryHarness(t)
	h.pass(2*time.Second, true)
	h.passWithout(10*time.Second, core.PrefixConfig)
	ans := h.askCount()
	assert.Equal(t, ans.Outcome, core.JobRefused, "the configuration was read 10 s ago")
}

// An entry that can't read the configuration must not say that a job does not exist: a
// longer prefix may belong to a new queue.
func TestUnknownJobNeedsRecentConfiguration(t *testing.T) {
	h := newEntryHarness(t)
	h.pass(2*time.Second, true)
	h.passWithout(10*time.Second, core.PrefixConfig)
	h.post(core.JobRequested{Token: 500, Request: core.JobRequest{Verb: core.JobGet, Path: "/q/new/0123456789abcdef", Deadline: h.now.Add(time.Second)}})
	if r, ok := find[core.ReadRows](h); ok {
		h.post(core.RowsAnswered{Token: r.Token, View: table.View{Rows: []table.Row{{Key: r.Keys[0]}}, Revision: h.rev}})
	}
	assert.Equal(t, mustFind[core.JobReply](h).Answer.Outcome, core.JobRefused, "the configuration was read 10 s ago")
}

// An entry must not fence a worker because one of the other entries, which has just
// started, has not heard it, while the rest has not answered.
func TestNoFenceWhilePeersHaveNotAnswered(t *testing.T) {
	var others []core.EntryRow
	for _, id := range []core.EntryID{"p0", "p1", "p2"} {
		others = append(others, core.EntryRow{ID: id, Addr: "10.0.0." + string(id[1]+1) + ":1", Heartbeats: 1})
	}
	h := newEntryHarness(t, others...)
	beats := uint64(1)
	peers := func() (rows []table.Row) {
		beats++
		for _, o := range others {
			o.Heartbeats = beats
			rows = append(rows, h.row(core.PrefixEntry+string(o.ID), o))
		}
		return rows
	}
	var late []core.ReadChanges
	h.ticks(time.Second, &late, peers)
	h.sendHeartbeat(8)
	// A claim of one of this entry's shards: the job's row as another entry left it.
	var id core.JobID
	for i := 0; id == ""; i++ {
		try := core.JobID(fmt.Sprintf("%016x", i))
		if slices.ContainsFunc(late, func(r core.ReadChanges) bool { return strings.HasPrefix(core.KeyJob(try), r.Prefix) }) {
			id = try
		}
	}
	row := core.JobRow{
		Spec:  core.JobSpec{ID: id, Queue: testQueue, Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}},
		Tasks: []core.TaskRow{{State: core.TaskClaimed, Attempt: 1, Holder: core.Holder{Worker: "w", Inc: "i"}, By: "me"}},
	}
	for _, r := range late {
		v := table.View{Revision: h.rev}
		if strings.HasPrefix(core.KeyJob(id), r.Prefix) {
			v.Rows = []table.Row{h.row(core.KeyJob(id), row)}
		}
		h.post(core.ChangesAnswered{Token: r.Token, View: v})
	}
	first := true
	for range 100 {
		late = nil
		h.now = h.now.Add(100 * time.Millisecond)
		h.rev++
		h.post(core.Tick{})
		for _, eff := range h.out {
			switch x := eff.(type) {
			case core.QueryLiveness:
				fault := core.FaultNoAnswer
				if first {
					fault, first = core.FaultNone, false
				}
				h.post(core.LivenessAnswered{Token: x.Token, Fault: fault})
			case core.ReadChanges:
				v := table.View{Revision: h.rev}
				if x.Prefix == core.PrefixEntry {
					v.Rows = peers()
				}
				h.post(core.ChangesAnswered{Token: x.Token, View: v})
			case core.Commit:
				for _, w := range x.Txn.Writes {
					assert.Assert(t, !strings.HasPrefix(w.Key, core.PrefixFence), "fenced: one of three entries has answered")
				}
			}
		}
	}
}

// A team's quota must hold although the claims in shards that were not read yet are unknown.
func TestQuotaBeforeShardsAreRead(t *testing.T) {
	h := newEntryHarness(t)
	team := core.TeamRow{Name: "t", Quota: core.Size{Millicores: 1000, MemoryMB: 1000}}
	h.rev++
	var late []core.ReadChanges
	for range 7 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.post(core.Tick{})
		for _, eff := range h.out {
			if r, ok := eff.(core.ReadChanges); ok {
				if strings.HasPrefix(r.Prefix, core.PrefixJob) {
					late = append(late, r)
					continue
				}
				v := table.View{Revision: h.rev}
				if r.Prefix == core.PrefixConfig {
					v.Rows = []table.Row{h.row(core.PrefixConfig+"team/t", team)}
				}
				h.post(core.ChangesAnswered{Token: r.Token, View: v})
			}
		}
	}
	assert.Assert(t, len(late) >= 2)
	h.sendHeartbeat(8)
	idIn := func(prefix string) core.JobID {
		for i := 0; ; i++ {
			if id := core.JobID(fmt.Sprintf("%016x", i)); strings.HasPrefix(core.KeyJob(id), prefix) {
				return id
			}
		}
	}
	// The second shard holds a running task that takes all of the quota; it is read later.
	waiting := idIn(late[0].Prefix)
	spec := core.JobSpec{ID: waiting, Team: "t", Size: core.Size{Millicores: 1000, MemoryMB: 100}, Inputs: []string{"x"}}
	h.post(core.ChangesAnswered{Token: late[0].Token, View: table.View{Revision: h.rev, Rows: []table.Row{
		h.row(core.KeyJob(waiting), core.JobRow{Spec: spec, Tasks: make([]core.TaskRow, 1)}),
	}}})
	claimed := h.commitAll(waiting)
	assert.Equal(t, claimed, 0, "claimed although the team's claims in %d shards are unknown", len(late)-1)
}
