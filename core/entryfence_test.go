package core_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/table"
)

// fencedClaim has a worker that goes silent with a claimed task, and returns how long after
// its fence the claim is released. The worker's last heartbeat is changed by last.
func fencedClaim(t *testing.T, last func(*core.Heartbeat)) time.Duration {
	t.Helper()
	h := newEntryHarness(t)
	h.pass(2*time.Second, true)
	hb := core.Heartbeat{
		Worker: "w", Inc: "i", Run: "r", DC: "dc", Sent: h.now, Capacity: core.Size{Millicores: 8000, MemoryMB: 1000},
		Services: []core.ServiceLoad{{Service: "s"}},
	}
	h.post(core.HeartbeatReceived{Token: 1, Heartbeat: hb})
	id := core.JobID("0123456789abcdef")
	h.readShardOf(core.JobRow{
		Spec:  core.JobSpec{ID: id, Queue: testQueue, Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}}},
		Tasks: []core.TaskRow{{State: core.TaskClaimed, Attempt: 1, Holder: core.Holder{Worker: "w", Inc: "i"}, By: "me"}},
	})
	hb.Sent = h.now.Add(time.Millisecond)
	hb.Running = []core.Attempt{{Task: core.TaskID{Job: id}, Number: 1}}
	last(&hb)
	h.post(core.HeartbeatReceived{Token: 2, Heartbeat: hb})
	var fencedAt time.Time
	for range 600 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.rev++
		h.post(core.Tick{})
		for _, eff := range h.out {
			switch x := eff.(type) {
			case core.ReadChanges:
				h.post(core.ChangesAnswered{Token: x.Token, View: table.View{Revision: h.rev}})
			case core.Commit:
				for _, w := range x.Txn.Writes {
					if strings.HasPrefix(w.Key, core.PrefixFence) {
						fencedAt = h.now
					}
					if strings.HasPrefix(w.Key, core.PrefixJob) {
						return h.now.Sub(fencedAt)
					}
				}
				h.post(core.CommitAnswered{Token: x.Token, Result: table.Result{Committed: true, Revision: h.rev}})
			}
		}
	}
	t.Fatal("the claim is never released")
	return 0
}

// TestLateExtensionOutlastsFence guards against a task that is placed elsewhere while its
// worker runs on: an extension of the lease that its agent got no answer to may still take
// effect after the agent is gone.
func TestLateExtensionOutlastsFence(t *testing.T) {
	p := core.DefaultPolicy()
	const maxDelay = 12 * time.Second // of a call, as the platform's pages state it
	settled := fencedClaim(t, func(*core.Heartbeat) {})
	assert.Assert(t, settled < p.Lease+2*time.Second, "a sound worker's claim is held for %s", settled)
	unsettled := fencedClaim(t, func(hb *core.Heartbeat) { hb.Unsettled = true })
	assert.Assert(t, unsettled > p.Lease+maxDelay, "released after %s", unsettled)
	assert.Assert(t, unsettled < p.Lease+maxDelay+3*time.Second, "held for %s", unsettled)
}
