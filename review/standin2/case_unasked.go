package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the case unasked, from the beginning of the cut.
const (
	cutTime     = 5500 * time.Millisecond // of one entry from the store
	cancelAfter = 4500 * time.Millisecond
	unaskedJobs = 12
	unaskedRun  = 1500 * time.Millisecond // of a task
	watchTime   = 12 * time.Second        // after the cut
)

// unaskedJob is a job that a caller hands in and cancels.
type unaskedJob struct {
	id          string
	cancelledAt time.Time // when the cancelling was acknowledged; zero if it was not
}

// runUnasked partitions one entry from the store. A caller of that entry gets no decision on its
// job, cancels it at another entry, and gets an acknowledgement. No task of the job may start
// later than cancel_ms after that.
func runUnasked(s *site, trouble bool) verdict {
	c := newClient(s.rec)
	began := time.Now()
	if trouble {
		s.rec.note("trouble: %s is partitioned from the store for %s", s.entries[0].name, cutTime)
		s.entries[0].store.setCut(true)
		time.AfterFunc(cutTime, func() {
			s.rec.note("trouble: the partition ends")
			s.entries[0].store.setCut(false)
		})
	}
	time.Sleep(200 * time.Millisecond)
	jobs := submitAndCancel(s, c, began)
	time.Sleep(time.Until(began.Add(cutTime + watchTime)))
	for _, j := range jobs {
		c.look(s.entries[1], queuePlan, j.id)
	}
	return verdict{ran: true, breaks: startsAfterCancel(s.eventsNow(), jobs, began.Add(cutTime+contactMillis*time.Millisecond))}
}

// submitAndCancel hands jobs in at the first entry, and cancels at the second one those whose
// submission has not been rejected.
func submitAndCancel(s *site, c *client, began time.Time) []*unaskedJob {
	var all sync.WaitGroup
	jobs := make([]*unaskedJob, unaskedJobs)
	for n := range jobs {
		jobs[n] = &unaskedJob{id: jobID(n + 1)}
		all.Go(func() {
			code := c.submit(s.entries[0], queuePlan, jobs[n].id, taskSpec{Millis: unaskedRun.Milliseconds(), End: "done"}, chainOfSteps()...)
			if code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
				return
			}
			time.Sleep(time.Until(began.Add(cancelAfter)))
			switch c.cancel(s.entries[1], queuePlan, jobs[n].id) {
			case http.StatusOK, http.StatusGone:
				jobs[n].cancelledAt = time.Now()
			}
		})
	}
	all.Wait()
	return jobs
}

// chainOfSteps returns steps that run one after the other.
func chainOfSteps() []step {
	steps := make([]step, 6)
	for i := range steps {
		steps[i] = step{Count: 2, CPU: 500, Memory: 256, Estimated: int(unaskedRun.Milliseconds())}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	return steps
}

// startsAfterCancel returns the starts of tasks later than cancel_ms after the cancelling of
// their job was acknowledged. Starts before calm, contact_ms after the cut, don't count.
func startsAfterCancel(events []event, jobs []*unaskedJob, calm time.Time) []string {
	var breaks []string
	for _, j := range jobs {
		for _, e := range events {
			late := e.at.Sub(j.cancelledAt)
			if e.kind == evStart && e.at.After(calm) && !j.cancelledAt.IsZero() && strings.HasPrefix(e.task, j.id+".") && late > cancelMillis*time.Millisecond {
				breaks = append(breaks, fmt.Sprintf("UNASKED: %s run %d started %s after the cancelling of its job was acknowledged", e.task, e.run, late.Round(time.Millisecond)))
			}
		}
	}
	return breaks
}
