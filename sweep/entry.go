package sweep

import (
	"fmt"
	"net/netip"
	"time"

	"jayloft/core"
	"jayloft/table"
)

// entry is an entry process. It never dies.
type entry struct {
	sim      *Sim
	host     host
	reducer  *core.Entry
	wakes    int
	beats    replies[core.HeartbeatAnswer]
	hears    replies[core.LivenessReply]
	commands replies[core.CommandResult]
}

func newEntry(s *Sim, i int) *entry {
	return &entry{
		sim: s, host: host{life: 1},
		reducer: core.NewEntry(core.EntryIdentity{
			ID: core.EntryID(fmt.Sprintf("e%d", i+1)), Addr: entryAddr(i),
		}, s.opts...),
		beats: replies[core.HeartbeatAnswer]{}, hears: replies[core.LivenessReply]{},
		commands: replies[core.CommandResult]{},
	}
}

// reduce passes an event on. No effect is carried out before it returns.
func (e *entry) reduce(ev core.EntryEvent) {
	for _, eff := range e.reducer.Reduce(e.sim.stamp(), ev) {
		e.carry(eff)
	}
}

func (e *entry) carry(eff core.EntryEffect) {
	s := e.sim
	switch x := eff.(type) {
	case core.Wake:
		e.wake(x.At)
	case core.Count:
		s.tally.counts[x.Name+" "+string(x.Reason)]++
	case core.Answer:
		s.tally.answered(s.now, x)
	case core.BeatReply:
		e.beats.answer(x.Token, x.Answer)
	case core.LivenessReply:
		e.hears.answer(x.Token, x)
	case core.CommandReply:
		e.commands.answer(x.Token, x.Result)
	case core.Commit:
		ask(e, func(t *store) table.Result { return t.commit(x.Txn) }, func(r table.Result, f core.Fault) {
			e.reduce(core.CommitAnswered{Token: x.Token, Result: r, Fault: f})
		})
	case core.ReadChanges:
		ask(e, func(t *store) table.View { return t.changes(x.Prefix, x.Since) }, func(v table.View, f core.Fault) {
			e.reduce(core.ChangesAnswered{Token: x.Token, View: v, Fault: f})
		})
	case core.ReadRows:
		ask(e, func(t *store) table.View { return t.read(x.Keys) }, func(v table.View, f core.Fault) {
			e.reduce(core.RowsAnswered{Token: x.Token, View: v, Fault: f})
		})
	default:
		e.call(eff)
	}
}

func (e *entry) wake(at time.Time) {
	e.wakes++
	n := e.wakes
	e.sim.at(max(at.Sub(Epoch), e.sim.now+time.Microsecond), func() {
		if e.wakes == n {
			e.reduce(core.Tick{})
		}
	})
}

// call carries out the effects that call agents and other entries.
func (e *entry) call(eff core.EntryEffect) {
	s := e.sim
	switch x := eff.(type) {
	case core.Serve:
		v := s.agentAt(x.Addr)
		send(s, message[core.ServeAnswer]{
			from: &e.host, to: &v.host, limit: x.Request.Deadline.Sub(s.time()),
			serve: func(reply func(core.ServeAnswer)) { v.serve(x, reply) },
			done: func(a core.ServeAnswer, f core.Fault) {
				e.reduce(core.ServeAnswered{Call: x.Call, Answer: a, Fault: f})
			},
		})
	case core.Revoke:
		v := s.agentAt(x.Addr)
		send(s, message[core.RevokeReply]{
			from: &e.host, to: &v.host, limit: peerLimit,
			serve: func(reply func(core.RevokeReply)) {
				t := s.nextToken()
				v.revokes[t] = reply
				v.reduce(core.RevokeAsked{Token: t, ID: x.ID, Run: x.Run})
			},
			done: func(r core.RevokeReply, f core.Fault) {
				e.reduce(core.RevokeAnswered{Call: x.Call, State: r.State, Answer: r.Answer, Fault: f})
			},
		})
	case core.QueryLiveness:
		e.hear(x)
	default:
		e.order(eff)
	}
}

// order carries out the effects about tasks.
func (e *entry) order(eff core.EntryEffect) {
	s := e.sim
	switch x := eff.(type) {
	case core.Start:
		v := s.agentAt(x.Addr)
		send(s, message[core.StartReply]{
			from: &e.host, to: &v.host, limit: peerLimit,
			serve: func(reply func(core.StartReply)) {
				t := s.nextToken()
				v.starts[t] = reply
				v.reduce(core.StartAsked{Token: t, Order: x.Order})
			},
			done: func(r core.StartReply, f core.Fault) {
				e.reduce(core.StartAnswered{Token: x.Token, Started: r.Started, Reason: r.Reason, Fault: f})
			},
		})
	case core.Settle:
		v := s.agentAt(x.Addr)
		send(s, message[core.SettleReply]{
			from: &e.host, to: &v.host, limit: peerLimit,
			serve: func(reply func(core.SettleReply)) {
				t := s.nextToken()
				v.settles[t] = reply
				v.reduce(core.SettleAsked{Token: t, Attempt: x.Attempt, Inc: x.Inc})
			},
			done: func(r core.SettleReply, f core.Fault) {
				e.reduce(core.SettleAnswered{Token: x.Token, State: r.State, Fault: f})
			},
		})
	case core.Stop:
		v := s.agentAt(x.Addr)
		send(s, message[struct{}]{
			from: &e.host, to: &v.host, limit: peerLimit,
			serve: func(func(struct{})) {
				v.reduce(core.StopAsked{Attempt: x.Attempt, Inc: x.Inc, Kind: x.Kind, Reason: x.Reason})
			},
			done: func(struct{}, core.Fault) {},
		})
	}
}

func (e *entry) hear(x core.QueryLiveness) {
	to := e.sim.entryAt(x.Addr)
	send(e.sim, message[core.LivenessReply]{
		from: &e.host, to: &to.host, limit: peerLimit,
		serve: func(reply func(core.LivenessReply)) {
			t := e.sim.nextToken()
			to.hears[t] = reply
			to.reduce(core.LivenessAsked{Token: t, Workers: x.Workers})
		},
		done: func(r core.LivenessReply, f core.Fault) {
			e.reduce(core.LivenessAnswered{Token: x.Token, Alive: r.Alive, Unsure: r.Unsure, Unsettled: r.Unsettled, Fault: f})
		},
	})
}

func (s *Sim) entryAt(a netip.AddrPort) *entry {
	for i, e := range s.entries {
		if entryAddr(i) == a {
			return e
		}
	}
	panic("sweep: no entry at " + a.String())
}

func (s *Sim) agentAt(a netip.AddrPort) *vm {
	i := int(a.Addr().As4()[3]) - 1
	return s.vms[i]
}
