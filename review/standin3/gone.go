package main

import (
	"fmt"
	"strings"
	"time"
)

// Amounts of the case "gone".
const (
	goneJob   = "5c0e7a21d94b36f8" // lasts
	shortJob  = "7d1f8b32ea5c4709"
	goneTasks = 4
	// idleTime is the longest time without a run: the crash counts as a disruption for
	// contact_ms (3 s), and then the 4 s before and the 3 s of the rule are calm. It is more than
	// the 6 s after the last run and those 3 s.
	idleTime = 10 * time.Second
)

// playGone has a worker crash for good as it is told to start another job's task. Rule LOST: a
// task that lasts has a run again within 6 s and 3 s more, with room for it.
func playGone(s *site, trouble bool) ([]string, error) {
	if err := s.startAll(); err != nil {
		return nil, err
	}
	step := map[string]any{"count": goneTasks, "cpu": 500, "mem_mb": 500, "estimated_ms": 2000, "long_running": true, "image": "be2d66"}
	if !s.submit(goneJob, "lasts", step) || !s.awaitWork(goneJob, goneTasks) {
		return nil, errNotRun
	}
	time.Sleep(3 * time.Second)
	doomed := s.workers[s.busiest(goneJob)]
	if trouble {
		doomed.dieAtStart(shortJob)
	}
	short := map[string]any{"count": 8, "cpu": 250, "mem_mb": 200, "estimated_ms": 500, "required_labels": doomed.kind}
	if !s.submit(shortJob, "500ms", short) {
		return nil, errNotRun
	}
	time.Sleep(30 * time.Second)
	runs, _ := s.snapshot()
	return idleTasks(goneJob, goneTasks, runs, time.Now()), nil
}

// idleTasks returns the tasks that last of a job that had no run for too long.
func idleTasks(job string, n int, runs []run, now time.Time) []string {
	var breaks []string
	for i := range n {
		task := fmt.Sprintf("%s.0.0.%d", job, i)
		for _, r := range runs {
			if r.Task != task || r.Over.IsZero() {
				continue
			}
			if next := nextBegin(task, r.Over, runs, now); next.Sub(r.Over) > idleTime {
				breaks = append(breaks, fmt.Sprintf("%s had no run for %s after run %d (%s)",
					strings.TrimSpace(task), next.Sub(r.Over).Round(100*time.Millisecond), r.Number, r.How))
			}
		}
	}
	return breaks
}

// nextBegin returns when the next run of a task began after a time; now if none has.
func nextBegin(task string, after time.Time, runs []run, now time.Time) time.Time {
	next := now
	for _, r := range runs {
		if r.Task == task && !r.Begun.Before(after) && r.Begun.Before(next) {
			next = r.Begun
		}
	}
	return next
}
