package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Figures of the case moved.
const (
	movedJobs   = 4
	movedRun    = 2 * time.Second // of a task, in a job of six steps
	movedPause  = 2500 * time.Millisecond
	servesOn    = 3 * time.Second  // after the worker has said that it drains
	finishTime  = 14 * time.Second // finish_s
	idleLimit   = 3 * time.Second  // of a job whose task's turn has come
	movedFinish = 20 * time.Second // until jobs without trouble are done
)

// runMoved lets the operator move a queue to another service, and takes the only worker of the
// first service away. The jobs that were accepted before may not stand still while the service
// that the configuration names is idle.
func runMoved(s *site, trouble bool) verdict {
	c := newClient(s.rec)
	accepted := 0
	for n := range movedJobs {
		if c.submit(s.entries[n%numEntries], queuePlan, jobID(n+1), taskSpec{Millis: movedRun.Milliseconds(), End: "done"}, chainOfSteps()...) == http.StatusOK {
			accepted++
		}
	}
	time.Sleep(movedPause)
	if trouble {
		if err := s.putConfig(9, serviceName); err != nil {
			return verdict{}
		}
		s.rec.note("trouble: the queue %s belongs to the service %s from now on", queuePlan, serviceName)
		time.Sleep(movedPause)
		a := s.agents[numAgents-1]
		s.rec.note("trouble: worker %s of %s is emptied and taken away", a.worker.id, oldService)
		a.worker.leave(a.control, servesOn)
	}
	time.Sleep(movedFinish)
	began := time.Now()
	time.Sleep(finishTime)
	return verdict{ran: accepted == movedJobs, breaks: s.standStill(c, began)}
}

// standStill returns the jobs that are not done and have had nothing running for idleLimit.
func (s *site) standStill(c *client, since time.Time) []string {
	var breaks []string
	for n := range movedJobs {
		code, body := c.look(s.entries[0], queuePlan, jobID(n+1))
		if code == http.StatusOK && strings.Contains(body, `"done"`) {
			continue
		}
		last, runs := lastOf(s.eventsNow(), jobID(n+1))
		idle := time.Since(last)
		if runs == 0 && idle > idleLimit && time.Since(since) > idleLimit {
			breaks = append(breaks, fmt.Sprintf("LOST: job %s is answered %d %s and has had nothing running for %s; the workers of %s are idle",
				jobID(n+1), code, strings.TrimSpace(body), idle.Round(time.Second), serviceName))
		}
	}
	return breaks
}

// lastOf returns when a run of a job last began or ended, and how many run now.
func lastOf(events []event, job string) (last time.Time, running int) {
	for _, e := range events {
		if !strings.HasPrefix(e.task, job+".") {
			continue
		}
		switch e.kind {
		case evStart:
			running++
			last = e.at
		case evEnd:
			running--
			last = e.at
		}
	}
	return last, running
}
