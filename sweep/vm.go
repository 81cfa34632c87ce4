package sweep

import (
	"fmt"
	"slices"
	"time"

	"jayloft/core"
	"jayloft/stand"
)

// vm is a worker's VM and the agent on it. They die together.
type vm struct {
	sim     *Sim
	n, dc   int
	host    host
	lives   int
	model   *stand.Model
	reducer *core.Agent
	wakes   int
	serves  replies[core.ServeAnswer]
	starts  replies[core.StartReply]
	settles replies[core.SettleReply]
	revokes replies[core.RevokeReply]
}

func newVM(s *Sim, n, dc int) *vm {
	v := &vm{sim: s, n: n, dc: dc}
	v.model = stand.NewModel(stand.Spec{
		Worker: workerName(n), Capacity: s.site.Capacity, Slots: s.site.Slots,
		Services: []string{s.site.Service}, Lag: usageLag,
	}, s.time(), s.site.options(s.journal)...)
	return v
}

// start boots the VM and its agent.
func (v *vm) start() {
	s := v.sim
	v.lives++
	v.host.life = v.lives
	v.model.Boot(s.time())
	v.serves, v.starts = replies[core.ServeAnswer]{}, replies[core.StartReply]{}
	v.settles, v.revokes = replies[core.SettleReply]{}, replies[core.RevokeReply]{}
	site := core.AgentIdentity{
		Worker: workerName(v.n), DC: dcName(v.dc), Rack: core.Rack(fmt.Sprintf("r%d", v.n/3)),
		Addr: agentAddr(v.n), Run: core.Run(fmt.Sprintf("w%d-%d", v.n+1, v.lives)),
	}
	for i := range s.entries {
		site.Entries = append(site.Entries, entryAddr(i))
	}
	v.reducer = core.NewAgent(site, s.opts...)
	v.reduce(core.Tick{})
}

func (v *vm) kill() {
	v.model.Kill(v.sim.time())
	v.host.life = down
}

func (v *vm) reduce(ev core.AgentEvent) {
	for _, eff := range v.reducer.Reduce(v.sim.stamp(), ev) {
		v.carry(eff)
	}
}

// carry carries out one effect, later.
func (v *vm) carry(eff core.AgentEffect) {
	switch x := eff.(type) {
	case core.Wake:
		v.wake(x.At)
	case core.Count:
		v.sim.tally.counts[x.Name+" "+string(x.Reason)]++
	case core.SendBeat:
		v.beat(x)
	case core.StartReply:
		v.starts.answer(x.Token, x)
	case core.SettleReply:
		v.settles.answer(x.Token, x)
	case core.RevokeReply:
		v.revokes.answer(x.Token, x)
	case core.ServeReply:
		v.serves.answer(x.Token, x.Answer)
	default:
		v.work(eff)
	}
}

func (v *vm) wake(at time.Time) {
	v.wakes++
	n, life := v.wakes, v.host.life
	v.sim.at(max(at.Sub(Epoch), v.sim.now+time.Microsecond), func() {
		if v.wakes == n && v.host.life == life {
			v.reduce(core.Tick{})
		}
	})
}

func (v *vm) beat(x core.SendBeat) {
	to := v.sim.entryAt(x.Entry)
	send(v.sim, message[core.HeartbeatAnswer]{
		from: &v.host, to: &to.host, limit: peerLimit,
		serve: func(reply func(core.HeartbeatAnswer)) {
			t := v.sim.nextToken()
			to.beats[t] = reply
			to.reduce(core.HeartbeatReceived{Token: t, Heartbeat: x.Heartbeat})
		},
		done: func(a core.HeartbeatAnswer, f core.Fault) {
			v.reduce(core.HeartbeatAnswered{Entry: x.Entry, Sent: x.Heartbeat.Sent, Answer: a, Fault: f})
		},
	})
}

// serve takes a request from an entry.
func (v *vm) serve(x core.Serve, reply func(core.ServeAnswer)) {
	t := v.sim.nextToken()
	v.serves[t] = reply
	v.reduce(core.ServeAsked{Token: t, Call: x.Name, Inc: x.Inc, Run: x.Run, Request: x.Request})
}

// launched is the worker's answer to a Launch.
type launched struct {
	ok     bool
	reason string
}

// work carries out the effects that call the VM's worker.
func (v *vm) work(eff core.AgentEffect) {
	now, m := v.sim.time, v.model
	switch x := eff.(type) {
	case core.Inspect:
		local(v, func() core.Inspected {
			in := m.Inspect(now())
			v.transfer() // of tasks that were paused meanwhile
			return in
		}, func(ev core.Inspected, f core.Fault) {
			ev.Fault = f
			v.reduce(ev)
		})
	case core.Launch:
		local(v, func() launched {
			ok, reason := m.Launch(now(), x)
			v.transfer()
			return launched{ok, reason}
		}, func(l launched, f core.Fault) {
			v.reduce(core.Launched{Attempt: x.Order.Attempt, Started: l.ok, Reason: l.reason, Fault: f})
		})
	case core.Renew:
		x.Attempts = slices.Clone(x.Attempts)
		local(v, func() struct{} { m.Renew(now(), x); return struct{}{} }, func(struct{}, core.Fault) {})
	case core.Control:
		local(v, func() bool {
			ok, _ := m.Control(now(), x)
			v.transfer()
			return ok
		}, func(ok bool, f core.Fault) {
			v.reduce(core.Controlled{Attempt: x.Attempt, Verb: x.Verb, Done: ok, Fault: f})
		})
	case core.Call:
		v.call(x)
	}
}

// local calls the worker.
func local[A any](v *vm, do func() A, done func(A, core.Fault)) {
	send(v.sim, message[A]{
		from: &v.host, to: &v.host, limit: localLimit, local: true,
		serve: func(reply func(A)) { reply(do()) }, done: done,
	})
}

// call runs a request in the endpoint.
func (v *vm) call(x core.Call) {
	s := v.sim
	send(s, message[core.Called]{
		from: &v.host, to: &v.host, limit: x.Deadline.Sub(s.time()) + time.Second, local: true,
		serve: func(reply func(core.Called)) {
			boot := v.model.Inspect(s.time()).Boot
			d, reason := v.model.Begin(s.time(), x)
			s.tally.began(s.now, v.n)
			if reason != "" {
				reply(core.Called{ID: x.ID, Text: reason})
				return
			}
			s.tally.direct(x.ID, d)
			s.after(d, func() {
				v.model.Finish(s.time(), x.ID, boot, true)
				reply(core.Called{ID: x.ID, OK: true, Body: x.Body})
			})
		},
		done: func(c core.Called, f core.Fault) {
			c.ID, c.Fault = x.ID, f
			v.reduce(c)
		},
	})
}
