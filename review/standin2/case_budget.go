package main

import (
	"fmt"
	"net/http"
	"time"
)

// Figures of the case budget.
const (
	freezeTime   = 3500 * time.Millisecond
	planAttempts = 2 // max_attempts of queuePlan
	budgetJobs   = 200
	budgetPause  = 200 * time.Millisecond // between two jobs
	budgetWarmUp = 6 * time.Second        // until the first freeze
	frozenAgents = 9
	freezePause  = time.Second
	budgetWatch  = 55 * time.Second
)

// runBudget freezes the machines of agents, one after the other, while tasks that always fail
// run. No task may start again once max_attempts of its runs have ended failed, and these ends
// have been noted.
func runBudget(s *site, trouble bool) verdict {
	c := newClient(s.rec)
	began := time.Now()
	submitted := make(chan int, 1)
	go func() { submitted <- submitHopeless(s, c) }()
	time.Sleep(budgetWarmUp)
	for _, a := range s.agents[:frozenAgents] {
		if trouble {
			s.rec.note("trouble: %s is frozen for %s", a.name, freezeTime)
			a.freeze(freezeTime)
		}
		time.Sleep(freezePause)
	}
	accepted := <-submitted
	time.Sleep(time.Until(began.Add(budgetWatch)))
	return verdict{ran: accepted == budgetJobs, breaks: startsOverBudget(s.eventsNow())}
}

// submitHopeless hands in jobs of one task each that always fails, and returns how many were
// accepted.
func submitHopeless(s *site, c *client) int {
	accepted := 0
	for n := range budgetJobs {
		millis := int64(2500 + 250*(n%10))
		st := step{Count: 1, CPU: 3000, Memory: 1000, Estimated: int(millis)}
		if c.submit(s.entries[n%numEntries], queuePlan, jobID(n+1), taskSpec{Millis: millis, End: "failed"}, st) == http.StatusOK {
			accepted++
		}
		time.Sleep(budgetPause)
	}
	return accepted
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
