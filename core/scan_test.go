package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// fullSite returns an entry with workers that are nearly full, and jobs that wait for room.
func fullSite(tb testing.TB, workers, jobs int) (*bench, []core.Heartbeat) {
	b := newBench(tb)
	hbs := make([]core.Heartbeat, workers)
	for i := range hbs {
		hbs[i] = benchHeartbeat(i, b.now)
		hbs[i].Committed = core.Size{Millicores: 15900, MemoryMB: 30000}
		hbs[i].Services = []core.ServiceLoad{{Service: "s"}}
	}
	for j := range jobs {
		id := benchJobID(j)
		row := core.JobRow{Tasks: make([]core.TaskRow, 16), Spec: core.JobSpec{ID: id, Service: "s", Steps: []core.StepSpec{
			{Count: 8, Size: core.Size{Millicores: int64(1000 + j), MemoryMB: 1000}},
			{Count: 8, Size: core.Size{Millicores: int64(1000 + j), MemoryMB: 1000}, After: []int{0}},
		}}}
		b.table.put(tb, keyOfJob(id), row)
	}
	b.run(3 * time.Second)
	b.heartbeatAll(hbs)
	b.run(time.Second)
	return b, hbs
}

// heartbeatFor delivers n heartbeats in a second, of one worker after the other.
func (b *bench) heartbeatFor(hbs []core.Heartbeat, n int) {
	for i := range n {
		b.now = b.now.Add(time.Second / time.Duration(n))
		hbs[i%len(hbs)].Sent = b.now
		b.reduce(core.HeartbeatReceived{Token: 1, Heartbeat: hbs[i%len(hbs)]})
	}
}

// An entry with a long queue on a full site receives more heartbeats: its searches for room
// must not grow with them, or it has no time left to make room.
func TestSearchesForRoomDoNotGrowWithHeartbeats(t *testing.T) {
	b, hbs := fullSite(t, 54, 100)
	searches := func(heartbeats int) int {
		before := b.e.Tried()
		b.heartbeatFor(hbs, heartbeats)
		return b.e.Tried() - before
	}
	few, many := searches(50), searches(500)
	t.Logf("%d searches in a second with 50 heartbeats, %d with 500", few, many)
	assert.Assert(t, few > 0 && many <= 2*few, "%d searches in a second with 50 heartbeats, %d with 500", few, many)
}

// A task that comes while others wait for room must be placed at once where it fits.
func TestNewTaskIsPlacedBesideLongQueue(t *testing.T) {
	b, hbs := fullSite(t, 54, 100)
	b.heartbeatFor(hbs, 100)
	row := core.JobRow{Tasks: make([]core.TaskRow, 1), Spec: core.JobSpec{
		ID: "small", Service: "s", Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 50, MemoryMB: 10}}},
	}}
	b.table.put(b.tb, keyOfJob("small"), row)
	b.run(600 * time.Millisecond) // until the next read of the table
	assert.Equal(t, b.starts, 1)
}

// BenchmarkFullSite measures an entry's time per heartbeat while tasks wait for room.
func BenchmarkFullSite(b *testing.B) {
	for _, jobs := range []int{0, 10, 50, 200} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			x, hbs := fullSite(b, 54, jobs)
			b.ResetTimer()
			for i := range b.N {
				x.now = x.now.Add(time.Second / 500)
				hbs[i%len(hbs)].Sent = x.now
				x.reduce(core.HeartbeatReceived{Token: 1, Heartbeat: hbs[i%len(hbs)]})
			}
		})
	}
}
