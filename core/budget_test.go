package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/fake"
)

// The platform's table accepts this many calls per second.
const (
	maxTableWrites = 300
	maxTableReads  = 2000
)

// TestStoreBudget bounds the calls to the table by three entries with 33 workers and a
// thousand short tasks: under load, right after an outage, and after all entries were
// killed at once.
func TestStoreBudget(t *testing.T) {
	t.Parallel()
	w := fake.New(1, fake.Entries(3), fake.Workers(33, 3),
		fake.Work(func(core.TaskID) time.Duration { return time.Second }))
	w.Run(5 * time.Second)
	phase := func(name string, d time.Duration, as ...fake.Action) {
		w.ResetRates()
		for _, a := range as {
			w.Do(a)
		}
		w.Run(d)
		r := w.StoreRates()
		t.Logf("%s: %d writes (%d in the worst second), %d reads (%d)", name, r.Writes, r.PeakWrites, r.Reads, r.PeakReads)
		assert.Equal(t, len(w.Violations()), 0, "%v", w.Violations())
		assert.Assert(t, r.PeakWrites <= maxTableWrites, "%s: %d writes in one second", name, r.PeakWrites)
		assert.Assert(t, r.PeakReads <= maxTableReads, "%s: %d reads in one second", name, r.PeakReads)
	}
	jobs := func(n int) []fake.Action {
		var as []fake.Action
		for i := range n {
			as = append(as, fake.Submit{Entry: i, Tasks: 20, Size: core.Size{Millicores: 500, MemoryMB: 500}})
		}
		return as
	}
	phase("load", 30*time.Second, jobs(25)...)
	phase("outage", 40*time.Second, append(jobs(25), fake.Wait{For: time.Second},
		fake.Store{Down: true, For: 25 * time.Second})...)
	var kills []fake.Action
	for i := range 3 {
		kills = append(kills, fake.KillEntry{Entry: i, For: time.Second})
	}
	phase("recovery", 30*time.Second, append(append(jobs(25), fake.Wait{For: time.Second}), kills...)...)
	w.Settle(settleTimeout)
	assert.Equal(t, len(w.Violations()), 0, "%v", w.Violations())
}

// maxRefusalTime bounds the time until a request that won't be served is refused.
const maxRefusalTime = 50 * time.Millisecond

// TestRefusedAtOnce requires that a request that can't be served is refused at once
// rather than at its deadline.
func TestRefusedAtOnce(t *testing.T) {
	ask := fake.Ask{N: 300, Service: "order", Timeout: 2 * time.Second, Over: time.Second}
	tests := []struct {
		name  string
		serve time.Duration
		do    []fake.Action
	}{
		{"no endpoint", 10 * time.Millisecond, []fake.Action{
			fake.Drain{DC: 0}, fake.Drain{DC: 1}, fake.Drain{DC: 2}, fake.Wait{For: 8 * time.Second}, ask,
		}},
		{"overload", 400 * time.Millisecond, []fake.Action{ask}},
		{"unknown service", 10 * time.Millisecond, []fake.Action{
			fake.Ask{N: 10, Service: "none", Timeout: 2 * time.Second},
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := fake.New(1, fake.ServeTime(func(core.RequestID) time.Duration { return tc.serve }))
			w.Run(3 * time.Second)
			for _, a := range tc.do {
				w.Do(a)
			}
			w.Run(5 * time.Second)
			assert.Equal(t, len(w.Violations()), 0, "%v", w.Violations())
			refused := 0
			for _, a := range w.Oracle().Answers() {
				assert.Assert(t, a.Outcome != "", "%s has no answer", a.ID)
				if a.Outcome == core.OutcomeRefused {
					refused++
					assert.Assert(t, a.Took <= maxRefusalTime, "%s refused (%s) after %s", a.ID, a.Reason, a.Took)
				}
			}
			t.Logf("%d of %d refused", refused, len(w.Oracle().Answers()))
			assert.Assert(t, refused > 0)
		})
	}
}
