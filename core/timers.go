package core

import (
	"container/heap"
	"time"
)

// timerKind is the kind of action that a request's timer triggers.
type timerKind uint8

const (
	timerDeadline timerKind = iota
	timerHedge
	timerRevoke
)

// timer is an action that is scheduled for a request.
type timer struct {
	at   time.Time
	kind timerKind
	id   RequestID
	call Token
}

// timerHeap is a heap of the timers of requests, earliest first.
type timerHeap struct{ ts []timer }

func (h *timerHeap) Len() int           { return len(h.ts) }
func (h *timerHeap) Less(i, j int) bool { return h.ts[i].at.Before(h.ts[j].at) }
func (h *timerHeap) Swap(i, j int)      { h.ts[i], h.ts[j] = h.ts[j], h.ts[i] }

// Push adds a timer; see container/heap.
func (h *timerHeap) Push(x any) { h.ts = append(h.ts, x.(timer)) }

// Pop removes the last timer; see container/heap.
func (h *timerHeap) Pop() any {
	t := h.ts[len(h.ts)-1]
	h.ts = h.ts[:len(h.ts)-1]
	return t
}

// next returns the time of the earliest timer; zero if there is none.
func (h *timerHeap) next() time.Time {
	if len(h.ts) == 0 {
		return time.Time{}
	}
	return h.ts[0].at
}

// advanceRequests runs the expired timers of requests.
func (e *Entry) advanceRequests() {
	for len(e.timers.ts) > 0 && !e.timers.ts[0].at.After(e.at.Now) {
		t := heap.Pop(&e.timers).(timer)
		r := e.requests[t.id]
		if r == nil {
			continue
		}
		switch t.kind {
		case timerDeadline:
			e.expireRequest(r)
		case timerHedge:
			e.hedge(r)
		case timerRevoke:
			e.revokeCall(r, t.call)
		}
	}
}

// addTimer schedules an action for a request.
func (e *Entry) addTimer(at time.Time, kind timerKind, id RequestID, call Token) {
	heap.Push(&e.timers, timer{at: at, kind: kind, id: id, call: call})
}
