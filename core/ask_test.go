package core_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/table"
)

// entryHarness drives an entry with one queue that has read its configuration.
type entryHarness struct {
	t   *testing.T
	e   *core.Entry
	now time.Time
	out []core.EntryEffect // of the last event
	rev uint64
}

const (
	testQueue   = "q"
	testJobPath = "/q/0123456789abcdef"
	testJob     = core.JobID("0123456789abcdef")
)

// newEntryHarness returns an entry whose table holds a queue, a data centre and the
// given rows of other entries.
func newEntryHarness(t *testing.T, others ...core.EntryRow) *entryHarness {
	t.Helper()
	return newEntryHarnessWith(t, nil, others...)
}

// newEntryHarnessWith is newAskEntry with options.
func newEntryHarnessWith(t *testing.T, opts []core.Option, others ...core.EntryRow) *entryHarness {
	t.Helper()
	h := &entryHarness{
		t: t, now: time.Unix(1_700_000_000, 0), rev: 10,
		e: core.NewEntry(core.EntryIdentity{ID: "me", Addr: netip.MustParseAddrPort("10.0.0.9:1")}, opts...),
	}
	h.post(core.Tick{})
	config := []table.Row{
		h.row(core.KeyVersion, core.VersionRow{N: 1}),
		h.row(core.KeyDC("dc"), core.DCRow{Name: "dc"}),
		h.row(core.KeyQueues, core.QueuesRow{Queues: []core.QueueRow{{
			Name: testQueue, Prefix: "/q/", Service: "s", Attempts: 2, Stretch: 1,
		}}}),
	}
	var entries []table.Row
	for _, o := range others {
		entries = append(entries, h.row(core.PrefixEntry+string(o.ID), o))
	}
	h.answerReads(map[string][]table.Row{core.PrefixConfig: config, core.PrefixEntry: entries})
	return h
}

func (h *entryHarness) row(key string, rec core.Record) table.Row {
	b, err := core.Encode(rec)
	assert.NilError(h.t, err)
	return table.Row{Key: key, Version: h.rev, Value: b}
}

func (h *entryHarness) post(ev core.EntryEvent) {
	h.out = append([]core.EntryEffect{}, h.e.Reduce(core.Stamp{Now: h.now}, ev)...)
}

// answerReads answers the ReadChanges effects of the last event.
func (h *entryHarness) answerReads(rows map[string][]table.Row) {
	for _, eff := range h.out {
		if r, ok := eff.(core.ReadChanges); ok {
			h.post(core.ChangesAnswered{Token: r.Token, View: table.View{Rows: rows[r.Prefix], Revision: h.rev}})
		}
	}
}

// find returns the first effect of a type.
func find[E core.EntryEffect](h *entryHarness) (E, bool) {
	for _, eff := range h.out {
		if x, ok := eff.(E); ok {
			return x, true
		}
	}
	var zero E
	return zero, false
}

func mustFind[E core.EntryEffect](h *entryHarness) E {
	h.t.Helper()
	x, ok := find[E](h)
	assert.Assert(h.t, ok, "no %T among %T", x, h.out)
	return x
}

func (h *entryHarness) submit() {
	steps := []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}
	h.post(core.JobRequested{Token: 77, Request: core.JobRequest{
		Verb: core.JobSubmit, Path: testJobPath, Spec: core.JobSpec{Steps: steps}, Deadline: h.now.Add(time.Second),
	}})
}

// loseRead loses the answers of the next read round, which opens the circuit breaker.
func (h *entryHarness) loseRead() {
	h.now = h.now.Add(600 * time.Millisecond)
	h.post(core.Tick{})
	for _, eff := range h.out {
		if r, ok := eff.(core.ReadChanges); ok {
			h.post(core.ChangesAnswered{Token: r.Token, Fault: core.FaultNoAnswer})
		}
	}
}

func TestSubmissionIsAcceptedOnceCommitted(t *testing.T) {
	h := newEntryHarness(t)
	h.submit()
	_, early := find[core.JobReply](h)
	assert.Assert(t, !early, "answered before the table holds the job")
	commit := mustFind[core.Commit](h)
	h.post(core.CommitAnswered{Token: commit.Token, Result: table.Result{Committed: true, Revision: 20}})
	assert.Equal(t, mustFind[core.JobReply](h).Answer.Outcome, core.JobAccepted)
}

func TestSubmissionInOutageIsRefusedAtOnce(t *testing.T) {
	h := newEntryHarness(t)
	h.loseRead()
	h.submit()
	ans := mustFind[core.JobReply](h).Answer
	assert.Equal(t, ans.Outcome, core.JobRefused)
	assert.Assert(t, ans.RetryAfter > 0)
	_, sent := find[core.Commit](h)
	assert.Assert(t, !sent, "a refused job must never reach the table")
}

// otherEntries returns the rows of entries of which one owns the shard of testJob.
func otherEntries() []core.EntryRow {
	var rows []core.EntryRow
	for _, id := range []core.EntryID{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"} {
		rows = append(rows, core.EntryRow{ID: id, Addr: "10.0.0.1:1", Heartbeats: 1})
	}
	return rows
}

// A relayed submission without an answer may have been accepted. Whatever keeps this
// entry from serving it, the outcome must be unknown and not refused.
func TestRelayedSubmissionIsNeverRefused(t *testing.T) {
	h := newEntryHarness(t, otherEntries()...)
	h.submit()
	relay := mustFind[core.Relay](h)
	h.loseRead()
	h.post(core.RelayAnswered{Token: relay.Token, Fault: core.FaultNoAnswer})
	assert.Equal(t, mustFind[core.JobReply](h).Answer.Outcome, core.JobUnknown)
}

// A relayed cancellation without an answer may have taken effect: it is never refused either.
func TestRelayedCancellationIsNeverRefused(t *testing.T) {
	h := newEntryHarness(t, otherEntries()...)
	h.post(core.JobRequested{Token: 78, Request: core.JobRequest{Verb: core.JobStop, Path: testJobPath, Deadline: h.now.Add(time.Second)}})
	relay := mustFind[core.Relay](h)
	h.loseRead()
	h.post(core.RelayAnswered{Token: relay.Token, Fault: core.FaultNoAnswer})
	assert.Equal(t, mustFind[core.JobReply](h).Answer.Outcome, core.JobUnknown)
}

// At the caller's deadline, the outcome of a submission that may have been stored is
// unknown.
func TestSubmissionAtItsDeadline(t *testing.T) {
	h := newEntryHarness(t)
	h.submit()
	commit := mustFind[core.Commit](h)
	h.post(core.CommitAnswered{Token: commit.Token, Fault: core.FaultNoAnswer})
	h.now = h.now.Add(2 * time.Second)
	h.post(core.Tick{})
	assert.Equal(t, mustFind[core.JobReply](h).Answer.Outcome, core.JobUnknown)
}

func TestQueueIsFoundByTheLongestPrefix(t *testing.T) {
	h := newEntryHarness(t)
	h.post(core.JobRequested{Token: 1, Request: core.JobRequest{Verb: core.JobSubmit, Path: "/other/1", Deadline: h.now.Add(time.Second)}})
	assert.Equal(t, mustFind[core.JobReply](h).Answer.Outcome, core.JobNoQueue)
	h.pass(time.Second, true) // a count needs the shards to be read
	h.post(core.JobRequested{Token: 2, Request: core.JobRequest{Verb: core.JobGet, Path: "/q/", Deadline: h.now.Add(time.Second)}})
	assert.Equal(t, mustFind[core.JobReply](h).Answer.Outcome, core.JobAccepted)
}

// An entry answers that a job does not exist only after a read of its row.
func TestUnknownJobNeedsARead(t *testing.T) {
	h := newEntryHarness(t)
	h.post(core.JobRequested{Token: 2, Request: core.JobRequest{Verb: core.JobGet, Path: testJobPath, Deadline: h.now.Add(time.Second)}})
	read := mustFind[core.ReadRows](h)
	h.post(core.RowsAnswered{Token: read.Token, View: table.View{Rows: []table.Row{{Key: read.Keys[0]}}}})
	assert.Equal(t, mustFind[core.JobReply](h).Answer.Outcome, core.JobNotFound)
}

// The first copy of a transaction may take effect long after its answer was lost, even
// after the resent copy ended in a conflict: the outcome of the submission is unknown.
func TestSubmissionThatWasSentIsNeverWithdrawn(t *testing.T) {
	h := newEntryHarness(t)
	h.submit()
	commit := mustFind[core.Commit](h)
	h.post(core.CommitAnswered{Token: commit.Token, Fault: core.FaultNoAnswer})
	var again core.Commit
	for range 20 {
		h.now = h.now.Add(40 * time.Millisecond)
		h.post(core.Tick{})
		if c, ok := find[core.Commit](h); ok {
			again = c
			break
		}
	}
	assert.Assert(t, again.Token != 0, "the transaction is not sent again")
	fence := h.row(core.PrefixFence+"w", core.FenceRow{Worker: "w"})
	h.post(core.CommitAnswered{Token: again.Token, Result: table.Result{Conflicts: []table.Row{fence}}})
	if c, ok := find[core.Commit](h); ok {
		h.post(core.CommitAnswered{Token: c.Token, Fault: core.FaultNotSent})
	}
	h.now = h.now.Add(2 * time.Second)
	h.post(core.Tick{})
	assert.Equal(t, mustFind[core.JobReply](h).Answer.Outcome, core.JobUnknown)
}

// sendHeartbeat sends the heartbeat of a worker with a number of cores.
func (h *entryHarness) sendHeartbeat(cores int64) {
	h.post(core.HeartbeatReceived{Token: 1, Heartbeat: core.Heartbeat{
		Worker: "w", Inc: "i", Run: "r", DC: "dc", Sent: h.now, Capacity: core.Size{Millicores: 1000 * cores, MemoryMB: 1000},
		Services: []core.ServiceLoad{{Service: "s"}},
	}})
}

// commitAll commits the transactions of the last event and those that follow from it.
// It returns the number of claims of a job in them.
func (h *entryHarness) commitAll(id core.JobID) (claims int) {
	for {
		var commits []core.Commit
		for _, eff := range h.out {
			if c, ok := eff.(core.Commit); ok {
				commits = append(commits, c)
			}
		}
		if len(commits) == 0 {
			return claims
		}
		for _, c := range commits {
			claims += h.countClaims(c, id)
			h.rev++
			h.post(core.CommitAnswered{Token: c.Token, Result: table.Result{Committed: true, Revision: h.rev}})
		}
	}
}

// countClaims counts the claims of a job in a transaction.
func (h *entryHarness) countClaims(c core.Commit, id core.JobID) (n int) {
	for _, w := range c.Txn.Writes {
		rec, err := core.Decode(w.Key, w.Value)
		assert.NilError(h.t, err)
		if row, ok := rec.(core.JobRow); ok && row.Spec.ID == id {
			for _, t := range row.Tasks {
				if t.State == core.TaskClaimed {
					n++
				}
			}
		}
	}
	return n
}

// A long-running task that has to restart is not queued behind a backlog of jobs that
// wait for capacity, however long ago its job was accepted.
func TestLongRunningTaskSkipsBacklog(t *testing.T) {
	h := newEntryHarness(t)
	submit := func(id string, st core.StepSpec) {
		h.post(core.JobRequested{Token: 77, Request: core.JobRequest{
			Verb: core.JobSubmit, Path: "/q/" + id, Spec: core.JobSpec{Steps: []core.StepSpec{st}}, Deadline: h.now.Add(time.Hour),
		}})
		h.commitAll("")
	}
	submit("lasting", core.StepSpec{Count: 1, Size: core.Size{Millicores: 900}, LongRunning: true})
	h.now = h.now.Add(time.Minute)
	for i := range 100 {
		submit("job"+string(rune('a'+i/26))+string(rune('a'+i%26)), core.StepSpec{
			Count: 1, Size: core.Size{Millicores: 2000}, Estimate: time.Second,
		})
	}
	for range 40 {
		h.now = h.now.Add(50 * time.Millisecond)
		h.sendHeartbeat(1)
		if h.commitAll("lasting") > 0 {
			return
		}
	}
	t.Fatal("the long-running task is never placed")
}

// A submission that was refused because it could not be sent in time leaves no state:
// the job never runs, and can be submitted again.
func TestRefusedSubmissionLeavesNoState(t *testing.T) {
	h := newEntryHarness(t)
	h.sendHeartbeat(8)
	h.commitAll("")
	h.submit() // its unanswered transaction blocks the commit group
	blocking := mustFind[core.Commit](h)
	h.post(core.JobRequested{Token: 78, Request: core.JobRequest{
		Verb: core.JobSubmit, Path: "/q/late", Deadline: h.now.Add(time.Second),
		Spec: core.JobSpec{Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}},
	}})
	h.now = h.now.Add(1100 * time.Millisecond)
	h.post(core.Tick{})
	refused := false
	for _, eff := range h.out {
		if r, ok := eff.(core.JobReply); ok && r.Token == 78 {
			refused = r.Answer.Outcome == core.JobRefused
		}
	}
	assert.Assert(t, refused, "a submission that was never sent is not refused")
	h.post(core.CommitAnswered{Token: blocking.Token, Result: table.Result{Committed: true, Revision: 30}})
	claims := h.commitAll("late")
	for range 20 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.sendHeartbeat(8)
		claims += h.commitAll("late")
	}
	assert.Equal(t, claims, 0, "a refused job is claimed")
	// The caller may submit the job again.
	h.post(core.JobRequested{Token: 79, Request: core.JobRequest{
		Verb: core.JobSubmit, Path: "/q/late", Deadline: h.now.Add(time.Second),
		Spec: core.JobSpec{Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}},
	}})
	assert.Equal(t, h.commitAll("late"), 1, "a resubmission after a refusal is not accepted")
}

// When a submission is withdrawn that several callers wait for, all of them are
// answered.
func TestAllWaitersAreRefused(t *testing.T) {
	h := newEntryHarness(t)
	h.submit() // its unanswered transaction blocks the commit group
	mustFind[core.Commit](h)
	for token := range core.Token(3) {
		h.post(core.JobRequested{Token: 80 + token, Request: core.JobRequest{
			Verb: core.JobSubmit, Path: "/q/late", Deadline: h.now.Add(time.Second),
			Spec: core.JobSpec{Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}},
		}})
	}
	h.now = h.now.Add(1100 * time.Millisecond)
	h.post(core.Tick{})
	refused := 0
	for _, eff := range h.out {
		if r, ok := eff.(core.JobReply); ok && r.Token >= 80 && r.Answer.Outcome == core.JobRefused {
			refused++
		}
	}
	assert.Equal(t, refused, 3)
}

// An entry whose configuration is out of date does not answer that a queue does not
// exist: it may be new.
func TestNoQueueNeedsFreshConfiguration(t *testing.T) {
	h := newEntryHarness(t)
	get := core.JobRequested{Token: 5, Request: core.JobRequest{Verb: core.JobGet, Path: "/other/", Deadline: h.now.Add(time.Minute)}}
	h.post(get)
	assert.Equal(t, mustFind[core.JobReply](h).Answer.Outcome, core.JobNoQueue)
	h.now = h.now.Add(2 * time.Second)
	h.post(get)
	ans := mustFind[core.JobReply](h).Answer
	assert.Equal(t, ans.Outcome, core.JobRefused)
	assert.Equal(t, ans.Reason, core.ReasonConfig)
	assert.Assert(t, ans.RetryAfter > 0)
}

// An entry that has just started has heard only some of the agents. A job that fits none
// of their workers may fit another one: it must not be refused as if none could hold it.
func TestLargeJobIsNotRefusedBeforeAllAgentsAreHeard(t *testing.T) {
	h := newEntryHarness(t)
	h.sendHeartbeat(1)
	h.commitAll("")
	submit := func(token core.Token, path string) (core.JobAnswer, bool) {
		h.post(core.JobRequested{Token: token, Request: core.JobRequest{
			Verb: core.JobSubmit, Path: path, Deadline: h.now.Add(time.Second),
			Spec: core.JobSpec{Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 8000}}}},
		}})
		r, ok := find[core.JobReply](h)
		return r.Answer, ok
	}
	ans, ok := submit(81, "/q/early")
	assert.Assert(t, !ok, "answered at once: %v", ans)
	h.commitAll("")
	h.pass(4*core.DefaultPolicy().HeartbeatInterval, true)
	h.sendHeartbeat(1)
	h.commitAll("")
	ans, ok = submit(82, "/q/late")
	assert.Assert(t, ok)
	assert.Equal(t, ans.Reason, core.ReasonUnplaceable)
}

// A submission to another entry's shard is withdrawn, sent again, and meanwhile stored by
// that shard's owner. The conflict with the owner's row must reach the second submission:
// otherwise its transaction is sent for ever, and nothing else that shares it is stored.
func TestResubmissionSeesConflictAfterWithdrawal(t *testing.T) {
	others := []core.EntryRow{}
	for _, id := range []core.EntryID{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"} {
		others = append(others, core.EntryRow{ID: id, Addr: "10.0.0.1:1", Heartbeats: 1})
	}
	h := newEntryHarness(t, others...)
	submit := func(token core.Token) {
		h.post(core.JobRequested{Token: token, Request: core.JobRequest{
			Verb: core.JobSubmit, Path: "/q/tardy-1", Deadline: h.now.Add(time.Second),
			Spec: core.JobSpec{Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}},
		}})
		h.post(core.RelayAnswered{Token: mustFind[core.Relay](h).Token, Fault: core.FaultNotSent})
	}
	h.submit()
	h.post(core.RelayAnswered{Token: mustFind[core.Relay](h).Token, Fault: core.FaultNotSent})
	blocking := mustFind[core.Commit](h) // its unanswered transaction blocks the commit group
	submit(80)
	h.now = h.now.Add(1100 * time.Millisecond)
	h.post(core.Tick{})
	submit(81)
	h.rev = 30
	h.post(core.CommitAnswered{Token: blocking.Token, Result: table.Result{Committed: true, Revision: h.rev}})
	commit := mustFind[core.Commit](h)
	owners := h.row(keyOfJob("tardy-1"), core.JobRow{
		Spec:  core.JobSpec{ID: "tardy-1", Queue: testQueue, Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}},
		Tasks: []core.TaskRow{{}},
	})
	h.post(core.CommitAnswered{Token: commit.Token, Result: table.Result{Conflicts: []table.Row{owners}}})
	for range 5 {
		if r, ok := find[core.JobReply](h); ok && r.Token == 81 {
			assert.Equal(t, r.Answer.Outcome, core.JobAccepted)
			return
		}
		h.now = h.now.Add(50 * time.Millisecond)
		h.post(core.Tick{})
	}
	t.Fatal("the second submission does not see that the job is stored")
}

// A job is cancelled while the transaction that stores it is in flight. The caller must not
// be told that there is no such job: it would be stored and run.
func TestCancelOfJobThatIsBeingStored(t *testing.T) {
	h := newEntryHarness(t)
	h.submit()
	create := mustFind[core.Commit](h)
	h.post(core.JobRequested{Token: 78, Request: core.JobRequest{Verb: core.JobStop, Path: testJobPath, Deadline: h.now.Add(time.Second)}})
	if r, ok := find[core.ReadRows](h); ok {
		h.post(core.RowsAnswered{Token: r.Token, View: table.View{Rows: []table.Row{{Key: r.Keys[0]}}}})
	}
	_, answered := find[core.JobReply](h)
	assert.Assert(t, !answered, "answered while the job may still be stored")
	h.post(core.CommitAnswered{Token: create.Token, Result: table.Result{Committed: true, Revision: 20}})
	assert.Equal(t, mustFind[core.JobReply](h), core.JobReply{Token: 77, Answer: core.JobAnswer{Outcome: core.JobAccepted}})
	cancel := mustFind[core.Commit](h)
	rec, err := core.Decode(cancel.Txn.Writes[0].Key, cancel.Txn.Writes[0].Value)
	assert.NilError(t, err)
	row, ok := rec.(core.JobRow)
	assert.Assert(t, ok && row.Cancel)
	h.post(core.CommitAnswered{Token: cancel.Token, Result: table.Result{Committed: true, Revision: 21}})
	assert.Equal(t, mustFind[core.JobReply](h), core.JobReply{Token: 78, Answer: core.JobAnswer{Outcome: core.JobAccepted}})
}

// A job is submitted while the row of a cancellation of it is being read. The cancellation
// must not be answered before the submission.
func TestCancelOfJobThatArrivesDuringTheRead(t *testing.T) {
	h := newEntryHarness(t)
	h.post(core.JobRequested{Token: 78, Request: core.JobRequest{Verb: core.JobStop, Path: testJobPath, Deadline: h.now.Add(time.Second)}})
	r := mustFind[core.ReadRows](h)
	h.submit()
	h.post(core.RowsAnswered{Token: r.Token, View: table.View{Rows: []table.Row{{Key: r.Keys[0]}}}})
	_, answered := find[core.JobReply](h)
	assert.Assert(t, !answered, "answered while the job may still be stored")
}

// A submission that was not sent to the table is withdrawn when its job is cancelled.
func TestCancelWithdrawsUnsentSubmission(t *testing.T) {
	h := newEntryHarness(t)
	h.submit() // its transaction is in flight, so that the next one waits
	const other = "/q/fedcba9876543210"
	steps := []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}
	h.post(core.JobRequested{Token: 80, Request: core.JobRequest{
		Verb: core.JobSubmit, Path: other, Spec: core.JobSpec{Steps: steps}, Deadline: h.now.Add(time.Second),
	}})
	h.post(core.JobRequested{Token: 81, Request: core.JobRequest{Verb: core.JobStop, Path: other, Deadline: h.now.Add(time.Second)}})
	submitted := mustFind[core.JobReply](h)
	assert.Equal(t, submitted.Token, core.Token(80))
	assert.Equal(t, submitted.Answer.Outcome, core.JobRefused)
	r := mustFind[core.ReadRows](h)
	h.post(core.RowsAnswered{Token: r.Token, View: table.View{Rows: []table.Row{{Key: r.Keys[0]}}}})
	_, answered := find[core.JobReply](h)
	assert.Assert(t, !answered, "answered while another entry may still store the job")
	h.post(core.CommitAnswered{Token: h.tombstone().Token, Result: table.Result{Committed: true, Revision: 20}})
	assert.Equal(t, mustFind[core.JobReply](h), core.JobReply{Token: 81, Answer: core.JobAnswer{Outcome: core.JobNotFound}})
}

// A caller without an answer to its submission asks for the job while the transaction that
// stores it is in flight. It must not be told that there is no such job: it would submit its
// work again.
func TestStateOfJobThatIsBeingStored(t *testing.T) {
	h := newEntryHarness(t)
	h.submit()
	create := mustFind[core.Commit](h)
	h.post(core.JobRequested{Token: 78, Request: core.JobRequest{Verb: core.JobGet, Path: testJobPath, Deadline: h.now.Add(time.Second)}})
	if r, ok := find[core.ReadRows](h); ok {
		h.post(core.RowsAnswered{Token: r.Token, View: table.View{Rows: []table.Row{{Key: r.Keys[0]}}}})
	}
	_, answered := find[core.JobReply](h)
	assert.Assert(t, !answered, "answered while the job may still be stored")
	h.post(core.CommitAnswered{Token: create.Token, Result: table.Result{Committed: true, Revision: 20}})
	var replies []core.JobReply
	for _, eff := range h.out {
		if r, ok := eff.(core.JobReply); ok {
			replies = append(replies, r)
		}
	}
	assert.DeepEqual(t, replies, []core.JobReply{
		{Token: 77, Answer: core.JobAnswer{Outcome: core.JobAccepted}},
		{Token: 78, Answer: core.JobAnswer{Outcome: core.JobAccepted, State: core.JobQueued}},
	})
}

// While the table does not answer, requests about a job that is being stored are refused at
// once.
func TestRequestsOfJobThatIsBeingStoredInOutage(t *testing.T) {
	h := newEntryHarness(t)
	h.submit()
	h.loseRead()
	for _, verb := range []core.JobVerb{core.JobGet, core.JobStop} {
		h.post(core.JobRequested{Token: 78, Request: core.JobRequest{Verb: verb, Path: testJobPath, Deadline: h.now.Add(time.Second)}})
		assert.Equal(t, mustFind[core.JobReply](h).Answer.Outcome, core.JobRefused)
	}
}

// An entry stores a job itself, since the owner of its shard did not answer. A cancellation
// reaches the owner, which does not find the job. The caller must not be told so.
func TestCancelOfJobThatOwnerDoesNotFindYet(t *testing.T) {
	h := newEntryHarness(t, otherEntries()...)
	h.submit()
	h.post(core.RelayAnswered{Token: mustFind[core.Relay](h).Token, Fault: core.FaultNoAnswer})
	create := mustFind[core.Commit](h)
	h.post(core.JobRequested{Token: 78, Request: core.JobRequest{Verb: core.JobStop, Path: testJobPath, Deadline: h.now.Add(time.Second)}})
	h.post(core.RelayAnswered{Token: mustFind[core.Relay](h).Token, Answer: core.JobAnswer{Outcome: core.JobNotFound}})
	_, answered := find[core.JobReply](h)
	assert.Assert(t, !answered, "answered while the job may still be stored")
	h.post(core.CommitAnswered{Token: create.Token, Result: table.Result{Committed: true, Revision: 20}})
	h.post(core.CommitAnswered{Token: mustFind[core.Commit](h).Token, Result: table.Result{Committed: true, Revision: 21}})
	assert.Equal(t, mustFind[core.JobReply](h), core.JobReply{Token: 78, Answer: core.JobAnswer{Outcome: core.JobAccepted}})
}
