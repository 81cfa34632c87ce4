package core_test

import (
	"cmp"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// noIncWorker is a worker whose task lists don't name incarnations, and which may
// execute a start long after its answer was lost, unless it has seen a later epoch.
type noIncWorker struct {
	boot         string
	running      map[core.Attempt]bool
	refused      map[core.Attempt]bool // stopped or ended here: will never start
	done         map[core.Attempt]bool // ends that the agent has not made it forget
	endsAs       core.EndKind          // of these ends; EndDone if empty
	loseStarts   bool                  // starts get no answer and are only recorded in lateStarts
	unresponsive bool                  // no call is answered
	gone         bool                  // it refuses connections
	broken       bool                  // the connections of inspections break
	extensions   int                   // inspections that extend the lease
	lost         int                   // inspections without an answer
	lostDeadline time.Time             // of the last one that carried one
	lateStarts   []core.Launch
	epoch        uint64 // the highest seen
	stops        int
}

func (w *noIncWorker) start(l core.Launch) {
	if !w.refused[l.Order.Attempt] && l.Epoch >= w.epoch {
		w.epoch, w.running[l.Order.Attempt] = l.Epoch, true
	}
}

// inspect returns the state that the worker reports, without incarnations.
func (w *noIncWorker) inspect() core.Inspected {
	in := core.Inspected{Boot: w.boot, Capacity: core.Size{Millicores: 4000, MemoryMB: 8000}, Services: []string{"s"}}
	for a := range w.running {
		in.Tasks = append(in.Tasks, core.WorkerTask{Attempt: a, Size: noIncSize, Urgent: true, State: core.WorkerRunning})
	}
	for a := range w.done {
		kind := cmp.Or(w.endsAs, core.EndDone)
		in.Tasks = append(in.Tasks, core.WorkerTask{
			Attempt: a, Size: noIncSize, Urgent: true, State: core.WorkerEnded, End: core.End{Kind: kind, Output: "out"},
		})
	}
	return in
}

// noIncAgent is an agent beside a noIncWorker, with one entry that echoes every
// heartbeat unless noEcho is set.
type noIncAgent struct {
	t          *testing.T
	opts       []core.Option
	a          *core.Agent
	w          *noIncWorker
	now        time.Time
	last       core.Heartbeat
	fenced     map[core.Incarnation]bool
	prior      core.Incarnation
	noEcho     bool // the entry echoes nothing, as when the table is unavailable
	heartbeats int
}

var (
	noIncSize    = core.Size{Millicores: 1000, MemoryMB: 1000}
	noIncEntry   = netip.MustParseAddrPort("127.0.0.1:1")
	noIncAttempt = core.Attempt{Task: core.TaskID{Job: "j"}, Number: 1}
)

func newNoIncAgent(t *testing.T, w *noIncWorker, opts ...core.Option) *noIncAgent {
	n := &noIncAgent{t: t, w: w, opts: opts, now: time.Unix(1_700_000_000, 0), fenced: map[core.Incarnation]bool{}}
	n.restart()
	return n
}

// restart replaces the agent by a new process.
func (n *noIncAgent) restart() {
	self := core.AgentIdentity{Worker: "w", DC: "dc", Entries: []netip.AddrPort{noIncEntry}}
	n.a = core.NewAgent(self, append(slices.Clone(n.opts), core.WithUnreportedIncarnations())...)
	n.run(2 * time.Second)
}

func (n *noIncAgent) reduce(ev core.AgentEvent) {
	evs := []core.AgentEvent{ev}
	for len(evs) > 0 {
		ev, evs = evs[0], evs[1:]
		for _, eff := range n.a.Reduce(core.Stamp{Now: n.now, Seed: 1}, ev) {
			if next := n.execute(eff); next != nil {
				evs = append(evs, next)
			}
		}
	}
}

// execute carries out an effect and returns the event that answers it, if any.
func (n *noIncAgent) execute(eff core.AgentEffect) core.AgentEvent {
	switch eff := eff.(type) {
	case core.Inspect:
		if !eff.Deadline.IsZero() {
			n.w.extensions++
		}
		if n.w.gone {
			return core.Inspected{Fault: core.FaultNotSent}
		}
		if n.w.unresponsive || n.w.broken {
			n.w.lost++
			if !eff.Deadline.IsZero() {
				n.w.lostDeadline = eff.Deadline
			}
			return core.Inspected{Fault: core.FaultNoAnswer, Broken: n.w.broken}
		}
		n.w.epoch = max(n.w.epoch, eff.Epoch)
		return n.w.inspect()
	case core.Launch:
		a := eff.Order.Attempt
		if n.w.loseStarts {
			n.w.lateStarts = append(n.w.lateStarts, eff)
			return core.Launched{Attempt: a, Epoch: eff.Epoch, Fault: core.FaultNoAnswer}
		}
		n.w.start(eff)
		return core.Launched{Attempt: a, Epoch: eff.Epoch, Started: true}
	case core.Control:
		if n.w.gone {
			return core.Controlled{Attempt: eff.Attempt, Verb: eff.Verb, Epoch: eff.Epoch, Fault: core.FaultNotSent}
		}
		if n.w.unresponsive {
			return core.Controlled{Attempt: eff.Attempt, Verb: eff.Verb, Epoch: eff.Epoch, Fault: core.FaultNoAnswer}
		}
		if eff.Verb == core.VerbForget {
			delete(n.w.done, eff.Attempt)
		}
		if eff.Verb == core.VerbStop {
			n.w.stops++
			delete(n.w.running, eff.Attempt)
			n.w.refused[eff.Attempt] = true
		}
		return core.Controlled{Attempt: eff.Attempt, Verb: eff.Verb, Epoch: eff.Epoch, Done: true}
	case core.SendBeat:
		n.last = eff.Heartbeat
		n.heartbeats++
		if n.noEcho {
			return core.HeartbeatAnswered{Entry: eff.Entry, Sent: eff.Heartbeat.Sent, Answer: core.HeartbeatAnswer{Config: 1}}
		}
		ans := core.HeartbeatAnswer{Echo: eff.Heartbeat.Sent, Config: 1, Full: true, Prior: n.prior, Rows: nil}
		if n.fenced[eff.Heartbeat.Inc] {
			ans = core.HeartbeatAnswer{Fenced: true, Prior: n.prior}
		}
		return core.HeartbeatAnswered{Entry: eff.Entry, Sent: eff.Heartbeat.Sent, Answer: ans}
	}
	return nil
}

func (n *noIncAgent) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(50 * time.Millisecond)
		n.reduce(core.Tick{})
	}
}

// loseInspection lets the worker answer for a while, and then one inspection fail.
func (n *noIncAgent) loseInspection(fails *bool) {
	const tries = 100
	*fails = false
	n.run(time.Second + time.Duration(n.w.lost)*50*time.Millisecond) // never in step with the agent
	*fails = true
	for lost := n.w.lost; n.w.lost == lost; {
		n.run(50 * time.Millisecond)
	}
	assert.Assert(n.t, n.w.lost < tries, "no such inspection")
}

func (n *noIncAgent) order(a core.Attempt) { n.start(core.Order{Attempt: a}) }

func (n *noIncAgent) orderLongRunning(a core.Attempt) {
	n.start(core.Order{Attempt: a, LongRunning: true})
}

// start sends an order of an entry.
func (n *noIncAgent) start(o core.Order) {
	o.Holder, o.Echo = core.Holder{Worker: "w", Inc: n.last.Inc}, n.last.Sent
	o.Size, o.Urgent = noIncSize, true
	n.reduce(core.StartAsked{Token: 1, Order: o})
}

func newNoIncWorker() *noIncWorker {
	return &noIncWorker{boot: "b", running: map[core.Attempt]bool{}, refused: map[core.Attempt]bool{}, done: map[core.Attempt]bool{}}
}

// An unanswered start may be executed seconds later. Its attempt is handed back only once
// the worker has answered a call of a later epoch, so that it never starts; otherwise it could
// run beside the next attempt.
func TestUnansweredStartIsVoidBeforeHandedBack(t *testing.T) {
	w := newNoIncWorker()
	w.loseStarts = true
	n := newNoIncAgent(t, w)
	n.order(noIncAttempt)
	assert.Assert(t, len(w.lateStarts) > 0)
	for range 100 {
		n.run(50 * time.Millisecond)
		if len(n.last.Ends) > 0 {
			break
		}
	}
	assert.Equal(t, len(n.last.Ends), 1, "the end is never reported")
	assert.Equal(t, n.last.Ends[0].Kind, core.EndEvicted)
	assert.Assert(t, !n.last.Ends[0].Started)
	for _, l := range w.lateStarts {
		w.start(l)
	}
	assert.Equal(t, len(w.running), 0, "the late start would run beside the next attempt")
}

// An unanswered start is sent again as soon as the first copy is void.
func TestUnansweredStartIsSentAgain(t *testing.T) {
	w := newNoIncWorker()
	w.loseStarts = true
	n := newNoIncAgent(t, w)
	n.order(noIncAttempt)
	w.loseStarts = false
	n.run(200 * time.Millisecond)
	assert.Assert(t, w.running[noIncAttempt])
	assert.Equal(t, len(n.last.Ends), 0)
}

// A worker that does not answer for seconds may still execute a start that it has
// received before.
func TestStartAtUnresponsiveWorkerIsNotLostSoon(t *testing.T) {
	w := newNoIncWorker()
	w.loseStarts = true
	n := newNoIncAgent(t, w)
	n.order(noIncAttempt)
	w.unresponsive = true
	n.run(10 * time.Second)
	assert.Equal(t, len(n.last.Ends), 0, "reported as lost while a late start is possible")
	n.run(20 * time.Second)
	assert.Equal(t, len(n.last.Ends), 1, "never reported as lost")
}

// longPollPolicy returns a policy with inspections that the worker may delay.
func longPollPolicy() core.Policy {
	p := core.DefaultPolicy()
	p.Lease, p.HeartbeatInterval = 6*time.Second, time.Second
	p.InspectInterval, p.InspectWait = 50*time.Millisecond, 500*time.Millisecond
	return p
}

// A worker that is gone answers nothing. Its tasks are handed back as soon as the lease that
// it was granted has certainly expired, and not only once a late call could have acted.
func TestTasksOfLostWorkerAreHandedBackSoon(t *testing.T) {
	p := longPollPolicy()
	n := newNoIncAgent(t, newNoIncWorker(), core.WithPolicy(p))
	n.order(noIncAttempt)
	n.run(3500 * time.Millisecond)
	n.w.unresponsive = true
	at := n.now
	for len(n.last.Ends) == 0 && n.now.Sub(at) < time.Minute {
		n.run(50 * time.Millisecond)
	}
	assert.Equal(t, n.last.Ends[0].Kind, core.EndLost)
	assert.Assert(t, n.now.Sub(at) < p.Lease+p.Drift+time.Second, "after %s", n.now.Sub(at))
}

// A notice that a worker leaves may be late, and of an incarnation before the present one: its
// tasks were given to other workers while they ran.
func TestLateNoticeOfLeaving(t *testing.T) {
	n := newNoIncAgent(t, newNoIncWorker())
	n.order(noIncAttempt)
	n.reduce(core.WorkerGone{})
	n.run(4 * time.Second)
	assert.Equal(t, len(n.last.Ends), 0, "given away while it runs")
	assert.Assert(t, !n.last.Leaving, "a worker that stays gets no work")

	n.w.gone = true
	n.reduce(core.WorkerGone{})
	n.run(200 * time.Millisecond)
	assert.Equal(t, len(n.last.Ends), 1, "the task of a worker that has left is not handed back at once")
}

// A worker that has left carries out nothing late. Entries held the claims of its VM for as long
// as if it could, since its last connection had broken: long-running tasks stayed down for 27 s.
func TestWorkerThatLeftHasNoUnsettledCalls(t *testing.T) {
	n := newNoIncAgent(t, newNoIncWorker())
	n.order(noIncAttempt)
	n.w.unresponsive = true
	n.run(time.Second)
	assert.Assert(t, n.last.Unsettled)
	n.w.gone = true
	n.reduce(core.WorkerGone{})
	n.run(2 * time.Second)
	assert.Assert(t, !n.last.Unsettled)
	assert.Assert(t, n.last.Leaving)
}

// A refused connection was taken for the end of the worker's process, so that its tasks were
// given to other workers while an extension of its lease that had got no answer was to come.
func TestRefusedConnectionsSettleNoCalls(t *testing.T) {
	n := newNoIncAgent(t, newNoIncWorker())
	n.order(noIncAttempt)
	for n.w.lostDeadline.IsZero() { // until an inspection that extends the lease is lost
		n.loseInspection(&n.w.unresponsive)
	}
	n.w.gone = true
	const maxDelay = 12 * time.Second // of a call, as the platform's pages state it
	n.run(n.w.lostDeadline.Add(maxDelay).Sub(n.now))
	assert.Equal(t, len(n.last.Ends), 0, "reported as lost while a late extension is possible")
	n.run(3 * time.Second)
	assert.Equal(t, len(n.last.Ends), 1, "never reported as lost")
	assert.Assert(t, !n.last.Unsettled)
}

// A connection that breaks while the worker delays its lists leaves nothing to come late: the
// claims of a VM whose agent is lost just after its worker has crashed are not held for that.
func TestBrokenConnectionLeavesNothingUnsettled(t *testing.T) {
	n := newNoIncAgent(t, newNoIncWorker(), core.WithPolicy(longPollPolicy()))
	n.order(noIncAttempt)
	for n.loseInspection(&n.w.broken); !n.w.lostDeadline.IsZero(); n.loseInspection(&n.w.broken) {
		n.w.lostDeadline = time.Time{} // until one is lost that does not extend the lease
	}
	n.w.gone = true
	n.run(2 * time.Second)
	assert.Assert(t, n.last.Leaving)
	assert.Assert(t, !n.last.Unsettled)
}

// A restarted agent takes over the running tasks under the same incarnation.
func TestRestartedAgentKeepsIncarnation(t *testing.T) {
	n := newNoIncAgent(t, newNoIncWorker())
	n.order(noIncAttempt)
	inc := n.last.Inc
	n.restart()
	assert.Equal(t, n.last.Inc, inc)
	assert.Equal(t, len(n.last.Running), 1)
	assert.Equal(t, n.w.stops, 0)
}

// A fenced agent continues as a new incarnation. If it restarts after that, it must
// not report the new incarnation as dead, since the incarnation's tasks may be running.
func TestRestartAfterFence(t *testing.T) {
	n := newNoIncAgent(t, newNoIncWorker())
	first := n.last.Inc
	n.fenced[first] = true
	n.run(2 * time.Second)
	second := n.last.Inc
	assert.Assert(t, second != first)
	n.order(noIncAttempt)
	n.prior = second
	n.restart()
	for _, gone := range n.last.Dead {
		assert.Assert(t, gone != second || len(n.w.running) == 0, "an incarnation with a running task was reported dead")
	}
	assert.Equal(t, n.last.Inc, second)
}

// Guards against AVAIL: a fenced agent stopped all tasks of a long-running step on its sound worker
// at once, seconds before their lease ended, which entries wait for.
func TestFencedAgentLeavesLongRunningTasksToTheirLease(t *testing.T) {
	p := longPollPolicy()
	n := newNoIncAgent(t, newNoIncWorker(), core.WithPolicy(p))
	batch := core.Attempt{Task: core.TaskID{Job: "batch"}, Number: 1}
	n.orderLongRunning(noIncAttempt)
	n.order(batch)
	n.run(500 * time.Millisecond)
	fenced := n.last.Inc
	n.fenced[fenced] = true
	n.run(2500 * time.Millisecond)
	assert.Assert(t, !n.w.running[batch])
	assert.Assert(t, n.w.running[noIncAttempt], "stopped while its lease holds")
	assert.Assert(t, n.last.Leaving, "a fenced agent gets new work")
	assert.Equal(t, n.last.Inc, fenced)
	n.w.extensions = 0
	n.run(p.Lease + p.Drift)
	assert.Equal(t, n.w.extensions, 0, "the lease of a fenced incarnation is extended")
	assert.Assert(t, !n.w.running[noIncAttempt], "still running after its lease")
	n.run(time.Second)
	assert.Assert(t, n.last.Inc != fenced)
}

// A task is done at its worker when its agent is fenced, but the agent learns of it only
// afterwards: it must still report that, or the task runs again.
func TestDoneThatIsLearntAfterFence(t *testing.T) { checkEndAfterFence(t, core.EndDone) }

// Guards against BUDGET: the failures of runs that an agent learnt of after it had been fenced
// were dropped, and its worker forgot them: their tasks started again beyond the limit.
func TestFailureThatIsLearntAfterFence(t *testing.T) { checkEndAfterFence(t, core.EndFailed) }

// checkEndAfterFence checks that an end which an agent learns of after it has been fenced is
// reported, and forgotten only once an entry has recorded it.
func checkEndAfterFence(t *testing.T, kind core.EndKind) {
	t.Helper()
	w := newNoIncWorker()
	w.endsAs = kind
	n := newNoIncAgent(t, w)
	n.order(noIncAttempt)
	n.run(500 * time.Millisecond)
	delete(w.running, noIncAttempt)
	w.done[noIncAttempt] = true
	w.unresponsive = true
	n.fenced[n.last.Inc] = true
	n.run(2 * time.Second)
	w.unresponsive = false
	n.run(2 * time.Second)
	assert.Equal(t, len(n.last.Ends), 1)
	assert.Equal(t, n.last.Ends[0].Kind, kind)
	assert.Assert(t, w.done[noIncAttempt], "the worker may forget the end only once the table holds it")
}

// A rebooted worker is a new incarnation and runs nothing of the previous one.
func TestRebootedWorker(t *testing.T) {
	n := newNoIncAgent(t, newNoIncWorker())
	first := n.last.Inc
	n.order(noIncAttempt)
	n.w.boot, n.w.running = "b2", map[core.Attempt]bool{}
	n.run(time.Second)
	assert.Assert(t, n.last.Inc != first)
	assert.Equal(t, len(n.last.Running), 0)
	assert.Assert(t, len(n.last.Dead) > 0 && n.last.Dead[0] == first)
}

// Long-running tasks are stopped, to move elsewhere, when their worker announces that
// it will leave; other tasks run to their end there.
func TestLongRunningTasksEndWithTheirWorker(t *testing.T) {
	n := newNoIncAgent(t, newNoIncWorker())
	n.order(noIncAttempt)
	longRunning := core.Attempt{Task: core.TaskID{Job: "k"}, Number: 1}
	n.reduce(core.StartAsked{Token: 2, Order: core.Order{
		Attempt: longRunning, Holder: core.Holder{Worker: "w", Inc: n.last.Inc}, Echo: n.last.Sent, Size: noIncSize,
		Urgent: true, LongRunning: true,
	}})
	n.run(500 * time.Millisecond)
	n.reduce(core.WorkerLeaving{})
	n.run(500 * time.Millisecond)
	assert.Assert(t, n.w.running[noIncAttempt])
	assert.Assert(t, !n.w.running[longRunning])
	n.order(core.Attempt{Task: core.TaskID{Job: "l"}, Number: 1})
	assert.Equal(t, len(n.w.running), 1, "a task was started on a leaving worker")
}

// While its lease has lapsed, an agent reports that and sends heartbeats more often, so
// that entries send no start orders that it must refuse.
func TestAgentReportsLapsedLease(t *testing.T) {
	n := newNoIncAgent(t, newNoIncWorker())
	assert.Assert(t, !n.last.LeaseLapsed)
	n.noEcho = true
	n.run(core.DefaultPolicy().Lease + time.Second)
	assert.Assert(t, n.last.LeaseLapsed)
	n.heartbeats = 0
	n.run(time.Second)
	assert.Assert(t, n.heartbeats >= 6, "%d heartbeats", n.heartbeats)
	n.noEcho = false
	n.run(300 * time.Millisecond)
	assert.Assert(t, !n.last.LeaseLapsed, "the renewed lease is not reported with the next heartbeat")
}
