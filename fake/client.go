package fake

import (
	"fmt"
	"time"

	"jayloft/core"
)

// client stands for callers and operators behind the platform's balancer.
type client struct {
	w        *World
	proc     *proc
	jobs     []core.JobID
	requests int
	ops      int
}

func newClient(w *World) *client {
	c := &client{w: w, proc: w.newProc("client", "client")}
	w.boot(c.proc)
	return c
}

// operation is an operator's command and what became of it.
type operation struct {
	id      string
	cmd     core.Command
	tries   int // how often the client has sent it
	sent    int // how often a copy has arrived
	results []core.CommandResult
}

// final reports whether an entry has said what became of the command.
func (p *operation) final() bool {
	for _, r := range p.results {
		if !again(r) {
			return true
		}
	}
	return false
}

// again reports whether the command has to be sent again.
func again(r core.CommandResult) bool {
	return r.Outcome == core.CommandUnknown || (r.Outcome != core.CommandDone && r.RetryAfter > 0)
}

// commandLimit is how long a client waits for the answer to a command.
const commandLimit = 6 * time.Second

// pick returns an entry that the balancer knows to serve: the n-th, or the
// next one that does.
func (c *client) pick(n int) *entry {
	for i := range c.w.entries {
		if e := c.w.entries[(n+i)%len(c.w.entries)]; e.serving() {
			return e
		}
	}
	return nil
}

// command sends a command and repeats it with the same id until an entry says
// what became of it.
func (c *client) command(n int, cmd core.Command) {
	c.ops++
	p := &operation{id: fmt.Sprintf("op%d", c.ops), cmd: cmd}
	c.w.oracle.commands[p.id] = p
	c.attempt(n, p)
}

func (c *client) attempt(n int, p *operation) {
	e := c.pick(n)
	if e == nil {
		c.w.after(time.Second, func() { c.attempt(n+1, p) })
		return
	}
	p.tries++
	first := p.tries == 1
	send(c.w, request[core.CommandResult]{
		from: c.proc, to: e.proc, limit: commandLimit,
		serve: func(reply func(core.CommandResult)) {
			p.sent++
			t := c.w.nextToken()
			e.commands[t] = reply
			e.reduce(core.CommandAsked{Token: t, ID: p.id, Text: fmt.Sprintf("%+v", p.cmd), Command: p.cmd, First: first})
		},
		done: func(r core.CommandResult, f core.Fault) { c.answered(n, p, r, f) },
	})
}

func (c *client) answered(n int, p *operation, r core.CommandResult, f core.Fault) {
	if f != core.FaultNone {
		c.w.after(c.w.between(0, time.Second), func() { c.attempt(n+1, p) })
		return
	}
	p.results = append(p.results, r)
	c.w.oracle.tell(p, r)
	if again(r) {
		c.w.after(time.Second+r.RetryAfter, func() { c.attempt(n+1, p) })
	}
}

// tell checks the answer to a command against the table. An entry that refuses
// a command which was sent before, and asks to have it sent again, says nothing
// of the earlier copies.
func (o *Oracle) tell(p *operation, r core.CommandResult) {
	row, ok := o.ops[p.id]
	switch r.Outcome {
	case core.CommandDone:
		if !ok {
			o.fail(PointCommand, "command %s %+v is answered done, but the table has no record", p.id, p.cmd)
		} else if r.Version != row.Version {
			o.fail(PointCommand, "command %s is answered with version %d, but made %d", p.id, r.Version, row.Version)
		} else if v := condition(p.cmd); v.Set && r.Version != v.N+1 {
			o.fail(PointCommand, "command %s is conditional on version %d, but made %d", p.id, v.N, r.Version)
		}
	case core.CommandRefused, core.CommandConflict:
		if ok && (r.RetryAfter == 0 || p.sent == 1) {
			o.fail(PointCommand, "command %s %+v is answered %s (%s), but took effect", p.id, p.cmd, r.Outcome, r.Text)
		}
	case core.CommandUnknown:
	default:
		o.fail(PointCommand, "command %s is answered with outcome %q", p.id, r.Outcome)
	}
}

// condition returns the version that a command depends on.
func condition(cmd core.Command) core.VersionCond {
	switch c := cmd.(type) {
	case core.Drain:
		return c.If
	case core.Return:
		return c.If
	}
	return core.VersionCond{}
}

// opWritten checks that a command takes effect only if no final answer denied it, and not
// while its only copy was answered with a refusal. The record of a refusal is no effect.
func (o *Oracle) opWritten(r core.OpRow) {
	if r.Refused != "" {
		return
	}
	o.ops[r.ID] = r
	p := o.commands[r.ID]
	if p == nil {
		return
	}
	for _, res := range p.results {
		denied := res.Outcome == core.CommandRefused || res.Outcome == core.CommandConflict
		if denied && (res.RetryAfter == 0 || p.sent == 1) {
			o.fail(PointCommand, "command %s takes effect after it was answered %s (%s)", r.ID, res.Outcome, res.Text)
		}
	}
}

// submit sends a job.
func (c *client) submit(n int, spec core.JobSpec) {
	spec.ID = core.JobID(fmt.Sprintf("job%d", len(c.jobs)))
	c.jobs = append(c.jobs, spec.ID)
	c.command(n, core.CreateJob{Spec: spec})
}

// ask sends a caller's request to an entry.
func (c *client) ask(n int, service string, idem bool, timeout time.Duration, gone bool) {
	e := c.pick(n)
	if e == nil {
		return
	}
	c.requests++
	id := core.RequestID(fmt.Sprintf("r%d", c.requests))
	life := e.proc.life
	c.w.after(c.w.between(leastHop, mostHop), func() {
		c.w.deliver(e.proc, life, func() { c.arrive(e, id, service, idem, timeout) })
	})
	if gone {
		c.w.after(timeout/2, func() {
			c.w.deliver(e.proc, life, func() {
				if r := c.w.oracle.requests[id]; r != nil && len(r.answers) == 0 {
					r.gone = true
					e.reduce(core.RequestAbandoned{ID: id})
				}
			})
		})
	}
}

func (c *client) arrive(e *entry, id core.RequestID, service string, idem bool, timeout time.Duration) {
	now := c.w.now
	q := core.Request{
		ID: id, Service: service, Team: "red", Body: []byte(id), Idempotent: idem,
		Deadline: e.proc.clock.local(now.Add(timeout)),
	}
	for _, s := range c.w.cfg.services {
		if s.Name == service {
			q.Team = s.Team
			idem = idem || s.Idempotent
		}
	}
	c.w.oracle.arrived(e, q, idem, now.Add(timeout))
	e.reduce(core.RequestArrived{Request: q})
}
