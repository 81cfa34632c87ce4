package core_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/fake"
)

// handoverSeeds is the number of seeds of the tests of handovers.
const handoverSeeds = 60

// playHandovers returns what the oracle finds on a site where the home that owns a job is cut from
// the table twice. Each time another home takes the shard over, places tasks on workers that join,
// and hands it back to the first one, which decides by what it knew before.
func playHandovers(t *testing.T, seed uint64, opts ...core.Option) []fake.Violation {
	const workers, away = 10, 5
	owner := -1
	trace := func(_ time.Time, who, what string) {
		if owner < 0 && strings.HasPrefix(what, "-> core.Start{Token") {
			owner = int(who[1] - '0')
		}
	}
	opts = append([]core.Option{core.WithPolicy(sitePolicy())}, opts...)
	w := fake.New(seed, fake.Entries(4), fake.Workers(workers, 2), fake.Discover(),
		fake.CoreOptions(opts...), fake.Trace(trace), fake.Work(func(core.TaskID) time.Duration { return time.Hour }))
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
	return w.Violations()
}

// A step with a bound on its tasks per worker keeps to it while its shard is handed over and back.
func TestBoundPerWorkerHoldsOverHandover(t *testing.T) {
	eachSeed(t, handoverSeeds, func(t *testing.T, seed uint64) {
		found := playHandovers(t, seed)
		assert.Equal(t, len(found), 0, "%v", found)
	})
}

// Without the check of claims on the row that they are written to, the same runs find it.
func TestMutantOfRow(t *testing.T) {
	for seed := range uint64(handoverSeeds) {
		if len(playHandovers(t, seed, core.DisableGuard("row"))) > 0 {
			return
		}
	}
	t.Fatal("claims that rest on an old row are not found")
}
