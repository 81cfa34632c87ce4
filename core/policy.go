package core

import (
	"net/netip"
	"time"

	"jayloft/route"
)

// Policy holds the parameters of both reducers. The zero value is not usable: start
// from DefaultPolicy.
type Policy struct {
	// Permit is the maximum age of the view of the table on which a start order may
	// be based.
	Permit time.Duration
	// Lease is how long an agent may run tasks after the newest echo.
	Lease time.Duration
	// Drift is the margin for clocks that run at different rates. It is added to the
	// time that an entry waits for a lease to lapse.
	Drift time.Duration
	// HeartbeatInterval is the time between an agent's heartbeats to one entry.
	HeartbeatInterval time.Duration
	// InspectInterval is the time between an agent's queries of its worker's state.
	InspectInterval time.Duration
	// ReadInterval is the time between an entry's reads of the configuration.
	ReadInterval time.Duration
	// ShardReadInterval is the minimum time between two reads of a loaded shard; zero
	// reads it together with the configuration.
	ShardReadInterval time.Duration
	// Silent is the time without a heartbeat after which an entry sends no new work
	// to a worker.
	Silent time.Duration
	// Suspect is the time without a heartbeat after which an entry queries the other
	// entries about a worker and fences it if none has received one.
	Suspect time.Duration
	// Visible is how long after its acceptance a job may be missing from what callers are
	// told of other entries' jobs.
	Visible time.Duration
	// EntryTimeout is how long an entry's row may stay unchanged before the other
	// entries consider it dead.
	EntryTimeout time.Duration
	// Homes is the number of home entries: those that receive the heartbeats of all agents
	// and own the shards of jobs. EveryEntry makes all of them homes.
	Homes int
	// FenceInterval is the minimum time between two fences of silent workers by one
	// entry.
	FenceInterval time.Duration
	// SettleAfter is the time without a report of a claimed attempt after which its
	// agent is queried about it.
	SettleAfter time.Duration
	// CheckpointInterval is the time between checkpoints of a task.
	CheckpointInterval time.Duration
	// CheckpointsPerSecond bounds the rate of checkpoints of all tasks together: with
	// many tasks, each is checkpointed less often.
	CheckpointsPerSecond float64
	// Retention is how long the row of an ended job is kept, together with the row of
	// the command that submitted it.
	Retention time.Duration
	// QueuePerSlot is how many requests an agent queues for each slot.
	QueuePerSlot float64
	// RetryShare is the retry budget: retries as a fraction of new requests.
	RetryShare float64
	// HedgeShare is the hedging budget: hedged requests as a fraction of new requests.
	HedgeShare float64
	// HedgeQuantile is the quantile of latency after which a request is hedged.
	HedgeQuantile float64
	// ParkFailures is the number of distinct workers on which a task may fail before
	// it is parked.
	ParkFailures int
	// WritesPerSecond bounds the transactions of all live entries together,
	// ReadsPerSecond their reads; each live entry has an equal share.
	WritesPerSecond, ReadsPerSecond float64
	// TxnRows bounds the rows that one transaction writes, TxnEntries its writes
	// and conditions together, TxnKilobytes the size of its rows except the last.
	TxnRows, TxnEntries, TxnKilobytes int
	// RowBytes bounds each row that is written to the table, in bytes of its value.
	RowBytes int
	// RampUpTime is how long a returned data centre takes to reach its full share.
	RampUpTime time.Duration

	// InspectWait is the long-polling time of a query of the worker's state: the
	// worker may delay its answer so long until one of its tasks ends. Zero requests
	// an immediate answer.
	InspectWait time.Duration
	// IncFromBoot derives the incarnation from the worker's boot id, for workers whose
	// task lists don't name the incarnation that started a task.
	IncFromBoot bool
	// FindEntries makes an agent that gets no answer from any entry read the rows of
	// the entries from the table.
	FindEntries bool
	// FencedCalls says that the worker keeps one lease for all of its tasks, may carry out
	// a call long after it has timed out, and carries out none of an epoch below the highest
	// that it has seen.
	FencedCalls bool
	// KeepTasks leaves tasks running when an agent is stopped gracefully: the agent's
	// next process takes them over.
	KeepTasks bool

	// Baselines to measure against; the zero values are the production policies.
	Route            route.Policy // how a request's worker is chosen
	FirstFit         bool         // a task goes to the first worker with room
	ShareWorkers     bool         // homes prefer no workers of their own
	EarliestDeadline bool         // tasks are ordered by priority and deadline alone
	Impact           ImpactMode   // how interference is controlled
	DrainAtOnce      bool         // an agent stops every task as soon as it learns of a drain

	off guard
}

// ImpactMode is a mode of controlling the interference of batch tasks with services.
type ImpactMode uint8

// The modes of interference control.
const (
	ImpactLearn ImpactMode = iota // learnt per service and class; tasks are throttled first, then evicted
	ImpactOff                     // no control
	ImpactEvict                   // every slowdown evicts a batch task
)

// EveryEntry as Policy.Homes is more than a site may have entries.
const EveryEntry = 1000

// boundsHomes reports whether some entries may not be homes.
func (p *Policy) boundsHomes() bool { return p.Homes < EveryEntry }

// DefaultPolicy returns the policy that applies unless settings change it.
func DefaultPolicy() Policy {
	return Policy{
		Permit:             2 * time.Second,
		Lease:              15 * time.Second,
		Drift:              500 * time.Millisecond,
		HeartbeatInterval:  500 * time.Millisecond,
		InspectInterval:    500 * time.Millisecond,
		ReadInterval:       500 * time.Millisecond,
		Silent:             1500 * time.Millisecond,
		Suspect:            3 * time.Second,
		Visible:            3 * time.Second,
		EntryTimeout:       6 * time.Second,
		FenceInterval:      200 * time.Millisecond,
		SettleAfter:        3 * time.Second,
		CheckpointInterval: 10 * time.Second,
		QueuePerSlot:       2,
		Retention:          6 * time.Hour,

		CheckpointsPerSecond: 100,

		RetryShare:      0.1,
		HedgeShare:      0.05,
		HedgeQuantile:   0.99,
		ParkFailures:    3,
		WritesPerSecond: 240,
		ReadsPerSecond:  1200,
		TxnRows:         200,
		TxnEntries:      2000,
		TxnKilobytes:    4096,
		RowBytes:        512 << 10,
		Homes:           EveryEntry,
		RampUpTime:      10 * time.Second,
	}
}

// Option configures a reducer.
type Option func(*Policy)

// WithPolicy replaces the whole policy.
func WithPolicy(p Policy) Option { return func(q *Policy) { *q = p } }

// WithLease sets Policy.Lease.
func WithLease(d time.Duration) Option { return func(p *Policy) { p.Lease = d } }

// WithPermit sets Policy.Permit.
func WithPermit(d time.Duration) Option { return func(p *Policy) { p.Permit = d } }

// WithUnreportedIncarnations configures an agent for workers whose task lists don't
// name the incarnation that started a task. It sets Policy.IncFromBoot, KeepTasks and
// FencedCalls.
func WithUnreportedIncarnations() Option {
	return func(p *Policy) { p.IncFromBoot, p.KeepTasks, p.FencedCalls = true, true, true }
}

// newPolicy returns the default policy with the options applied.
func newPolicy(opts []Option) Policy {
	p := DefaultPolicy()
	for _, o := range opts {
		o(&p)
	}
	return p
}

// EntryIdentity identifies an entry process.
type EntryIdentity struct {
	ID   EntryID        // unique to this process, not kept over a restart
	Addr netip.AddrPort // at which the other processes reach its EntryService
	// DC and Millicores are where it runs and the processor time that it may use; zero
	// values if they are not known. See package homes.
	DC         DC
	Millicores int64
}

// AgentIdentity identifies an agent process, its worker and location, and the entries
// that it contacts first.
type AgentIdentity struct {
	Worker  WorkerID
	DC      DC
	Rack    Rack
	Addr    netip.AddrPort   // of its AgentService
	Entries []netip.AddrPort // contacted first
	Run     Run              // of this process
}

// guard is a bit for each protection against inconsistency. Tests disable single ones
// to verify that the fuzzing detects their absence.
type guard uint32

const (
	guardPermit      guard = 1 << iota // agent: start orders expire
	guardFenceWait                     // entry: claims move only after the lease has lapsed
	guardLease                         // agent: tasks pause when the lease lapses
	guardAdmission                     // agent: no commitments beyond the VM's capacity
	guardAttempt                       // entry: only the current attempt's end counts
	guardDedupe                        // agent: a request id is admitted once
	guardTombstone                     // agent: an attempt reported as never started is never started later
	guardReadback                      // entry: a lost answer is resolved by reading back
	guardConfig                        // both: the configuration never reverts to an older version
	guardOp                            // entry: a command id takes effect once
	guardIncarnation                   // agent: orders for another incarnation are refused
	guardClaimDC                       // entry: a claim is conditional on the data centre's row
	guardClaimFence                    // entry: a claim is conditional on the fence row
	guardAmbiguous                     // entry: a non-idempotent request that may have run is not sent again
	guardSteps                         // entry: a step waits for the steps before it
	guardRow                           // entry: a claim holds on the row that it is written to
)

// on reports whether the protection is enabled.
func (p *Policy) on(g guard) bool { return p.off&g == 0 }

// PolicyNames maps the names of the numbers that `set` may change to their units.
var PolicyNames = map[string]string{
	"retries":    "share of fresh requests, 0 to 1",
	"hedges":     "share of fresh requests, 0 to 1",
	"checkpoint": "seconds between checkpoints",
	"keep":       "seconds that an ended job is kept",
	"parking":    "distinct workers that a task may fail on",
	"queue":      "requests queued per slot",
}

// set applies a number that an operator has set. The lease, the permit and the values
// that depend on them come from settings only: they must be the same in every process
// at all times.
func (p *Policy) set(name string, v float64) {
	switch name {
	case "retries":
		p.RetryShare = v
	case "hedges":
		p.HedgeShare = v
	case "checkpoint":
		p.CheckpointInterval = time.Duration(v * float64(time.Second))
	case "keep":
		p.Retention = time.Duration(v * float64(time.Second))
	case "parking":
		p.ParkFailures = int(v)
	case "queue":
		p.QueuePerSlot = v
	}
}
