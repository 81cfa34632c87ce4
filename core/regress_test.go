package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/fake"
)

// TestRegress replays minimized scripts in which the oracle once found a violation.
func TestRegress(t *testing.T) {
	t.Parallel()
	small := core.Size{Millicores: 900, MemoryMB: 500}
	tests := []struct {
		name string
		script
	}{
		// A worker refused a launch that arrived after its deadline, and the answer
		// was lost. Each echo extended the deadline, so the agent held the task
		// for ever.
		{"launch refused by a slow worker, answer lost", script{Seed: 19, Actions: []fake.Action{
			fake.Ask{N: 2, Service: "lookup", Idempotent: true, Timeout: 62 * time.Millisecond, Over: 24 * time.Second},
			fake.Submit{Entry: 1, Tasks: 1, Size: core.Size{Millicores: 500, MemoryMB: 500}, Class: "cut"},
			fake.Drain{Entry: 2, DC: 1, In: 654 * time.Millisecond},
			fake.Ask{Entry: 1, N: 7, Service: "none", Idempotent: true, Timeout: 68 * time.Millisecond, Over: 4 * time.Millisecond},
			fake.Unwell{VM: 3, Slow: true, For: 12 * time.Second},
		}}},
		// An entry read a job of another entry's shard, took over the shard, and
		// still treated the job as foreign.
		{"foreign job after a shard takeover", script{Seed: 251597, Actions: []fake.Action{
			fake.Net{Drop: 0.09, For: 2 * time.Millisecond},
			fake.Return{DC: 1},
			fake.Ask{Entry: 1, N: 26, Service: "lookup", Timeout: 50 * time.Millisecond, Over: 2044 * time.Millisecond},
			fake.Wait{For: 10 * time.Second},
			fake.Submit{Entry: 2, Tasks: 4, Size: core.Size{Millicores: 1000, MemoryMB: 2000}, Class: "import"},
			fake.Cancel{Entry: 1, Last: 4},
			fake.PauseAgent{VM: 2, On: "StartReply", For: 4 * time.Second},
			fake.Wait{For: 3 * time.Millisecond},
			fake.Wait{For: time.Millisecond},
			fake.LeaveEntry{Entry: 2},
			fake.Submit{Tasks: 1, Size: core.Size{Millicores: 500, MemoryMB: 500}, Class: fake.ClassBad, Urgent: true},
			fake.Wait{For: 2396 * time.Millisecond},
			fake.Submit{Tasks: 8, Size: core.Size{Millicores: 1500, MemoryMB: 1000, Accelerators: 1}, Class: "cut"},
			fake.Submit{Tasks: 3, Size: core.Size{Millicores: 500, MemoryMB: 500}, Class: "import"},
			fake.Submit{Tasks: 3, Size: core.Size{Millicores: 1000, MemoryMB: 2000}, Class: "import", Urgent: true},
		}}},
		// Two entries decided the same claim. The later one also sent a start order,
		// was refused as stale while the attempt ran, and claimed the task again.
		{"two entries decide the same claim", script{Seed: 995426, Actions: []fake.Action{
			fake.PauseEntry{Entry: 1, On: "Commit job", For: 10700 * time.Millisecond},
			fake.Submit{Entry: 2, Tasks: 8, Size: small, Urgent: true},
			fake.Submit{Entry: 2, Tasks: 8, Size: small, Urgent: true},
			fake.Wait{For: 25 * time.Second},
		}}},
		// A duplicate of a request reached the agent after its restart, and the refusal
		// was taken as proof that the first copy had not run.
		{"copy of a request after a restart", script{Seed: 60206, Actions: []fake.Action{
			fake.Submit{Tasks: 1, Size: core.Size{Millicores: 1000, MemoryMB: 2000}, Class: "import"},
			fake.Wait{For: 123 * time.Millisecond},
			fake.SetPolicy{Value: 98},
			fake.Net{Delay: 1863 * time.Millisecond, Double: 0.6, For: 5 * time.Second},
			fake.KillAgent{VM: 5, On: "ServeReply", For: 15 * time.Millisecond},
			fake.KillAgent{VM: 0, On: "Call", For: 5 * time.Millisecond},
			fake.Ask{Entry: 1, N: 40, Service: "order", Timeout: 2 * time.Second, Over: time.Second},
			fake.Wait{For: 5 * time.Second},
		}}},
		// The incarnation that held a claim was reported dead before the claim was
		// known to be committed: no entry ever released it.
		{"claim of a dead incarnation", script{Seed: 27, Actions: []fake.Action{
			fake.LeaveEntry{},
			fake.Wait{For: 7 * time.Second},
			fake.Wait{For: 26 * time.Second},
			fake.Wait{For: 11 * time.Second},
			fake.Drain{Entry: 1, In: 4 * time.Millisecond},
			fake.Wait{For: 18 * time.Millisecond},
			fake.Store{Slow: 2897 * time.Millisecond, Lose: 0.54, Late: 0.28, For: 16 * time.Second},
			fake.Drain{Entry: 2, In: 4 * time.Second},
			fake.Submit{Entry: 2, Tasks: 8, Size: small, Urgent: true},
			fake.Submit{Tasks: 8, Size: small},
			fake.PauseEntry{On: "Commit job", For: 6500 * time.Millisecond},
			fake.Submit{Entry: 2, Tasks: 8, Size: small, Urgent: true},
			fake.Submit{Entry: 2, Tasks: 8, Size: small},
			fake.Wait{For: 5800 * time.Millisecond},
			fake.LeaveEntry{},
			fake.KillVM{VM: 5, For: 13 * time.Second},
			fake.KillAgent{VM: 2, For: 145 * time.Millisecond},
			fake.KillVM{VM: 3, For: 22 * time.Millisecond},
		}}},
		// A quota that limits only CPU was read as a memory limit of zero: tasks ran one
		// at a time.
		{"quota without a memory limit", script{Seed: 373, Entries: 1, Workers: 3, Actions: []fake.Action{
			fake.SetQuota{Millicores: 15000},
			fake.Submit{Entry: 1, Tasks: 8, Size: small, Urgent: true},
			fake.Submit{Entry: 1, Tasks: 8, Size: small, Urgent: true},
			fake.Submit{Tasks: 8, Size: small, Urgent: true},
			fake.Submit{Entry: 1, Tasks: 8, Size: small, Urgent: true},
		}}},
		// An idempotent request ran; its duplicate found the queue full, and that refusal
		// overtook the answer.
		{"second copy of an idempotent request", script{Seed: 425, Entries: 1, Workers: 3, Actions: []fake.Action{
			fake.Wait{For: 8 * time.Second},
			fake.Net{Delay: 4 * time.Second, Double: 0.6, For: 6 * time.Second},
			fake.Ask{N: 150, Service: "lookup", Timeout: 2 * time.Second, Over: time.Second},
		}}},
		// A restarted agent adopted a task without setting a deadline, found that the
		// worker did not answer, and reported the task lost while the worker still ran
		// it under the lease of the agent's earlier process.
		{"adopted task at a slow worker", script{Seed: 0, Actions: []fake.Action{
			fake.CutDC{DC: 1, Entry: 1, For: 14900 * time.Millisecond},
			fake.CutDC{DC: 1, Entry: 2, For: 14900 * time.Millisecond},
			fake.Submit{Entry: 2, Tasks: 8, Size: small, Urgent: true},
			fake.Submit{Entry: 1, Tasks: 8, Size: small},
			fake.Wait{For: 110 * time.Millisecond},
			fake.Drain{Entry: 1, DC: 1},
			fake.Wait{For: 14900 * time.Millisecond},
			fake.Unwell{VM: 5, For: 10 * time.Second},
			fake.Unwell{VM: 0, Slow: true, For: 25 * time.Second},
			fake.Wait{For: 2 * time.Second},
			fake.Ask{N: 38, Service: "none", Timeout: 50 * time.Millisecond, Over: 2 * time.Millisecond},
			fake.Net{Delay: 4 * time.Second, Double: 0.6, For: 6 * time.Second},
			fake.Ask{Entry: 2, N: 150, Service: "lookup", Timeout: 2 * time.Second, Over: time.Second},
			fake.Wait{},
			fake.KillAgent{VM: 5, For: 38 * time.Millisecond},
			fake.KillAgent{VM: 6, For: 28 * time.Millisecond},
			fake.KillAgent{VM: 7, For: 12 * time.Millisecond},
		}}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			found := tc.run()
			assert.Equal(t, len(found), 0, "%v", found)
		})
	}
}
