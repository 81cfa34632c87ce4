package core

import (
	"time"

	"jayloft/limit"
	"jayloft/noise"
	"jayloft/place"
	"jayloft/press"
	"jayloft/table"
)

// Entry is the reducer of an entry process. All entries are equal: each takes
// requests and commands, and schedules the jobs of the shards it owns. Create
// it with NewEntry.
type Entry struct {
	self EntryIdentity
	pol  Policy

	at      Stamp
	out     []EntryEffect
	token   Token
	pending map[Token]pendingAnswer

	config confView
	round  readRound
	// storeLost says that a call of the table failed since the last round that
	// succeeded.
	storeLost bool
	circuit   limit.Breaker
	writes    *limit.Rate
	reads     *limit.Rate

	workers       map[WorkerID]*workerView
	runningTasks  int        // that run on all workers
	sortedWorkers []WorkerID // the keys of workers, in order
	index         place.Index
	fences        map[WorkerID]fenceView
	nextSuspect   time.Time // when silent workers are looked at again
	nextRetention time.Time // when ended jobs are looked at again
	nextClaims    time.Time // when claims are looked at again
	nextFence     time.Time // when the next fence may be written

	peers        map[EntryID]*peerView
	heartbeats   uint64
	nextAnnounce time.Time // when the own row is written again

	shards [Shards]shardView
	jobs   map[JobID]*jobView
	queue  taskQueue
	group  commitGroup
	quota  limit.Quota

	services map[string]*serviceView
	requests map[RequestID]*request
	timers   timerHeap
	retries  *limit.Budget
	hedges   *limit.Budget
	// retryShare and hedgeShare are what the budgets were made with.
	retryShare, hedgeShare float64
	recent                 recentLog
	noise                  noise.Model
	press                  press.Learner // of fillers on lasting tasks
	nextInterference       time.Time     // when it is kept again; zero before it was read

	commands    map[string]*command   // by id, changes only
	jobRequests map[Token]*jobRequest // callers' calls about jobs, by the call's token

	leaving       bool
	leaveDeadline time.Time
	deregistering bool // the own row is being deleted
	deregistered  bool // the own row was deleted, or that can't be known
	exited        bool
	nextWake      time.Time
	startedAt     time.Time // when this process began
}

// pendingAnswer is what an effect's answer will be matched to. The sealed set of waits
// follows the effects that have answers.
type pendingAnswer interface{ pendingAnswer() }

// Burst sizes of the budgets.
const (
	storeBurst = 20
	retryBurst = 20
	hedgeBurst = 10
)

// NewEntry returns the reducer of one life of an entry process.
func NewEntry(self EntryIdentity, opts ...Option) *Entry {
	pol := newPolicy(opts)
	return &Entry{
		self: self, pol: pol,
		pending:    map[Token]pendingAnswer{},
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
		jobRequests: map[Token]*jobRequest{},
	}
}

// Reduce takes one event and returns what is to be done. The slice is valid
// until the next call.
func (e *Entry) Reduce(at Stamp, ev EntryEvent) []EntryEffect {
	e.at = at
	e.out = e.out[:0]
	if e.startedAt.IsZero() {
		e.startedAt = at.Now
	}
	switch ev := ev.(type) {
	case Tick:
	case BeatHeard:
		e.handleHeartbeat(ev)
	case RequestArrived:
		e.handleRequestArrived(ev.Request)
	case RequestGone:
		e.handleRequestGone(ev.ID)
	case HearAsked:
		e.handleHearAsked(ev)
	case CommandAsked:
		e.handleCommandAsked(ev)
	case JobAsked:
		e.handleJobAsked(ev)
	case Leave:
		e.handleLeave(ev)
	default:
		e.handleAnswer(ev)
	}
	e.advance()
	return e.out
}

// handleAnswer hands the answer to an effect to what waits for it. Answers that
// come twice, or too late to matter, find nothing.
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
	case HearAnswered:
		e.handleHearAnswered(ev)
	case RelayAnswered:
		e.handleRelayAnswered(ev)
	}
}

// advance does all that is due at the present time.
func (e *Entry) advance() {
	if e.exited {
		return
	}
	e.requestsDue()
	e.advanceReads()
	e.advanceMembership()
	e.advanceSuspects()
	e.advanceClaims()
	e.advanceRetention()
	e.advanceCommands()
	e.advanceJobRequests()
	e.advanceInterference()
	e.schedule()
	e.advanceFlush()
	e.advanceLeave()
	e.scheduleWake()
}

// expect registers what waits for the answer of an effect.
func (e *Entry) expect(w pendingAnswer) Token {
	e.token++
	e.pending[e.token] = w
	return e.token
}

// takePending returns what waits for a token, once.
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

// measure says how long something took.
func (e *Entry) measure(name string, since time.Time) {
	e.emit(Measure{Name: name, Took: e.at.Now.Sub(since)})
}

// logEvent adds a line to the log with fields, given as names and values.
func (e *Entry) logEvent(text, subject string, pairs ...any) { e.emit(newNote(text, subject, pairs)) }

func newNote(text, subject string, pairs []any) Note {
	n := Note{Text: text, Subject: subject, Fields: make([]Field, 0, len(pairs)/2)}
	for i := 0; i+1 < len(pairs); i += 2 {
		name, _ := pairs[i].(string)
		n.Fields = append(n.Fields, Field{Name: name, Value: pairs[i+1]})
	}
	return n
}

// hasConfig reports whether the entry has read the configuration.
func (e *Entry) hasConfig() bool { return e.round.done > 0 }

// Ready reports whether the entry may serve: it has read the configuration, and
// the agents have had the time to announce themselves.
func (e *Entry) Ready() bool {
	return e.hasConfig() && !e.leaving && e.at.Now.Sub(e.startedAt) > announceHeartbeats*e.pol.HeartbeatInterval
}

// announceHeartbeats is the number of beats within which agents find an entry.
const announceHeartbeats = 3

// handleLeave begins a planned stop: nothing new is taken in.
func (e *Entry) handleLeave(ev Leave) {
	if e.leaving {
		return
	}
	e.leaving, e.leaveDeadline = true, ev.By
	e.logNote("leaving", string(e.self.ID), "")
}

// advanceLeave ends a planned stop once nothing is in flight.
func (e *Entry) advanceLeave() {
	if !e.leaving {
		return
	}
	idle := len(e.requests) == 0 && len(e.commands) == 0 && len(e.jobRequests) == 0 && e.group.idle()
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

// pendingLeave waits for the deletion of the own row, which hands the shards over
// to the other entries at once.
type pendingLeave struct{}

func (pendingLeave) pendingAnswer() {}

// maxTickInterval is the longest time between two ticks.
const maxTickInterval = 100 * time.Millisecond

// scheduleWake asks for a tick at the next time at which something is due.
func (e *Entry) scheduleWake() {
	next := e.at.Now.Add(maxTickInterval)
	next = earliest(next, e.timers.next())
	next = earliest(next, e.flushAt())
	if e.nextWake.After(e.at.Now) && !next.Before(e.nextWake) {
		return
	}
	if !next.After(e.at.Now) {
		next = e.at.Now.Add(minWake)
	}
	e.nextWake = next
	e.emit(Wake{At: next})
}
