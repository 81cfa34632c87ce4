package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// TestWhyEvicted checks that `why` still returns the reason of an eviction while the
// task's next attempt runs.
func TestWhyEvicted(t *testing.T) {
	b := newBench(t)
	id := core.JobID("j")
	b.table.put(t, keyOfJob(id), core.JobRow{
		Spec:  core.JobSpec{ID: id, Inputs: []string{"x"}, Size: core.Size{Millicores: 100, MemoryMB: 100}},
		Tasks: []core.TaskRow{{Attempt: 1, Evictions: 1, Reason: "data centre dc3 is out"}},
	})
	b.run(time.Second)
	b.reduce(core.HeartbeatReceived{Token: 1, Heartbeat: benchHeartbeat(0, b.now)})
	b.run(time.Second)
	assert.Equal(t, b.starts, 1)

	var rows [][]string
	ask := core.CommandAsked{Token: 9, ID: "c", Command: core.Why{Kind: "task", ID: "j.0"}}
	for _, eff := range b.e.Reduce(core.Stamp{Now: b.now}, ask) {
		if r, ok := eff.(core.CommandReply); ok {
			rows = r.Result.Rows
		}
	}
	reasons := map[string]string{}
	for _, r := range rows {
		reasons[r[0]] = r[1]
	}
	assert.Equal(t, reasons["state"], "running")
	assert.Equal(t, reasons["evictions"], "1")
	assert.Equal(t, reasons["last end"], "data centre dc3 is out")
	assert.Equal(t, reasons["worker"], "w00000")
}
