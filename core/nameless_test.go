package core_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// namelessWorker is a worker whose lists don't name incarnations, and which may
// carry a start out long after its answer was lost.
type namelessWorker struct {
	boot    string
	running map[core.Attempt]bool
	refused map[core.Attempt]bool // stopped or ended here: never starts
	lose    bool                  // starts get no answer and are kept for late
	silent  bool                  // no call is answered
	late    []core.Attempt
	stops   int
}

func (w *namelessWorker) start(a core.Attempt) {
	if !w.refused[a] {
		w.running[a] = true
	}
}

func (w *namelessWorker) account() core.Inspected {
	in := core.Inspected{Boot: w.boot, Capacity: core.Size{Millicores: 4000, MemoryMB: 8000}, Services: []string{"s"}}
	for a := range w.running {
		in.Tasks = append(in.Tasks, core.WorkerTask{Attempt: a, Size: namelessSize, Urgent: true, State: core.WorkerRunning})
	}
	return in
}

// namelessAgent is an agent beside a namelessWorker, with one entry that echoes
// every beat.
type namelessAgent struct {
	t      *testing.T
	a      *core.Agent
	w      *namelessWorker
	now    time.Time
	last   core.Heartbeat
	fenced map[core.Incarnation]bool
	prior  core.Incarnation
	mute   bool // the entry echoes nothing: the table is away
	beats  int
}

var (
	namelessSize  = core.Size{Millicores: 1000, MemoryMB: 1000}
	namelessEntry = netip.MustParseAddrPort("127.0.0.1:1")
	namelessTry   = core.Attempt{Task: core.TaskID{Job: "j"}, Number: 1}
)

func newNamelessAgent(t *testing.T, w *namelessWorker) *namelessAgent {
	n := &namelessAgent{t: t, w: w, now: time.Unix(1_700_000_000, 0), fenced: map[core.Incarnation]bool{}}
	n.restart()
	return n
}

// restart begins another process of the agent.
func (n *namelessAgent) restart() {
	site := core.AgentIdentity{Worker: "w", DC: "dc", Entries: []netip.AddrPort{namelessEntry}}
	n.a = core.NewAgent(site, core.WithUnreportedIncarnations())
	n.run(2 * time.Second)
}

func (n *namelessAgent) reduce(ev core.AgentEvent) {
	evs := []core.AgentEvent{ev}
	for len(evs) > 0 {
		ev, evs = evs[0], evs[1:]
		for _, eff := range n.a.Reduce(core.Stamp{Now: n.now, Seed: 1}, ev) {
			if next := n.carry(eff); next != nil {
				evs = append(evs, next)
			}
		}
	}
}

func (n *namelessAgent) carry(eff core.AgentEffect) core.AgentEvent {
	switch eff := eff.(type) {
	case core.Inspect:
		if n.w.silent {
			return core.Inspected{Fault: core.FaultNoAnswer}
		}
		return n.w.account()
	case core.Launch:
		a := eff.Order.Attempt
		if n.w.lose {
			n.w.late = append(n.w.late, a)
			return core.Launched{Attempt: a, Fault: core.FaultNoAnswer}
		}
		n.w.start(a)
		return core.Launched{Attempt: a, Started: true}
	case core.Control:
		if n.w.silent {
			return core.Controlled{Attempt: eff.Attempt, Verb: eff.Verb, Fault: core.FaultNoAnswer}
		}
		if eff.Verb == core.VerbStop {
			n.w.stops++
			delete(n.w.running, eff.Attempt)
			n.w.refused[eff.Attempt] = true
		}
		return core.Controlled{Attempt: eff.Attempt, Verb: eff.Verb, Done: true}
	case core.SendBeat:
		n.last = eff.Heartbeat
		n.beats++
		if n.mute {
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

func (n *namelessAgent) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(50 * time.Millisecond)
		n.reduce(core.Tick{})
	}
}

func (n *namelessAgent) order(a core.Attempt) {
	n.reduce(core.StartAsked{Token: 1, Order: core.Order{
		Attempt: a, Holder: core.Holder{Worker: "w", Inc: n.last.Inc}, Echo: n.last.Sent, Size: namelessSize, Urgent: true,
	}})
}

func newNamelessWorker() *namelessWorker {
	return &namelessWorker{boot: "b", running: map[core.Attempt]bool{}, refused: map[core.Attempt]bool{}}
}

// A start without an answer may be carried out seconds later. Its attempt is lost
// only once a stop has made sure that it never is.
func TestStartWithoutAnswerIsStoppedBeforeItIsLost(t *testing.T) {
	w := newNamelessWorker()
	w.lose = true
	n := newNamelessAgent(t, w)
	n.order(namelessTry)
	assert.Equal(t, len(w.late), 1)
	for range 100 {
		n.run(50 * time.Millisecond)
		if len(n.last.Ends) > 0 {
			break
		}
	}
	assert.Equal(t, len(n.last.Ends), 1, "the end is never reported")
	assert.Equal(t, n.last.Ends[0].Kind, core.EndLost)
	w.start(w.late[0])
	assert.Equal(t, len(w.running), 0, "the late start runs beside the next attempt")
}

// A worker that does not answer for seconds may still carry out a start that it was
// told before.
func TestStartAtASilentWorkerIsNotLostSoon(t *testing.T) {
	w := newNamelessWorker()
	w.lose = true
	n := newNamelessAgent(t, w)
	n.order(namelessTry)
	w.silent = true
	n.run(10 * time.Second)
	assert.Equal(t, len(n.last.Ends), 0, "given up while a late start may come")
	n.run(20 * time.Second)
	assert.Equal(t, len(n.last.Ends), 1, "held for ever")
}

// A restarted agent goes on with what runs, under the same incarnation.
func TestRestartedAgentKeepsTheIncarnation(t *testing.T) {
	n := newNamelessAgent(t, newNamelessWorker())
	n.order(namelessTry)
	inc := n.last.Inc
	n.restart()
	assert.Equal(t, n.last.Inc, inc)
	assert.Equal(t, len(n.last.Running), 1)
	assert.Equal(t, n.w.stops, 0)
}

// An agent that was fenced goes on as another incarnation. One that restarts
// after that must not call the newer one dead, whose tasks may be running.
func TestRestartAfterAFence(t *testing.T) {
	n := newNamelessAgent(t, newNamelessWorker())
	first := n.last.Inc
	n.fenced[first] = true
	n.run(2 * time.Second)
	second := n.last.Inc
	assert.Assert(t, second != first)
	n.order(namelessTry)
	n.prior = second
	n.restart()
	for _, gone := range n.last.Dead {
		assert.Assert(t, gone != second || len(n.w.running) == 0, "vouched for a life whose task runs")
	}
	assert.Equal(t, n.last.Inc, second)
}

// A worker that came back as another life runs nothing of the one before.
func TestRebootedWorker(t *testing.T) {
	n := newNamelessAgent(t, newNamelessWorker())
	first := n.last.Inc
	n.order(namelessTry)
	n.w.boot, n.w.running = "b2", map[core.Attempt]bool{}
	n.run(time.Second)
	assert.Assert(t, n.last.Inc != first)
	assert.Equal(t, len(n.last.Running), 0)
	assert.Assert(t, len(n.last.Dead) > 0 && n.last.Dead[0] == first)
}

// Lasting tasks move when their worker says that it will leave; others end there.
func TestLastingTasksLeaveWithTheirWorker(t *testing.T) {
	n := newNamelessAgent(t, newNamelessWorker())
	n.order(namelessTry)
	lasting := core.Attempt{Task: core.TaskID{Job: "k"}, Number: 1}
	n.reduce(core.StartAsked{Token: 2, Order: core.Order{
		Attempt: lasting, Holder: core.Holder{Worker: "w", Inc: n.last.Inc}, Echo: n.last.Sent, Size: namelessSize,
		Urgent: true, LongRunning: true,
	}})
	n.run(500 * time.Millisecond)
	n.reduce(core.WorkerLeaving{})
	n.run(500 * time.Millisecond)
	assert.Assert(t, n.w.running[namelessTry])
	assert.Assert(t, !n.w.running[lasting])
	n.order(core.Attempt{Task: core.TaskID{Job: "l"}, Number: 1})
	assert.Equal(t, len(n.w.running), 1, "started on a worker that leaves")
}

// Until an entry has renewed its lease, an agent says so and beats often: orders
// that it must refuse help nobody.
func TestAgentWithoutALeaseSaysSo(t *testing.T) {
	n := newNamelessAgent(t, newNamelessWorker())
	assert.Assert(t, !n.last.LeaseLapsed)
	n.mute = true
	n.run(core.DefaultPolicy().Lease + time.Second)
	assert.Assert(t, n.last.LeaseLapsed)
	n.beats = 0
	n.run(time.Second)
	assert.Assert(t, n.beats >= 6, "%d beats", n.beats)
	n.mute = false
	n.run(300 * time.Millisecond)
	assert.Assert(t, !n.last.LeaseLapsed, "a renewed lease is told with the next beat")
}
