package core_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/pace"
)

// pacedAgent is an agent whose worker runs a long-running task and a best-effort task.
type pacedAgent struct {
	a       *core.Agent
	now     time.Time
	tail    time.Duration // tail latency of the long-running task, whose target is pacedTarget
	used    int64         // thousandths of a core that the best-effort task uses at full speed
	percent int           // speed of the best-effort task
	last    core.Heartbeat
}

const pacedTarget = 100 * time.Millisecond

var pacedAttempt = core.Attempt{Task: core.TaskID{Job: "f"}, Number: 1}

func newPacedAgent() *pacedAgent {
	self := core.AgentIdentity{Worker: "w", DC: "dc", Entries: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}}
	return &pacedAgent{
		a: core.NewAgent(self, core.WithUnreportedIncarnations()), now: time.Unix(1_700_000_000, 0),
		percent: pace.FullSpeed, used: 6400, tail: pacedTarget / 4,
	}
}

// inspect returns the state that the worker reports.
func (p *pacedAgent) inspect() core.Inspected {
	size := core.Size{Millicores: 6400, MemoryMB: 1000}
	return core.Inspected{
		Boot: "b", Capacity: core.Size{Millicores: 32000, MemoryMB: 64000}, Services: []string{"s"},
		Tasks: []core.WorkerTask{
			{
				Attempt: core.Attempt{Task: core.TaskID{Job: "l"}, Number: 1}, Class: "api", Size: size, Urgent: true,
				LongRunning: true, Target: pacedTarget, TailLatency: p.tail, State: core.WorkerRunning,
			},
			{
				Attempt: pacedAttempt, Class: "import", Size: size, BestEffort: true, State: core.WorkerRunning,
				Used: core.Size{Millicores: p.used * int64(p.percent) / pace.FullSpeed},
			},
		},
	}
}

// run advances the time and executes the agent's effects.
func (p *pacedAgent) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(100 * time.Millisecond)
		evs := []core.AgentEvent{core.Tick{}}
		for len(evs) > 0 {
			effs := p.a.Reduce(core.Stamp{Now: p.now, Seed: 1}, evs[0])
			evs = evs[1:]
			for _, eff := range effs {
				switch eff := eff.(type) {
				case core.Inspect:
					evs = append(evs, p.inspect())
				case core.Control:
					if eff.Verb == core.VerbThrottle && eff.Attempt == pacedAttempt {
						p.percent = eff.Percent
					}
				case core.SendBeat:
					p.last = eff.Heartbeat
					evs = append(evs, core.HeartbeatAnswered{
						Entry: eff.Entry, Sent: eff.Heartbeat.Sent, Answer: core.HeartbeatAnswer{Echo: eff.Heartbeat.Sent},
					})
				}
			}
		}
	}
}

// A best-effort task that is throttled until it hardly runs is reported as slowed after
// more than a second, and no longer once it runs at full speed again.
func TestAgentReportsSlowedBestEffort(t *testing.T) {
	p := newPacedAgent()
	p.run(3 * time.Second)
	assert.Equal(t, p.percent, pace.FullSpeed)
	p.tail = 5 * pacedTarget
	p.run(time.Second)
	assert.Equal(t, len(p.last.Slowed), 0)
	p.run(3 * time.Second)
	assert.DeepEqual(t, p.last.Slowed, []core.Attempt{pacedAttempt})
	p.tail = pacedTarget / 4
	p.run(5 * time.Second)
	assert.Equal(t, p.percent, pace.FullSpeed)
	assert.Equal(t, len(p.last.Slowed), 0)
}

// The load of best-effort tasks in a heartbeat is weighted by the fraction of their
// processor time that they use. The heartbeat counts the measurement windows.
func TestAgentWeighsBestEffortByUse(t *testing.T) {
	fullUse, partialUse := newPacedAgent(), newPacedAgent()
	partialUse.used = 4300
	fullUse.run(4 * time.Second)
	partialUse.run(4 * time.Second)
	assert.Assert(t, fullUse.last.BestEffort[0].Millicores > 6300, "%d", fullUse.last.BestEffort[0].Millicores)
	assert.Assert(t, partialUse.last.BestEffort[0].Millicores < 2200, "%d", partialUse.last.BestEffort[0].Millicores)
	window := fullUse.last.Window
	fullUse.run(2 * time.Second)
	assert.Assert(t, fullUse.last.Window-window >= 3, "%d windows in 2 s", fullUse.last.Window-window)
	assert.Equal(t, fullUse.last.TailLatencies[0].Tasks, 1)
}
