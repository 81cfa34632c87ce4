package core

import (
	"strconv"
	"strings"
	"time"

	"jayloft/crash"
	"jayloft/place"
)

// Identifiers of the objects that jayloft manages.
type (
	// WorkerID identifies a worker: the VM slot that an agent runs beside.
	WorkerID string
	// DC identifies a data centre.
	DC string
	// Rack identifies a rack within a data centre.
	Rack string
	// Team identifies the owner of services and jobs. Quotas are set per team.
	Team string
	// JobID identifies a batch or urgent job.
	JobID string
	// EntryID identifies one run of an entry process.
	EntryID string
	// RequestID identifies a request of a caller.
	RequestID string
	// Incarnation identifies one incarnation of a worker as a holder of claims. A
	// later incarnation of the same worker proves that the earlier one is dead.
	Incarnation string
	// Run identifies one run of an agent process.
	Run string
	// Token correlates an effect with the event that answers it.
	Token uint64
)

// Size is an amount of a VM's resources.
type Size = place.Size

// TaskID identifies one task of a job.
type TaskID struct {
	Job JobID
	N   int
}

// String returns the id in the form job.n.
func (t TaskID) String() string { return string(t.Job) + "." + strconv.Itoa(t.N) }

// ParseTask parses an id in the form job.n. An id without a valid n is taken as a
// job id and identifies task 0.
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

// Attempt identifies one attempt at a task. Of two attempts the higher number is
// the later one; reports of an earlier attempt are ignored.
type Attempt struct {
	Task   TaskID
	Number uint32
}

// String returns the attempt in the form job.n#number.
func (a Attempt) String() string { return a.Task.String() + "#" + strconv.Itoa(int(a.Number)) }

// Holder is one incarnation of a worker, the owner of claims.
type Holder struct {
	Worker WorkerID    `cbor:"1,keyasint,omitempty"`
	Inc    Incarnation `cbor:"2,keyasint,omitempty"`
}

// Stamp is the time and the random seed that come with every event.
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
	EndLost      EndKind = "lost"      // started, then disappeared without reporting an end
	EndCrashed   EndKind = "crashed"   // ended by a crash of its worker
)

// End is the end of one attempt, as its agent reports it.
type End struct {
	Attempt Attempt
	Kind    EndKind
	Output  string // with EndDone
	Reason  string
	Saved   string // the newest checkpoint, if the worker names one
	Started bool   // the worker had started the attempt
	// Crash is what the agent has seen of the crash, with EndCrashed.
	Crash crash.Evidence
}

// Outcome is the final outcome of a request of a caller.
type Outcome string

// The outcomes of a request.
const (
	OutcomeDone    Outcome = "done"    // ran; the answer is complete
	OutcomeRefused Outcome = "refused" // has not run and never will
	OutcomeFailed  Outcome = "failed"  // ran and reported failure
	OutcomeUnknown Outcome = "unknown" // may have run
)

// Reason says why something was refused, retried, moved or left waiting. Each
// reason has its own counter.
type Reason string

// The reasons of refusals, retries and waits.
const (
	ReasonNone        Reason = ""
	ReasonStale       Reason = "stale"       // the order's view of the table is older than the permit
	ReasonIncarnation Reason = "incarnation" // meant for another incarnation of the worker or another run of the agent
	ReasonRoom        Reason = "room"        // does not fit beside what is committed
	ReasonSlots       Reason = "slots"       // every slot is in use
	ReasonQueue       Reason = "queue"       // the agent's queue is full
	ReasonDeadline    Reason = "deadline"    // can't complete before its deadline
	ReasonLeaving     Reason = "leaving"     // the worker or its agent is leaving, or its data centre is out
	ReasonTombstone   Reason = "tombstone"   // the attempt was declared never started
	ReasonDuplicate   Reason = "duplicate"   // the request id was already admitted
	ReasonService     Reason = "service"     // the service is not configured or not served here
	ReasonEndpoints   Reason = "endpoints"   // no endpoint is available
	ReasonOverload    Reason = "overload"    // the expected wait exceeds the deadline
	ReasonQuota       Reason = "quota"       // the team's quota is exhausted
	ReasonRow         Reason = "row"         // the job's row has no room for one more claim
	ReasonBudget      Reason = "budget"      // the retry budget is exhausted
	ReasonCut         Reason = "cut"         // no answer: the connection broke
	ReasonLease       Reason = "lease"       // the agent's lease has expired
	ReasonWorker      Reason = "worker"      // the worker's API failed or does not answer
	ReasonStopping    Reason = "stopping"    // the entry is shutting down
	ReasonStore       Reason = "store"       // the platform's table does not answer
	ReasonRejected    Reason = "rejected"    // the platform's table rejects the row for what it holds
	ReasonUnplaceable Reason = "never"       // no worker could ever hold the task
	ReasonConfig      Reason = "config"      // the entry has not read the configuration yet
	ReasonInvalid     Reason = "invalid"     // the endpoint rejected the request itself as invalid
	ReasonRevoked     Reason = "revoked"     // the caller or the entry revoked it
	ReasonIsolated    Reason = "isolated"    // a task that may crash its worker runs apart from other jobs
	ReasonAffinity    Reason = "affinity"    // anti-affinity: the step's limit of tasks per worker
	ReasonUnsupported Reason = "unbuilt"     // not implemented by jayloft yet
	ReasonOwner       Reason = "owner"       // the entry that owns the job could not be reached
)
