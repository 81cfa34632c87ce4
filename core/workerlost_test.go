package core_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// agentHarness drives an agent beside a worker whose interface can be made to fail.
type agentHarness struct {
	a    *core.Agent
	now  time.Time
	down bool
	last core.Heartbeat
	runs []core.Attempt // that the worker lists

	partial bool          // the worker's lists are cut
	unread  []core.TaskID // tasks whose rows can't be read

	replies  []core.StartReply
	launches []core.Attempt
}

// newAgentHarness returns an agent that has joined.
func newAgentHarness() *agentHarness {
	entry := netip.MustParseAddrPort("127.0.0.1:7101")
	s := &agentHarness{
		now: time.Unix(1_800_000_000, 0),
		a:   core.NewAgent(core.AgentIdentity{Worker: "w", DC: "d", Run: "r", Entries: []netip.AddrPort{entry}}),
	}
	s.run(5 * time.Second)
	return s
}

func (s *agentHarness) reduce(ev core.AgentEvent) {
	evs := []core.AgentEvent{ev}
	for len(evs) > 0 {
		ev, evs = evs[0], evs[1:]
		for _, eff := range s.a.Reduce(core.Stamp{Now: s.now, Seed: 1}, ev) {
			switch eff := eff.(type) {
			case core.Inspect:
				evs = append(evs, s.inspect())
			case core.Launch:
				s.runs = append(s.runs, eff.Order.Attempt)
				s.launches = append(s.launches, eff.Order.Attempt)
				evs = append(evs, core.Launched{Attempt: eff.Order.Attempt, Epoch: eff.Epoch, Started: true})
			case core.StartReply:
				s.replies = append(s.replies, eff)
			case core.SendBeat:
				s.last = eff.Heartbeat
				evs = append(evs, core.HeartbeatAnswered{
					Entry: eff.Entry, Sent: eff.Heartbeat.Sent, Answer: core.HeartbeatAnswer{Echo: eff.Heartbeat.Sent},
				})
			}
		}
	}
}

func (s *agentHarness) inspect() core.Inspected {
	if s.down {
		return core.Inspected{Fault: core.FaultNoAnswer}
	}
	in := core.Inspected{Boot: "b", Capacity: core.Size{Millicores: 4000, MemoryMB: 8000}, Slots: 2, Partial: s.partial, Unread: s.unread}
	for _, a := range s.runs {
		in.Tasks = append(in.Tasks, core.WorkerTask{Attempt: a, Inc: s.last.Inc, Size: testSize, State: core.WorkerRunning, Started: s.now})
	}
	return in
}

func (s *agentHarness) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(100 * time.Millisecond)
		s.reduce(core.Tick{})
	}
}

var (
	testAttempt = core.Attempt{Task: core.TaskID{Job: "j"}, Number: 1}
	testSize    = core.Size{Millicores: 1000, MemoryMB: 1000}
)

// TestTaskOfUnresponsiveWorkerIsLost requires that an agent reports the task of a worker
// that no longer answers as lost, but not before the worker has paused it by itself.
func TestTaskOfUnresponsiveWorkerIsLost(t *testing.T) {
	s := newAgentHarness()
	s.reduce(core.StartAsked{Token: 1, Order: core.Order{
		Attempt: testAttempt, Holder: core.Holder{Worker: "w", Inc: s.last.Inc}, Echo: s.now, Size: testSize, Class: "c",
	}})
	s.run(5 * time.Second)
	assert.DeepEqual(t, s.last.Running, []core.Attempt{testAttempt})

	s.down = true
	lease := core.DefaultPolicy().Lease
	s.run(lease)
	assert.Assert(t, s.last.Leaving, "the worker still gets new work")
	assert.Equal(t, len(s.last.Ends), 0, "reported lost while the worker may still run it")
	s.run(5 * time.Second)
	assert.Equal(t, len(s.last.Ends), 1)
	assert.Equal(t, s.last.Ends[0].Kind, core.EndLost)
	assert.Equal(t, len(s.last.Running), 0)
}

// A task whose row the worker's lists lack, or hold in a form that can't be read, was taken
// for vanished, and started elsewhere beside the run that goes on.
func TestTaskThatListsMayLackIsNotLost(t *testing.T) {
	for _, hide := range []func(*agentHarness){
		func(s *agentHarness) { s.partial = true },
		func(s *agentHarness) { s.unread = []core.TaskID{{Job: "other"}, testAttempt.Task} },
	} {
		s := newAgentHarness()
		s.reduce(core.StartAsked{Token: 1, Order: core.Order{
			Attempt: testAttempt, Holder: core.Holder{Worker: "w", Inc: s.last.Inc}, Echo: s.now, Size: testSize, Class: "c",
		}})
		s.run(5 * time.Second)
		s.runs = nil
		hide(s)
		s.run(5 * time.Second)
		assert.DeepEqual(t, s.last.Running, []core.Attempt{testAttempt})
		s.partial, s.unread = false, []core.TaskID{{Job: "other"}}
		s.run(time.Second)
		assert.Equal(t, len(s.last.Ends), 1, "a row of another task keeps this one from being settled")
	}
}
