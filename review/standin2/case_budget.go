package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case budget.
const (
	freezeTime   = 3500 * time.Millisecond
	planAttempts = 2                      // max_attempts of queuePlan
	budgetPause  = 50 * time.Millisecond  // between two jobs
	budgetTime   = 70 * time.Second       // of the traffic
	poisonEach   = 20                     // one job of so many can never be done: a share of 0.05
	poisonTime   = 3 * time.Second        // of one wave of such jobs
	poisonPause  = time.Second            // between two waves
	soundRun     = 300 * time.Millisecond // of a task that can be done
	budgetWarmUp = 6 * time.Second        // until the first freeze
	freezes      = 12
	freezePause  = 1500 * time.Millisecond
	budgetWatch  = 15 * time.Second // after the traffic
)

// runBudget freezes the machines of agents, one after the other, while waves of jobs come that
// can never be done. No task may start again once max_attempts of its runs have ended failed, and
// these ends have been noted.
func runBudget(s *site, trouble bool) verdict {
	c := newClient(s.rec)
	var traffic sync.WaitGroup
	jobs, accepted := 0, 0
	traffic.Go(func() { jobs, accepted = submitPlans(s, c) })
	time.Sleep(budgetWarmUp)
	for n := range freezes {
		a := s.agents[n%numAgents]
		if trouble {
			s.rec.note("trouble: %s is frozen for %s", a.name, freezeTime)
			a.freeze(freezeTime)
		}
		time.Sleep(freezePause)
	}
	traffic.Wait()
	time.Sleep(budgetWatch)
	return verdict{ran: accepted > jobs/2, breaks: startsOverBudget(s.eventsNow())}
}

// submitPlans hands in jobs of one task each, and returns how many, and how many were accepted.
func submitPlans(s *site, c *client) (jobs, accepted int) {
	began := time.Now()
	for ; time.Since(began) < budgetTime; jobs++ {
		wave := time.Since(began)%(poisonTime+poisonPause) < poisonTime
		spec := taskSpec{Millis: soundRun.Milliseconds(), End: "done"}
		if wave && jobs%poisonEach == 0 {
			spec = taskSpec{Millis: int64(2500 + 250*(jobs/poisonEach%10)), End: "failed"}
		}
		st := step{Count: 1, CPU: 3000, Memory: 1000, Estimated: int(spec.Millis)}
		if c.submit(s.entries[jobs%numEntries], queuePlan, jobID(jobs+1), spec, st) == http.StatusOK {
			accepted++
		}
		time.Sleep(budgetPause)
	}
	return jobs, accepted
}

// startsOverBudget returns the starts of tasks after max_attempts noted failures. A failure does
// not count if the lease of its worker lapsed before it was noted.
func startsOverBudget(events []event) []string {
	var breaks []string
	for i, e := range events {
		if e.kind != evStart {
			continue
		}
		failures := 0
		for _, f := range events[:i] {
			if f.kind == evEnd && f.task == e.task && f.how == "failed" && wasNoted(events, f) {
				failures++
			}
		}
		if failures >= planAttempts {
			breaks = append(breaks, fmt.Sprintf("BUDGET: %s run %d started after %d runs had ended failed, of %d allowed", e.task, e.run, failures, planAttempts))
		}
	}
	return breaks
}

// wasNoted reports whether an end was noted, and the lease of its worker had not lapsed since.
func wasNoted(events []event, end event) bool {
	for _, e := range events {
		switch {
		case e.worker != end.worker || e.at.Before(end.at):
		case e.kind == evLapse:
			return false
		case e.kind == evSeen && e.task == end.task && e.run == end.run:
			return true
		}
	}
	return false
}
