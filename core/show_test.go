package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

func (h *entryHarness) show(kind string) core.CommandResult {
	h.t.Helper()
	h.post(core.CommandAsked{Token: 9, ID: "c", Command: core.Show{Kind: kind}})
	return mustFind[core.CommandReply](h).Result
}

// An entry that has not read the configuration must not show an empty list.
func TestShowBeforeConfigurationIsRefused(t *testing.T) {
	h := &entryHarness{t: t, now: time.Unix(1_700_000_000, 0), e: core.NewEntry(core.EntryIdentity{ID: "me"})}
	h.post(core.Tick{})
	assert.Equal(t, h.show("dcs").Outcome, core.CommandRefused)
}

// What an entry shows of its own view is marked if it may be incomplete or old.
func TestShowMarksPartialOrOldView(t *testing.T) {
	h := newEntryHarness(t)
	assert.Assert(t, h.show("workers").Text != "", "not all agents may be known")
	h.pass(4*core.DefaultPolicy().HeartbeatInterval, true)
	for _, kind := range []string{"workers", "dcs", "entries"} {
		assert.Equal(t, h.show(kind).Text, "")
	}
	h.pass(maxCountAge+time.Second, false)
	for _, kind := range []string{"dcs", "entries", "teams", "services", "policy"} {
		assert.Assert(t, h.show(kind).Text != "", "%s: the view is over %s old", kind, maxCountAge)
	}
}
