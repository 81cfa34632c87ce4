package core

import (
	"net/netip"
	"time"

	"jayloft/route"
)

// Policy holds the numbers that both reducers decide by. The zero value is
// not of use: start from DefaultPolicy.
type Policy struct {
	// Permit is the oldest view of the table that a start order may rest on.
	Permit time.Duration
	// Lease is how long an agent runs tasks on after the newest echo.
	Lease time.Duration
	// Drift is the margin for clocks that run at different rates, added to
	// the wait for a lease to lapse.
	Drift time.Duration
	// HeartbeatInterval is the time between an agent's beats to one entry.
	HeartbeatInterval time.Duration
	// InspectInterval is the time between an agent's looks at its worker.
	InspectInterval time.Duration
	// ReadInterval is the time between an entry's reads of the configuration.
	ReadInterval time.Duration
	// ShardReadInterval is the least time between two reads of a shard that is in
	// memory; zero reads it with the configuration.
	ShardReadInterval time.Duration
	// Silent is how long an entry waits for a beat before it sends nothing
	// new to a worker.
	Silent time.Duration
	// Suspect is how long an entry waits for a beat before it asks others
	// and fences the worker.
	Suspect time.Duration
	// EntryTimeout is how long an entry's row may stay unchanged.
	EntryTimeout time.Duration
	// FenceInterval is the least time between two fences of silent workers by
	// one entry.
	FenceInterval time.Duration
	// SettleAfter is how long a claim may go unheard of before its agent is
	// asked about it.
	SettleAfter time.Duration
	// CheckpointInterval is the time between checkpoints of a task.
	CheckpointInterval time.Duration
	// CheckpointsPerSecond bounds the checkpoints of all tasks together: with
	// many tasks, each is checkpointed less often.
	CheckpointsPerSecond float64
	// Retention is how long the rows of an ended job are kept, and with them
	// the memory of the command that submitted it.
	Retention time.Duration
	// QueuePerSlot is how many requests an agent queues for each slot.
	QueuePerSlot float64
	// RetryShare is the share of fresh requests that may be tried again.
	RetryShare float64
	// HedgeShare is the share of fresh requests that may be hedged.
	HedgeShare float64
	// HedgeQuantile is the quantile of latency after which a request is hedged.
	HedgeQuantile float64
	// ParkFailures is the number of distinct workers a task may fail on.
	ParkFailures int
	// WritesPerSecond bounds the transactions of all live entries together,
	// ReadsPerSecond their reads; each entry takes an equal share.
	WritesPerSecond, ReadsPerSecond float64
	// TxnRows bounds the rows that one transaction writes, TxnEntries its writes
	// and conditions together, TxnKilobytes the size of its rows, less the last.
	TxnRows, TxnEntries, TxnKilobytes int
	// RampUpTime is how long a returned data centre takes to reach its full share.
	RampUpTime time.Duration

	// InspectWait is how long the worker may hold its answer back until one of
	// its tasks ends; zero asks for it at once.
	InspectWait time.Duration
	// IncFromBoot makes an incarnation follow from the worker's boot, for workers
	// whose lists don't name the incarnation that started a task.
	IncFromBoot bool
	// FindEntries makes an agent that hears from no entry look their rows up.
	FindEntries bool
	// StopUnanswered settles a start without an answer by a stop, for workers that may
	// carry an order out long after it was given up on.
	StopUnanswered bool
	// KeepTasks leaves tasks running at a planned stop of an agent: the next
	// process of the agent goes on with them.
	KeepTasks bool

	// Baselines to measure against; the zero values are the real policies.
	Route            route.Policy // how a request's worker is chosen
	FirstFit         bool         // the first worker with room gets a task
	EarliestDeadline bool         // tasks wait by priority and due date alone
	Noise            NoiseMode    // what is done about interference
	DrainAtOnce      bool         // a drain stops every task when it is learned of

	off guard
}

// NoiseMode says what is done about interference.
type NoiseMode uint8

// The modes of control of interference.
const (
	NoiseLearn NoiseMode = iota // learnt per pair; eased first, then moved
	NoiseOff                    // nothing is done
	NoiseEvict                  // every slow-down evicts a batch task
)

// DefaultPolicy returns the policy that jayloft runs with unless settings say
// otherwise.
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
		RampUpTime:      10 * time.Second,
	}
}

// Option changes how a reducer is built.
type Option func(*Policy)

// WithPolicy replaces the whole policy.
func WithPolicy(p Policy) Option { return func(q *Policy) { *q = p } }

// WithLease sets Policy.Lease.
func WithLease(d time.Duration) Option { return func(p *Policy) { p.Lease = d } }

// WithPermit sets Policy.Permit.
func WithPermit(d time.Duration) Option { return func(p *Policy) { p.Permit = d } }

// WithUnreportedIncarnations sets what fits workers whose lists don't name the incarnation
// that started a task: it follows from the worker's boot, tasks go on while the
// agent is stopped, and a start without an answer is settled by a stop.
func WithUnreportedIncarnations() Option {
	return func(p *Policy) { p.IncFromBoot, p.KeepTasks, p.StopUnanswered = true, true, true }
}

func newPolicy(opts []Option) Policy {
	p := DefaultPolicy()
	for _, o := range opts {
		o(&p)
	}
	return p
}

// EntryIdentity is where an entry stands.
type EntryIdentity struct {
	ID   EntryID        // of this life of the process
	Addr netip.AddrPort // of its EntryService, as the others reach it
}

// AgentIdentity is where an agent stands.
type AgentIdentity struct {
	Worker  WorkerID
	DC      DC
	Rack    Rack
	Addr    netip.AddrPort   // of its AgentService
	Entries []netip.AddrPort // to start from
	Run     Run              // this life of the process
}

// guard names one protection. Tests switch single ones off to show that the
// fuzzing would notice.
type guard uint32

const (
	guardPermit      guard = 1 << iota // agent: start orders expire
	guardFenceWait                     // entry: wait out the lease before claims move
	guardLease                         // agent: tasks pause when the lease lapses
	guardAdmission                     // agent: nothing beyond the VM's size
	guardAttempt                       // entry: only the current attempt's end counts
	guardDedupe                        // agent: a request id is admitted once
	guardTombstone                     // agent: an attempt declared never started stays so
	guardReadback                      // entry: a lost answer is resolved by reading back
	guardConfig                        // both: the configuration never goes back
	guardOp                            // entry: a command id takes effect once
	guardIncarnation                   // agent: orders for another life are refused
	guardClaimDC                       // entry: a claim checks the data centre's row
	guardClaimFence                    // entry: a claim checks the fence row
	guardAmbiguous                     // entry: a non-idempotent request is not sent twice
	guardSteps                         // entry: a step waits for those before it
)

// on reports whether the protection is in force.
func (p *Policy) on(g guard) bool { return p.off&g == 0 }

// PolicyNames lists the numbers that `set` may change and their units.
var PolicyNames = map[string]string{
	"retries":    "share of fresh requests, 0 to 1",
	"hedges":     "share of fresh requests, 0 to 1",
	"checkpoint": "seconds between checkpoints",
	"keep":       "seconds that an ended job is kept",
	"parking":    "distinct workers that a task may fail on",
	"queue":      "requests queued per slot",
}

// set takes a number that an operator has set. The lease, the permit and what
// depends on them come from settings alone: they must be the same for every
// process at all times.
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
