package core_test

import (
	"bytes"
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/table"
)

// A job whose counts of tasks overflow when they are added up was accepted as one of few
// tasks, and ended each entry that read its row.
func TestCountsOfTasksThatOverflowAreInvalid(t *testing.T) {
	for _, counts := range [][]int{
		{1 << 62, 1 << 62, 1 << 62, 1 << 62, 1},
		{1 << 62, 1 << 62, 1 << 62, 1 << 62},
		{math.MaxInt, math.MaxInt, 2},
		{math.MaxInt},
		{core.MaxStepTasks + 1},
		{core.MaxStepTasks, 1},
		{math.MinInt},
		{0},
	} {
		h := newEntryHarness(t)
		var steps []core.StepSpec
		for i, n := range counts {
			steps = append(steps, core.StepSpec{Count: n, Size: core.Size{Millicores: 1}, After: []int{0}[:min(i, 1)]})
		}
		h.post(core.JobRequested{Token: 77, Request: core.JobRequest{
			Verb: core.JobSubmit, Path: testJobPath, Spec: core.JobSpec{Steps: steps}, Deadline: h.now.Add(time.Second),
		}})
		assert.Equal(t, mustFind[core.JobReply](h).Answer.Outcome, core.JobInvalid, "%v", counts)
	}
}

// goodJob is the row of a job with two steps and three tasks.
func goodJob() core.JobRow {
	return core.JobRow{
		Spec: core.JobSpec{ID: testJob, Queue: testQueue, Service: "s", Attempts: 2, Steps: []core.StepSpec{
			{Count: 1, Size: core.Size{Millicores: 1}}, {Count: 2, Size: core.Size{Millicores: 1}, After: []int{0}},
		}},
		Tasks: make([]core.TaskRow, 3),
	}
}

// oddJobs change the row of a job to one that no entry writes.
var oddJobs = map[string]func(*core.JobRow){
	"empty":              func(r *core.JobRow) { *r = core.JobRow{} },
	"no tasks":           func(r *core.JobRow) { r.Tasks = nil },
	"few tasks":          func(r *core.JobRow) { r.Tasks = r.Tasks[:1] },
	"many tasks":         func(r *core.JobRow) { r.Tasks = make([]core.TaskRow, 9) },
	"large counts":       func(r *core.JobRow) { r.Spec.Steps[0].Count = 1 << 62 },
	"negative count":     func(r *core.JobRow) { r.Spec.Steps[0].Count, r.Spec.Steps[1].Count = -1, 4 },
	"after a later step": func(r *core.JobRow) { r.Spec.Steps[0].After = []int{1} },
	"after no step":      func(r *core.JobRow) { r.Spec.Steps[1].After = []int{9} },
	"after a negative":   func(r *core.JobRow) { r.Spec.Steps[1].After = []int{-1} },
	"negative size":      func(r *core.JobRow) { r.Spec.Steps[1].Size.Millicores = -1 },
	"no inputs":          func(r *core.JobRow) { r.Spec.Steps = nil },
	"another job":        func(r *core.JobRow) { r.Spec.ID = "other" },
	"unknown state":      func(r *core.JobRow) { r.Tasks[0].State = 77 },
	"last attempt":       func(r *core.JobRow) { r.Tasks[0].Attempt = math.MaxUint32 },
	"claim of nobody":    func(r *core.JobRow) { r.Tasks[0].State = core.TaskClaimed },
	"claim of no attempt": func(r *core.JobRow) {
		r.Tasks[0].State, r.Tasks[0].Holder = core.TaskClaimed, core.Holder{Worker: "w", Inc: "i"}
	},
}

// A row of a job that decodes but does not fit itself ended each entry that read it, and
// each one that took its shard over.
func TestOddJobRowEndsNoEntry(t *testing.T) {
	for name, change := range oddJobs {
		t.Run(name, func(t *testing.T) {
			h := newEntryHarness(t)
			h.sendHeartbeat(8)
			row := goodJob()
			change(&row)
			odd := h.row(keyOfJob(testJob), row)
			good := core.JobID("good")
			for i := 0; keyOfJob(good)[:8] != odd.Key[:8]; i++ {
				good = core.JobID(fmt.Sprint("good", i))
			}
			row = goodJob()
			row.Spec.ID = good
			h.readShardsWith(odd, h.row(keyOfJob(good), row))
			h.post(core.JobRequested{Token: 90, Request: core.JobRequest{Verb: core.JobGet, Path: "/q/" + string(good), Deadline: h.now.Add(time.Second)}})
			assert.Equal(t, mustFind[core.JobReply](h).Answer.Outcome, core.JobAccepted, "the job beside it is not known")
			_, err := core.Decode(odd.Key, odd.Value)
			assert.Assert(t, err != nil)
		})
	}
}

// The rows that entries write are not odd.
func TestGoodJobRowIsDecoded(t *testing.T) {
	h := newEntryHarness(t)
	row := h.row(keyOfJob(testJob), goodJob())
	_, err := core.Decode(row.Key, row.Value)
	assert.NilError(t, err)
}

// goodEntry is the row of a live entry.
func goodEntry(heartbeat uint64) core.EntryRow {
	return core.EntryRow{ID: "peer", Addr: "127.0.0.1:7105", Heartbeats: heartbeat, DC: "dc", Millicores: 1000}
}

// oddEntries change the row of an entry to one that no entry writes.
var oddEntries = map[string]func(*core.EntryRow){
	"empty":               func(r *core.EntryRow) { *r = core.EntryRow{} },
	"no id":               func(r *core.EntryRow) { r.ID = "" },
	"another id":          func(r *core.EntryRow) { r.ID = "peer" },
	"this entry's id":     func(r *core.EntryRow) { r.ID = "me" },
	"no address":          func(r *core.EntryRow) { r.Addr = "" },
	"no address in it":    func(r *core.EntryRow) { r.Addr = "here" },
	"no port":             func(r *core.EntryRow) { r.Addr = "127.0.0.1" },
	"port zero":           func(r *core.EntryRow) { r.Addr = "127.0.0.1:0" },
	"port out of range":   func(r *core.EntryRow) { r.Addr = "127.0.0.1:65536" },
	"large port":          func(r *core.EntryRow) { r.Addr = "127.0.0.1:99999" },
	"negative port":       func(r *core.EntryRow) { r.Addr = "127.0.0.1:-1" },
	"unspecified address": func(r *core.EntryRow) { r.Addr = "0.0.0.0:7105" },
	"negative millicores": func(r *core.EntryRow) { r.Millicores = math.MinInt64 },
	"large millicores":    func(r *core.EntryRow) { r.Millicores = math.MaxInt64 },
	"shard out of range":  func(r *core.EntryRow) { r.Reports = []core.ShardReport{{Shard: core.Shards, ReadUpTo: 1}} },
	"negative shard":      func(r *core.EntryRow) { r.Reports = []core.ShardReport{{Shard: -1, ReadUpTo: 1}} },
	"revision to come":    func(r *core.EntryRow) { r.Reports = []core.ShardReport{{ReadUpTo: math.MaxUint64}} },
	"negative count": func(r *core.EntryRow) {
		r.Reports = []core.ShardReport{{ReadUpTo: 1, Waiting: map[string]int{testQueue: math.MinInt}}}
	},
}

// A row that names no entry to use counted as a live entry that owned shards: nobody
// scheduled their jobs. One with reports of a revision to come stood for the count of a
// shard for good.
func TestOddEntryRowOwnsNoShard(t *testing.T) {
	for name, change := range oddEntries {
		t.Run(name, func(t *testing.T) {
			h := newEntryHarness(t)
			for n := range uint64(20) {
				h.now = h.now.Add(500 * time.Millisecond)
				h.rev++
				row := goodEntry(n)
				row.ID = "odd"
				change(&row)
				h.post(core.Tick{})
				h.answerReads(map[string][]table.Row{core.PrefixEntry: {h.row(core.PrefixEntry+"odd", row)}})
			}
			assert.Equal(t, h.askCount().Outcome, core.JobAccepted, "a shard is left to an entry that is none")
			assert.Equal(t, h.askCount().Pending, 0)
		})
	}
}

// An odd row beside it does not hide an entry.
func TestOddEntryRowHidesNoEntry(t *testing.T) {
	for name, change := range oddEntries {
		t.Run(name, func(t *testing.T) {
			h := newEntryHarness(t)
			for n := range uint64(20) {
				h.now = h.now.Add(500 * time.Millisecond)
				h.rev++
				odd := goodEntry(n)
				odd.ID = "odd"
				change(&odd)
				h.post(core.Tick{})
				h.answerReads(map[string][]table.Row{core.PrefixEntry: {
					h.row(core.PrefixEntry+"odd", odd), h.row(core.PrefixEntry+"peer", goodEntry(n)),
				}})
			}
			relays := map[string]bool{}
			for i := range 4 * core.Shards {
				h.post(core.JobRequested{Token: core.Token(1000 + i), Request: core.JobRequest{
					Verb: core.JobGet, Path: fmt.Sprint("/q/job", i), Deadline: h.now.Add(time.Second),
				}})
				for _, r := range allOf[core.Relay](h) {
					relays[r.Addr.String()] = true
				}
			}
			assert.DeepEqual(t, relays, map[string]bool{goodEntry(0).Addr: true})
		})
	}
}

// An agent that no entry answers must ask no address that can't be one, and still find the
// entries beside it.
func TestAgentPassesOverOddEntryRows(t *testing.T) {
	for name, change := range oddEntries {
		t.Run(name, func(t *testing.T) {
			h := newEntryHarness(t)
			odd := goodEntry(1)
			odd.ID = "odd"
			change(&odd)
			rows := []table.Row{h.row(core.PrefixEntry+"odd", odd), h.row(core.PrefixEntry+"peer", goodEntry(1))}
			rows[0].Version += 100 // written last
			assert.DeepEqual(t, h.askedEntries(rows), map[string]bool{goodEntry(1).Addr: true})
		})
	}
}

// askedEntries returns the addresses to which an agent without entries sends heartbeats,
// given the entries' rows.
func (h *entryHarness) askedEntries(rows []table.Row) map[string]bool {
	pol := core.DefaultPolicy()
	pol.FindEntries = true
	a := core.NewAgent(core.AgentIdentity{Worker: "w", DC: "d", Run: "r"}, core.WithPolicy(pol))
	addrs := map[string]bool{}
	evs := []core.AgentEvent{}
	for range 100 {
		h.now = h.now.Add(100 * time.Millisecond)
		evs = append(evs, core.Tick{})
		for len(evs) > 0 {
			ev := evs[0]
			evs = evs[1:]
			for _, eff := range a.Reduce(core.Stamp{Now: h.now, Seed: 1}, ev) {
				switch eff := eff.(type) {
				case core.Inspect:
					evs = append(evs, core.Inspected{Boot: "b", Capacity: core.Size{Millicores: 4000, MemoryMB: 8000}})
				case core.ReadEntries:
					evs = append(evs, core.EntriesRead{View: table.View{Rows: rows, Revision: h.rev}})
				case core.SendBeat:
					addrs[eff.Entry.String()] = true
				}
			}
		}
	}
	return addrs
}

// conflictWith answers the transactions of the last event as conflicts with a row, and
// returns the version that the next transaction requires of it; zero if there is none.
func (h *entryHarness) conflictWith(row table.Row) (version uint64) {
	for _, c := range allOf[core.Commit](h) {
		h.post(core.CommitAnswered{Token: c.Token, Result: table.Result{Revision: row.Version, Conflicts: []table.Row{row}}})
	}
	h.now = h.now.Add(time.Second)
	if len(allOf[core.Commit](h)) == 0 {
		h.post(core.Tick{})
	}
	for _, c := range allOf[core.Commit](h) {
		for _, cond := range c.Txn.Conds {
			if cond.Key == row.Key {
				version = cond.Version
			}
		}
	}
	return version
}

// An odd row of a worker's fence or of a job made each transaction that it was a condition
// of conflict for good: nothing was placed any more, since jobs share transactions.
func TestOddRowBlocksNoTransaction(t *testing.T) {
	for _, key := range []string{core.PrefixFence + "w", keyOfJob(testJob)} {
		h := newEntryHarness(t)
		row := goodJob()
		h.readShardsWith(h.row(keyOfJob(testJob), row))
		h.rev += 50
		h.sendHeartbeat(8)
		assert.Assert(t, len(allOf[core.Commit](h)) > 0)
		odd := table.Row{Key: key, Version: h.rev, Value: []byte("odd")}
		assert.Equal(t, h.conflictWith(odd), odd.Version, key)
	}
}

// A submission under the key of an odd row gets no definite answer, and those beside it are
// accepted.
func TestOddRowBlocksNoOtherSubmission(t *testing.T) {
	h := newEntryHarness(t)
	h.submit()
	commits := allOf[core.Commit](h)
	assert.Equal(t, len(commits), 1)
	h.post(core.JobRequested{Token: 78, Request: core.JobRequest{
		Verb: core.JobSubmit, Path: "/q/other", Deadline: h.now.Add(10 * time.Second), Spec: goodJob().Spec,
	}})
	h.post(core.CommitAnswered{Token: commits[0].Token, Result: table.Result{
		Conflicts: []table.Row{{Key: keyOfJob(testJob), Version: h.rev, Value: []byte("odd")}},
	}})
	outcomes := map[core.Token]core.JobOutcome{}
	for range 5 {
		for _, r := range allOf[core.JobReply](h) {
			outcomes[r.Token] = r.Answer.Outcome
		}
		for _, c := range allOf[core.Commit](h) {
			for _, w := range c.Txn.Writes {
				assert.Assert(t, w.Key != keyOfJob(testJob), "the odd row is written")
			}
			h.rev++
			h.post(core.CommitAnswered{Token: c.Token, Result: table.Result{Committed: true, Revision: h.rev}})
			for _, r := range allOf[core.JobReply](h) {
				outcomes[r.Token] = r.Answer.Outcome
			}
		}
		h.now = h.now.Add(100 * time.Millisecond)
		h.post(core.Tick{})
	}
	assert.DeepEqual(t, outcomes, map[core.Token]core.JobOutcome{77: core.JobUnknown, 78: core.JobAccepted})
}

// Bytes that are no row are an error of Decode, however deep or large they claim to be.
func TestDecodeOfOddBytes(t *testing.T) {
	keys := []string{
		core.KeyVersion, core.KeyQueues, core.KeyDC("dc"), core.KeyInterference, core.PrefixEntry + "e",
		keyOfJob(testJob), core.PrefixFence + "w", core.PrefixOp + "c",
	}
	for name, b := range map[string][]byte{
		"nothing":          {},
		"not UTF-8":        {0x61, 0xff},
		"JSON":             []byte(`{"version":1}`),
		"deep array":       bytes.Repeat([]byte{0x81}, 10_000),
		"very deep array":  bytes.Repeat([]byte{0x81}, 1_000_000),
		"deep map":         bytes.Repeat([]byte{0xa1, 0x01}, 1_000_000),
		"deep tags":        bytes.Repeat([]byte{0xc1}, 1_000_000),
		"claims 2^63 rows": {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"claims 2^63 text": {0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"array for a map":  {0x84, 0x01, 0x02, 0x03, 0x04},
		"text for all":     {0xa3, 0x01, 0x81, 0x61, 'x', 0x02, 0x81, 0x61, 'x', 0x03, 0x61, 'x'},
		"junk":             bytes.Repeat([]byte{0xff}, 4<<20),
	} {
		for _, key := range keys {
			_, err := core.Decode(key, b)
			assert.Assert(t, err != nil, "%s: %s", key, name)
		}
	}
}

// FuzzDecode decodes rows of jobs and entries, and has an entry schedule what they hold.
func FuzzDecode(f *testing.F) {
	h := newEntryHarness(&testing.T{})
	f.Add(h.row(keyOfJob(testJob), goodJob()).Value, h.row(core.PrefixEntry+"peer", goodEntry(1)).Value)
	f.Add([]byte{0xa0}, []byte{0xa0})
	f.Fuzz(func(t *testing.T, job, entry []byte) {
		h := newEntryHarness(t)
		h.sendHeartbeat(8)
		h.readShardsWith(
			table.Row{Key: keyOfJob(testJob), Version: h.rev, Value: job},
			table.Row{Key: core.PrefixEntry + "peer", Version: h.rev, Value: entry},
		)
		h.commitAll(testJob)
	})
}
