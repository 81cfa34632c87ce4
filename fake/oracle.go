package fake

import (
	"fmt"
	"time"

	"jayloft/core"
)

// Bounds that the oracle holds the reducers to.
const (
	// OutFor is how long after the commit that took a data centre out work
	// may still start there.
	OutFor = 5 * time.Second
	// ForceFor is how long a configuration takes to be in force everywhere.
	ForceFor = 9 * time.Second
	// AnswerSlack is how long after its deadline a request is answered.
	AnswerSlack = 300 * time.Millisecond
)

// Point names what must always hold.
type Point string

// The points that the oracle checks.
const (
	PointSize    Point = "size"    // no VM is committed beyond its size
	PointTwice   Point = "twice"   // no task runs in two places at once
	PointEnd     Point = "end"     // each task is recorded ended once, as it ended
	PointResume  Point = "resume"  // evicted work resumes from its checkpoint
	PointOnce    Point = "once"    // a once task is never run again without a checkpoint
	PointOut     Point = "out"     // no task starts in a data centre that is out
	PointAnswer  Point = "answer"  // one answer for each request, whole and its own
	PointRefused Point = "refused" // what is said not to have run has not run
	PointAtMost  Point = "atmost"  // non-idempotent requests run at most once
	PointLeaving Point = "leaving" // no new requests where the data centre is out
	PointStop    Point = "stop"    // planned stops cut off nothing
	PointConfig  Point = "config"  // configurations never go back, and arrive
	PointHeld    Point = "held"    // each request is answered by its deadline
	PointCommand Point = "command" // a command takes effect once, as answered
	PointClaim   Point = "claim"   // claims rest on the table's state when they commit
	PointLive    Point = "live"    // with failures over, all ends
	PointOrder   Point = "order"   // a step starts after those that it waits for
	PointCount   Point = "count"   // counts of waiting jobs are complete and recent
	PointState   Point = "state"   // states of jobs are recent
	PointCancel  Point = "cancel"  // a job that was said not to exist when it was cancelled is never stored
	PointSpread  Point = "spread"  // no worker holds more tasks of a step than the step allows
	PointCrash   Point = "crash"   // a task that crashes workers is given up, and no other one
)

// Violation is something that the oracle saw and that must never be.
type Violation struct {
	Point Point
	At    time.Time // World's clock
	Text  string
}

// String returns the violation with its time since Epoch.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Point, v.At.Sub(Epoch), v.Text)
}

// Oracle records what really ran, and checks what must always hold.
type Oracle struct {
	w        *World
	found    []Violation
	quiet    time.Time // since when no fault has been on
	outs     map[core.DC]time.Time
	versions []version
	configs  map[string]uint64 // by life of a process
	attempts map[core.Attempt]*attempt
	tasks    map[core.TaskID]*history
	rows     map[core.JobID]core.JobRow
	ops      map[string]core.OpRow
	fences   map[core.WorkerID]core.FenceRow
	requests map[core.RequestID]*served
	commands map[string]*operation
	shared   core.Size // reserved by services on each VM

	queueJobs      map[core.JobID]*queueJob
	queueIDs       []core.JobID // in order of submission
	reads          map[ReadOutcome]int
	crashes        []Crash
	wronglyGivenUp int
}

// version is a configuration, the table's revision that made it, and when.
type version struct {
	n, rev uint64
	at     time.Time
}

func newOracle(w *World) *Oracle {
	o := &Oracle{
		w:        w,
		quiet:    Epoch,
		outs:     make(map[core.DC]time.Time),
		configs:  make(map[string]uint64),
		attempts: make(map[core.Attempt]*attempt),
		tasks:    make(map[core.TaskID]*history),
		rows:     make(map[core.JobID]core.JobRow),
		ops:      make(map[string]core.OpRow),
		fences:   make(map[core.WorkerID]core.FenceRow),
		requests: make(map[core.RequestID]*served),
		commands: make(map[string]*operation),

		queueJobs: make(map[core.JobID]*queueJob),
		reads:     make(map[ReadOutcome]int),
	}
	for _, s := range w.cfg.services {
		o.shared = o.shared.Plus(s.Size)
	}
	return o
}

func (o *Oracle) fail(p Point, format string, args ...any) {
	v := Violation{Point: p, At: o.w.now, Text: fmt.Sprintf(format, args...)}
	o.w.log("oracle", v.String())
	o.found = append(o.found, v)
}

// trouble says that a fault is on until t.
func (o *Oracle) trouble(t time.Time) {
	if t.After(o.quiet) {
		o.quiet = t
	}
}

// version returns the number of the newest configuration.
func (o *Oracle) version() uint64 { return o.versions[len(o.versions)-1].n }

// calm returns the time since which nothing has stood in the way of news
// written at t.
func (o *Oracle) calm(t time.Time) time.Time {
	if o.quiet.After(t) {
		return o.quiet
	}
	return t
}

// due returns the newest configuration that has to be in force at a process
// which has run undisturbed since the given time.
func (o *Oracle) due(since time.Time) uint64 {
	if o.w.now.Sub(o.calm(since)) <= ForceFor {
		return 0
	}
	for i := len(o.versions) - 1; i >= 0; i-- {
		if o.w.now.Sub(o.versions[i].at) > ForceFor {
			return o.versions[i].rev
		}
	}
	return 0
}

// config checks the configuration in force at one life of a process.
func (o *Oracle) config(p *proc, n uint64) {
	life := fmt.Sprintf("%s life %d", p.name, p.life)
	if old := o.configs[life]; n < old {
		o.fail(PointConfig, "%s went back from configuration r%d to r%d", life, old, n)
	}
	o.configs[life] = n
	if want := o.due(p.resumed); n < want {
		o.fail(PointConfig, "%s has configuration r%d in force, not r%d of %s ago",
			life, n, want, o.w.now.Sub(o.versions[len(o.versions)-1].at))
	}
}

func (o *Oracle) beatSent(g *agent, b core.Heartbeat) { o.config(g.proc, b.Config) }

func (o *Oracle) entryConfig(e *entry, n uint64) { o.config(e.proc, n) }

// leaves checks that a process which was asked to stop does so in time.
func (o *Oracle) leaves(p *proc, d time.Duration) {
	life := p.life
	o.w.after(d+AnswerSlack, func() {
		if p.up && p.life == life && !p.paused && o.w.now.Sub(p.resumed) > d {
			o.fail(PointStop, "%s was asked to stop %s ago and still runs", p.name, d)
		}
	})
}

// entryLeft checks that a planned stop of an entry has cut off nothing.
func (o *Oracle) entryLeft(e *entry) {
	for _, r := range o.requests {
		if r.entry == e && r.life == e.proc.life && !r.gone && len(r.answers) == 0 {
			o.fail(PointStop, "entry %s exits with request %s unanswered", e.id(), r.id)
		}
	}
	if len(e.commands) > 0 {
		o.fail(PointStop, "entry %s exits with %d commands unanswered", e.id(), len(e.commands))
	}
	o.trouble(o.w.now.Add(2 * time.Second))
}

// entryDied forgets the requests whose callers saw their connections break.
func (o *Oracle) entryDied(e *entry) {
	for _, r := range o.requests {
		if r.entry == e && r.life == e.proc.life {
			r.gone = true
		}
	}
}

// agentLeft checks that a planned stop of an agent has cut off nothing.
func (o *Oracle) agentLeft(g *agent) {
	for _, s := range g.serves {
		o.fail(PointStop, "agent %s exits with request %s unanswered", g.run, s.id)
	}
	for id, life := range g.vm.worker.calls {
		if life == g.proc.life {
			o.fail(PointStop, "agent %s exits while request %s runs", g.run, id)
		}
	}
	o.trouble(o.w.now.Add(2 * time.Second))
}
