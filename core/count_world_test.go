package core_test

import (
	"flag"
	"testing"
	"time"

	"jayloft/core"
	"jayloft/fake"
)

// readSeeds is the number of seeds of each test of what entries say about jobs.
var readSeeds = flag.Int("read.seeds", 3, "number of seeds of each test of what entries say about jobs")

// fullJob is the size of a task that leaves no room for a second one on its worker.
var fullJob = core.Size{Millicores: 3000, MemoryMB: 1000}

// readEvery is the time between two rounds of reads at all entries.
const readEvery = 250 * time.Millisecond

// readWorld returns a World of some entries and three workers whose entries are asked
// all the while, after 5 s. Each task takes the given time.
func readWorld(seed uint64, entries int, kind fake.ReadKind, work time.Duration) *fake.World {
	w := fake.New(seed, fake.Entries(entries), fake.Workers(3, 3), fake.Work(func(core.TaskID) time.Duration { return work }))
	every := readEvery
	if kind == fake.ReadLists {
		every *= 4 // each reads all shards
	}
	w.Do(fake.Read{Of: kind, Every: every, For: 3 * time.Minute})
	w.Run(5 * time.Second)
	return w
}

// waitingWorld runs a World in which three jobs take all room, and those that come to
// the queue in the next minute have to wait. The faults happen at 30 s; a few jobs are
// cancelled later.
func waitingWorld(seed uint64, kind fake.ReadKind, faults ...fake.Action) *fake.World {
	w := readWorld(seed, 3, kind, 10*time.Minute)
	w.Do(fake.Enqueue{Jobs: 3, Size: fullJob})
	w.Run(10 * time.Second)
	w.Do(fake.Enqueue{Jobs: 40, Size: fullJob, Over: time.Minute})
	w.Run(15 * time.Second)
	for _, a := range faults {
		w.Do(a)
	}
	w.Run(5 * time.Second)
	w.Do(fake.Dequeue{Entry: 2, Last: 4})
	w.Run(50 * time.Second)
	return w
}

// startingWorld runs a World in which jobs come to the queue for a minute and wait
// until a worker has finished another. The faults happen at 20 s.
func startingWorld(seed uint64, entries int, kind fake.ReadKind, faults ...fake.Action) *fake.World {
	w := readWorld(seed, entries, kind, 5*time.Second)
	w.Do(fake.Enqueue{Jobs: 60, Size: fullJob, Over: time.Minute})
	w.Run(15 * time.Second)
	for _, a := range faults {
		w.Do(a)
	}
	w.Run(55 * time.Second)
	return w
}

// checkReads reports what the oracle found in the runs of all seeds.
func checkReads(t *testing.T, run func(seed uint64) *fake.World) {
	t.Helper()
	if testing.Short() {
		checkSeeds(t, 1, run)
		return
	}
	checkSeeds(t, *readSeeds, run)
}

// checkSeeds reports what the oracle found in the runs of some seeds.
func checkSeeds(t *testing.T, seeds int, run func(seed uint64) *fake.World) {
	t.Helper()
	eachSeed(t, seeds, func(t *testing.T, seed uint64) {
		w := run(seed)
		for _, v := range w.Violations() {
			t.Error(v)
		}
		t.Log(w.Oracle().Reads())
	})
}

// checkWaiting checks counts of jobs that have to wait while the faults happen.
func checkWaiting(t *testing.T, faults ...fake.Action) {
	t.Helper()
	checkReads(t, func(seed uint64) *fake.World { return waitingWorld(seed, fake.ReadCounts, faults...) })
}

// checkStarting checks counts of jobs that start while the faults happen.
func checkStarting(t *testing.T, entries int, faults ...fake.Action) {
	t.Helper()
	checkReads(t, func(seed uint64) *fake.World { return startingWorld(seed, entries, fake.ReadCounts, faults...) })
}

// Without a fault, each entry counts all jobs that wait.
func TestPendingCountWithoutFault(t *testing.T) { checkWaiting(t) }

// An entry that has just restarted owns shards that it has not read yet, and the row of
// its earlier life still counts their jobs.
func TestPendingCountAfterRestart(t *testing.T) {
	checkWaiting(t, fake.KillEntry{Entry: 1, For: 500 * time.Millisecond})
}

// Nobody counts the jobs of an entry that was killed until the other entries have taken
// its shards over and read them.
func TestPendingCountAfterTakeover(t *testing.T) {
	checkWaiting(t, fake.KillEntry{Entry: 1, For: 25 * time.Second})
}

// When the table returns after an outage, what the entries know of their own shards
// and of each other's is as old as the outage is long.
func TestPendingCountAfterOutage(t *testing.T) {
	checkWaiting(t, fake.Store{Down: true, For: 12 * time.Second})
}

// An entry alone can't reach the table: the others accept jobs that it knows nothing of.
func TestPendingCountOfEntryWithoutTable(t *testing.T) {
	checkWaiting(t, fake.CutStore{Entry: 1, For: 10 * time.Second})
}

// An entry can't read the table, though its writes arrive: the others take the count in
// its row for recent.
func TestPendingCountWhenOnlyReadsFail(t *testing.T) {
	checkWaiting(t, fake.FailReads{Entry: 1, For: 10 * time.Second})
}

// An entry can't read its shards, though it reads all else, and the others store jobs in
// them: its reports go on, and must not be taken for recent.
func TestPendingCountOfUnreadShards(t *testing.T) {
	checkWaiting(t, fake.FailReads{Entry: 1, Prefix: core.PrefixJob, For: 25 * time.Second},
		fake.CutEntries{A: 0, B: 1, For: 25 * time.Second}, fake.CutEntries{A: 2, B: 1, For: 25 * time.Second},
		fake.Enqueue{Jobs: 20, Size: fullJob, Over: 3 * time.Second})
}

// An entry that was paused answers from what it read before.
func TestPendingCountAfterPause(t *testing.T) {
	checkWaiting(t, fake.PauseEntry{Entry: 1, For: 8 * time.Second})
}

// An entry that leaves hands its shards over to entries that have not read them yet.
func TestPendingCountAfterLeave(t *testing.T) {
	checkWaiting(t, fake.LeaveEntry{Entry: 1})
}

// All entries are replaced one after the other.
func TestPendingCountWhileEntriesAreReplaced(t *testing.T) {
	checkWaiting(t, fake.LeaveEntry{Entry: 0}, fake.Wait{For: 4 * time.Second}, fake.LeaveEntry{Entry: 1},
		fake.Wait{For: 4 * time.Second}, fake.LeaveEntry{Entry: 2})
}

// Entries that see the same free worker claim it for different jobs. Its agent refuses
// all but one; the others go on waiting.
func TestPendingCountOfRefusedStarts(t *testing.T) { checkStarting(t, 3) }

// A single entry has nobody to contend with: it counts each job until its task starts.
func TestPendingCountOfStarts(t *testing.T) { checkStarting(t, 1) }

// Jobs whose start orders are not answered have claims, but none of their tasks has
// started.
func TestPendingCountOfUnansweredStarts(t *testing.T) {
	cut := func(vm int) fake.Action {
		return fake.CutVM{VM: vm, Entry: -1, Way: fake.OnlyTo, For: 20 * time.Second}
	}
	checkStarting(t, 1, cut(0), cut(1), cut(2))
}

// Workers that take seconds for each call leave jobs with claims, but none of their
// tasks has started.
func TestPendingCountOfSlowWorkers(t *testing.T) {
	checkStarting(t, 1, fake.Unwell{VM: 0, Slow: true, For: 20 * time.Second}, fake.Unwell{VM: 1, Slow: true, For: 20 * time.Second},
		fake.Unwell{VM: 2, Slow: true, For: 20 * time.Second})
}

// cancelledElsewhere cuts an entry from the table, and cancels jobs at another once
// that has taken the first one's shards over.
var cancelledElsewhere = []fake.Action{
	fake.CutStore{Entry: 1, For: 25 * time.Second}, fake.Wait{For: 10 * time.Second}, fake.Dequeue{Entry: 2, Last: 12},
	fake.Wait{For: 15 * time.Second},
}

// An entry without the table answers the state of a job that another has cancelled.
func TestStateOfJobCancelledElsewhere(t *testing.T) {
	checkReads(t, func(seed uint64) *fake.World { return waitingWorld(seed, fake.ReadStates, cancelledElsewhere...) })
}

// An entry without the table answers operators about a job that another has cancelled.
func TestWhyOfJobCancelledElsewhere(t *testing.T) {
	checkReads(t, func(seed uint64) *fake.World { return waitingWorld(seed, fake.ReadLists, cancelledElsewhere...) })
}

// moments are the faults after which an entry's view of jobs may be old or partial.
var moments = map[string][]fake.Action{
	"without fault": nil,
	"restart":       {fake.KillEntry{Entry: 1, For: 500 * time.Millisecond}},
	"takeover":      {fake.KillEntry{Entry: 1, For: 25 * time.Second}},
	"outage":        {fake.Store{Down: true, For: 12 * time.Second}},
	"pause":         {fake.PauseEntry{Entry: 1, For: 8 * time.Second}},
	"leave":         {fake.LeaveEntry{Entry: 1}},
	"reads fail":    {fake.FailReads{Entry: 1, For: 10 * time.Second}},
}

// checkMoments checks reads of a kind at each of the moments.
func checkMoments(t *testing.T, kind fake.ReadKind) {
	t.Helper()
	t.Parallel()
	seeds := (*readSeeds + 2) / 3
	for name, faults := range moments {
		if testing.Short() && name != "takeover" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			checkSeeds(t, seeds, func(seed uint64) *fake.World { return waitingWorld(seed, kind, faults...) })
		})
		t.Run(name+" while jobs start", func(t *testing.T) {
			checkSeeds(t, seeds, func(seed uint64) *fake.World { return startingWorld(seed, 3, kind, faults...) })
		})
	}
}

// States of jobs must not be old, whatever has just happened to the entry.
func TestOldStates(t *testing.T) { checkMoments(t, fake.ReadStates) }

// What operators see of jobs must not be old, whatever has just happened to the entry.
func TestOldLists(t *testing.T) { checkMoments(t, fake.ReadLists) }
