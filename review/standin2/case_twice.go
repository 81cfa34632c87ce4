package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case twice.
const (
	lateShare   = 0.5 // of the calls that extend a lease
	lateLeast   = 2 * time.Second
	lateMost    = 3 * time.Second
	lateLead    = 2 * time.Second // from the first late calls to the cut
	lateTime    = 5500 * time.Millisecond
	refuseTime  = 5500 * time.Millisecond // of a cut
	cutWorkers  = 2                       // 0.17 of 11
	cutRounds   = 8
	twiceJobs   = 11
	twiceTasks  = 4
	twiceRun    = 120 * time.Second
	twiceWarmUp = 4 * time.Second
	cutPause    = 3 * time.Second
)

// runTwice lets workers carry calls out late, and partitions some of them from their agents by a
// cut that refuses connections. The workers run on. No task may run twice at a time.
func runTwice(s *site, trouble bool) verdict {
	c := newClient(s.rec)
	accepted := 0
	for n := range twiceJobs {
		st := step{Count: twiceTasks, CPU: 6000, Memory: 1000, Estimated: int(twiceRun.Milliseconds())}
		if c.submit(s.entries[n%numEntries], queueShort, jobID(n+1), taskSpec{Millis: twiceRun.Milliseconds(), End: "done"}, st) == http.StatusOK {
			accepted++
		}
	}
	time.Sleep(twiceWarmUp)
	for round := range cutRounds {
		first := round * cutWorkers % (numAgents - cutWorkers + 1)
		s.lateRound(trouble, s.agents[first:][:cutWorkers])
	}
	return verdict{ran: accepted == twiceJobs, breaks: overlaps(s.eventsNow())}
}

// lateRound lets calls be carried out late and cuts some workers off meanwhile.
func (s *site) lateRound(trouble bool, agents []*agent) {
	if !trouble {
		time.Sleep(lateLead + refuseTime + cutPause)
		return
	}
	s.setLate(true)
	time.AfterFunc(lateTime, func() { s.setLate(false) })
	time.Sleep(lateLead)
	var cuts sync.WaitGroup
	for _, a := range agents {
		s.rec.note("trouble: worker %s is cut off for %s, connections to it are refused", a.worker.id, refuseTime)
		cuts.Go(func() {
			if err := a.worker.refuse(refuseTime); err != nil {
				s.rec.note("worker %s: not back: %v", a.worker.id, err)
			}
		})
	}
	cuts.Wait()
	time.Sleep(cutPause)
}

// setLate switches late calls of all workers on or off.
func (s *site) setLate(on bool) {
	s.rec.note("trouble: workers carry out %g of the calls that extend their lease late: %t", lateShare, on)
	for n, a := range s.agents {
		a.worker.setLate(on, lateShare, lateLeast, lateMost, uint64(time.Now().UnixNano())+uint64(n))
	}
}

// overlaps returns the starts of tasks while another run of them was under way.
func overlaps(events []event) []string {
	var breaks []string
	running := map[string]event{}
	for _, e := range events {
		old, busy := running[e.task]
		switch {
		case e.kind == evStart && busy:
			breaks = append(breaks, fmt.Sprintf("TWICE: %s run %d started on %s while run %d ran on %s", e.task, e.run, e.worker, old.run, old.worker))
			running[e.task] = e
		case e.kind == evStart:
			running[e.task] = e
		case e.kind == evEnd && busy && old.run == e.run && old.worker == e.worker:
			delete(running, e.task)
		}
	}
	return breaks
}
