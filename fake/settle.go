package fake

import (
	"sort"
	"time"

	"jayloft/core"
)

// quietFor is how long the World must be without faults and open tasks before
// Settle looks for leaks.
const quietFor = 20 * time.Second

// Settle waits until the faults are over, brings every data centre back and
// lets the World run until all accepted jobs have ended, for at most the given
// time. What hasn't ended by then is a violation of PointLive.
func (w *World) Settle(limit time.Duration) {
	for _, e := range w.entries {
		e.proc.trap = nil
	}
	for _, m := range w.vms {
		m.agent.proc.trap = nil
	}
	w.Run(max(w.oracle.quiet.Sub(w.now), 0) + recovery)
	for dc := range w.cfg.dcs {
		if _, out := w.oracle.outs[dcName(dc)]; out {
			w.Do(Return{DC: dc})
		}
	}
	end, busy := w.now.Add(limit), w.now
	for w.now.Before(end) && w.now.Sub(busy) < quietFor && len(w.oracle.found) == 0 {
		w.Run(time.Second)
		if len(w.oracle.open()) > 0 || !w.oracle.told() {
			busy = w.now
		}
	}
	if len(w.oracle.found) == 0 {
		w.oracle.settled()
	}
}

// told reports whether every command has its final answer.
func (o *Oracle) told() bool {
	for _, p := range o.commands {
		if !p.final() {
			return false
		}
	}
	return true
}

// open returns the tasks that have not ended, in order.
func (o *Oracle) open() []core.TaskID {
	var ids []core.TaskID
	for _, r := range o.rows {
		for n, t := range r.Tasks {
			if !t.State.Final() {
				ids = append(ids, core.TaskID{Job: r.Spec.ID, N: n})
			}
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].String() < ids[j].String() })
	return ids
}

// settled checks that nothing is left open or held.
func (o *Oracle) settled() {
	for _, id := range o.open() {
		t := o.rows[id.Job].Tasks[id.N]
		o.fail(PointLive, "%s is still %s, attempt %d at %s: %s", id, t.State, t.Attempt, t.Holder.Inc, t.Reason)
	}
	for _, p := range o.sortedCommands() {
		if !p.final() {
			o.fail(PointLive, "command %s %+v got no final answer in %d tries", p.id, p.cmd, p.sent)
		}
		if job, ok := p.cmd.(core.CreateJob); ok {
			o.accepted(p, job.Spec.ID)
		}
	}
	for _, m := range o.w.vms {
		b := m.agent.beat
		if !m.agent.proc.up || len(b.Running) > 0 || b.Committed != o.shared {
			o.fail(PointLive, "%s still holds %v, committed %s", m.id, b.Running, b.Committed)
		}
		for _, a := range m.worker.order {
			if m.worker.tasks[a].state != core.WorkerEnded {
				o.fail(PointLive, "%s still runs %s", m.id, a)
			}
		}
	}
}

// accepted checks that a job which was answered as accepted is kept.
func (o *Oracle) accepted(p *operation, id core.JobID) {
	for _, r := range p.results {
		if _, ok := o.rows[id]; r.Outcome == core.CommandDone && !ok {
			o.fail(PointLive, "job %s was accepted, but the table has no row", id)
		}
	}
}

func (o *Oracle) sortedCommands() []*operation {
	var s []*operation
	for _, p := range o.commands {
		s = append(s, p)
	}
	sort.Slice(s, func(i, j int) bool { return s[i].id < s[j].id })
	return s
}
