package core

import (
	"time"

	"jayloft/impact"
	"jayloft/interf"
	"jayloft/limit"
	"jayloft/place"
	"jayloft/table"
)

// Entry is the reducer of an entry process. All entries are equal: each accepts
// requests and commands, and schedules the jobs of the shards it owns. Create
// it with NewEntry.
type Entry struct {
	self EntryIdentity
	pol  Policy

	at      Stamp // of the current event
	out     []EntryEffect
	token   Token
	pending map[Token]pendingAnswer

	config confView
	round  readRound
	// storeLost is set by a failed call to the table and cleared by the next read
	// round that succeeds.
	storeLost bool
	breaker   limit.Breaker
	writes    *limit.Rate
	reads     *limit.Rate

	workers       map[WorkerID]*workerView
	holderBytes   int        // of the longest ids of a worker and its incarnation
	runningTasks  int        // on all workers, by their last heartbeats
	sortedWorkers []WorkerID // the keys of workers, sorted
	index         place.Index
	fences        map[WorkerID]fenceView
	nextSuspect   time.Time // when workers are next checked for silence
	nextRetention time.Time // when expired jobs are next removed
	nextClaims    time.Time // when claims are next checked
	nextFence     time.Time // earliest time of the next fence write
	// quarantinedUntil is when the last quarantine of a worker ends.
	quarantinedUntil time.Time

	homes homeView

	peers        map[EntryID]*peerView
	heartbeats   uint64
	nextAnnounce time.Time // when this entry's own row is next written

	shards      [Shards]shardView
	rereadUntil time.Time // until when loaded shards are read in each round, see distrustShards
	jobs        map[JobID]*jobView
	queue       taskQueue
	group       commitGroup
	quota       limit.Quota
	load        loadView

	orphans orphanReads

	nextIdleCheck time.Time // when long-running tasks without a run are next looked for

	services map[string]*serviceView
	requests map[RequestID]*request
	timers   timerHeap
	retries  *limit.Budget
	hedges   *limit.Budget
	// retryShare and hedgeShare are the shares the budgets were created with.
	retryShare, hedgeShare float64
	recent                 recentLog
	impact                 impact.Model
	interference           interf.Learner // interference of best-effort with long-running tasks
	nextInterference       time.Time      // when it is next stored; zero until the stored row was requested

	commands    map[string]*command       // commands that change something, by id
	refusals    refusalLog                // of commands
	jobRequests map[Token]*openJobRequest // by the token of the event
	tombstones  tombstones

	leaving       bool
	leaveDeadline time.Time
	deregistering bool // the delete of this entry's own row was sent
	deregistered  bool // that delete was answered, or its answer was lost
	exited        bool
	nextWake      time.Time
	startedAt     time.Time // time of the first event
}

// pendingAnswer is the state that is kept for an effect until its answer arrives.
// The set of implementations is sealed: one for each use of an effect that has an
// answer.
type pendingAnswer interface{ pendingAnswer() }

// Burst sizes of rates and budgets, in calls.
const (
	storeBurst = 20
	retryBurst = 20
	hedgeBurst = 10
)

// NewEntry returns the reducer of one run of an entry process.
func NewEntry(self EntryIdentity, opts ...Option) *Entry {
	pol := newPolicy(opts)
	return &Entry{
		self: self, pol: pol,
		pending:    map[Token]pendingAnswer{},
		tombstones: tombstones{kept: map[JobID]tombstone{}},
		writes:     limit.NewRate(pol.WritesPerSecond, storeBurst),
		reads:      limit.NewRate(pol.ReadsPerSecond, storeBurst*2),
		workers:    map[WorkerID]*workerView{},
		fences:     map[WorkerID]fenceView{},
		peers:      map[EntryID]*peerView{},
		jobs:       map[JobID]*jobView{},
		services:   map[string]*serviceView{},
		requests:   map[RequestID]*request{},
		retries:    limit.NewBudget(pol.RetryShare, retryBurst),
		hedges:     limit.NewBudget(pol.HedgeShare, hedgeBurst),
		retryShare: pol.RetryShare, hedgeShare: pol.HedgeShare,
		commands:    map[string]*command{},
		refusals:    refusalLog{recorded: map[string]time.Time{}},
		jobRequests: map[Token]*openJobRequest{},
	}
}

// Reduce applies one event and returns the effects to carry out. The slice is
// valid until the next call.
func (e *Entry) Reduce(at Stamp, ev EntryEvent) []EntryEffect {
	e.at = at
	e.out = e.out[:0]
	if e.startedAt.IsZero() {
		e.startedAt = at.Now
	}
	switch ev := ev.(type) {
	case Tick:
	case HeartbeatReceived:
		e.handleHeartbeatReceived(ev)
	case RequestArrived:
		e.handleRequestArrived(ev.Request)
	case RequestAbandoned:
		e.handleRequestAbandoned(ev.ID)
	case LivenessAsked:
		e.handleLivenessAsked(ev)
	case CommandAsked:
		e.handleCommandAsked(ev)
	case JobRequested:
		e.handleJobRequested(ev)
	case Leave:
		e.handleLeave(ev)
	default:
		e.handleAnswer(ev)
	}
	e.advance()
	return e.out
}

// handleAnswer handles the answer to an effect. Duplicate and late answers find no
// pending answer and are dropped.
func (e *Entry) handleAnswer(ev EntryEvent) {
	switch ev := ev.(type) {
	case ServeAnswered:
		e.handleServeAnswered(ev)
	case RevokeAnswered:
		e.handleRevokeAnswered(ev)
	case CommitAnswered:
		e.handleCommitAnswered(ev)
	case ChangesAnswered:
		e.handleChangesAnswered(ev)
	case RowsAnswered:
		e.handleRowsAnswered(ev)
	case StartAnswered:
		e.handleStartAnswered(ev)
	case SettleAnswered:
		e.handleSettleAnswered(ev)
	case LivenessAnswered:
		e.handleLivenessAnswered(ev)
	case RelayAnswered:
		e.handleRelayAnswered(ev)
	}
}

// advance runs all work that is due at the current time.
func (e *Entry) advance() {
	if e.exited {
		return
	}
	e.advanceRequests()
	e.advanceReads()
	e.advanceMembership()
	e.advanceSuspects()
	e.advanceClaims()
	e.advanceRetention()
	e.advanceCommands()
	e.advanceJobRequests()
	e.advanceTombstones()
	e.advanceInterference()
	e.advanceOrphans()
	e.schedule()
	e.advanceIdle()
	e.advanceLoad()
	e.advanceFlush()
	e.advanceLeave()
	e.scheduleWake()
}

// expect registers a pending answer and returns the token for the effect.
func (e *Entry) expect(w pendingAnswer) Token {
	e.token++
	e.pending[e.token] = w
	return e.token
}

// takePending removes and returns the pending answer of a token; nil if there is
// none.
func (e *Entry) takePending(t Token) pendingAnswer {
	w := e.pending[t]
	delete(e.pending, t)
	return w
}

func (e *Entry) emit(eff EntryEffect) { e.out = append(e.out, eff) }

func (e *Entry) count(name string, r Reason) { e.emit(Count{Name: name, Reason: r}) }

func (e *Entry) logNote(text, subject, detail string) {
	e.emit(Note{Text: text, Subject: subject, Detail: detail})
}

// measure reports the time since a moment as a measurement.
func (e *Entry) measure(name string, since time.Time) {
	e.emit(Measure{Name: name, Took: e.at.Now.Sub(since)})
}

// logEvent logs a line with fields, given as alternating names and values.
func (e *Entry) logEvent(text, subject string, pairs ...any) { e.emit(newNote(text, subject, pairs)) }

// newNote returns a log line with fields, given as alternating names and values.
func newNote(text, subject string, pairs []any) Note {
	n := Note{Text: text, Subject: subject, Fields: make([]Field, 0, len(pairs)/2)}
	for i := 0; i+1 < len(pairs); i += 2 {
		name, _ := pairs[i].(string)
		n.Fields = append(n.Fields, Field{Name: name, Value: pairs[i+1]})
	}
	return n
}

// hasConfig reports whether the entry has read the configuration at least once.
func (e *Entry) hasConfig() bool { return e.round.done > 0 }

// Ready reports whether the entry may serve: it has read the configuration, is not
// leaving, and the agents have had time to send their first heartbeats.
func (e *Entry) Ready() bool {
	return e.hasConfig() && !e.leaving && e.isPastJoin(e.startedAt)
}

// hasHeardAgents reports whether the agents have had time to send their first heartbeats
// to this process as a home.
func (e *Entry) hasHeardAgents() bool {
	return e.homes.self && e.isPastJoin(latest(e.startedAt, e.homes.selfSince))
}

// isPastJoin reports whether agents have had time to discover an entry since a time.
func (e *Entry) isPastJoin(since time.Time) bool {
	return e.at.Now.Sub(since) > announceHeartbeats*e.pol.HeartbeatInterval
}

// announceHeartbeats is the number of heartbeat intervals within which agents
// discover a new entry.
const announceHeartbeats = 3

// handleLeave begins a graceful shutdown: the entry accepts nothing new.
func (e *Entry) handleLeave(ev Leave) {
	if e.leaving {
		return
	}
	e.leaving, e.leaveDeadline = true, ev.Deadline
	e.logNote("leaving", string(e.self.ID), "")
}

// advanceLeave ends a graceful shutdown once nothing is in flight, or at its
// deadline.
func (e *Entry) advanceLeave() {
	if !e.leaving {
		return
	}
	idle := len(e.requests) == 0 && len(e.commands) == 0 && len(e.jobRequests) == 0 && e.group.isIdle()
	if !idle && e.at.Now.Before(e.leaveDeadline) {
		return
	}
	if !e.deregistering && e.hasConfig() && idle {
		e.deregistering = true
		txn := table.Txn{Writes: []table.Write{{Key: keyEntry(e.self.ID), Delete: true}}}
		e.emit(Commit{Token: e.expect(pendingLeave{}), Txn: txn})
		return
	}
	if idle && e.deregistering && !e.deregistered && e.at.Now.Before(e.leaveDeadline) {
		return
	}
	e.exited = true
	e.emit(Exit{})
}

// pendingLeave awaits the deletion of this entry's own row, which hands its shards
// over to the other entries at once.
type pendingLeave struct{}

func (pendingLeave) pendingAnswer() {}

// maxTickInterval bounds the time between two ticks.
const maxTickInterval = 100 * time.Millisecond

// scheduleWake requests a tick for the next time at which work is due.
func (e *Entry) scheduleWake() {
	next := e.at.Now.Add(maxTickInterval)
	next = earliest(next, e.timers.next())
	next = earliest(next, e.flushAt())
	next = earliest(next, e.tombstonesDueAt())
	if updateWake(e.at.Now, next, &e.nextWake) {
		e.emit(Wake{At: e.nextWake})
	}
}
