package core

import (
	"net/netip"
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
	dying     Incarnation // the one before, while the worker may still run its tasks
	incBoot   string      // the worker's boot that inc belongs to
	incN      int         // number of inc within that boot, from 0
	ready     bool        // the worker has been inspected and the agent has joined
	boot      string
	capacity  Size
	slots     int
	services  []string
	rack      Rack
	labels    []string
	draining  bool      // the worker will leave
	leftAt    time.Time // when the worker gave notice that it leaves; zero if it has not
	used      Size
	unmanaged Size // size of tasks that run at the worker but are not held

	held       map[TaskID]*heldTask
	kept       map[TaskID]keptRoom // see advanceAwaited
	ends       map[Attempt]End
	lateEnds   map[Attempt]time.Time // when ends were replaced by what was learnt of them late
	lost       []*heldTask           // ended since the worker did not answer; it may have crashed
	tombstones map[Attempt]time.Time // attempts that must never start, with the time the tombstone expires

	echo      time.Time // the newest, on this VM's clock
	startedAt time.Time // when this process started
	joinedAt  time.Time // when this incarnation began or was adopted
	fenced    bool
	calls     callEpochs
	// grantedUntil is the latest deadline that a call to the worker has carried,
	// confirmedUntil the latest that an inspection it has answered did, and renewUntil what
	// the next inspection is to carry. The last two are of the worker's present boot.
	grantedUntil   time.Time
	confirmedUntil time.Time
	renewUntil     time.Time
	dead           map[Incarnation]bool // earlier incarnations that this agent confirms to be dead

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
	inspectUntil     time.Time             // until when its answer may be delayed; zero if it may not
	inspectDeadline  time.Time             // that it carried; zero if none
	inspectedAt      time.Time             // when an inspection last succeeded
	inspectFaults    int                   // consecutive failed inspections
	downSince        time.Time             // since when the worker may not have answered calls; zero if it answers
	downBy           time.Time             // by when it had stopped answering
	launchedAt       time.Time             // when the worker last confirmed a launch
	usageRatios      map[string]usageRatio // of batch tasks, by class
	wakeAt           time.Time             // time of the last Wake effect
}

// NewAgent returns the reducer of one run of an agent process.
func NewAgent(self AgentIdentity, opts ...Option) *Agent {
	a := &Agent{
		self:          self,
		pol:           newPolicy(opts),
		held:          map[TaskID]*heldTask{},
		ends:          map[Attempt]End{},
		lateEnds:      map[Attempt]time.Time{},
		tombstones:    map[Attempt]time.Time{},
		usageRatios:   map[string]usageRatio{},
		dead:          map[Incarnation]bool{},
		peers:         map[netip.AddrPort]*entryPeer{},
		kept:          map[TaskID]keptRoom{},
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

// handleWorkerNotice handles a worker's notices of its own departure and of a change of its
// capacity.
func (a *Agent) handleWorkerNotice(ev AgentEvent) {
	switch ev := ev.(type) {
	case WorkerResized:
		a.handleWorkerResized(ev)
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
	a.advanceDying()
	a.advanceFenced()
	a.expireQueue()
	a.advanceDrain()
	a.advanceIsolation()
	a.advanceAwaited()
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
	if updateWake(a.at.Now, next, &a.wakeAt) {
		a.emit(Wake{At: a.wakeAt})
	}
}

// updateWake updates the time of a reducer's last Wake effect and reports whether a new
// one is needed for a tick at next: an earlier tick makes it needless.
func updateWake(now, next time.Time, last *time.Time) bool {
	if last.After(now) && !next.Before(*last) {
		return false
	}
	if !next.After(now) {
		next = now.Add(minWake)
	}
	*last = next
	return true
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
