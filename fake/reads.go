package fake

import (
	"fmt"
	"strings"
	"time"

	"jayloft/core"
)

// readLimits are how long callers wait for an answer to a read.
var readLimits = []time.Duration{2 * time.Second, 2 * time.Second, 10 * time.Second}

// read asks every entry at a steady rate.
func (c *client) read(a Read) {
	if a.For <= 0 {
		return
	}
	for _, e := range c.w.entries {
		c.readAt(e, a.Of)
	}
	c.w.after(a.Every, func() { c.read(Read{Of: a.Of, Every: a.Every, For: a.For - a.Every}) })
}

// readAt asks one entry what callers and operators can ask about jobs.
func (c *client) readAt(e *entry, kind ReadKind) {
	o := c.w.oracle
	if kind == ReadAll || kind == ReadCounts {
		c.get(e, queuePrefix)
	}
	var id core.JobID
	if n := len(o.queueIDs); n > 0 {
		id = o.queueIDs[c.w.rand.IntN(n)]
	}
	if (kind == ReadAll || kind == ReadStates) && id != "" {
		c.get(e, queuePrefix+string(id))
	}
	if kind == ReadAll || kind == ReadLists {
		c.query(e, core.Show{Kind: "jobs"}, o.judgeJobs)
		c.query(e, core.Show{Kind: "tasks"}, o.judgeTasks)
		if id != "" {
			c.query(e, core.Why{Kind: "job", ID: string(id)}, func(e *entry, r core.CommandResult) { o.judgeWhy(e, id, r) })
		}
	}
}

// get sends a caller's request for a count or a state to an entry.
func (c *client) get(e *entry, path string) {
	limit := readLimits[c.w.rand.IntN(len(readLimits))]
	q := core.JobRequest{Verb: core.JobGet, Path: path}
	c.sendJobRequest(e, q, limit, c.w.oracle.judgeOf(e, q), func(core.JobAnswer, core.Fault) {})
}

// query sends a statement that reads to an entry.
func (c *client) query(e *entry, cmd core.Command, check func(*entry, core.CommandResult)) {
	by := c.w.now.Add(commandLimit)
	send(c.w, request[core.CommandResult]{
		from: c.proc, to: e.proc, limit: commandLimit,
		done: func(core.CommandResult, core.Fault) {},
		serve: func(reply func(core.CommandResult)) {
			t := c.w.nextToken()
			e.queries[t] = reply
			e.judges[t] = judge{by: by, command: func(r core.CommandResult) { check(e, r) }}
			e.reduce(core.CommandAsked{Token: t, Text: fmt.Sprintf("%+v", cmd), Command: cmd})
		},
	})
}

// judgeOf returns the check of an entry's answer to a caller's or a relayed request;
// nil for one that reads nothing.
func (o *Oracle) judgeOf(e *entry, q core.JobRequest) func(core.JobAnswer) {
	id, _ := strings.CutPrefix(q.Path, queuePrefix)
	switch {
	case q.Verb == core.JobCount || q.Verb == core.JobGet && id == "":
		return func(a core.JobAnswer) { o.judgeCount(e, a) }
	case q.Verb == core.JobGet:
		return func(a core.JobAnswer) { o.judgeState(e, core.JobID(id), a) }
	}
	return nil
}
