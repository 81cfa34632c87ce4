package core_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/fake"
)

// An entry does not record the ends of its jobs for some seconds, since it is frozen or
// behind. The other homes must not all read and write these jobs in its place: that slows
// down the whole site, and makes the owner's transactions conflict once it goes on.
func TestOneHomeRecordsEndsOfASlowOwner(t *testing.T) {
	t.Parallel()
	const jobs, tasks = 60, 8
	reads := 0
	count := fake.Trace(func(_ time.Time, _, what string) {
		if strings.HasPrefix(what, "-> core.ReadRows") && !strings.Contains(what, "op/") { // that of a command
			reads += strings.Count(what, core.PrefixJob)
		}
	})
	w := homeWorld(1, 9, 40, 9, count, fake.Work(func(core.TaskID) time.Duration { return time.Second }))
	w.Run(5 * time.Second)
	for range jobs {
		w.Do(fake.Submit{Entry: 1, Tasks: tasks, Size: core.Size{Millicores: 100, MemoryMB: 100}})
	}
	w.Run(1200 * time.Millisecond)
	w.Do(fake.PauseEntry{Entry: 0, For: 5500 * time.Millisecond})
	w.Run(20 * time.Second)
	w.Settle(settleTimeout)
	assert.Equal(t, len(w.Violations()), 0, "%v", w.Violations())
	t.Logf("%d rows read, %d jobs in all", reads, jobs)
	assert.Assert(t, reads > 0, "no end was recorded by another home")
	assert.Assert(t, reads <= jobs, "%d rows read, %d jobs in all", reads, jobs)
}
