package core

import (
	"strconv"
	"strings"
	"time"

	"jayloft/place"
)

// Names of the things that jayloft manages.
type (
	// WorkerID names a worker, the VM slot that an agent stands beside.
	WorkerID string
	// DC names a data centre.
	DC string
	// Rack names a rack within a data centre.
	Rack string
	// Team names the owner of services and jobs, the unit of quotas.
	Team string
	// JobID names a batch or urgent job.
	JobID string
	// EntryID names one life of an entry process.
	EntryID string
	// RequestID names a caller's request.
	RequestID string
	// Incarnation names one life of a worker as a holder of claims. A later
	// incarnation of the same worker proves that the earlier one is dead.
	Incarnation string
	// Run names one life of an agent process.
	Run string
	// Token matches an effect to the event that asked for it.
	Token uint64
)

// Size is an amount of a VM's resources.
type Size = place.Size

// TaskID names one task of a job.
type TaskID struct {
	Job JobID
	N   int
}

// String returns the id in the form job.n.
func (t TaskID) String() string { return string(t.Job) + "." + strconv.Itoa(t.N) }

// ParseTask reads an id in the form job.n; without .n it names task 0.
func ParseTask(s string) TaskID {
	job, n, ok := strings.Cut(s, ".")
	if !ok {
		return TaskID{Job: JobID(s)}
	}
	i, err := strconv.Atoi(n)
	if err != nil || i < 0 {
		return TaskID{Job: JobID(s)}
	}
	return TaskID{Job: JobID(job), N: i}
}

// Attempt names one try at a task. Of two attempts the higher number is the
// later one; what an earlier one says changes nothing.
type Attempt struct {
	Task   TaskID
	Number uint32
}

// String returns the attempt in the form job.n#number.
func (a Attempt) String() string { return a.Task.String() + "#" + strconv.Itoa(int(a.Number)) }

// Holder is one life of a worker, the owner of claims.
type Holder struct {
	Worker WorkerID    `cbor:"1,keyasint,omitempty"`
	Inc    Incarnation `cbor:"2,keyasint,omitempty"`
}

// Stamp is the time and the seed that come with every event.
type Stamp struct {
	Now  time.Time
	Seed uint64
}

// EndKind says how an attempt ended.
type EndKind string

// The ways in which an attempt ends.
const (
	EndDone      EndKind = "done"
	EndFailed    EndKind = "failed"
	EndEvicted   EndKind = "evicted"   // stopped after a checkpoint, to resume elsewhere
	EndCancelled EndKind = "cancelled" // stopped because its job was cancelled
	EndLost      EndKind = "lost"      // started, then vanished without an end
)

// End is the end of one attempt as its agent reports it.
type End struct {
	Attempt Attempt
	Kind    EndKind
	Output  string // of a task that is done
	Reason  string
	Saved   string // the newest checkpoint, where the worker names one
}

// Outcome is what became of a caller's request.
type Outcome string

// The outcomes of a request.
const (
	OutcomeDone    Outcome = "done"    // ran; the answer is whole
	OutcomeRefused Outcome = "refused" // was not run and never will be
	OutcomeFailed  Outcome = "failed"  // ran and reported failure
	OutcomeUnknown Outcome = "unknown" // may have run
)

// Reason says why something was refused, retried, moved or left waiting. Each
// reason has a counter.
type Reason string

// The reasons of refusals, retries and waits.
const (
	ReasonNone        Reason = ""
	ReasonStale       Reason = "stale"       // the order's view of the table is older than the permit
	ReasonIncarnation Reason = "incarnation" // meant for another life of the worker or agent
	ReasonRoom        Reason = "room"        // does not fit beside what is committed
	ReasonSlots       Reason = "slots"       // every slot is taken
	ReasonQueue       Reason = "queue"       // the agent's queue is full
	ReasonDeadline    Reason = "deadline"    // can't be done before its deadline
	ReasonLeaving     Reason = "leaving"     // the endpoint or its data centre leaves
	ReasonTombstone   Reason = "tombstone"   // the attempt was declared never started
	ReasonDuplicate   Reason = "duplicate"   // the request id was admitted before
	ReasonService     Reason = "service"     // no such service here
	ReasonEndpoints   Reason = "endpoints"   // no endpoint is available
	ReasonOverload    Reason = "overload"    // expected wait exceeds the deadline
	ReasonQuota       Reason = "quota"       // the team's share is used up
	ReasonBudget      Reason = "budget"      // the retry budget is spent
	ReasonCut         Reason = "cut"         // the connection broke
	ReasonLease       Reason = "lease"       // the agent's lease has lapsed
	ReasonWorker      Reason = "worker"      // the worker's interface failed
	ReasonStopping    Reason = "stopping"    // the entry is stopping
	ReasonStore       Reason = "store"       // the platform's table doesn't answer
	ReasonUnplaceable Reason = "never"       // no worker could ever hold the task
	ReasonConfig      Reason = "config"      // the entry has no configuration yet
	ReasonInvalid     Reason = "invalid"     // the endpoint found the request itself at fault
	ReasonRevoked     Reason = "revoked"     // the caller or entry took it back
	ReasonAffinity    Reason = "affinity"    // a step's tasks must stay apart
	ReasonUnsupported Reason = "unbuilt"     // it asks for what jayloft does not do yet
	ReasonOwner       Reason = "owner"       // the entry that owns the job could not be asked
)
