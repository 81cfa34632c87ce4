package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/table"
)

// entryHarness is an entry with one queue that has read its configuration.
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
// rows of the other entries.
func newEntryHarness(t *testing.T, others ...core.EntryRow) *entryHarness {
	t.Helper()
	return newEntryHarnessWith(t, nil, others...)
}

// newEntryHarnessWith is newAskEntry with options.
func newEntryHarnessWith(t *testing.T, opts []core.Option, others ...core.EntryRow) *entryHarness {
	t.Helper()
	a := &entryHarness{
		t: t, now: time.Unix(1_700_000_000, 0), rev: 10,
		e: core.NewEntry(core.EntryIdentity{ID: "me"}, opts...),
	}
	a.post(core.Tick{})
	config := []table.Row{
		a.row(core.KeyVersion, core.VersionRow{N: 1}),
		a.row(core.KeyDC("dc"), core.DCRow{Name: "dc"}),
		a.row(core.KeyQueues, core.QueuesRow{Queues: []core.QueueRow{{
			Name: testQueue, Prefix: "/q/", Service: "s", Attempts: 2, Stretch: 1,
		}}}),
	}
	var entries []table.Row
	for _, o := range others {
		entries = append(entries, a.row(core.PrefixEntry+string(o.ID), o))
	}
	a.answerReads(map[string][]table.Row{core.PrefixConfig: config, core.PrefixEntry: entries})
	return a
}

func (a *entryHarness) row(key string, rec core.Record) table.Row {
	b, err := core.Encode(rec)
	assert.NilError(a.t, err)
	return table.Row{Key: key, Version: a.rev, Value: b}
}

func (a *entryHarness) post(ev core.EntryEvent) {
	a.out = append([]core.EntryEffect{}, a.e.Reduce(core.Stamp{Now: a.now}, ev)...)
}

// answerReads answers the reads of the last event.
func (a *entryHarness) answerReads(rows map[string][]table.Row) {
	for _, eff := range a.out {
		if r, ok := eff.(core.ReadChanges); ok {
			a.post(core.ChangesAnswered{Token: r.Token, View: table.View{Rows: rows[r.Prefix], Revision: a.rev}})
		}
	}
}

// find returns the first effect of a type.
func find[E core.EntryEffect](a *entryHarness) (E, bool) {
	for _, eff := range a.out {
		if x, ok := eff.(E); ok {
			return x, true
		}
	}
	var zero E
	return zero, false
}

func mustFind[E core.EntryEffect](a *entryHarness) E {
	a.t.Helper()
	x, ok := find[E](a)
	assert.Assert(a.t, ok, "no %T among %T", x, a.out)
	return x
}

func (a *entryHarness) submit() {
	steps := []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}
	a.post(core.JobRequested{Token: 77, Ask: core.JobAsk{
		Verb: core.JobSubmit, Path: testJobPath, Spec: core.JobSpec{Steps: steps}, Deadline: a.now.Add(time.Second),
	}})
}

// loseRead makes the table loseRead an answer, which opens the circuit.
func (a *entryHarness) loseRead() {
	a.now = a.now.Add(600 * time.Millisecond)
	a.post(core.Tick{})
	for _, eff := range a.out {
		if r, ok := eff.(core.ReadChanges); ok {
			a.post(core.ChangesAnswered{Token: r.Token, Fault: core.FaultNoAnswer})
		}
	}
}

func TestSubmissionIsAcceptedOnceCommitted(t *testing.T) {
	a := newEntryHarness(t)
	a.submit()
	_, early := find[core.JobReply](a)
	assert.Assert(t, !early, "answered before the table holds the job")
	commit := mustFind[core.Commit](a)
	a.post(core.CommitAnswered{Token: commit.Token, Result: table.Result{Committed: true, Revision: 20}})
	assert.Equal(t, mustFind[core.JobReply](a).Answer.Outcome, core.JobAccepted)
}

func TestSubmissionInOutageIsRefusedAtOnce(t *testing.T) {
	a := newEntryHarness(t)
	a.loseRead()
	a.submit()
	ans := mustFind[core.JobReply](a).Answer
	assert.Equal(t, ans.Outcome, core.JobRefused)
	assert.Assert(t, ans.RetryAfter > 0)
	_, sent := find[core.Commit](a)
	assert.Assert(t, !sent, "a refused job must never reach the table")
}

// A submission that was relayed without an answer may have been accepted, so it
// must not be refused as never run, whatever stops this entry from serving it.
func TestRelayedSubmissionIsNeverRefused(t *testing.T) {
	others := []core.EntryRow{}
	for _, id := range []core.EntryID{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"} {
		others = append(others, core.EntryRow{ID: id, Addr: "10.0.0.1:1", Beat: 1})
	}
	a := newEntryHarness(t, others...)
	a.submit()
	relay := mustFind[core.Relay](a)
	a.loseRead()
	a.post(core.RelayAnswered{Token: relay.Token, Fault: core.FaultNoAnswer})
	assert.Equal(t, mustFind[core.JobReply](a).Answer.Outcome, core.JobUnknown)
}

// At the caller's deadline, a submission that may be in the table is unknown.
func TestSubmissionAtItsDeadline(t *testing.T) {
	a := newEntryHarness(t)
	a.submit()
	commit := mustFind[core.Commit](a)
	a.post(core.CommitAnswered{Token: commit.Token, Fault: core.FaultNoAnswer})
	a.now = a.now.Add(2 * time.Second)
	a.post(core.Tick{})
	assert.Equal(t, mustFind[core.JobReply](a).Answer.Outcome, core.JobUnknown)
}

func TestQueueIsFoundByTheLongestPrefix(t *testing.T) {
	a := newEntryHarness(t)
	a.post(core.JobRequested{Token: 1, Ask: core.JobAsk{Verb: core.JobSubmit, Path: "/other/1", Deadline: a.now.Add(time.Second)}})
	assert.Equal(t, mustFind[core.JobReply](a).Answer.Outcome, core.JobNoQueue)
	a.post(core.JobRequested{Token: 2, Ask: core.JobAsk{Verb: core.JobGet, Path: "/q/", Deadline: a.now.Add(time.Second)}})
	assert.Equal(t, mustFind[core.JobReply](a).Answer.Outcome, core.JobAccepted)
}

// Only a read shows that there is no such job.
func TestUnknownJobNeedsARead(t *testing.T) {
	a := newEntryHarness(t)
	a.post(core.JobRequested{Token: 2, Ask: core.JobAsk{Verb: core.JobGet, Path: testJobPath, Deadline: a.now.Add(time.Second)}})
	read := mustFind[core.ReadRows](a)
	a.post(core.RowsAnswered{Token: read.Token, View: table.View{Rows: []table.Row{{Key: read.Keys[0]}}}})
	assert.Equal(t, mustFind[core.JobReply](a).Answer.Outcome, core.JobNotFound)
}

// The first copy of a transaction may take effect long after its answer was lost,
// also after a later copy has met a conflict: the submission stays unknown.
func TestSubmissionThatWasSentIsNeverWithdrawn(t *testing.T) {
	a := newEntryHarness(t)
	a.submit()
	commit := mustFind[core.Commit](a)
	a.post(core.CommitAnswered{Token: commit.Token, Fault: core.FaultNoAnswer})
	var again core.Commit
	for range 20 {
		a.now = a.now.Add(40 * time.Millisecond)
		a.post(core.Tick{})
		if c, ok := find[core.Commit](a); ok {
			again = c
			break
		}
	}
	assert.Assert(t, again.Token != 0, "the transaction is not sent again")
	fence := a.row(core.PrefixFence+"w", core.FenceRow{Worker: "w"})
	a.post(core.CommitAnswered{Token: again.Token, Result: table.Result{Conflicts: []table.Row{fence}}})
	if c, ok := find[core.Commit](a); ok {
		a.post(core.CommitAnswered{Token: c.Token, Fault: core.FaultNotSent})
	}
	a.now = a.now.Add(2 * time.Second)
	a.post(core.Tick{})
	assert.Equal(t, mustFind[core.JobReply](a).Answer.Outcome, core.JobUnknown)
}

// sendHeartbeat announces a worker with the room of some cores.
func (a *entryHarness) sendHeartbeat(cores int64) {
	a.post(core.BeatReceived{Token: 1, Beat: core.Beat{
		Worker: "w", Inc: "i", Run: "r", DC: "dc", Sent: a.now, Capacity: core.Size{Millicores: 1000 * cores, MemoryMB: 1000},
		Services: []core.ServiceLoad{{Service: "s"}},
	}})
}

// commitAll answers the transactions of the last event and of those that follow,
// and returns how many claims of a job they hold.
func (a *entryHarness) commitAll(id core.JobID) (claims int) {
	for {
		var commits []core.Commit
		for _, eff := range a.out {
			if c, ok := eff.(core.Commit); ok {
				commits = append(commits, c)
			}
		}
		if len(commits) == 0 {
			return claims
		}
		for _, c := range commits {
			claims += a.countClaims(c, id)
			a.rev++
			a.post(core.CommitAnswered{Token: c.Token, Result: table.Result{Committed: true, Revision: a.rev}})
		}
	}
}

// countClaims counts the countClaims of a job in a transaction.
func (a *entryHarness) countClaims(c core.Commit, id core.JobID) (n int) {
	for _, w := range c.Txn.Writes {
		rec, err := core.Decode(w.Key, w.Value)
		assert.NilError(a.t, err)
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

// A lasting task that has to start again is not behind jobs that wait for room,
// however long ago its job was accepted.
func TestLongRunningTaskSkipsBacklog(t *testing.T) {
	a := newEntryHarness(t)
	submit := func(id string, st core.StepSpec) {
		a.post(core.JobRequested{Token: 77, Ask: core.JobAsk{
			Verb: core.JobSubmit, Path: "/q/" + id, Spec: core.JobSpec{Steps: []core.StepSpec{st}}, Deadline: a.now.Add(time.Hour),
		}})
		a.commitAll("")
	}
	submit("lasting", core.StepSpec{Count: 1, Size: core.Size{Millicores: 900}, LongRunning: true})
	a.now = a.now.Add(time.Minute)
	for i := range 100 {
		submit("job"+string(rune('a'+i/26))+string(rune('a'+i%26)), core.StepSpec{
			Count: 1, Size: core.Size{Millicores: 2000}, Estimate: time.Second,
		})
	}
	for range 40 {
		a.now = a.now.Add(50 * time.Millisecond)
		a.sendHeartbeat(1)
		if a.commitAll("lasting") > 0 {
			return
		}
	}
	t.Fatal("the lasting task is never placed")
}

// A submission that was refused because nothing of it was sent in time leaves
// nothing behind: it never runs, and can be submitted again.
func TestRefusedSubmissionLeavesNoState(t *testing.T) {
	a := newEntryHarness(t)
	a.sendHeartbeat(8)
	a.commitAll("")
	a.submit() // its transaction blocks the group: the table does not answer
	blocking := mustFind[core.Commit](a)
	a.post(core.JobRequested{Token: 78, Ask: core.JobAsk{
		Verb: core.JobSubmit, Path: "/q/late", Deadline: a.now.Add(time.Second),
		Spec: core.JobSpec{Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}},
	}})
	a.now = a.now.Add(1100 * time.Millisecond)
	a.post(core.Tick{})
	refused := false
	for _, eff := range a.out {
		if r, ok := eff.(core.JobReply); ok && r.Token == 78 {
			refused = r.Answer.Outcome == core.JobRefused
		}
	}
	assert.Assert(t, refused, "nothing was sent of it")
	a.post(core.CommitAnswered{Token: blocking.Token, Result: table.Result{Committed: true, Revision: 30}})
	claims := a.commitAll("late")
	for range 20 {
		a.now = a.now.Add(100 * time.Millisecond)
		a.sendHeartbeat(8)
		claims += a.commitAll("late")
	}
	assert.Equal(t, claims, 0, "a refused job is claimed")
	// Nothing is left of it: the caller may submit it again.
	a.post(core.JobRequested{Token: 79, Ask: core.JobAsk{
		Verb: core.JobSubmit, Path: "/q/late", Deadline: a.now.Add(time.Second),
		Spec: core.JobSpec{Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}},
	}})
	assert.Equal(t, a.commitAll("late"), 1, "a submission that was refused before is not taken")
}

// A worker on which one task of a step stands still, while the others are done: the
// task is moved, and once only for each attempt that may straggle.
func TestStragglerIsMoved(t *testing.T) {
	a := newEntryHarness(t)
	a.post(core.JobRequested{Token: 1, Ask: core.JobAsk{
		Verb: core.JobSubmit, Path: testJobPath, Deadline: a.now.Add(time.Hour),
		Spec: core.JobSpec{Steps: []core.StepSpec{{Count: 4, Size: core.Size{Millicores: 1}}}},
	}})
	a.commitAll(testJob)
	var running []core.Attempt
	var ends []core.End
	beat := func() (stopped bool) {
		a.post(core.BeatReceived{Token: 1, Beat: core.Beat{
			Worker: "w", Inc: "i", Run: "r", DC: "dc", Sent: a.now, Capacity: core.Size{Millicores: 8000, MemoryMB: 1000},
			Services: []core.ServiceLoad{{Service: "s"}}, Running: running, Ends: ends,
		}})
		var starts []core.Start
		for range 3 {
			for _, eff := range a.out {
				switch eff := eff.(type) {
				case core.Start:
					starts = append(starts, eff)
				case core.Stop:
					stopped = true
				}
			}
			commit, ok := find[core.Commit](a)
			if !ok {
				break
			}
			a.rev++
			a.post(core.CommitAnswered{Token: commit.Token, Result: table.Result{Committed: true, Revision: a.rev}})
		}
		for _, s := range starts {
			running = append(running, s.Order.Attempt)
			a.post(core.StartAnswered{Token: s.Token, Started: true})
		}
		a.now = a.now.Add(250 * time.Millisecond)
		return stopped
	}
	for range 4 {
		beat()
	}
	assert.Equal(t, len(running), 4)
	for _, r := range running[:3] {
		ends = append(ends, core.End{Attempt: r, Kind: core.EndDone})
	}
	running = running[3:]
	began := a.now
	for range 60 {
		if beat() {
			assert.Assert(t, a.now.Sub(began) > 2*time.Second, "moved after %v", a.now.Sub(began))
			return
		}
	}
	t.Fatal("the straggler is never moved")
}

// Several callers wait for the same submission when it is taken back: all are
// answered, and the entry goes on.
func TestAllWaitersAreRefused(t *testing.T) {
	a := newEntryHarness(t)
	a.submit() // its transaction blocks the group: the table does not answer
	mustFind[core.Commit](a)
	for token := range core.Token(3) {
		a.post(core.JobRequested{Token: 80 + token, Ask: core.JobAsk{
			Verb: core.JobSubmit, Path: "/q/late", Deadline: a.now.Add(time.Second),
			Spec: core.JobSpec{Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}},
		}})
	}
	a.now = a.now.Add(1100 * time.Millisecond)
	a.post(core.Tick{})
	refused := 0
	for _, eff := range a.out {
		if r, ok := eff.(core.JobReply); ok && r.Token >= 80 && r.Answer.Outcome == core.JobRefused {
			refused++
		}
	}
	assert.Equal(t, refused, 3)
}

// An entry that has not read the configuration of late does not say that a queue
// does not exist: it may be new.
func TestNoQueueNeedsFreshConfiguration(t *testing.T) {
	a := newEntryHarness(t)
	look := core.JobRequested{Token: 5, Ask: core.JobAsk{Verb: core.JobGet, Path: "/other/", Deadline: a.now.Add(time.Minute)}}
	a.post(look)
	assert.Equal(t, mustFind[core.JobReply](a).Answer.Outcome, core.JobNoQueue)
	a.now = a.now.Add(2 * time.Second)
	a.post(look)
	ans := mustFind[core.JobReply](a).Answer
	assert.Equal(t, ans.Outcome, core.JobRefused)
	assert.Equal(t, ans.Reason, core.ReasonConfig)
	assert.Assert(t, ans.RetryAfter > 0)
}
