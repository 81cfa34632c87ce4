package core_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// A job whose counts of tasks overflow when they are added up was accepted as one of few
// tasks, and ended each entry that read its row.
func TestCountsOfTasksThatOverflowAreInvalid(t *testing.T) {
	for _, counts := range [][]int{
		{1 << 62, 1 << 62, 1 << 62, 1 << 62, 1},
		{1 << 62, 1 << 62, 1 << 62, 1 << 62},
		{math.MaxInt, math.MaxInt, 2},
		{math.MaxInt},
		{core.MaxStepTasks + 1},
		{core.MaxStepTasks, 1},
		{math.MinInt},
		{0},
	} {
		h := newEntryHarness(t)
		var steps []core.StepSpec
		for i, n := range counts {
			steps = append(steps, core.StepSpec{Count: n, Size: core.Size{Millicores: 1}, After: []int{0}[:min(i, 1)]})
		}
		h.post(core.JobRequested{Token: 77, Request: core.JobRequest{
			Verb: core.JobSubmit, Path: testJobPath, Spec: core.JobSpec{Steps: steps}, Deadline: h.now.Add(time.Second),
		}})
		assert.Equal(t, mustFind[core.JobReply](h).Answer.Outcome, core.JobInvalid, "%v", counts)
	}
}
