package core

import (
	"slices"
	"time"
)

// Counts of waiting jobs are sums over all shards. Each shard is counted by the entry
// that schedules it, which publishes its counts in its row of the table, so a sum may rest
// on what several processes knew at different times. It is answered only if every shard is
// covered by a count that is recent enough, and refused otherwise: during restarts,
// handovers and outages a smaller number would look like a short queue.

// countInterval is how much older than Policy.Visible a count may be: the time for it to
// travel from the entry that schedules a shard to the one that answers.
const countInterval = 2 * time.Second

// MaxCountAge returns the maximum age of what a count of waiting jobs rests on.
func (p *Policy) MaxCountAge() time.Duration { return p.Visible + countInterval }

// UsualCountAge returns the maximum age of what a count rests on while no call is late: a
// shard was read, its count was published, and the publication was read.
func (p *Policy) UsualCountAge() time.Duration {
	return max(p.ShardReadInterval, p.ReadInterval) + p.publishInterval() + p.ReadInterval
}

// publishInterval returns the time between two writes of an entry's row.
func (p *Policy) publishInterval() time.Duration { return p.EntryTimeout / 3 }

// readMark records that a read of the table that began at a time returned a revision.
// All that was committed before the read began has at most that revision.
type readMark struct {
	began    time.Time
	revision uint64
}

// mark records a read of the newest round, and drops the marks of reads before a time.
func (r *readRound) mark(revision uint64, drop time.Time) {
	r.marks = slices.DeleteFunc(r.marks, func(m readMark) bool { return m.began.Before(drop) })
	r.marks = append(r.marks, readMark{began: r.startedAt, revision: revision})
}

// timeOf returns a time before which every commit is covered by a view of the table up to
// a revision, wherever that view was taken: no clocks of two processes are compared. It
// returns zero if the view is older than all marks.
func (r *readRound) timeOf(revision uint64) time.Time {
	var t time.Time
	for _, m := range r.marks {
		if m.revision <= revision {
			t = latest(t, m.began)
		}
	}
	return t
}

// shardCount is a count of the waiting jobs of one shard.
type shardCount struct {
	waiting int
	asOf    time.Time // every commit before it is counted; zero if nobody has counted
}

// queueCount is the count of a queue's waiting jobs in all shards.
type queueCount struct {
	waiting int
	asOf    time.Time // of the oldest part; zero if a part is missing
	missing int       // shards that nobody has counted recently enough
}

// answerCount answers a request for the number of a queue's waiting jobs.
func (e *Entry) answerCount(q QueueRow) JobAnswer {
	n := e.countQueue(q)
	ans := JobAnswer{Outcome: JobAccepted, Pending: n.waiting}
	switch {
	case n.missing > 0:
		ans = JobAnswer{Outcome: JobRefused, Reason: ReasonStale, RetryAfter: e.countRetryAfter()}
	case e.configAge() > e.pol.MaxCountAge(): // the queue may be another one by now
		ans = JobAnswer{Outcome: JobRefused, Reason: ReasonConfig, RetryAfter: e.storeRetryAfter()}
	}
	e.logEvent("queue counted", q.Name, "waiting", n.waiting, "missing", n.missing,
		"age", n.age(e.at.Now), "outcome", string(ans.Outcome))
	return ans
}

// age returns the age of the oldest part as text, or "unknown" if nobody has counted some
// shard.
func (n *queueCount) age(now time.Time) string {
	if n.asOf.IsZero() {
		return "unknown"
	}
	return now.Sub(n.asOf).String()
}

// countRetryAfter returns when a missing part of a count may be there: after the next
// publication and the next read of it.
func (e *Entry) countRetryAfter() time.Duration {
	return max(e.storeRetryAfter(), e.pol.publishInterval()+e.pol.ReadInterval)
}

// countQueue counts a queue's waiting jobs from the most recent count of each shard.
func (e *Entry) countQueue(q QueueRow) queueCount {
	own := e.waitingByShard()
	n := queueCount{asOf: e.at.Now}
	for s := range e.shards {
		c := e.countShard(s, q, own[s])
		n.waiting += c.waiting
		if c.asOf.IsZero() || e.at.Now.Sub(c.asOf) > e.pol.MaxCountAge() {
			n.missing++
		}
		if c.asOf.Before(n.asOf) {
			n.asOf = c.asOf
		}
	}
	return n
}

// countShard returns the most recent count of a shard's waiting jobs: this entry's, if it
// schedules the shard, or the one that another entry has published.
func (e *Entry) countShard(shard int, q QueueRow, own ShardReport) shardCount {
	sh := &e.shards[shard]
	published := e.round.timeOf(sh.published.ReadUpTo)
	if sh.owned && sh.loaded && !published.After(sh.asOf) {
		return shardCount{waiting: own.waiting(q), asOf: sh.asOf}
	}
	return shardCount{waiting: sh.published.waiting(q), asOf: published}
}

// waiting returns the reported number of a queue's waiting jobs.
func (r ShardReport) waiting(q QueueRow) int {
	if len(r.Routes) == 0 {
		return r.Waiting[q.Name] // of an entry of an older build
	}
	return r.Routes[q.Route().hash()]
}

// applyReports keeps the reports that another entry has published, where they are the most
// recent ones. They hold as of the revision that they name, so they are kept when that
// entry ends.
func (e *Entry) applyReports(reports []ShardReport) {
	for _, r := range reports {
		if r.Shard < 0 || r.Shard >= Shards {
			continue
		}
		if sh := &e.shards[r.Shard]; r.ReadUpTo >= sh.published.ReadUpTo {
			sh.published = r
		}
	}
}

// shardReports returns the counts of waiting jobs that this entry publishes.
func (e *Entry) shardReports() []ShardReport {
	own := e.waitingByShard()
	var rs []ShardReport
	for s := range e.shards {
		if sh := &e.shards[s]; sh.owned && sh.loaded {
			own[s].Shard, own[s].ReadUpTo = s, sh.since
			rs = append(rs, own[s])
		}
	}
	return rs
}

// queueKey is a queue as the rows of its jobs name it.
type queueKey struct {
	name  string
	route Route
}

// waitingByShard counts the waiting jobs in memory: the reports of all shards, without what
// they rest on.
func (e *Entry) waitingByShard() [Shards]ShardReport {
	var rs [Shards]ShardReport
	hashes := map[queueKey]uint64{}
	for _, j := range e.jobs {
		if j.foreign || j.row.Spec.Queue == "" || !j.isWaiting() {
			continue
		}
		key := queueKey{j.row.Spec.Queue, j.row.Spec.Route}
		if _, ok := hashes[key]; !ok {
			hashes[key] = e.config.routeOf(&j.row.Spec).hash()
		}
		r := &rs[j.shard]
		if r.Waiting == nil {
			r.Waiting, r.Routes = map[string]int{}, map[uint64]int{}
		}
		r.Waiting[j.row.Spec.Queue]++
		r.Routes[hashes[key]]++
	}
	return rs
}

// isWaiting reports whether the table holds the job and none of its tasks is known to have
// started. A claim alone is no start: its agent may refuse it or never get it, and the
// worker may take long to answer.
func (j *jobView) isWaiting() bool {
	if !j.row.stored {
		return false
	}
	switch j.row.State() {
	case JobQueued:
		return true
	case JobRunning:
		return !j.hasStarted()
	}
	return false
}

// hasStarted reports whether a task of the job is known to have started.
func (j *jobView) hasStarted() bool {
	for _, c := range j.claims {
		if c.launched {
			return true
		}
	}
	return j.row.hasStarted()
}

// hasStarted reports whether the row shows that a task has started. A failure or an
// eviction alone does not: an agent may give an admitted attempt up, or its worker refuse
// it, before it has started.
func (r *JobRow) hasStarted() bool {
	return r.Started || slices.ContainsFunc(r.Tasks, func(t TaskRow) bool { return t.State == TaskDone || t.Saved != "" })
}
