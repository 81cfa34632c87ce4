package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/fake"
	"jayloft/table"
)

// homePolicy is the policy of a platform with a bounded number of homes.
func homePolicy(homes int) core.Policy {
	p := core.DefaultPolicy()
	p.Homes, p.FindEntries = homes, true
	return p
}

// homeWorld returns a world whose agents find entries in the table, of which some are homes.
func homeWorld(seed uint64, entries, workers, homes int, opts ...fake.Option) *fake.World {
	all := append([]fake.Option{
		fake.Entries(entries), fake.Workers(workers, 3), fake.Discover(),
		fake.CoreOptions(core.WithPolicy(homePolicy(homes))),
	}, opts...)
	return fake.New(seed, all...)
}

// heartbeats counts the heartbeats that each entry receives.
func heartbeats(n map[string]int) fake.Option {
	return fake.Trace(func(_ time.Time, who, what string) {
		if len(what) > 24 && what[:24] == "<- core.HeartbeatReceive" {
			n[who]++
		}
	})
}

// The heartbeats that an agent sends must not grow with the number of entries, and an
// entry that is no home must receive none.
func TestHeartbeatsGoToHomesOnly(t *testing.T) {
	t.Parallel()
	total := func(entries int) int {
		n := map[string]int{}
		w := homeWorld(1, entries, 12, 3, heartbeats(n))
		w.Run(20 * time.Second)
		clear(n)
		w.Do(fake.Submit{Tasks: 8})
		w.Run(20 * time.Second)
		assert.Assert(t, len(n) <= 3, "of %d entries, %v receive heartbeats", entries, n)
		sum := 0
		for _, k := range n {
			sum += k
		}
		return sum
	}
	few, many := total(3), total(24)
	assert.Assert(t, many < few*5/4, "%d heartbeats with 24 entries, %d with 3", many, few)
}

// Both homes die at once. Their shards must be taken over without fencing workers whose
// agents are still looking for the new homes, and each job must end.
func TestHomesAreReplacedWithoutFences(t *testing.T) {
	eachSeed(t, 5, func(t *testing.T, seed uint64) {
		long := fake.Work(func(core.TaskID) time.Duration { return 40 * time.Second })
		w := homeWorld(seed, 6, 9, 2, long)
		w.Run(5 * time.Second)
		w.Do(fake.Submit{Tasks: 8})
		w.Do(fake.Submit{Tasks: 8, Urgent: true})
		w.Run(10 * time.Second)
		for i := range 6 {
			if w.IsHome(i) {
				w.Do(fake.KillEntry{Entry: i, For: time.Minute})
			}
		}
		w.Run(30 * time.Second)
		assert.Equal(t, w.Counts()["fence cut"], 0, "seed %d", seed)
		w.Settle(settleTimeout)
		assert.Equal(t, len(w.Violations()), 0, "seed %d: %v", seed, w.Violations())
	})
}

// A worker that dies right after its homes must be fenced by the new ones.
func TestNewHomesFenceDeadWorkers(t *testing.T) {
	t.Parallel()
	long := fake.Work(func(core.TaskID) time.Duration { return 40 * time.Second })
	w := homeWorld(3, 6, 9, 2, long)
	w.Run(5 * time.Second)
	w.Do(fake.Submit{Tasks: 16})
	w.Run(10 * time.Second)
	for i := range 6 {
		if w.IsHome(i) {
			w.Do(fake.KillEntry{Entry: i, For: time.Hour})
		}
	}
	for vm := range 9 {
		w.Do(fake.KillVM{VM: vm, For: time.Hour})
		if vm == 2 {
			break
		}
	}
	w.Run(30 * time.Second)
	assert.Assert(t, w.Counts()["fence cut"] > 0)
	assert.Equal(t, len(w.Violations()), 0)
}

// TestSeedsOfHomes checks the scripts of TestSeeds with two homes among five entries.
func TestSeedsOfHomes(t *testing.T) {
	fiveEntries := func(s script) script {
		s.Entries = 5
		return s
	}
	checkVariant(t, fiveEntries, fake.Discover(), fake.CoreOptions(core.WithPolicy(homePolicy(2))))
}

// An entry that is no home must say that it can't tell whether a worker is silent.
func TestNewHomeIsUnsureOfSilence(t *testing.T) {
	others := []core.EntryRow{}
	for i := range 4 {
		others = append(others, core.EntryRow{ID: core.EntryID(fmt.Sprint("e", i)), Addr: "10.0.0.1:1", Heartbeats: 1})
	}
	h := newEntryHarnessWith(t, []core.Option{core.WithPolicy(homePolicy(2))}, others...)
	h.post(core.LivenessAsked{Token: 1, Workers: []core.WorkerID{"w"}})
	assert.Assert(t, mustFind[core.LivenessReply](h).Unsure)

	alone := newEntryHarnessWith(t, []core.Option{core.WithPolicy(homePolicy(2))})
	alone.post(core.LivenessAsked{Token: 1, Workers: []core.WorkerID{"w"}})
	assert.Assert(t, mustFind[core.LivenessReply](alone).Unsure)
	alone.now = alone.now.Add(10 * time.Second)
	alone.post(core.LivenessAsked{Token: 2, Workers: []core.WorkerID{"w"}})
	assert.Assert(t, !mustFind[core.LivenessReply](alone).Unsure)
}

// A cancellation reads a job's row, which the scheduler changes before the cancellation is
// committed. That is no other command: the job must be cancelled.
func TestCancelOutlastsScheduling(t *testing.T) {
	h := newEntryHarness(t)
	row := core.JobRow{Spec: core.JobSpec{ID: testJob, Inputs: []string{""}}, Tasks: []core.TaskRow{{}}}
	read := func(r core.ReadRows) {
		h.rev++
		view := table.View{Revision: h.rev, Rows: []table.Row{
			{Key: r.Keys[0]}, h.row(core.KeyVersion, core.VersionRow{N: 1}), h.row(keyOfJob(testJob), row),
		}}
		h.post(core.RowsAnswered{Token: r.Token, View: view})
	}
	h.post(core.CommandAsked{Token: 7, ID: "c", Text: "cancel", Command: core.CancelJob{Job: testJob}})
	read(mustFind[core.ReadRows](h))
	h.post(core.CommitAnswered{Token: mustFind[core.Commit](h).Token})
	row.Tasks[0].Attempt = 1
	read(mustFind[core.ReadRows](h))
	h.post(core.CommitAnswered{Token: mustFind[core.Commit](h).Token, Result: table.Result{Committed: true, Revision: h.rev + 1}})
	assert.Equal(t, mustFind[core.CommandReply](h).Result.Outcome, core.CommandDone)
}

// Several homes place many tasks at once on a site that is nearly full, by views that are a
// moment old. If each prefers workers of its own, agents must refuse less than half as many
// orders for want of room as with the policy before, where all homes chose alike.
func TestHomesPreferWorkersOfTheirOwn(t *testing.T) {
	t.Parallel()
	refused := func(share bool) (n int) {
		for seed := range uint64(4) {
			p := homePolicy(5)
			p.ShareWorkers = share
			short := fake.Work(func(id core.TaskID) time.Duration { return time.Duration(500+id.N*100) * time.Millisecond })
			w := homeWorld(seed, 9, 40, 5, fake.CoreOptions(core.WithPolicy(p)), short)
			w.Run(5 * time.Second)
			for range 30 {
				for range 6 {
					w.Do(fake.Submit{Tasks: 8, Steps: true})
				}
				w.Run(time.Second)
			}
			assert.Equal(t, len(w.Violations()), 0, "%v", w.Violations())
			n += w.Counts()["restart room"]
		}
		return n
	}
	before, after := refused(true), refused(false)
	t.Logf("%d orders refused, before %d", after, before)
	assert.Assert(t, before > 0 && 2*after < before, "%d orders refused, before %d", after, before)
}
