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
	site EntrySite
	pol  Policy

	at    Stamp
	out   []EntryEffect
	token Token
	waits map[Token]wait

	config confView
	round  readRound
	// storeLost says that a call of the table failed since the last round that
	// succeeded.
	storeLost bool
	circuit   limit.Circuit
	writes    *limit.Rate
	reads     *limit.Rate

	workers    map[WorkerID]*workerView
	tasks      int        // that run on all workers
	sorted     []WorkerID // the keys of workers, in order
	index      place.Index
	fences     map[WorkerID]fenceView
	nextSus    time.Time // when silent workers are looked at again
	nextKeep   time.Time // when ended jobs are looked at again
	nextClaims time.Time // when claims are looked at again
	nextFence  time.Time // when the next fence may be written

	peers  map[EntryID]*peerView
	beatN  uint64
	nextMe time.Time // when the own row is written again

	shards [Shards]shardView
	jobs   map[JobID]*jobView
	queue  taskQueue
	group  groupState
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
	nextPress              time.Time     // when it is kept again; zero before it was read

	commands map[string]*command // by id, changes only
	asks     map[Token]*ask      // callers' calls about jobs, by the call's token

	leaving  bool
	leaveBy  time.Time
	unlisted bool // the own row is being deleted
	gone     bool // the own row was deleted, or that can't be known
	exited   bool
	armed    time.Time
	began    time.Time // when this process began
}

// wait is what an effect's answer will be matched to. The sealed set of waits
// follows the effects that have answers.
type wait interface{ wait() }

// Burst sizes of the budgets.
const (
	storeBurst = 20
	retryBurst = 20
	hedgeBurst = 10
)

// NewEntry returns the reducer of one life of an entry process.
func NewEntry(site EntrySite, opts ...Option) *Entry {
	pol := newPolicy(opts)
	return &Entry{
		site: site, pol: pol,
		waits:      map[Token]wait{},
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
		commands: map[string]*command{},
		asks:     map[Token]*ask{},
	}
}

// Reduce takes one event and returns what is to be done. The slice is valid
// until the next call.
func (e *Entry) Reduce(at Stamp, ev EntryEvent) []EntryEffect {
	e.at = at
	e.out = e.out[:0]
	if e.began.IsZero() {
		e.began = at.Now
	}
	switch ev := ev.(type) {
	case Tick:
	case BeatReceived:
		e.beatHeard(ev)
	case RequestArrived:
		e.requestArrived(ev.Request)
	case RequestAbandoned:
		e.requestGone(ev.ID)
	case LivenessAsked:
		e.hearAsked(ev)
	case CommandAsked:
		e.commandAsked(ev)
	case JobRequested:
		e.jobAsked(ev)
	case Leave:
		e.leave(ev)
	default:
		e.answered(ev)
	}
	e.advance()
	return e.out
}

// answered hands the answer to an effect to what waits for it. Answers that
// come twice, or too late to matter, find nothing.
func (e *Entry) answered(ev EntryEvent) {
	switch ev := ev.(type) {
	case ServeAnswered:
		e.serveAnswered(ev)
	case RevokeAnswered:
		e.revokeAnswered(ev)
	case CommitAnswered:
		e.commitAnswered(ev)
	case ChangesAnswered:
		e.changesAnswered(ev)
	case RowsAnswered:
		e.rowsAnswered(ev)
	case StartAnswered:
		e.startAnswered(ev)
	case SettleAnswered:
		e.settleAnswered(ev)
	case LivenessAnswered:
		e.hearAnswered(ev)
	case RelayAnswered:
		e.relayAnswered(ev)
	}
}

// advance does all that is due at the present time.
func (e *Entry) advance() {
	if e.exited {
		return
	}
	e.requestsDue()
	e.readDue()
	e.memberDue()
	e.suspectDue()
	e.claimsDue()
	e.keepDue()
	e.commandsDue()
	e.asksDue()
	e.pressDue()
	e.schedule()
	e.flushDue()
	e.leaveDue()
	e.arm()
}

// expect registers what waits for the answer of an effect.
func (e *Entry) expect(w wait) Token {
	e.token++
	e.waits[e.token] = w
	return e.token
}

// take returns what waits for a token, once.
func (e *Entry) take(t Token) wait {
	w := e.waits[t]
	delete(e.waits, t)
	return w
}

func (e *Entry) emit(eff EntryEffect) { e.out = append(e.out, eff) }

func (e *Entry) count(name string, r Reason) { e.emit(Count{Name: name, Reason: r}) }

func (e *Entry) note(text, subject, detail string) {
	e.emit(Note{Text: text, Subject: subject, Detail: detail})
}

// measure says how long something took.
func (e *Entry) measure(name string, since time.Time) {
	e.emit(Measure{Name: name, Took: e.at.Now.Sub(since)})
}

// tell adds a line to the log with fields, given as names and values.
func (e *Entry) tell(text, subject string, pairs ...any) { e.emit(noteOf(text, subject, pairs)) }

func noteOf(text, subject string, pairs []any) Note {
	n := Note{Text: text, Subject: subject, Fields: make([]Field, 0, len(pairs)/2)}
	for i := 0; i+1 < len(pairs); i += 2 {
		name, _ := pairs[i].(string)
		n.Fields = append(n.Fields, Field{Name: name, Value: pairs[i+1]})
	}
	return n
}

// ready reports whether the entry has read the configuration.
func (e *Entry) ready() bool { return e.round.done > 0 }

// Ready reports whether the entry may serve: it has read the configuration, and
// the agents have had the time to announce themselves.
func (e *Entry) Ready() bool {
	return e.ready() && !e.leaving && e.at.Now.Sub(e.began) > announceBeats*e.pol.BeatEvery
}

// announceBeats is the number of beats within which agents find an entry.
const announceBeats = 3

// leave begins a planned stop: nothing new is taken in.
func (e *Entry) leave(ev Leave) {
	if e.leaving {
		return
	}
	e.leaving, e.leaveBy = true, ev.By
	e.note("leaving", string(e.site.ID), "")
}

// leaveDue ends a planned stop once nothing is in flight.
func (e *Entry) leaveDue() {
	if !e.leaving {
		return
	}
	idle := len(e.requests) == 0 && len(e.commands) == 0 && len(e.asks) == 0 && e.group.idle()
	if !idle && e.at.Now.Before(e.leaveBy) {
		return
	}
	if !e.unlisted && e.ready() && idle {
		e.unlisted = true
		txn := table.Txn{Writes: []table.Write{{Key: keyEntry(e.site.ID), Delete: true}}}
		e.emit(Commit{Token: e.expect(waitLeave{}), Txn: txn})
		return
	}
	if idle && e.unlisted && !e.gone && e.at.Now.Before(e.leaveBy) {
		return
	}
	e.exited = true
	e.emit(Exit{})
}

// waitLeave waits for the deletion of the own row, which hands the shards over
// to the other entries at once.
type waitLeave struct{}

func (waitLeave) wait() {}

// housekeeping is the longest time between two ticks.
const housekeeping = 100 * time.Millisecond

// arm asks for a tick at the next time at which something is due.
func (e *Entry) arm() {
	next := e.at.Now.Add(housekeeping)
	next = earliest(next, e.timers.next())
	next = earliest(next, e.flushAt())
	if e.armed.After(e.at.Now) && !next.Before(e.armed) {
		return
	}
	if !next.After(e.at.Now) {
		next = e.at.Now.Add(minWake)
	}
	e.armed = next
	e.emit(Wake{At: next})
}
