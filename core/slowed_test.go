package core_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/pace"
)

// pacedAgent is an agent beside a worker that runs a lasting task and a filler.
type pacedAgent struct {
	a       *core.Agent
	now     time.Time
	tail    time.Duration // of the lasting task, whose target is pacedTarget
	used    int64         // by the filler at full speed
	percent int           // the filler's speed
	last    core.Heartbeat
}

const pacedTarget = 100 * time.Millisecond

var pacedFiller = core.Attempt{Task: core.TaskID{Job: "f"}, Number: 1}

func newPacedAgent() *pacedAgent {
	site := core.AgentIdentity{Worker: "w", DC: "dc", Entries: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}}
	return &pacedAgent{
		a: core.NewAgent(site, core.WithUnreportedIncarnations()), now: time.Unix(1_700_000_000, 0),
		percent: pace.FullSpeed, used: 6400, tail: pacedTarget / 4,
	}
}

func (p *pacedAgent) account() core.Inspected {
	size := core.Size{Millicores: 6400, MemoryMB: 1000}
	return core.Inspected{
		Boot: "b", Capacity: core.Size{Millicores: 32000, MemoryMB: 64000}, Services: []string{"s"},
		Tasks: []core.WorkerTask{
			{
				Attempt: core.Attempt{Task: core.TaskID{Job: "l"}, Number: 1}, Class: "api", Size: size, Urgent: true,
				LongRunning: true, Target: pacedTarget, TailLatency: p.tail, State: core.WorkerRunning,
			},
			{
				Attempt: pacedFiller, Class: "import", Size: size, BestEffort: true, State: core.WorkerRunning,
				Used: core.Size{Millicores: p.used * int64(p.percent) / pace.FullSpeed},
			},
		},
	}
}

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
					evs = append(evs, p.account())
				case core.Control:
					if eff.Verb == core.VerbThrottle && eff.Attempt == pacedFiller {
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

// A filler that hardly runs is reported after a second, and no more once it runs.
func TestAgentReportsSlowedFillers(t *testing.T) {
	p := newPacedAgent()
	p.run(3 * time.Second)
	assert.Equal(t, p.percent, pace.FullSpeed)
	p.tail = 5 * pacedTarget
	p.run(time.Second)
	assert.Equal(t, len(p.last.Slowed), 0)
	p.run(3 * time.Second)
	assert.DeepEqual(t, p.last.Slowed, []core.Attempt{pacedFiller})
	p.tail = pacedTarget / 4
	p.run(5 * time.Second)
	assert.Equal(t, p.percent, pace.FullSpeed)
	assert.Equal(t, len(p.last.Slowed), 0)
}

// What a beat says of fillers is weighed by how they use their processors, and its
// windows are counted.
func TestAgentWeighsFillersByUse(t *testing.T) {
	hard, easy := newPacedAgent(), newPacedAgent()
	easy.used = 4300
	hard.run(4 * time.Second)
	easy.run(4 * time.Second)
	assert.Assert(t, hard.last.BestEffort[0].Millicores > 6300, "%d", hard.last.BestEffort[0].Millicores)
	assert.Assert(t, easy.last.BestEffort[0].Millicores < 2200, "%d", easy.last.BestEffort[0].Millicores)
	window := hard.last.Window
	hard.run(2 * time.Second)
	assert.Assert(t, hard.last.Window-window >= 3, "%d windows in 2 s", hard.last.Window-window)
	assert.Equal(t, hard.last.TailLatencies[0].Tasks, 1)
}
