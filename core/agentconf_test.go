package core_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// Agents make no use of queues. With many queues their row fills an entry's link if each
// new version goes to every agent, and the entry then can't reach the table in time.
func TestAgentsGetNoQueues(t *testing.T) {
	h := newEntryHarness(t)
	h.sendHeartbeat(8)
	rows := mustFind[core.BeatReply](h).Answer.Rows
	assert.Assert(t, len(rows) > 0)
	for _, r := range rows {
		assert.Assert(t, r.Key != core.KeyQueues, "the heartbeat's answer carries the queues, %d bytes", len(r.Value))
	}
}
