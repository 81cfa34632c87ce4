package core

import (
	"fmt"
	"time"
)

// maxRecentRequests bounds the answered requests that an entry remembers.
const maxRecentRequests = 4096

// recentLog is a ring buffer of the last answered requests, for `why request`. It also
// remembers the ids of non-idempotent requests that may have run, to recognise them when they
// are repeated.
type recentLog struct {
	ring []recentRequest
	next int // index of the oldest request, once the ring is full
	byID map[RequestID]int
	ran  answerLog[struct{}] // non-idempotent requests that may have run, by id
}

// recentRequest is an answered request and its answer without the body.
type recentRequest struct {
	id         RequestID
	answer     Answer
	tried      []string
	idempotent bool
	arrived    time.Time
	answered   time.Time
}

// add records an answered request, in place of the oldest if the ring is full.
func (l *recentLog) add(r *request, a Answer, now time.Time) {
	if l.byID == nil {
		l.byID = map[RequestID]int{}
	}
	if !r.Idempotent && a.Outcome != OutcomeRefused {
		l.ran.put(string(r.ID), struct{}{}, now, now.Add(answerRetention))
	}
	a.Body = nil
	rec := recentRequest{id: r.ID, answer: a, tried: r.tried, idempotent: r.Idempotent, arrived: r.arrived, answered: now}
	if len(l.ring) < maxRecentRequests {
		l.byID[r.ID] = len(l.ring)
		l.ring = append(l.ring, rec)
		return
	}
	old := l.ring[l.next].id
	if l.byID[old] == l.next {
		delete(l.byID, old)
	}
	l.ring[l.next] = rec
	l.byID[r.ID] = l.next
	l.next = (l.next + 1) % maxRecentRequests
}

// find returns the last request with an id.
func (l *recentLog) find(id RequestID) (recentRequest, bool) {
	i, ok := l.byID[id]
	if !ok {
		return recentRequest{}, false
	}
	return l.ring[i], true
}

// mayHaveRun reports whether a non-idempotent request with this id may have run.
func (l *recentLog) mayHaveRun(id RequestID) bool {
	_, ok := l.ran.answers[string(id)]
	return ok
}

// reasons returns the rows of the answer to `why request`.
func (r recentRequest) reasons() [][]string {
	rows := [][]string{
		{"outcome", string(r.answer.Outcome)},
		{"reason", string(r.answer.Reason)},
		{"text", r.answer.Text},
		{"tries", fmt.Sprint(r.answer.Tries)},
		{"workers", fmt.Sprint(r.tried)},
		{"idempotent", fmt.Sprint(r.idempotent)},
		{"took", r.answered.Sub(r.arrived).String()},
	}
	if r.answer.RetryAfter > 0 {
		rows = append(rows, []string{"retry after", r.answer.RetryAfter.String()})
	}
	return rows
}
