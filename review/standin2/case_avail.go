package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Figures of the case avail.
const (
	availJobs   = 4
	availTasks  = 6
	availMiss   = 1 // may_miss of the steps
	availWarmUp = 7 * time.Second
	availWatch  = 8 * time.Second
)

// runAvail freezes the machine of the agent beside which most tasks of one step that lasts run.
// Its worker is sound and goes on. Orders of the system may not end more tasks of a step than
// may_miss at the same time.
func runAvail(s *site, trouble bool) verdict {
	c := newClient(s.rec)
	accepted := 0
	for n := range availJobs {
		st := step{Count: availTasks, CPU: 6400, Memory: 13000, Estimated: 500, Lasts: true, Image: "w0", Target: 125, MayMiss: availMiss}
		if c.submit(s.entries[n%numEntries], queueLasting, jobID(n+1), taskSpec{Lasts: true}, st) == http.StatusOK {
			accepted++
		}
	}
	time.Sleep(availWarmUp)
	a, most := s.busiestAgent()
	s.rec.note("%s: its worker runs %d tasks of one step", a.name, most)
	if trouble && most > availMiss {
		s.rec.note("trouble: %s is frozen for %s", a.name, freezeTime)
		a.freeze(freezeTime)
	}
	time.Sleep(availWatch)
	return verdict{ran: accepted == availJobs && most > availMiss, breaks: stopsOverMiss(s.eventsNow())}
}

// stepOf returns the step that a task belongs to.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// busiestAgent returns the agent whose worker runs most tasks of one step, and how many.
func (s *site) busiestAgent() (best *agent, most int) {
	for _, a := range s.agents {
		count := map[string]int{}
		a.worker.mu.Lock()
		for task := range a.worker.running {
			count[stepOf(task)]++
		}
		a.worker.mu.Unlock()
		for _, n := range count {
			if n > most {
				best, most = a, n
			}
		}
	}
	if best == nil {
		best = s.agents[0]
	}
	return best, most
}

// stopsOverMiss returns the ends by an order of tasks at work while may_miss others of their
// step were away: ended by such an order, or not at work for notice_ms.
func stopsOverMiss(events []event) []string {
	var breaks []string
	for i, e := range events {
		if e.kind != evEnd || !e.order || !e.lasts || e.at.Sub(e.began) < startupTime {
			continue
		}
		away := 0
		for n := range availTasks {
			other := fmt.Sprintf("%s.%d", stepOf(e.task), n)
			if other != e.task && isAway(events[:i], other, e.at) {
				away++
			}
		}
		if away >= availMiss {
			breaks = append(breaks, fmt.Sprintf("AVAIL: a stop ended %s run %d on %s while %d others of its step were away, may_miss is %d", e.task, e.run, e.worker, away, availMiss))
		}
	}
	return breaks
}

// isAway reports whether a task is away at a time: its last run was ended by an order and the
// next one is not at work, or it has not been at work for notice_ms.
func isAway(before []event, task string, at time.Time) bool {
	for i := len(before) - 1; i >= 0; i-- {
		e := before[i]
		switch {
		case e.task != task:
		case e.kind == evStart && at.Sub(e.at) >= startupTime:
			return false
		case e.kind == evEnd:
			return e.order || at.Sub(e.at) >= noticeMillis*time.Millisecond
		}
	}
	return false
}
