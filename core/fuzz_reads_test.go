package core_test

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayloft/core"
	"jayloft/fake"
)

// readScripts generates scripts of 5 to 16 segments in which jobs come to the queue and
// all entries are asked about them all the while.
var readScripts = rapid.Custom(func(t *rapid.T) script {
	s := script{
		Seed:    rapid.Uint64Max(1<<20).Draw(t, "seed"),
		Entries: rapid.SampledFrom([]int{3, 3, 2, 1, 4}).Draw(t, "entries"),
		Workers: rapid.SampledFrom([]int{3, 3, 4, 6}).Draw(t, "workers"),
		Actions: []fake.Action{
			fake.Read{Of: fake.ReadCounts, Every: 500 * time.Millisecond, For: time.Hour},
			fake.Read{Of: fake.ReadStates, Every: 700 * time.Millisecond, For: time.Hour},
			fake.Read{Of: fake.ReadLists, Every: 4 * time.Second, For: time.Hour},
		},
	}
	for _, as := range rapid.SliceOfN(readSegments, 5, 16).Draw(t, "segments") {
		s.Actions = append(s.Actions, as...)
	}
	return s
})

// readSegments generates jobs of the queue about as often as anything else.
var readSegments = rapid.Custom(func(t *rapid.T) []fake.Action {
	switch n(t, "of reads", 9) {
	case 0, 1, 2, 3:
		return []fake.Action{enqueue(t)}
	case 4:
		return []fake.Action{dequeue(t)}
	case 5:
		return []fake.Action{failReads(t)}
	}
	return segments.Draw(t, "segment")
})

// enqueue draws small jobs, which start soon, and ones that take a whole worker, which
// wait.
func enqueue(t *rapid.T) fake.Action {
	return fake.Enqueue{
		Entry: n(t, "entry", 2), Jobs: rapid.IntRange(1, 8).Draw(t, "jobs"), Tasks: rapid.IntRange(1, 3).Draw(t, "tasks"),
		Size: rapid.SampledFrom([]core.Size{{}, fullJob, fullJob}).Draw(t, "size"), Over: duration(t),
	}
}

func dequeue(t *rapid.T) fake.Action {
	return fake.Dequeue{Entry: n(t, "entry", 2), Last: rapid.IntRange(1, 5).Draw(t, "last")}
}

func failReads(t *rapid.T) fake.Action {
	return fake.FailReads{
		Entry: n(t, "entry", 3) - 1, Prefix: rapid.SampledFrom([]string{"", core.PrefixJob, core.PrefixEntry}).Draw(t, "prefix"),
		For: duration(t),
	}
}

// TestFuzzReads checks one random script for each of a third of the seeds of TestSeeds,
// in which entries are asked about jobs. It prints a reduced script for a failing one if
// it is verbose.
func TestFuzzReads(t *testing.T) {
	t.Parallel()
	count := (*seedCount + 2) / 3
	if testing.Short() {
		count = min(count, 4)
	}
	for i := range count {
		seed := *firstSeed + i
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			checkScript(t, readScripts.Example(seed))
		})
	}
}

// checkScript reports what the oracle found in the run of a script.
func checkScript(t *testing.T, s script) {
	t.Helper()
	found := s.run()
	if len(found) == 0 {
		return
	}
	if testing.Verbose() {
		s = s.reduce()
	}
	t.Errorf("%v\n%s", found, s)
}

// An attempt that its agent gives up for want of room before the worker has started it
// counts as evicted, and its job no longer as waiting.
func TestPendingCountOfTaskEvictedBeforeStart(t *testing.T) {
	t.Parallel()
	checkScript(t, script{Seed: 10740, Entries: 2, Workers: 6, Actions: []fake.Action{
		fake.Read{Of: fake.ReadCounts, Every: 500 * time.Millisecond, For: time.Hour},
		fake.Submit{Entry: 2, Tasks: 8, Size: core.Size{Millicores: 900, MemoryMB: 500}},
		fake.Wait{For: 6100 * time.Millisecond},
		fake.Enqueue{Entry: 2, Jobs: 1, Tasks: 2, Over: 2500 * time.Millisecond},
		fake.Enqueue{Entry: 1, Jobs: 2, Tasks: 2, Size: fullJob, Over: 193 * time.Millisecond},
		fake.Enqueue{Entry: 2, Jobs: 5, Tasks: 2, Size: fullJob, Over: 9 * time.Second},
		fake.Enqueue{Entry: 2, Jobs: 2, Tasks: 1, Size: fullJob, Over: 138 * time.Millisecond},
		fake.Objects{For: 2500 * time.Millisecond},
	}})
}

// A job of another entry's shard is withdrawn at its caller's deadline and submitted
// again: the entry must not lose sight of it, and conflict with its row for ever.
func TestResubmissionAfterWithdrawal(t *testing.T) {
	t.Parallel()
	checkScript(t, script{Seed: 0, Entries: 3, Workers: 6, Actions: []fake.Action{
		fake.Enqueue{Entry: 0, Jobs: 1, Tasks: 1, Size: fullJob, Over: 5 * time.Millisecond},
		fake.Enqueue{Entry: 1, Jobs: 5, Tasks: 2, Size: fullJob, Over: 31 * time.Millisecond},
		fake.LeaveEntry{Entry: 0},
		fake.Store{Lose: 0.6, Late: 0.02, For: 15 * time.Second},
		fake.Enqueue{Entry: 1, Jobs: 1, Tasks: 3, Over: time.Second},
	}})
}

// A list that is read shard after shard for over 5 s lacks the jobs that came to the
// shards that were read first.
func TestListReadSlowly(t *testing.T) {
	t.Parallel()
	checkScript(t, script{Seed: 7231, Entries: 1, Workers: 3, Actions: []fake.Action{
		fake.Read{Of: fake.ReadLists, Every: 4 * time.Second, For: time.Hour},
		fake.Enqueue{Entry: 1, Jobs: 5, Tasks: 3, Size: fullJob, Over: 12 * time.Millisecond},
		fake.Enqueue{Entry: 1, Jobs: 3, Tasks: 2, Size: fullJob, Over: 2379 * time.Millisecond},
		fake.Enqueue{Entry: 0, Jobs: 5, Tasks: 2, Over: 11 * time.Second},
		fake.Net{Delay: 878 * time.Millisecond, Double: 0.6, For: 5600 * time.Millisecond},
	}})
}
