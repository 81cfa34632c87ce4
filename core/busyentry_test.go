package core_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/fake"
)

// Processor time that an entry of a tenth of a core takes for an event (CAPACITY.md has that
// of a whole core).
const (
	heartbeatCost = 4 * time.Millisecond
	answerCost    = 7 * time.Millisecond // of a call to the table or an agent
	tickCost      = 100 * time.Microsecond
	placementCost = 150 * time.Microsecond // of one that is tried
)

// smallEntries makes entries take the processor time of a tenth of a core.
func smallEntries() fake.Option {
	tried := map[fake.EntryReducer]int{}
	return fake.EntryCost(func(r fake.EntryReducer, ev core.EntryEvent) time.Duration {
		n := r.(*core.Entry).Tried()
		cost := time.Duration(n-tried[r]) * placementCost
		tried[r] = n
		switch ev.(type) {
		case core.HeartbeatReceived:
			return cost + heartbeatCost
		case core.Tick:
			return cost + tickCost
		}
		return cost + answerCost
	})
}

// busyWork is the work of short tasks, and of the long-running ones of the first job, which
// end by themselves now and then.
var busyWork = fake.Work(func(id core.TaskID) time.Duration {
	switch {
	case strings.HasPrefix(id.String(), longRunningJob):
		return 8*time.Second + time.Duration(id.N)*100*time.Millisecond
	case id.N >= 16:
		return 1700 * time.Millisecond
	}
	return 800 * time.Millisecond
})

// Jobs of short tasks come to a site whose entries are short of processor time, some more
// than the site has room for. Long-running tasks that end must run again nonetheless.
func TestLongRunningTasksRunAgainOnBusyEntries(t *testing.T) {
	seeds := 2
	if testing.Short() {
		seeds = 1
	}
	eachSeed(t, seeds, func(t *testing.T, seed uint64) {
		x := &idleTimes{endedAt: map[string]time.Time{}}
		w := homeWorld(seed, 9, 50, 9, busyWork, fake.Trace(x.trace), smallEntries(),
			fake.Capacity(core.Size{Millicores: 32000, MemoryMB: 128000}, 8))
		w.Run(5 * time.Second)
		w.Do(fake.Submit{Tasks: 48, LongRunning: true, Size: core.Size{Millicores: 2500, MemoryMB: 1000}, Class: "api"})
		w.Run(5 * time.Second)
		for i := range 250 {
			w.Do(fake.Submit{Entry: i, Tasks: 16, Steps: true, Size: core.Size{Millicores: 600, MemoryMB: 100}})
			if i%3 == 0 {
				w.Do(fake.Submit{Entry: i, Tasks: 40, Steps: true, Size: core.Size{Millicores: 3500, MemoryMB: 100}})
			}
			w.Run(time.Second / 10)
		}
		assert.Equal(t, len(w.Violations()), 0, "%v", w.Violations())
		idle := x.idleFor(w.Now())
		t.Logf("seed %d: without a run for up to %s; %d ends of tasks, %d orders refused, %d conflicts",
			seed, idle, w.Counts()["end done"], w.Counts()["restart room"], w.Counts()["conflict store"])
		assert.Assert(t, idle > 0, "no task has ended")
		assert.Assert(t, idle < maxIdle, "seed %d: a task had no run for %s", seed, idle)
	})
}
