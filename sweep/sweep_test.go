package sweep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

func TestTrial(t *testing.T) {
	s := New(Fichero, 1)
	s.Ask(3*time.Second, 20*time.Second, s.site.Rate()/2)
	s.Submit(3*time.Second, Job{ID: "a", Tasks: 100, Size: core.Size{Millicores: 2000, MemoryMB: 2000}, Work: 5 * time.Second})
	s.Run(30 * time.Second)
	t.Logf("%+v", s.Requests(5*time.Second, 20*time.Second))
	t.Logf("%+v", s.Batch(0, 30*time.Second))
	t.Logf("%+v", s.tally.counts)
	assert.Equal(t, len(s.Overlaps()), 0)
}
