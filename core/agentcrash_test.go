package core_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/crash"
)

// crashAgent drives an agent beside a worker that can go down, and come back with the same
// boot or a new one.
type crashAgent struct {
	a      *core.Agent
	now    time.Time
	boot   string
	down   bool
	drains bool
	// slowStops makes the worker go on running what it was told to stop.
	slowStops bool
	running   map[core.Attempt]core.Order
	saved     string // checkpoint that the worker lists
	last      core.Heartbeat
	stopped   []core.Control
	started   map[core.Attempt]bool
	size      core.Size // of the worker
}

func newCrashAgent() *crashAgent {
	s := &crashAgent{now: time.Unix(1_800_000_000, 0), boot: "first", size: core.Size{Millicores: 8000, MemoryMB: 16000}}
	s.restart()
	return s
}

// restart replaces the agent by a new process.
func (s *crashAgent) restart() {
	self := core.AgentIdentity{Worker: "w", DC: "d", Run: "r", Entries: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7101")}}
	s.a = core.NewAgent(self, core.WithUnreportedIncarnations())
	if s.running == nil {
		s.running = map[core.Attempt]core.Order{}
	}
	s.started = map[core.Attempt]bool{}
	s.run(5 * time.Second)
}

func (s *crashAgent) reduce(ev core.AgentEvent) {
	evs := []core.AgentEvent{ev}
	for len(evs) > 0 {
		ev, evs = evs[0], evs[1:]
		for _, eff := range s.a.Reduce(core.Stamp{Now: s.now, Seed: 1}, ev) {
			if next := s.execute(eff); next != nil {
				evs = append(evs, next)
			}
		}
	}
}

// execute carries out an effect and returns the event that answers it, if any.
func (s *crashAgent) execute(eff core.AgentEffect) core.AgentEvent {
	switch eff := eff.(type) {
	case core.Inspect:
		return s.inspect()
	case core.Launch:
		if s.down {
			return core.Launched{Attempt: eff.Order.Attempt, Epoch: eff.Epoch, Fault: core.FaultNoAnswer}
		}
		s.running[eff.Order.Attempt] = eff.Order
		return core.Launched{Attempt: eff.Order.Attempt, Epoch: eff.Epoch, Started: true}
	case core.Control:
		if eff.Verb == core.VerbStop {
			s.stopped = append(s.stopped, eff)
			if !s.slowStops {
				delete(s.running, eff.Attempt)
			}
		}
	case core.StartReply:
		s.started[core.Attempt{Number: uint32(eff.Token)}] = eff.Started
	case core.SendBeat:
		s.last = eff.Heartbeat
		return core.HeartbeatAnswered{
			Entry: eff.Entry, Sent: eff.Heartbeat.Sent, Answer: core.HeartbeatAnswer{Echo: eff.Heartbeat.Sent},
		}
	}
	return nil
}

func (s *crashAgent) inspect() core.Inspected {
	if s.down {
		return core.Inspected{Fault: core.FaultNoAnswer}
	}
	in := core.Inspected{Boot: s.boot, Capacity: s.size, Slots: 2, Draining: s.drains}
	for a, o := range s.running {
		in.Tasks = append(in.Tasks, core.WorkerTask{
			Attempt: a, Size: o.Size, State: core.WorkerRunning, Started: s.now, Saved: s.saved,
			LongRunning: o.LongRunning, BestEffort: o.BestEffort, Urgent: o.Urgent,
		})
	}
	return in
}

func (s *crashAgent) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(50 * time.Millisecond)
		s.reduce(core.Tick{})
	}
}

// order returns an order to start a job's only task.
func (s *crashAgent) order(job string) core.Order {
	return core.Order{
		Attempt: core.Attempt{Task: core.TaskID{Job: core.JobID(job)}, Number: 1}, Class: "c", Urgent: true,
		Holder: core.Holder{Worker: "w", Inc: s.last.Inc}, Echo: s.now, Size: core.Size{Millicores: 1000, MemoryMB: 1000},
	}
}

// start orders a start and reports whether the agent accepted it.
func (s *crashAgent) start(o core.Order) bool {
	s.reduce(core.StartAsked{Token: core.Token(o.Attempt.Number), Order: o})
	return s.started[core.Attempt{Number: o.Attempt.Number}]
}

// crash takes the worker down for a while; it comes back with a new boot.
func (s *crashAgent) crash(d time.Duration) {
	s.down = true
	s.run(d)
	s.down, s.boot = false, s.boot+"'"
	clear(s.running)
	s.run(time.Second)
}

// ends returns the agent's report of the ends, by job.
func (s *crashAgent) ends() map[string]core.End {
	m := map[string]core.End{}
	for _, e := range s.last.Ends {
		m[string(e.Attempt.Task.Job)] = e
	}
	return m
}

// The end of a run by a crash must carry what tells its cause from its neighbours, and the
// checkpoint that it resumes from.
func TestCrashIsReportedWithItsEvidence(t *testing.T) {
	s := newCrashAgent()
	assert.Assert(t, s.start(s.order("old")))
	s.saved = "checkpoint"
	s.run(crash.Recent + time.Second)
	assert.Assert(t, s.start(s.order("recent")))
	s.run(2 * time.Second)
	assert.Assert(t, s.start(s.order("new")))
	s.crash(3 * time.Second)

	ends := s.ends()
	assert.Equal(t, len(ends), 3)
	for job, e := range ends {
		assert.Equal(t, e.Kind, core.EndCrashed, job)
		assert.Assert(t, !e.Crash.Alone, job)
	}
	assert.Assert(t, ends["new"].Crash.Ran <= crash.Soon, "%s", ends["new"].Crash.Ran)
	assert.Assert(t, ends["recent"].Crash.Ran > crash.Soon && ends["recent"].Crash.Ran <= crash.Recent)
	assert.Assert(t, ends["old"].Crash.Ran > crash.Recent)
	assert.Equal(t, ends["old"].Saved, "checkpoint")
}

// Tasks that had run for longer are no company: a site may have no worker without long-running
// ones.
func TestCrashBesideOlderTasksIsAlone(t *testing.T) {
	s := newCrashAgent()
	old := s.order("old")
	old.LongRunning = true
	assert.Assert(t, s.start(old))
	s.run(3 * time.Second)
	suspect := s.order("new")
	suspect.Isolated = true
	assert.Assert(t, s.start(suspect))
	s.crash(3 * time.Second)
	assert.Assert(t, s.ends()["new"].Crash.Alone)
	assert.Assert(t, !s.ends()["old"].Crash.Alone)
}

// Two jobs whose tasks are launched one after the other share the blame.
func TestCrashOfTasksLaunchedTogetherIsNotAlone(t *testing.T) {
	s := newCrashAgent()
	assert.Assert(t, s.start(s.order("first")))
	s.run(500 * time.Millisecond)
	assert.Assert(t, s.start(s.order("second")))
	s.crash(3 * time.Second)
	assert.Assert(t, !s.ends()["first"].Crash.Alone)
	assert.Assert(t, !s.ends()["second"].Crash.Alone)
}

// A stop that is ordered while the worker is down already must not excuse the task: entries
// order one for each task that hangs.
func TestStopAfterCrashIsNoExcuse(t *testing.T) {
	s := newCrashAgent()
	assert.Assert(t, s.start(s.order("j")))
	s.down = true
	s.run(time.Second)
	s.reduce(core.StopAsked{Attempt: s.order("j").Attempt, Inc: s.last.Inc, Kind: core.EndEvicted})
	s.crash(time.Second)
	assert.Equal(t, s.ends()["j"].Kind, core.EndCrashed)
}

// What explains the end of the runs must not count as a crash: a worker that was about to
// leave, a cut, and a restart of the agent with its VM.
func TestNoCrashIsReported(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(s *crashAgent)
		kind core.EndKind // of the run; empty if it goes on
	}{
		{"the worker leaves", func(s *crashAgent) { s.drains = true; s.run(time.Second); s.crash(time.Second) }, core.EndLost},
		{"a cut", func(s *crashAgent) { s.down = true; s.run(3 * time.Second); s.down = false; s.run(time.Second) }, ""},
		{"the agent restarts meanwhile", func(s *crashAgent) {
			s.boot = "second"
			clear(s.running)
			s.restart()
		}, ""},
	} {
		s := newCrashAgent()
		assert.Assert(t, s.start(s.order("j")), c.name)
		s.run(100 * time.Millisecond)
		c.do(s)
		e, ended := s.ends()["j"]
		assert.Equal(t, ended, c.kind != "", c.name)
		assert.Equal(t, e.Kind, c.kind, fmt.Sprint(c.name, ": ", e))
	}
}

// An agent took orders for 2 s after it had seen its worker go down: their tasks waited for
// the worker to come back, and then counted as crashed.
func TestNoOrderIsTakenForWorkerThatIsDown(t *testing.T) {
	s := newCrashAgent()
	assert.Assert(t, s.start(s.order("before")))
	s.down = true
	s.run(600 * time.Millisecond) // an inspection fails meanwhile
	assert.Assert(t, s.last.Leaving)
	assert.Assert(t, !s.start(s.order("while down")))
	s.down = false
	s.run(time.Second)
	assert.Assert(t, !s.last.Leaving)
	assert.Assert(t, s.start(s.order("after")))
}

// lostAfterLease is more than the time after the end of a lease in which a late call may still
// extend it.
const lostAfterLease = 16 * time.Second

// A worker is away for longer than its lease, so that its task is reported as lost and placed
// elsewhere before the crash is known. The crash must count all the same.
func TestCrashIsReportedAfterLongAbsence(t *testing.T) {
	s := newCrashAgent()
	assert.Assert(t, s.start(s.order("j")))
	s.run(50 * time.Millisecond)
	s.down = true
	s.run(core.DefaultPolicy().Lease + lostAfterLease)
	assert.Equal(t, s.ends()["j"].Kind, core.EndLost)
	s.crash(time.Second)
	assert.Equal(t, s.ends()["j"].Kind, core.EndCrashed)

	cut := newCrashAgent()
	assert.Assert(t, cut.start(cut.order("j")))
	cut.run(time.Second)
	cut.down = true
	cut.run(core.DefaultPolicy().Lease + lostAfterLease)
	cut.down = false
	clear(cut.running)
	cut.run(time.Second)
	assert.Equal(t, cut.ends()["j"].Kind, core.EndLost, "a cut is taken for a crash")
}
