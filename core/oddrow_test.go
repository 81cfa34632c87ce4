package core_test

import (
	"fmt"
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

// goodJob is the row of a job with two steps and three tasks.
func goodJob() core.JobRow {
	return core.JobRow{
		Spec: core.JobSpec{ID: testJob, Queue: testQueue, Service: "s", Attempts: 2, Steps: []core.StepSpec{
			{Count: 1, Size: core.Size{Millicores: 1}}, {Count: 2, Size: core.Size{Millicores: 1}, After: []int{0}},
		}},
		Tasks: make([]core.TaskRow, 3),
	}
}

// oddJobs change the row of a job to one that no entry writes.
var oddJobs = map[string]func(*core.JobRow){
	"empty":              func(r *core.JobRow) { *r = core.JobRow{} },
	"no tasks":           func(r *core.JobRow) { r.Tasks = nil },
	"few tasks":          func(r *core.JobRow) { r.Tasks = r.Tasks[:1] },
	"many tasks":         func(r *core.JobRow) { r.Tasks = make([]core.TaskRow, 9) },
	"large counts":       func(r *core.JobRow) { r.Spec.Steps[0].Count = 1 << 62 },
	"negative count":     func(r *core.JobRow) { r.Spec.Steps[0].Count, r.Spec.Steps[1].Count = -1, 4 },
	"after a later step": func(r *core.JobRow) { r.Spec.Steps[0].After = []int{1} },
	"after no step":      func(r *core.JobRow) { r.Spec.Steps[1].After = []int{9} },
	"after a negative":   func(r *core.JobRow) { r.Spec.Steps[1].After = []int{-1} },
	"negative size":      func(r *core.JobRow) { r.Spec.Steps[1].Size.Millicores = -1 },
	"no inputs":          func(r *core.JobRow) { r.Spec.Steps = nil },
	"another job":        func(r *core.JobRow) { r.Spec.ID = "other" },
	"unknown state":      func(r *core.JobRow) { r.Tasks[0].State = 77 },
	"last attempt":       func(r *core.JobRow) { r.Tasks[0].Attempt = math.MaxUint32 },
	"claim of nobody":    func(r *core.JobRow) { r.Tasks[0].State = core.TaskClaimed },
	"claim of no attempt": func(r *core.JobRow) {
		r.Tasks[0].State, r.Tasks[0].Holder = core.TaskClaimed, core.Holder{Worker: "w", Inc: "i"}
	},
}

// A row of a job that decodes but does not fit itself ended each entry that read it, and
// each one that took its shard over.
func TestOddJobRowEndsNoEntry(t *testing.T) {
	for name, change := range oddJobs {
		t.Run(name, func(t *testing.T) {
			h := newEntryHarness(t)
			h.sendHeartbeat(8)
			row := goodJob()
			change(&row)
			odd := h.row(keyOfJob(testJob), row)
			good := core.JobID("good")
			for i := 0; keyOfJob(good)[:8] != odd.Key[:8]; i++ {
				good = core.JobID(fmt.Sprint("good", i))
			}
			row = goodJob()
			row.Spec.ID = good
			h.readShardsWith(odd, h.row(keyOfJob(good), row))
			h.post(core.JobRequested{Token: 90, Request: core.JobRequest{Verb: core.JobGet, Path: "/q/" + string(good), Deadline: h.now.Add(time.Second)}})
			assert.Equal(t, mustFind[core.JobReply](h).Answer.Outcome, core.JobAccepted, "the job beside it is not known")
			_, err := core.Decode(odd.Key, odd.Value)
			assert.Assert(t, err != nil)
		})
	}
}

// The rows that entries write are not odd.
func TestGoodJobRowIsDecoded(t *testing.T) {
	h := newEntryHarness(t)
	row := h.row(keyOfJob(testJob), goodJob())
	_, err := core.Decode(row.Key, row.Value)
	assert.NilError(t, err)
}
