package core

import "time"

// loadInterval is the time between two log lines about an entry's load.
const loadInterval = time.Second

// loadView counts what an entry does, since its start.
type loadView struct {
	loadCounts
	logged  loadCounts // as of the last log line
	nextLog time.Time
}

// loadCounts are numbers of events.
type loadCounts struct {
	heartbeats  int // applied to the view of a worker
	tried       int // tasks for which a worker was looked for
	placed      int // tasks for which one was found
	refused     int // orders that did not start their task
	conflicts   int // group transactions that conflicted with another entry's write
	settles     int // queries about attempts that an agent has not listed
	orphanReads int // reads of rows of jobs that another entry should schedule
}

// since returns the counts less earlier ones.
func (c loadCounts) since(o loadCounts) loadCounts {
	return loadCounts{
		heartbeats: c.heartbeats - o.heartbeats, tried: c.tried - o.tried, placed: c.placed - o.placed,
		refused: c.refused - o.refused, conflicts: c.conflicts - o.conflicts, orphanReads: c.orphanReads - o.orphanReads,
		settles: c.settles - o.settles,
	}
}

// advanceLoad logs what the entry did since the last line, unless it only received heartbeats.
func (e *Entry) advanceLoad() {
	l := &e.load
	if e.at.Now.Before(l.nextLog) {
		return
	}
	l.nextLog = e.at.Now.Add(loadInterval)
	n := l.since(l.logged)
	l.logged = l.loadCounts
	waiting := len(e.queue.has)
	if waiting == 0 && n == (loadCounts{heartbeats: n.heartbeats}) {
		return
	}
	e.logEvent("load", string(e.self.ID), "waiting", waiting, "unwritten", e.group.len(), "heartbeats", n.heartbeats,
		"tried", n.tried, "placed", n.placed, "refused", n.refused, "conflicts", n.conflicts, "orphans", n.orphanReads, "settles", n.settles,
		"read", e.at.Now.Sub(e.round.asOf).String())
}
