package fake

import (
	"fmt"
	"time"

	"jayloft/core"
	"jayloft/table"
)

// agent is an agent process: a reducer and what carries out its effects.
type agent struct {
	w       *World
	vm      *vm
	proc    *proc
	reducer AgentReducer
	wakes   int
	leaving bool
	run     core.Run
	known   uint64         // newest configuration that an entry has told it of
	beat    core.Heartbeat // its last
	serves  map[core.Token]pendingServe
	starts  map[core.Token]func(core.StartReply)
	settles map[core.Token]func(core.SettleReply)
	revokes map[core.Token]func(core.RevokeReply)
}

type pendingServe struct {
	id    core.RequestID
	reply func(core.ServeAnswer)
}

func newAgent(w *World, m *vm, p *proc) *agent { return &agent{w: w, vm: m, proc: p} }

func (g *agent) start() {
	g.w.boot(g.proc)
	g.leaving, g.known = false, 0
	g.run = core.Run(fmt.Sprintf("%s-run%d", g.vm.id, g.proc.life))
	g.serves = make(map[core.Token]pendingServe)
	g.starts = make(map[core.Token]func(core.StartReply))
	g.settles = make(map[core.Token]func(core.SettleReply))
	g.revokes = make(map[core.Token]func(core.RevokeReply))
	site := core.AgentIdentity{
		Worker: g.vm.id, DC: g.vm.dc, Rack: g.vm.rack, Addr: g.vm.addr(), Run: g.run,
	}
	for i := range g.w.cfg.entries {
		if !g.w.cfg.discover {
			site.Entries = append(site.Entries, entryAddr(i))
		}
	}
	g.beat = core.Heartbeat{}
	g.reducer = core.NewAgent(site, g.w.cfg.core...)
	g.reduce(core.Tick{})
}

func (g *agent) kill() { g.w.kill(g.proc) }

func (g *agent) leave(d time.Duration) {
	if !g.proc.up || g.leaving {
		return
	}
	g.leaving = true
	g.w.oracle.leaves(g.proc, d)
	g.w.deliver(g.proc, g.proc.life, func() {
		g.reduce(core.Leave{Deadline: g.proc.clock.local(g.w.now.Add(d))})
	})
}

func (g *agent) reduce(ev core.AgentEvent) {
	life := g.proc.life
	if g.w.trace != nil {
		g.w.log(g.proc.name, fmt.Sprintf("<- %T%+v", ev, ev))
	}
	for _, eff := range g.reducer.Reduce(g.w.stamp(g.proc), ev) {
		if !g.proc.up || g.proc.life != life {
			return
		}
		if g.w.trace != nil {
			g.w.log(g.proc.name, fmt.Sprintf("-> %T%+v", eff, eff))
		}
		g.proc.emits(kindOf(eff))
		g.carry(eff, life)
	}
}

// carry does one effect. A process that is paused meanwhile does it later.
func (g *agent) carry(eff core.AgentEffect, life int) {
	if g.proc.paused {
		g.proc.undone = append(g.proc.undone, func() { g.carry(eff, life) })
		return
	}
	switch x := eff.(type) {
	case core.Wake:
		g.wake(x.At)
	case core.Count:
		g.w.counts[x.Name+" "+string(x.Reason)]++
	case core.Exit:
		g.exit()
	case core.SendBeat:
		g.sendBeat(x)
	case core.ReadEntries:
		s := g.w.store
		s.view(g.proc, core.PrefixEntry, func() table.View { return s.changes(core.PrefixEntry, 0) },
			func(v table.View, f core.Fault) { g.reduce(core.EntriesRead{View: v, Fault: f}) })
	case core.StartReply:
		answerTo(g.starts, x.Token, x)
	case core.SettleReply:
		answerTo(g.settles, x.Token, x)
	case core.RevokeReply:
		answerTo(g.revokes, x.Token, x)
	case core.ServeReply:
		if s, ok := g.serves[x.Token]; ok {
			delete(g.serves, x.Token)
			s.reply(x.Answer)
		}
	default:
		g.work(eff)
	}
}

func (g *agent) wake(at time.Time) {
	g.wakes++
	n, life := g.wakes, g.proc.life
	t := g.proc.clock.world(at)
	if !t.After(g.w.now) {
		t = g.w.now.Add(localHop)
	}
	g.w.at(t, func() {
		g.w.deliver(g.proc, life, func() {
			if g.wakes == n {
				g.reduce(core.Tick{})
			}
		})
	})
}

func (g *agent) exit() {
	g.w.oracle.agentLeft(g)
	g.w.kill(g.proc)
	g.w.after(g.w.between(0, 2*time.Second), func() {
		if !g.proc.up && !g.vm.off {
			g.start()
		}
	})
}

func (g *agent) sendBeat(x core.SendBeat) {
	g.w.oracle.beatSent(g, x.Heartbeat)
	g.beat = x.Heartbeat
	to := g.w.entryAt(x.Entry)
	r := request[core.HeartbeatAnswer]{
		from: g.proc, limit: peerLimit,
		done: func(a core.HeartbeatAnswer, f core.Fault) { g.beatAnswered(x, a, f) },
	}
	if to != nil {
		r.to = to.proc
		r.serve = func(reply func(core.HeartbeatAnswer)) {
			t := g.w.nextToken()
			to.beats[t] = reply
			to.reduce(core.HeartbeatReceived{Token: t, Heartbeat: x.Heartbeat})
		}
	}
	send(g.w, r)
}

func (g *agent) beatAnswered(x core.SendBeat, a core.HeartbeatAnswer, f core.Fault) {
	if f == core.FaultNone {
		g.known = max(g.known, a.Config)
	}
	g.reduce(core.HeartbeatAnswered{Entry: x.Entry, Sent: x.Heartbeat.Sent, Answer: a, Fault: f})
}

// startAsked and its kin are called in the agent when a message arrives.
func (g *agent) startAsked(o core.Order, reply func(core.StartReply)) {
	t := g.w.nextToken()
	g.starts[t] = reply
	g.reduce(core.StartAsked{Token: t, Order: o})
}

func (g *agent) settleAsked(x core.Settle, reply func(core.SettleReply)) {
	t := g.w.nextToken()
	g.settles[t] = reply
	g.reduce(core.SettleAsked{Token: t, Attempt: x.Attempt, Inc: x.Inc})
}

func (g *agent) serveAsked(x core.Serve, left time.Duration, reply func(core.ServeAnswer)) {
	t := g.w.nextToken()
	g.serves[t] = pendingServe{id: x.Request.ID, reply: reply}
	q := x.Request
	q.Deadline = g.proc.clock.local(g.w.now.Add(left))
	g.w.oracle.reached(g, q.ID)
	g.reduce(core.ServeAsked{Token: t, Call: x.Name, Inc: x.Inc, Run: x.Run, Request: q})
}

func (g *agent) revokeAsked(x core.Revoke, reply func(core.RevokeReply)) {
	t := g.w.nextToken()
	g.revokes[t] = reply
	g.reduce(core.RevokeAsked{Token: t, ID: x.ID, Run: x.Run})
}

// localLimit is how long an agent waits for its worker.
const localLimit = time.Second

// work carries out the effects that call the VM's worker.
func (g *agent) work(eff core.AgentEffect) {
	k := g.vm.worker
	switch x := eff.(type) {
	case core.Inspect:
		local(g, localLimit, k.inspect, func(ev core.Inspected, f core.Fault) {
			ev.Fault = f
			g.reduce(ev)
		})
	case core.Launch:
		local(g, localLimit, func() launched { return k.launch(x) }, func(l launched, f core.Fault) {
			g.reduce(core.Launched{Attempt: x.Order.Attempt, Started: l.ok, Reason: l.reason, Fault: f})
		})
	case core.Renew:
		x.Attempts = append([]core.Attempt(nil), x.Attempts...)
		local(g, localLimit, func() launched { k.renew(x); return launched{} }, func(launched, core.Fault) {})
	case core.Control:
		local(g, localLimit, func() launched { return k.control(x) }, func(l launched, f core.Fault) {
			g.reduce(core.Controlled{Attempt: x.Attempt, Verb: x.Verb, Done: l.ok, Fault: f})
		})
	case core.Call:
		left := max(g.proc.clock.world(x.Deadline).Sub(g.w.now), 0)
		send(g.w, request[core.Called]{
			from: g.proc, to: k.proc, limit: left + time.Second,
			serve: func(reply func(core.Called)) { k.call(x, reply) },
			done: func(c core.Called, f core.Fault) {
				c.ID, c.Fault = x.ID, f
				g.reduce(c)
			},
		})
	}
}

// slowWorker is the longest time that a worker takes for a call while it is
// unwell.
const slowWorker = 3 * time.Second

// local calls the VM's worker.
func local[A any](g *agent, limit time.Duration, do func() A, done func(A, core.Fault)) {
	k := g.vm.worker
	send(g.w, request[A]{
		from: g.proc, to: k.proc, limit: limit, done: done,
		serve: func(reply func(A)) {
			if !k.unwell {
				reply(do())
				return
			}
			life := k.proc.life
			g.w.after(g.w.between(0, slowWorker), func() {
				g.w.deliver(k.proc, life, func() { reply(do()) })
			})
		},
	})
}
