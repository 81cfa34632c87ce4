package core_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"jayloft/core"
)

// lateWorker is a worker with one lease for all of its tasks, which may carry out a call
// seconds after its caller gave up waiting.
type lateWorker struct {
	boot     int
	epoch    uint64 // the highest that a call of this boot has carried
	until    time.Time
	lapsedAt time.Time // when the lease last expired
	running  map[core.Attempt]*lateRun
	ends     []lateEnd
	numEnds  int
	refused  map[core.Attempt]bool // stopped or ended here: never starts again
}

// lateRun is a task that the worker runs.
type lateRun struct {
	order  core.Order
	doneAt time.Time
	stopAt time.Time // when a stop takes effect; zero if there is none
}

// lateEnd is an end that the worker lists until it is acknowledged.
type lateEnd struct {
	number  int
	attempt core.Attempt
	kind    core.EndKind
	at      time.Time
}

// lateCall is what a call carries besides its arguments.
type lateCall struct {
	boot   int
	epoch  uint64
	sentAt time.Time
}

// Times of the model, as the platform's pages state them.
const (
	lateMinDelay = 2 * time.Second
	lateMaxDelay = 12 * time.Second
	lateMaxLease = 6 * time.Second
	lateStopTime = 400 * time.Millisecond
	lateTimeout  = time.Second // of a call, beyond the time for which the worker may hold it
	lateStep     = 10 * time.Millisecond
	lateRestart  = 3500 * time.Millisecond
	lateSuspect  = 3500 * time.Millisecond
	lateDrift    = 400 * time.Millisecond
	// lateMaxRefusal is the longest time for which a link refuses connections.
	lateMaxRefusal = 5500 * time.Millisecond
	// lateMaxCallDelay is how long entries wait for calls that may be late.
	lateMaxCallDelay = 13 * time.Second

	lateRunFor    = 45 * time.Second
	lateFrom      = 2 * time.Second
	lateFaultsFor = 24 * time.Second
)

// lateSite is an agent beside a lateWorker, and an entry that gives it orders and records
// the ends that it reports.
type lateSite struct {
	rng   *rand.Rand
	now   time.Time
	a     *core.Agent
	life  int // of the agent
	w     *lateWorker
	queue lateQueue
	added int // events

	known  int // boot that the agent's side knows of
	seen   int // end up to which the worker may forget
	listed map[int]core.Attempt
	forgot map[core.Attempt]bool

	share  float64 // of calls that get no answer
	sameID bool    // the worker restarts under the id that it had
	gone   bool    // the agent is, for good
	downTo time.Time
	// refusedTo is when the link to the worker, which runs on, stops refusing connections.
	refusedTo time.Time

	last     core.Heartbeat
	nextTask int
	claims   map[core.Attempt]*siteClaim
	released map[core.Attempt]time.Time
	done     map[core.Attempt]time.Time // runs that ended as done, while no lease has expired since
	faults   []string
}

// siteClaim is the entry's claim of an attempt.
type siteClaim struct {
	inc        core.Incarnation
	reportedAt time.Time
}

// lateEvent is something that happens at a time.
type lateEvent struct {
	at time.Time
	n  int
	do func()
}

type lateQueue []lateEvent

func (q lateQueue) Len() int { return len(q) }
func (q lateQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].n < q[j].n
	}
	return q[i].at.Before(q[j].at)
}
func (q lateQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *lateQueue) Push(x any)   { *q = append(*q, x.(lateEvent)) }
func (q *lateQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newLateSite(seed uint64) *lateSite {
	s := &lateSite{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0),
		claims: map[core.Attempt]*siteClaim{}, released: map[core.Attempt]time.Time{}, done: map[core.Attempt]time.Time{},
	}
	s.bootWorker(1)
	s.startAgent()
	return s
}

func (s *lateSite) after(d time.Duration, do func()) {
	s.added++
	heap.Push(&s.queue, lateEvent{at: s.now.Add(d), n: s.added, do: do})
}

// between returns a random time span.
func (s *lateSite) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)))
}

func (s *lateSite) fail(text string, a core.Attempt) {
	s.faults = append(s.faults, fmt.Sprintf("%s: %s", a, text))
}

func (s *lateSite) bootWorker(boot int) {
	s.w = &lateWorker{boot: boot, running: map[core.Attempt]*lateRun{}, refused: map[core.Attempt]bool{}}
}

// learnBoot records that the worker has answered in another boot.
func (s *lateSite) learnBoot() {
	s.known = s.w.boot
	s.listed, s.forgot, s.seen = map[int]core.Attempt{}, map[core.Attempt]bool{}, 0
}

// crashWorker ends what the worker runs; it returns with a new boot.
func (s *lateSite) crashWorker() {
	boot := s.w.boot + 1
	s.bootWorker(boot)
	clear(s.done)
	s.downTo = s.now.Add(lateRestart)
}

// startAgent replaces the agent by a new process, which knows nothing.
func (s *lateSite) startAgent() {
	if s.gone {
		return
	}
	s.life++
	p := core.DefaultPolicy()
	p.Lease, p.Permit, p.Drift = lateMaxLease, 2500*time.Millisecond, lateDrift
	p.InspectInterval, p.InspectWait, p.HeartbeatInterval = 50*time.Millisecond, 500*time.Millisecond, time.Second
	self := core.AgentIdentity{
		Worker: "w", DC: "d", Run: core.Run(fmt.Sprint(s.life)), Entries: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
	}
	s.a = core.NewAgent(self, core.WithPolicy(p), core.WithUnreportedIncarnations())
	s.learnBoot()
}

func (s *lateSite) reduce(ev core.AgentEvent) {
	if s.gone {
		return
	}
	life := s.life
	for _, eff := range slices.Clone(s.a.Reduce(core.Stamp{Now: s.now, Seed: 1}, ev)) {
		s.carry(eff, life)
	}
}

// answer hands an event to the agent process that waits for it.
func (s *lateSite) answer(life int, d time.Duration, ev func() core.AgentEvent) {
	s.after(d, func() {
		if s.life == life {
			s.reduce(ev())
		}
	})
}

// call carries out a call at the worker, and reports whether it is answered. One without an
// answer is carried out late, at once, or never. A late call for a worker that has restarted
// meanwhile is refused if the worker has another id.
func (s *lateSite) call(do func()) (answered bool) {
	if s.now.Before(s.downTo) {
		return false
	}
	if s.rng.Float64() >= s.share {
		do()
		return true
	}
	switch boot := s.w.boot; s.rng.IntN(5) {
	case 0:
		do()
	case 1:
	default:
		s.after(s.between(lateMinDelay, lateMaxDelay), func() {
			if s.w.boot == boot || s.sameID && !s.now.Before(s.downTo) {
				do()
			}
		})
	}
	return false
}

// refuses reports whether connections to the worker are refused.
func (s *lateSite) refuses() bool { return s.now.Before(s.refusedTo) }

// refuse answers an effect of the agent as a refused connection does.
func (s *lateSite) refuse(eff core.AgentEffect, life int) {
	var ev core.AgentEvent
	switch eff := eff.(type) {
	case core.Inspect:
		ev = core.Inspected{Fault: core.FaultNotSent}
	case core.Launch:
		ev = core.Launched{Attempt: eff.Order.Attempt, Epoch: eff.Epoch, Fault: core.FaultNotSent}
	case core.Control:
		ev = core.Controlled{Attempt: eff.Attempt, Verb: eff.Verb, Epoch: eff.Epoch, Fault: core.FaultNotSent}
	}
	s.answer(life, time.Millisecond, func() core.AgentEvent { return ev })
}

// isCall reports whether an effect of the agent is a call to the worker.
func isCall(eff core.AgentEffect) bool {
	switch eff := eff.(type) {
	case core.Inspect, core.Launch:
		return true
	case core.Control:
		return eff.Verb == core.VerbStop
	}
	return false
}

func (s *lateSite) carry(eff core.AgentEffect, life int) {
	if s.refuses() && isCall(eff) {
		s.refuse(eff, life)
		return
	}
	switch eff := eff.(type) {
	case core.Inspect:
		s.inspect(eff, life)
	case core.Launch:
		s.launch(eff, life)
	case core.Control:
		s.control(eff, life)
	case core.SendBeat:
		s.receive(eff, life)
	case core.SettleReply:
		a := core.Attempt{Task: core.TaskID{Job: "j", N: int(eff.Token)}, Number: 1}
		if eff.State == core.SettleNever {
			s.release(a)
		}
	}
}

// accepts reports whether the worker carries out a call, and extends its lease: the time of
// a deadline counts from the call's arrival.
func (s *lateSite) accepts(c lateCall, deadline time.Time) bool {
	if c.epoch < s.w.epoch {
		return false
	}
	s.w.epoch = c.epoch
	if !deadline.IsZero() {
		until := s.now.Add(min(deadline.Sub(c.sentAt), lateMaxLease))
		if until.After(s.w.until) {
			s.w.until = until
		}
	}
	return true
}

func (s *lateSite) inspect(eff core.Inspect, life int) {
	c, deadline, seen := s.newCall(eff.Epoch), eff.Deadline, s.seen
	wait := max(eff.Until.Sub(s.now), 0)
	if eff.Until.IsZero() {
		wait = 0
	}
	accepted := false
	answered := s.call(func() {
		if accepted = s.accepts(c, deadline); accepted {
			s.forget(seen)
		}
	})
	if !answered || !accepted {
		s.answer(life, wait+lateTimeout, func() core.AgentEvent { return core.Inspected{Fault: core.FaultNoAnswer} })
		return
	}
	if s.known != s.w.boot {
		s.learnBoot()
		s.inspect(eff, life) // with a higher epoch
		return
	}
	s.answer(life, min(wait, s.between(time.Millisecond, 500*time.Millisecond))+time.Millisecond, func() core.AgentEvent {
		if s.refuses() {
			return core.Inspected{Fault: core.FaultNoAnswer, Broken: true}
		}
		if s.now.Before(s.downTo) || s.w.boot != c.boot {
			return core.Inspected{Fault: core.FaultNoAnswer}
		}
		return s.lists()
	})
}

func (s *lateSite) newCall(epoch uint64) lateCall {
	return lateCall{boot: s.w.boot, epoch: s.base() + epoch, sentAt: s.now}
}

// base is higher for each boot that is known and each process of the agent.
func (s *lateSite) base() uint64 { return uint64(s.life)<<40 + uint64(s.known)<<20 }

// lists returns the worker's lists, as its adapter does.
func (s *lateSite) lists() core.AgentEvent {
	in := core.Inspected{
		Boot: fmt.Sprint(s.w.boot), Capacity: core.Size{Millicores: 16000, MemoryMB: 64000}, Services: []string{"s"},
	}
	for a, r := range s.w.running {
		in.Tasks = append(in.Tasks, core.WorkerTask{Attempt: a, Size: r.order.Size, Urgent: true, State: core.WorkerRunning})
	}
	for _, e := range s.w.ends {
		s.listed[e.number] = e.attempt
		if !s.forgot[e.attempt] {
			in.Tasks = append(in.Tasks, core.WorkerTask{
				Attempt: e.attempt, Size: noIncSize, Urgent: true, State: core.WorkerEnded, End: core.End{Kind: e.kind},
			})
		}
	}
	slices.SortFunc(in.Tasks, func(x, y core.WorkerTask) int { return x.Attempt.Task.N - y.Attempt.Task.N })
	return in
}

// forget drops ends up to a number. Those of runs that are done are taken note of with it.
func (s *lateSite) forget(seen int) {
	s.w.ends = slices.DeleteFunc(s.w.ends, func(e lateEnd) bool {
		if e.number > seen {
			return false
		}
		if at, ok := s.done[e.attempt]; ok && !s.w.lapsedAt.After(at) {
			if _, moved := s.released[e.attempt]; moved {
				s.fail("was given to another worker though done here, and its end is acknowledged", e.attempt)
			}
		}
		return true
	})
}

func (s *lateSite) launch(eff core.Launch, life int) {
	c, a := s.newCall(eff.Epoch), eff.Order.Attempt
	if eff.Boot != fmt.Sprint(s.known) {
		s.answer(life, time.Millisecond, func() core.AgentEvent {
			return core.Launched{Attempt: a, Epoch: eff.Epoch, Fault: core.FaultNotSent}
		})
		return
	}
	started := false
	answered := s.call(func() {
		if s.accepts(c, eff.Deadline) && !s.w.refused[a] && s.now.Before(s.w.until) {
			started = true
			s.start(eff.Order)
		}
	})
	ev := core.Launched{Attempt: a, Epoch: eff.Epoch}
	switch {
	case !answered:
		ev.Fault = core.FaultNoAnswer
		s.answer(life, lateTimeout, func() core.AgentEvent { return ev })
		return
	case started:
		ev.Started = true
	default:
		ev.Reason, ev.Retryable, ev.Superseded = "fence", true, c.epoch < s.w.epoch
	}
	s.answer(life, s.between(time.Millisecond, 5*time.Millisecond), func() core.AgentEvent { return ev })
}

func (s *lateSite) start(o core.Order) {
	a := o.Attempt
	if s.w.running[a] != nil {
		return
	}
	if _, ok := s.released[a]; ok {
		s.fail("starts after it was given to another worker", a)
	}
	s.w.running[a] = &lateRun{order: o, doneAt: s.now.Add(s.between(300*time.Millisecond, 8*time.Second))}
}

func (s *lateSite) control(eff core.Control, life int) {
	c := s.newCall(eff.Epoch)
	switch eff.Verb {
	case core.VerbForget:
		s.acknowledge(eff.Attempt)
	case core.VerbStop:
		done := false
		answered := s.call(func() {
			if done = s.accepts(c, time.Time{}); done {
				s.stop(eff.Attempt)
			}
		})
		ev := core.Controlled{Attempt: eff.Attempt, Verb: eff.Verb, Epoch: eff.Epoch, Done: answered && done}
		if !answered {
			ev.Fault = core.FaultNoAnswer
		}
		s.answer(life, map[bool]time.Duration{true: time.Millisecond, false: lateTimeout}[answered],
			func() core.AgentEvent { return ev })
	}
}

// acknowledge lets the worker forget an end, as its adapter does: in the order of numbers.
func (s *lateSite) acknowledge(a core.Attempt) {
	s.forgot[a] = true
	for {
		next, ok := s.listed[s.seen+1]
		if !ok || !s.forgot[next] {
			return
		}
		s.seen++
	}
}

func (s *lateSite) stop(a core.Attempt) {
	s.w.refused[a] = true
	if r := s.w.running[a]; r != nil && r.stopAt.IsZero() {
		r.stopAt = s.now.Add(lateStopTime)
	}
}

func (s *lateSite) end(a core.Attempt, kind core.EndKind) {
	delete(s.w.running, a)
	s.w.refused[a] = true
	s.w.numEnds++
	s.w.ends = append(s.w.ends, lateEnd{number: s.w.numEnds, attempt: a, kind: kind, at: s.now})
	if kind == core.EndDone {
		s.done[a] = s.now
	}
}

// advanceWorker ends the runs whose time has come.
func (s *lateSite) advanceWorker() {
	lapsed := !s.w.until.IsZero() && s.now.After(s.w.until)
	if lapsed {
		s.w.lapsedAt, s.w.until = s.now, time.Time{}
	}
	for _, a := range s.runningNow() {
		r := s.w.running[a]
		switch {
		case lapsed:
			s.end(a, core.EndLost)
		case !r.stopAt.IsZero() && !s.now.Before(r.stopAt):
			s.end(a, core.EndEvicted)
		case !s.now.Before(r.doneAt):
			s.end(a, core.EndDone)
		}
	}
}

func (s *lateSite) runningNow() []core.Attempt { return sortedAttempts(s.w.running) }

func (s *lateSite) claimed() []core.Attempt { return sortedAttempts(s.claims) }

func sortedAttempts[T any](m map[core.Attempt]T) []core.Attempt {
	return slices.SortedFunc(maps.Keys(m), func(x, y core.Attempt) int { return x.Task.N - y.Task.N })
}

// receive records a heartbeat at the entry and answers it.
func (s *lateSite) receive(eff core.SendBeat, life int) {
	hb := eff.Heartbeat
	s.last = hb
	ans := core.HeartbeatAnswer{Echo: hb.Sent, Config: 1}
	for _, e := range hb.Ends {
		ans.Recorded = append(ans.Recorded, e.Attempt)
		if c := s.claims[e.Attempt]; c != nil && e.Kind == core.EndDone {
			delete(s.claims, e.Attempt)
		}
		s.release(e.Attempt)
	}
	for _, inc := range hb.Dead {
		for a, c := range s.claims {
			if c.inc == inc {
				s.release(a)
			}
		}
	}
	for _, a := range hb.Running {
		if c := s.claims[a]; c != nil {
			c.reportedAt = s.now
		}
	}
	for _, a := range s.claimed() {
		if inc := s.claims[a].inc; inc != hb.Inc {
			ans.Prior = inc
		}
	}
	s.answer(life, 2*time.Millisecond, func() core.AgentEvent {
		return core.HeartbeatAnswered{Entry: eff.Entry, Sent: hb.Sent, Answer: ans}
	})
}

// release gives a claimed attempt's task to another worker.
func (s *lateSite) release(a core.Attempt) {
	if s.claims[a] == nil {
		return
	}
	delete(s.claims, a)
	s.released[a] = s.now
	if s.w.running[a] != nil {
		s.fail("runs here while it is given to another worker", a)
	}
}

// order gives the agent a task, and asks it about those that it doesn't report.
func (s *lateSite) order() {
	if s.gone {
		return
	}
	s.nextTask++
	a := core.Attempt{Task: core.TaskID{Job: "j", N: s.nextTask}, Number: 1}
	s.claims[a] = &siteClaim{inc: s.last.Inc, reportedAt: s.now}
	s.reduce(core.StartAsked{Token: core.Token(s.nextTask), Order: core.Order{
		Attempt: a, Holder: core.Holder{Worker: "w", Inc: s.last.Inc}, Echo: s.last.Sent, Size: noIncSize, Urgent: true,
	}})
}

func (s *lateSite) settle() {
	for _, a := range s.claimed() {
		c := s.claims[a]
		if c != nil && s.now.Sub(c.reportedAt) > 2*time.Second {
			c.reportedAt = s.now
			s.reduce(core.SettleAsked{Token: core.Token(a.Task.N), Attempt: a, Inc: c.inc})
		}
	}
}

// loseAgent ends the agent for good. Its claims move as entries move those of a worker that
// they hear no more: once they suspect and fence it, and its lease has expired.
func (s *lateSite) loseAgent() {
	s.gone = true
	wait := lateSuspect + lateMaxLease + lateDrift
	if s.last.Unsettled {
		wait += lateMaxCallDelay
	}
	s.after(wait-s.now.Sub(s.last.Sent), func() {
		for _, a := range s.claimed() {
			s.release(a)
		}
	})
}

// run plays a day: calls are carried out late for a time, while the worker crashes and the
// agent is restarted.
func (s *lateSite) run() {
	end := s.now.Add(lateRunFor)
	s.after(lateFrom, func() { s.share = 0.3 + 0.5*s.rng.Float64() })
	s.after(lateFaultsFor, func() { s.share = 0 })
	for range s.rng.IntN(3) {
		s.after(s.between(4*time.Second, lateFaultsFor), s.crashWorker)
	}
	for range s.rng.IntN(3) {
		s.after(s.between(4*time.Second, lateFaultsFor), s.startAgent)
	}
	for t := 2 * time.Second; t < lateFaultsFor; t += s.between(100*time.Millisecond, 800*time.Millisecond) {
		s.after(t, s.order)
	}
	for t := time.Second; t < lateRunFor; t += 500 * time.Millisecond {
		s.after(t, s.settle)
	}
	for s.now.Before(end) {
		s.now = s.now.Add(lateStep)
		s.advanceWorker()
		for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
			heap.Pop(&s.queue).(lateEvent).do()
		}
		s.reduce(core.Tick{})
	}
}

// TestLateCallsRunNothingTwice guards against a task that is given to another worker while
// its worker runs it, will start it, or has it done: a call without an answer may take effect
// seconds later.
func TestLateCallsRunNothingTwice(t *testing.T) {
	eachSeed(t, 150, func(t *testing.T, seed uint64) { newLateSite(seed).check(t) })
}

// TestLateCallsAfterRestartUnderSameID is TestLateCallsRunNothingTwice with late calls that
// reach the worker after it has restarted under the id that it had, as if they were meant for
// its new incarnation.
func TestLateCallsAfterRestartUnderSameID(t *testing.T) {
	eachSeed(t, 150, func(t *testing.T, seed uint64) {
		s := newLateSite(seed)
		s.sameID = true
		s.check(t)
	})
}

// TestLateCallsAfterAgentIsGone guards against a task that is placed elsewhere while the worker
// of an agent that is gone runs it on: calls may have extended its lease late.
func TestLateCallsAfterAgentIsGone(t *testing.T) {
	eachSeed(t, 150, func(t *testing.T, seed uint64) {
		s := newLateSite(seed)
		s.after(s.between(lateFrom+3*time.Second, lateFaultsFor-3*time.Second), s.loseAgent)
		s.check(t)
	})
}

// TestLateCallsBeginAsAgentIsGone is TestLateCallsAfterAgentIsGone with an agent that is gone
// before it can report that calls get no answer.
func TestLateCallsBeginAsAgentIsGone(t *testing.T) {
	eachSeed(t, 150, func(t *testing.T, seed uint64) {
		s := newLateSite(seed)
		s.after(s.between(lateFrom, lateFrom+2*time.Second), s.loseAgent)
		s.check(t)
	})
}

// refuseConnections lets the link to the worker refuse connections for some times, in which the
// worker runs on and carries out what it has received.
func (s *lateSite) refuseConnections() {
	for range 1 + s.rng.IntN(3) {
		s.after(s.between(lateFrom+time.Second, lateFaultsFor-lateMaxRefusal), func() {
			s.refusedTo = s.now.Add(s.between(time.Second, lateMaxRefusal))
		})
	}
}

// TestLateCallsBeforeConnectionsAreRefused guards against a task that is given to another worker
// while its worker runs it on: a refused connection was taken for proof that the worker's process
// was gone, and with it the calls that had got no answer.
func TestLateCallsBeforeConnectionsAreRefused(t *testing.T) {
	eachSeed(t, 150, func(t *testing.T, seed uint64) {
		s := newLateSite(seed)
		s.refuseConnections()
		s.check(t)
	})
}

// TestLateCallsBeforeRefusalsAndLossOfAgent is TestLateCallsBeforeConnectionsAreRefused with an
// agent that is gone for good while its worker refuses connections: what it has reported must
// not say that nothing can come late.
func TestLateCallsBeforeRefusalsAndLossOfAgent(t *testing.T) {
	eachSeed(t, 150, func(t *testing.T, seed uint64) {
		s := newLateSite(seed)
		from := s.between(lateFrom+3*time.Second, lateFaultsFor-lateMaxRefusal)
		s.after(from, func() { s.refusedTo = s.now.Add(lateMaxRefusal) })
		s.after(from+s.between(100*time.Millisecond, 2*time.Second), s.loseAgent)
		s.check(t)
	})
}

// check plays the day and reports what must not happen.
func (s *lateSite) check(t *testing.T) {
	s.run()
	for _, f := range s.faults {
		t.Error(f)
	}
	if n := len(s.claims); n > 0 {
		t.Errorf("%d tasks still claimed %s after the last fault", n, lateRunFor-lateFaultsFor)
	}
}
