package trace_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jayloft/trace"
)

const entryLog = `{"time":"2026-12-04T05:00:00.1Z","level":"info","message":"job taken","fields":{"subject":"a1","entry":"e1","tasks":1}}
{"time":"2026-12-04T05:00:00.2Z","level":"info","message":"job submit","fields":{"subject":"a1","entry":"e1","outcome":"taken"}}
{"time":"2026-12-04T05:00:00.15Z","level":"info","message":"task placed","fields":{"subject":"a1.0#1","entry":"e1","worker":"w1"}}
not a line
{"time":"2026-12-04T05:00:00.3Z","level":"info","message":"job taken","fields":{"subject":"a12","entry":"e1"}}
`

const agentLog = `  12.9 side-1 {"time":"2026-12-04T05:00:00.4Z","level":"info","message":"task started","fields":{"subject":"a1.0#1","worker":"w1"}}
{"broken
`

func read(t *testing.T, id string) *trace.Timeline {
	t.Helper()
	s := trace.New(id)
	assert.NilError(t, s.Read("entry.log", strings.NewReader(entryLog)))
	assert.NilError(t, s.Read("agent.log", strings.NewReader(agentLog)))
	return s
}

func TestLinesInOrder(t *testing.T) {
	var events []string
	for _, l := range read(t, "a1").Lines() {
		events = append(events, l.Event)
	}
	assert.DeepEqual(t, events, []string{"job taken", "task placed", "job submit", "task started"})
}

func TestLinesOfTask(t *testing.T) {
	assert.Equal(t, len(read(t, "a1.0").Lines()), 2)
}

func TestMissingAndMalformedLines(t *testing.T) {
	var b strings.Builder
	assert.NilError(t, read(t, "a1").Write(&b))
	assert.Assert(t, strings.Contains(b.String(), `a1.0#1: after "task started" none of run ended, task ended`), b.String())
	assert.Assert(t, strings.Contains(b.String(), "a1: no end of the job"))
	assert.Assert(t, strings.Contains(b.String(), "7 lines read, 2 of them can't be read, 4 about a1"), b.String())
}

func TestNoMatchingLines(t *testing.T) {
	var b strings.Builder
	assert.NilError(t, read(t, "zz").Write(&b))
	assert.Assert(t, strings.HasPrefix(b.String(), "nothing is logged about zz"))
}
