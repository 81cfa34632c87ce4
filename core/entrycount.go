package core

import "time"

// queueCount is the number of a queue's jobs that wait, by who counted them, with what
// shows whether it is complete and how old it is.
type queueCount struct {
	own, others int
	entries     int       // other live entries whose rows were summed up
	unread      int       // owned shards that have not been read yet
	asOf        time.Time // when the oldest part was known to be current
	claimed     int       // own jobs with claims, none of which is known to have started
}

// countQueue counts the jobs of a queue of which no task has been claimed: those of
// this entry's shards as of now, those of other entries as of their rows.
func (e *Entry) countQueue(queue string) int {
	n := queueCount{own: e.queuedByQueue()[queue], claimed: e.unstartedJobs(queue), asOf: e.round.asOf}
	for id, p := range e.peers {
		if id != e.self.ID && e.isAlive(p) {
			n.others += p.row.Pending[queue]
			n.entries++
			n.asOf = earliest(n.asOf, p.changed)
		}
	}
	for i := range e.shards {
		sh := &e.shards[i]
		switch {
		case sh.owned && !sh.loaded:
			n.unread++
		case sh.owned:
			n.asOf = earliest(n.asOf, sh.asOf)
		}
	}
	e.logEvent("queue counted", queue, "pending", n.own+n.others, "own", n.own, "others", n.others, "entries", n.entries,
		"unread", n.unread, "age", e.at.Now.Sub(n.asOf).String(), "claimed", n.claimed)
	return n.own + n.others
}

// queuedByQueue counts the jobs of this entry's shards of which no task has been
// claimed, by queue.
func (e *Entry) queuedByQueue() map[string]int {
	var n map[string]int
	for _, j := range e.jobs {
		if j.foreign || !j.row.stored || j.row.Spec.Queue == "" || j.row.State() != JobQueued {
			continue
		}
		if n == nil {
			n = map[string]int{}
		}
		n[j.row.Spec.Queue]++
	}
	return n
}

// unstartedJobs counts the jobs of a queue in this entry's shards that have claims, but
// none that is known to have started.
func (e *Entry) unstartedJobs(queue string) int {
	n := 0
	for _, j := range e.jobs {
		if !j.foreign && j.row.stored && j.row.Spec.Queue == queue && j.row.State() == JobRunning && !j.hasStarted() {
			n++
		}
	}
	return n
}

// hasStarted reports whether a task of the job is known to have started.
func (j *jobView) hasStarted() bool {
	for n := range j.row.Tasks {
		t := &j.row.Tasks[n]
		if t.State.Final() || t.Failures > 0 || t.Saved != "" {
			return true
		}
		if c := j.claims[n]; c != nil && (c.reported || !c.startedAt.IsZero()) {
			return true
		}
	}
	return false
}
