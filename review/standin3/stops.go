package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Amounts of the case "stops".
const (
	stopsJob    = "5c0e7a21d94b36f8"
	stopsTasks  = 4
	mayMiss     = 1
	noticeTime  = 4500 * time.Millisecond // notice_ms
	freezeTime  = 3500 * time.Millisecond
	restartTime = 300 * time.Millisecond // until the platform starts a process again that has ended
	calmTime    = 8 * time.Second
)

// playStops freezes one agent for a few seconds, so that its claims are moved, and much later
// restarts its process as planned, while its worker runs all tasks of a step that may miss one.
// Rule AVAIL: no stop ends a task that is at work while so many others are away.
func playStops(s *site, trouble bool) ([]string, error) {
	if err := s.startAll(); err != nil {
		return nil, err
	}
	step := map[string]any{
		"count": stopsTasks, "cpu": 2000, "mem_mb": 500, "estimated_ms": 2000, "long_running": true, "image": "be2d66",
		"may_miss": mayMiss, "required_labels": s.workers[0].kind,
	}
	if !s.submit(stopsJob, "lasts", step) || !s.awaitWork(stopsJob, stopsTasks) {
		return nil, errNotRun
	}
	time.Sleep(calmTime)
	if trouble {
		s.agents[0].freeze(freezeTime)
		time.Sleep(calmTime)
	}
	if !s.awaitWork(stopsJob, stopsTasks) {
		return nil, errNotRun
	}
	time.Sleep(calmTime)
	if trouble {
		s.agents[0].stop()
		time.Sleep(restartTime)
		if err := s.agents[0].start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * calmTime)
	s.call(0, http.MethodGet, stopsJob, "")
	runs, stops := s.snapshot()
	return overBudget(runs, stops), nil
}

// awaitWork waits until as many tasks of a job that lasts are at work.
func (s *site) awaitWork(job string, n int) bool {
	return await(20*time.Second, func() bool {
		runs, _ := s.snapshot()
		working := 0
		for _, r := range runs {
			if strings.HasPrefix(r.Task, job) && r.atWork(time.Now()) {
				working++
			}
		}
		return working == n
	})
}

// busiest returns the worker that runs most tasks of a job.
func (s *site) busiest(job string) int {
	best, most := 0, -1
	for i, w := range s.workers {
		runs, _ := w.snapshot()
		n := 0
		for _, r := range runs {
			if strings.HasPrefix(r.Task, job) && r.Over.IsZero() {
				n++
			}
		}
		if n > most {
			best, most = i, n
		}
	}
	return best
}

// overBudget returns the stops of tasks at work while mayMiss others of their step were away.
func overBudget(runs []run, stops []stopOrder) []string {
	var breaks []string
	for _, o := range stops {
		away := 0
		for i := range stopsTasks {
			task := fmt.Sprintf("%s.0.0.%d", stopsJob, i)
			if task != o.Task && isAway(task, o.At, runs, stops) {
				away++
			}
		}
		if o.AtWork && away >= mayMiss {
			breaks = append(breaks, fmt.Sprintf("%s, at work, was told to stop while %d others of its step were away", o.Task, away))
		}
	}
	return breaks
}

// isAway reports whether a task was ended by a stop and has not been at work since, or has not
// been at work for noticeTime.
func isAway(task string, at time.Time, runs []run, stops []stopOrder) bool {
	var worked time.Time // when it was last at work
	for _, r := range runs {
		if r.Task != task || r.Begun.Add(warmUp).After(at) {
			continue
		}
		if r.Over.IsZero() || r.Over.After(at) {
			worked = at
		} else if r.Over.After(worked) {
			worked = r.Over
		}
	}
	for _, o := range stops {
		if o.Task == task && o.AtWork && !o.At.After(at) && !hasWorkedSince(task, o.At, at, runs) {
			return true
		}
	}
	return at.Sub(worked) >= noticeTime
}

// hasWorkedSince reports whether a run of a task that began after a stop was at work by a time.
func hasWorkedSince(task string, stop, at time.Time, runs []run) bool {
	for _, r := range runs {
		if r.Task == task && r.Begun.After(stop) && r.Begun.Add(warmUp).Before(at) {
			return true
		}
	}
	return false
}
