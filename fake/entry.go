package fake

import (
	"fmt"
	"net/netip"
	"time"

	"jayloft/core"
	"jayloft/table"
)

// entry is an entry process: a reducer and what carries out its effects.
type entry struct {
	w        *World
	n        int
	proc     *proc
	reducer  EntryReducer
	wakes    int
	leaving  bool
	beats    map[core.Token]func(core.HeartbeatAnswer)
	hears    map[core.Token]func(core.LivenessReply)
	commands map[core.Token]func(core.CommandResult)

	jobRequests map[core.Token]func(core.JobAnswer)
	queries     map[core.Token]func(core.CommandResult) // statements that read
	// judges are told of the entry's decisions on reads, when it makes them.
	judges map[core.Token]judge
	// passing is set while the entry handles another entry's answer.
	passing *core.JobAnswer
	backlog []core.EntryEvent // events that wait for the processor
	busy    bool              // an event is being handled, see EntryCost
}

func newEntry(w *World, n int) *entry {
	name := fmt.Sprintf("e%d", n)
	return &entry{w: w, n: n, proc: w.newProc(name, name)}
}

func (e *entry) start() {
	e.w.boot(e.proc)
	e.leaving = false
	e.beats = make(map[core.Token]func(core.HeartbeatAnswer))
	e.hears = make(map[core.Token]func(core.LivenessReply))
	e.commands = make(map[core.Token]func(core.CommandResult))
	e.jobRequests = make(map[core.Token]func(core.JobAnswer))
	e.queries = make(map[core.Token]func(core.CommandResult))
	e.judges = make(map[core.Token]judge)
	e.backlog, e.busy = nil, false
	identity := core.EntryIdentity{ID: e.id(), Addr: entryAddr(e.n), DC: dcName(e.n % e.w.cfg.dcs), Millicores: 800}
	e.reducer = core.NewEntry(identity, e.w.cfg.core...)
	e.reduce(core.Tick{})
}

// id names this life of the process.
func (e *entry) id() core.EntryID {
	return core.EntryID(fmt.Sprintf("%s-%d", e.proc.name, e.proc.life))
}

// serving reports whether the balancer sends callers here.
func (e *entry) serving() bool { return e.proc.up && !e.leaving }

func (e *entry) kill() {
	e.w.kill(e.proc)
	e.w.oracle.entryDied(e)
}

// leave asks the process to stop; its place is taken by a new one.
func (e *entry) leave(d time.Duration) {
	if !e.serving() {
		return
	}
	e.leaving = true
	e.w.oracle.leaves(e.proc, d)
	life := e.proc.life
	e.w.deliver(e.proc, life, func() {
		e.reduce(core.Leave{Deadline: e.proc.clock.local(e.w.now.Add(d))})
	})
}

// reduce passes an event to the reducer: at once, or after those before it if events cost
// processor time.
func (e *entry) reduce(ev core.EntryEvent) {
	if e.w.cfg.entryCost == nil {
		e.handle(ev)
		return
	}
	e.backlog = append(e.backlog, ev)
	if !e.busy {
		e.advanceBacklog(e.proc.life)
	}
}

// advanceBacklog handles the next event of the backlog, and the others once the processor
// time that it took has passed.
func (e *entry) advanceBacklog(life int) {
	if !e.proc.up || e.proc.life != life {
		return
	}
	if e.busy = len(e.backlog) > 0; !e.busy {
		return
	}
	ev := e.backlog[0]
	e.backlog = e.backlog[1:]
	e.handle(ev)
	e.w.after(e.w.cfg.entryCost(e.reducer, ev), func() {
		e.w.deliver(e.proc, life, func() { e.advanceBacklog(life) })
	})
}

func (e *entry) handle(ev core.EntryEvent) {
	life := e.proc.life
	if e.w.trace != nil {
		e.w.log(e.proc.name, fmt.Sprintf("<- %T%+v", ev, ev))
	}
	effects := e.reducer.Reduce(e.w.stamp(e.proc), ev)
	e.judge(effects)
	for _, eff := range effects {
		if !e.proc.up || e.proc.life != life {
			return
		}
		if e.w.trace != nil {
			e.w.log(e.proc.name, fmt.Sprintf("-> %T%+v", eff, eff))
		}
		e.proc.emits(kindOf(eff))
		e.carry(eff, life)
	}
}

// carry does one effect. A process that is paused meanwhile does it later.
func (e *entry) carry(eff core.EntryEffect, life int) {
	if e.proc.paused {
		e.proc.undone = append(e.proc.undone, func() { e.carry(eff, life) })
		return
	}
	switch x := eff.(type) {
	case core.Wake:
		e.wake(x.At)
	case core.Count:
		e.w.counts[x.Name+" "+string(x.Reason)]++
	case core.Exit:
		e.exit()
	case core.Answer:
		e.w.oracle.answered(e, x)
	case core.BeatReply:
		e.beatReply(x)
	case core.LivenessReply:
		answerTo(e.hears, x.Token, x)
	case core.CommandReply:
		answerTo(e.commands, x.Token, x.Result)
		answerTo(e.queries, x.Token, x.Result)
	case core.JobReply:
		answerTo(e.jobRequests, x.Token, x.Answer)
	case core.Commit, core.ReadChanges, core.ReadRows:
		e.table(x)
	default:
		e.ask(eff)
	}
}

// answerTo answers the call behind a token, once.
func answerTo[A any](m map[core.Token]func(A), t core.Token, a A) {
	if reply, ok := m[t]; ok {
		delete(m, t)
		reply(a)
	}
}

func (e *entry) wake(at time.Time) {
	e.wakes++
	n, life := e.wakes, e.proc.life
	t := e.proc.clock.world(at)
	if !t.After(e.w.now) {
		t = e.w.now.Add(localHop)
	}
	e.w.at(t, func() {
		e.w.deliver(e.proc, life, func() {
			if e.wakes == n {
				e.reduce(core.Tick{})
			}
		})
	})
}

func (e *entry) exit() {
	e.w.oracle.entryLeft(e)
	e.w.kill(e.proc)
	e.w.after(e.w.between(0, 2*time.Second), func() {
		if !e.proc.up {
			e.start()
		}
	})
}

func (e *entry) beatReply(r core.BeatReply) {
	e.w.oracle.entryConfig(e, r.Answer.Config)
	answerTo(e.beats, r.Token, r.Answer)
}

func (e *entry) table(eff core.EntryEffect) {
	s := e.w.store
	switch x := eff.(type) {
	case core.Commit:
		s.commit(e.proc, x.Txn, func(r table.Result, f core.Fault) {
			e.reduce(core.CommitAnswered{Token: x.Token, Result: r, Fault: f})
		})
	case core.ReadChanges:
		s.view(e.proc, x.Prefix, func() table.View { return s.changes(x.Prefix, x.Since) },
			func(v table.View, f core.Fault) {
				e.reduce(core.ChangesAnswered{Token: x.Token, View: v, Fault: f})
			})
	case core.ReadRows:
		s.view(e.proc, x.Keys[0], func() table.View { return s.read(x.Keys) },
			func(v table.View, f core.Fault) {
				e.reduce(core.RowsAnswered{Token: x.Token, View: v, Fault: f})
			})
	}
}

// peerLimit is how long a process waits for another of jayloft's own.
const peerLimit = time.Second

// ask carries out the effects that call agents and other entries.
func (e *entry) ask(eff core.EntryEffect) {
	switch x := eff.(type) {
	case core.Serve:
		e.serve(x)
	case core.Revoke:
		e.revoke(x)
	case core.Start:
		send(e.w, request[core.StartReply]{
			from: e.proc, to: e.agent(x.Addr), limit: peerLimit,
			serve: func(reply func(core.StartReply)) { e.w.agentAt(x.Addr).startAsked(x.Order, reply) },
			done: func(r core.StartReply, f core.Fault) {
				e.reduce(core.StartAnswered{Token: x.Token, Started: r.Started, Reason: r.Reason, Fault: f})
			},
		})
	case core.Stop:
		send(e.w, request[struct{}]{
			from: e.proc, to: e.agent(x.Addr), limit: peerLimit,
			serve: func(func(struct{})) {
				e.w.agentAt(x.Addr).reduce(core.StopAsked{Attempt: x.Attempt, Inc: x.Inc, Kind: x.Kind, Reason: x.Reason})
			},
			done: func(struct{}, core.Fault) {},
		})
	case core.Settle:
		send(e.w, request[core.SettleReply]{
			from: e.proc, to: e.agent(x.Addr), limit: peerLimit,
			serve: func(reply func(core.SettleReply)) { e.w.agentAt(x.Addr).settleAsked(x, reply) },
			done: func(r core.SettleReply, f core.Fault) {
				e.reduce(core.SettleAnswered{Token: x.Token, State: r.State, Fault: f})
			},
		})
	case core.QueryLiveness:
		e.hear(x)
	case core.Relay:
		e.relay(x)
	}
}

func (e *entry) agent(a netip.AddrPort) *proc {
	if to := e.w.agentAt(a); to != nil {
		return to.proc
	}
	return nil
}

func (e *entry) serve(x core.Serve) {
	left := e.proc.clock.world(x.Request.Deadline).Sub(e.w.now)
	send(e.w, request[core.ServeAnswer]{
		from: e.proc, to: e.agent(x.Addr), limit: max(left, 0) + e.w.between(0, 50*time.Millisecond),
		serve: func(reply func(core.ServeAnswer)) { e.w.agentAt(x.Addr).serveAsked(x, left, reply) },
		done: func(a core.ServeAnswer, f core.Fault) {
			e.reduce(core.ServeAnswered{Call: x.Call, Answer: a, Fault: f})
		},
	})
}

func (e *entry) revoke(x core.Revoke) {
	left := max(e.proc.clock.world(x.Deadline).Sub(e.w.now), time.Millisecond)
	send(e.w, request[core.RevokeReply]{
		from: e.proc, to: e.agent(x.Addr), limit: min(left, peerLimit),
		serve: func(reply func(core.RevokeReply)) { e.w.agentAt(x.Addr).revokeAsked(x, reply) },
		done: func(r core.RevokeReply, f core.Fault) {
			e.reduce(core.RevokeAnswered{Call: x.Call, State: r.State, Answer: r.Answer, Fault: f})
		},
	})
}

func (e *entry) hear(x core.QueryLiveness) {
	to := e.w.entryAt(x.Addr)
	r := request[core.LivenessReply]{
		from: e.proc, limit: peerLimit,
		done: func(r core.LivenessReply, f core.Fault) {
			e.reduce(core.LivenessAnswered{Token: x.Token, Alive: r.Alive, Unsure: r.Unsure, Unsettled: r.Unsettled, Fault: f})
		},
	}
	if to != nil {
		r.to = to.proc
		r.serve = func(reply func(core.LivenessReply)) {
			t := e.w.nextToken()
			to.hears[t] = reply
			to.reduce(core.LivenessAsked{Token: t, Workers: x.Workers})
		}
	}
	send(e.w, r)
}

// IsHome reports whether the n-th entry is a home by its own view.
func (w *World) IsHome(n int) bool {
	r, ok := w.entries[n].reducer.(*core.Entry)
	return ok && w.entries[n].proc.up && r.IsHome()
}
