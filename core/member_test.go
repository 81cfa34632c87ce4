package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/fake"
)

// An entry can't read the table, though its writes arrive. It must not go on announcing
// itself: its peers would leave it shards whose jobs it can neither schedule nor count.
func TestShardsOfEntryThatCannotReadAreTakenOver(t *testing.T) {
	eachSeed(t, 3, func(t *testing.T, seed uint64) {
		w := readWorld(seed, 3, fake.ReadCounts, 10*time.Minute)
		w.Do(fake.Enqueue{Jobs: 40, Size: fullJob, Over: time.Minute})
		w.Run(10 * time.Second)
		w.Do(fake.FailReads{Entry: 1, For: 40 * time.Second})
		w.Run(3 * core.DefaultPolicy().EntryTimeout)
		before := w.Oracle().Reads()[fake.ReadOutcome{Read: "count", Outcome: "taken"}]
		w.Run(10 * time.Second)
		after := w.Oracle().Reads()[fake.ReadOutcome{Read: "count", Outcome: "taken"}]
		assert.Equal(t, len(w.Violations()), 0)
		assert.Assert(t, after-before > 40, "seed %d: %d counts in 10 s are answered by the two other entries", seed, after-before)
	})
}
