package core_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/fake"
)

// The home that owns a job is cut from the table; another home takes the shard over, places tasks
// on workers that join, and hands it back. The first one decides by what it knew before. A step
// with a bound on its tasks per worker must keep to it all the same.
func TestBoundPerWorkerHoldsOverHandover(t *testing.T) {
	const workers, away = 10, 5
	eachSeed(t, 60, func(t *testing.T, seed uint64) {
		owner := -1
		trace := func(_ time.Time, who, what string) {
			if owner < 0 && strings.HasPrefix(what, "-> core.Start{Token") {
				owner = int(who[1] - '0')
			}
		}
		w := fake.New(seed, fake.Entries(4), fake.Workers(workers, 2), fake.Discover(),
			fake.CoreOptions(core.WithPolicy(sitePolicy())), fake.Trace(trace), fake.Work(func(core.TaskID) time.Duration { return time.Hour }))
		for vm := range away {
			w.Do(fake.KillVM{VM: vm, For: 18*time.Second + time.Duration(seed%20)*150*time.Millisecond + time.Duration(vm)*300*time.Millisecond})
		}
		w.Run(8 * time.Second)
		w.Do(fake.Submit{Tasks: 12, LongRunning: true, Size: core.Size{Millicores: 1000, MemoryMB: 100}, Class: "api", MaxPerWorker: 1})
		for i := 0; i < 100 && owner < 0; i++ {
			w.Run(50 * time.Millisecond)
		}
		assert.Assert(t, owner >= 0)
		for range 2 {
			w.Do(fake.CutStore{Entry: owner, For: 7 * time.Second})
			w.Run(12 * time.Second)
		}
		assert.Equal(t, len(w.Violations()), 0, "%v", w.Violations())
	})
}
