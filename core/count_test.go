package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// maxCountAge is the users' bound on the age of a count: an accepted job is visible
// within 3 s, and a count may be 2 s old.
const maxCountAge = 5 * time.Second

// askCount asks for the number of waiting jobs and returns the answer.
func (h *entryHarness) askCount() core.JobAnswer {
	h.t.Helper()
	h.post(core.JobRequested{Token: 500, Request: core.JobRequest{Verb: core.JobGet, Path: "/q/", Deadline: h.now.Add(time.Second)}})
	return mustFind[core.JobReply](h).Answer
}

// pass lets time pass in ticks. With answered set, the reads that are due find no
// changes; otherwise they get no answer.
func (h *entryHarness) pass(d time.Duration, answered bool) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(100 * time.Millisecond)
		h.post(core.Tick{})
		if answered {
			h.answerReads(nil)
		} else {
			h.failReads()
		}
	}
}

// failReads loses the answers of the reads of the last event.
func (h *entryHarness) failReads() {
	for _, eff := range h.out {
		if r, ok := eff.(core.ReadChanges); ok {
			h.post(core.ChangesAnswered{Token: r.Token, Fault: core.FaultNoAnswer})
		}
	}
}

// An entry that can't read the table must not go on counting what it read before: it
// knows nothing of the jobs that came since.
func TestPendingCountOfOldView(t *testing.T) {
	h := newEntryHarness(t)
	h.pass(maxCountAge, true)
	assert.Equal(t, h.askCount().Outcome, core.JobAccepted)
	h.pass(maxCountAge+time.Second, false)
	ans := h.askCount()
	assert.Equal(t, ans.Outcome, core.JobRefused, "%d jobs are counted from a view that is over %s old", ans.Pending, maxCountAge)
	assert.Assert(t, ans.RetryAfter > 0)
	h.pass(maxCountAge, true)
	assert.Equal(t, h.askCount().Outcome, core.JobAccepted)
}

// An entry that has just started owns shards that it has not read yet: the jobs in them
// must not be left out of a count.
func TestPendingCountBeforeShardsAreRead(t *testing.T) {
	h := newEntryHarness(t)
	ans := h.askCount()
	assert.Equal(t, ans.Outcome, core.JobRefused, "%d jobs are counted before any shard was read", ans.Pending)
	assert.Assert(t, ans.RetryAfter > 0)
}
