package core

import (
	"cmp"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"jayloft/pace"
)

// Agent is the reducer of the process that runs beside one worker. A task starts
// on the VM only if the Agent admits it. Create one with NewAgent.
type Agent struct {
	self AgentIdentity
	pol  Policy

	at  Stamp
	out []AgentEffect

	inc       Incarnation
	incBoot   string // the worker's boot that inc belongs to
	incN      int    // number of inc within that boot, from 0
	ready     bool   // the worker has been inspected and the agent has joined
	boot      string
	capacity  Size
	slots     int
	services  []string
	rack      Rack
	labels    []string
	draining  bool // the worker will leave
	used      Size
	unmanaged Size // size of tasks that run at the worker but are not held

	held       map[TaskID]*heldTask
	ends       map[Attempt]End
	tombstones map[Attempt]time.Time // attempts that must never start, with the time the tombstone expires

	echo      time.Time // the newest, on this VM's clock
	startedAt time.Time // when this process started
	joinedAt  time.Time // when this incarnation began or was adopted
	fenced    bool
	dead      map[Incarnation]bool // earlier incarnations that this agent confirms to be dead

	config confView
	peers  map[netip.AddrPort]*entryPeer

	serve        serveState
	pace         pace.Controller     // sets the speeds of best-effort tasks
	interference []ImageInterference // of the best-effort images here, as learnt by an entry
	// windows counts the steps of pace. tailLatencies are those of the last step.
	windows       uint64
	tailLatencies []ImageTailLatency
	// bestEffortMix is the smoothed CPU of best-effort tasks in millicores, by
	// image; see BestEffortLoad.
	bestEffortMix map[string]float64

	leaving          bool
	leaveDeadline    time.Time
	exited           bool
	nextDiscovery    time.Time // the earliest time of the next read of the entry rows
	answeredAt       time.Time // when an entry last answered a heartbeat
	nextInspect      time.Time
	inspecting       bool
	inspectStartedAt time.Time             // when the latest inspection was sent
	inspectedAt      time.Time             // when an inspection last succeeded
	inspectFaults    int                   // consecutive failed inspections
	usageRatios      map[string]usageRatio // of batch tasks, by class
	wakeAt           time.Time             // time of the last Wake effect
}

// entryPeer is an entry that the agent sends heartbeats to.
type entryPeer struct {
	next       time.Time
	inFlight   bool
	answeredAt time.Time
}

// NewAgent returns the reducer of one run of an agent process.
func NewAgent(self AgentIdentity, opts ...Option) *Agent {
	a := &Agent{
		self:          self,
		pol:           newPolicy(opts),
		held:          map[TaskID]*heldTask{},
		ends:          map[Attempt]End{},
		tombstones:    map[Attempt]time.Time{},
		usageRatios:   map[string]usageRatio{},
		dead:          map[Incarnation]bool{},
		peers:         map[netip.AddrPort]*entryPeer{},
		bestEffortMix: map[string]float64{},
	}
	for _, addr := range self.Entries {
		a.peers[addr] = &entryPeer{}
	}
	a.serve.init()
	return a
}

// Reduce applies one event and returns the effects to carry out. The slice is
// valid until the next call.
func (a *Agent) Reduce(at Stamp, ev AgentEvent) []AgentEffect {
	a.at = at
	a.out = a.out[:0]
	if a.startedAt.IsZero() {
		a.startedAt = at.Now
	}
	switch ev := ev.(type) {
	case Tick:
	case Inspected:
		a.handleInspected(ev)
	case EntriesRead:
		a.handleEntriesRead(ev)
	case HeartbeatAnswered:
		a.handleHeartbeatAnswered(ev)
	case StartAsked:
		a.handleStartAsked(ev)
	case StopAsked:
		a.handleStopAsked(ev)
	case SettleAsked:
		a.handleSettleAsked(ev)
	case ServeAsked:
		a.handleServeAsked(ev)
	case RevokeAsked:
		a.handleRevokeAsked(ev)
	case Launched:
		a.handleLaunched(ev)
	case Controlled:
		a.handleControlled(ev)
	case Called:
		a.handleCalled(ev)
	case Leave:
		a.handleLeave(ev)
	default:
		a.handleWorkerNotice(ev)
	}
	a.advance()
	return a.out
}

// handleWorkerNotice handles a worker's notices of its own departure.
func (a *Agent) handleWorkerNotice(ev AgentEvent) {
	switch ev.(type) {
	case WorkerLeaving:
		a.drain()
	case WorkerGone:
		a.handleWorkerGone()
	}
}

// advance performs all actions whose time has come.
func (a *Agent) advance() {
	if a.exited {
		return
	}
	a.advanceInspection()
	a.expireQueue()
	a.advanceDrain()
	a.advanceLaunches()
	a.advanceCheckpoints()
	a.advanceDiscovery()
	a.advanceHeartbeats()
	a.advanceLeave()
	a.scheduleWake()
}

func (a *Agent) emit(eff AgentEffect) { a.out = append(a.out, eff) }

func (a *Agent) count(name string, r Reason) { a.emit(Count{Name: name, Reason: r}) }

func (a *Agent) logNote(text, subject, detail string) {
	a.emit(Note{Text: text, Subject: subject, Detail: detail})
}

// logEvent emits a log line. The pairs are names and values of its fields.
func (a *Agent) logEvent(text, subject string, pairs ...any) { a.emit(newNote(text, subject, pairs)) }

func (a *Agent) advanceInspection() {
	if a.inspecting || a.at.Now.Before(a.nextInspect) {
		return
	}
	a.inspect()
}

func (a *Agent) inspect() {
	a.inspecting, a.inspectStartedAt = true, a.at.Now
	a.nextInspect = a.at.Now.Add(a.pol.InspectInterval)
	if a.stopPending() {
		a.nextInspect = a.at.Now.Add(stopInspectInterval)
	}
	eff := Inspect{}
	if a.pol.InspectWait > 0 {
		eff.Until = a.at.Now.Add(a.pol.InspectWait)
	}
	a.emit(eff)
}

// handleInspected updates the agent from an inspection. The first one determines
// its incarnation: that of the tasks still running at the worker, or a new one.
func (a *Agent) handleInspected(ev Inspected) {
	a.inspecting = false
	if ev.Fault != FaultNone {
		a.count("inspect", ReasonWorker)
		a.inspectFaults++
		a.handleWorkerLost()
		return
	}
	a.inspectedAt, a.inspectFaults = a.at.Now, 0
	reboot := a.ready && ev.Boot != a.boot
	a.boot = ev.Boot
	if reboot {
		a.handleReboot()
	}
	a.capacity, a.slots, a.services = ev.Capacity, ev.Slots, ev.Services
	a.rack, a.labels = cmp.Or(ev.Rack, a.self.Rack), ev.Labels
	if ev.Draining {
		a.drain()
	}
	if !a.ready && !a.join(ev.Tasks) {
		return
	}
	a.reconcileTasks(ev.Tasks)
}

// drain refuses new work from now on, since the worker will leave, and evicts the
// long-running tasks.
func (a *Agent) drain() {
	if a.draining {
		return
	}
	a.draining = true
	a.logNote("draining", string(a.inc), "the worker will leave")
	for _, t := range a.heldByUnsavedWork() {
		if t.order.LongRunning {
			a.count("evict", ReasonLeaving)
			a.stop(t, EndEvicted, "the worker will leave")
		}
	}
	a.expediteHeartbeats()
}

// handleWorkerGone records the tasks of a worker that has left as lost.
func (a *Agent) handleWorkerGone() {
	a.drain()
	a.logNote("worker gone", string(a.inc), "it has left")
	for _, t := range a.heldByUnsavedWork() {
		a.recordEnd(t, End{Attempt: t.order.Attempt, Kind: EndLost, Reason: "its worker has left"})
	}
}

// join adopts the tasks that an earlier agent process started, with their
// incarnation. If there are none, the agent joins as a new incarnation, but only
// once no launch of an earlier process can still be in flight. It reports whether
// the agent has joined.
func (a *Agent) join(tasks []WorkerTask) bool {
	for _, t := range tasks {
		if t.State == WorkerEnded {
			if a.inc == "" {
				a.inc = t.Inc
			}
			continue
		}
		a.inc = t.Inc
		a.held[t.Attempt.Task] = adoptedTask(t, a.at.Now.Add(a.pol.Lease))
	}
	if a.inc == "" && !a.pol.IncFromBoot && !a.launchesSettled() {
		return false
	}
	a.ready, a.joinedAt = true, a.at.Now
	if a.inc == "" {
		a.newIncarnation()
	}
	a.logNote("joined", string(a.inc), fmt.Sprintf("%d tasks adopted", len(a.held)))
	return true
}

// launchesSettled reports whether every launch by an earlier agent process on this
// VM has either reached the worker or is past its permit.
func (a *Agent) launchesSettled() bool {
	return a.at.Now.After(a.startedAt.Add(a.pol.Permit + a.pol.Drift))
}

// newIncarnation starts a new incarnation. No task may be held.
func (a *Agent) newIncarnation() {
	if a.inc != "" {
		a.dead[a.inc] = true
	}
	a.fenced = false
	a.echo, a.joinedAt = time.Time{}, a.at.Now
	if a.pol.IncFromBoot {
		a.nextBootIncarnation()
		return
	}
	a.inc = Incarnation(fmt.Sprintf("%s-%x-%x", a.self.Run, a.at.Now.UnixNano(), a.at.Seed))
}

// nextBootIncarnation starts the next incarnation of the worker's present boot. A
// restarted agent starts again at number 0, so that it keeps the tasks that run;
// if that incarnation was fenced, it advances as this process did.
func (a *Agent) nextBootIncarnation() {
	if a.incBoot == a.boot {
		a.incN++
	} else {
		a.incBoot, a.incN = a.boot, 0
	}
	a.inc = Incarnation(fmt.Sprintf("%s.%d", a.boot, a.incN))
}

// isKnownDead reports whether an incarnation is known to be dead: it is of an
// earlier boot, or this process has abandoned it.
func (a *Agent) isKnownDead(inc Incarnation) bool {
	if inc == "" || inc == a.inc || a.fenced {
		return false
	}
	n, sameBoot := strings.CutPrefix(string(inc), a.boot+".")
	if !a.pol.IncFromBoot || !sameBoot {
		return true
	}
	k, err := strconv.Atoi(n)
	return err == nil && k < a.incN
}

// handleReboot discards what the VM held before it was restarted while the agent
// kept running.
func (a *Agent) handleReboot() {
	clear(a.held)
	a.draining = false
	a.serve.init()
	a.newIncarnation()
	a.logNote("worker restarted", string(a.inc), "")
}

// handleLeave begins a graceful shutdown. It evicts all tasks unless the policy
// keeps them running.
func (a *Agent) handleLeave(ev Leave) {
	if a.leaving {
		return
	}
	a.leaving, a.leaveDeadline = true, ev.Deadline
	if a.pol.KeepTasks {
		return
	}
	for _, t := range a.heldByUnsavedWork() {
		a.stop(t, EndEvicted, "agent leaves")
	}
}

// advanceLeave ends a graceful shutdown once no task, unrecorded end or request is
// left, or at its deadline.
func (a *Agent) advanceLeave() {
	if !a.leaving {
		return
	}
	idle := (len(a.held) == 0 && len(a.ends) == 0 || a.pol.KeepTasks) && a.serve.isIdle()
	if !idle && a.at.Now.Before(a.leaveDeadline) {
		return
	}
	a.exited = true
	a.emit(Exit{})
}

// dcOut reports whether the VM's data centre is out, and until when tasks may run
// there.
func (a *Agent) dcOut() (bool, time.Time) {
	row, ok := a.config.dc(a.self.DC)
	if !ok || !row.Out {
		return false, time.Time{}
	}
	return true, row.Deadline
}

// scheduleWake requests a tick at the next time at which the agent has to act.
func (a *Agent) scheduleWake() {
	next := a.at.Now.Add(maxTickInterval)
	if !a.inspecting {
		next = a.nextInspect
	}
	for _, p := range a.peers {
		if !p.inFlight && p.next.Before(next) {
			next = p.next
		}
	}
	next = earliest(next, a.serve.nextExpiry())
	next = earliest(next, a.nextTaskTime())
	if a.leaving {
		next = earliest(next, a.leaveDeadline)
	}
	if a.wakeAt.After(a.at.Now) && !next.Before(a.wakeAt) {
		return
	}
	if !next.After(a.at.Now) {
		next = a.at.Now.Add(minWake)
	}
	a.wakeAt = next
	a.emit(Wake{At: next})
}

// minWake is the minimum time between two wake-ups of a reducer.
const minWake = time.Millisecond

// earliest returns the earlier of two times; a zero time counts as never.
func earliest(t, u time.Time) time.Time {
	if t.IsZero() || (!u.IsZero() && u.Before(t)) {
		return u
	}
	return t
}
