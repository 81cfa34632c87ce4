package core

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"jayloft/crash"
	"jayloft/interf"
)

// Prefixes of the table's keys, and keys of single rows.
const (
	PrefixConfig       = "config/"
	PrefixEntry        = "entry/"
	PrefixJob          = "job/"
	PrefixFence        = "fence/"
	PrefixOp           = "op/"
	PrefixInterference = "press/"

	// KeyVersion is the row whose version rises with every configuration change.
	KeyVersion = PrefixConfig + "version"
	// KeyInterference is the row of the learnt interference of best-effort tasks.
	KeyInterference = PrefixInterference + "site"
	// KeyQueues is the row of all queues.
	KeyQueues = PrefixConfig + "queues"
)

// Shards is the number of shards that jobs are distributed over.
const Shards = 32

// Limits on the number of tasks of a job: MaxTasks if it has no steps,
// MaxStepTasks if it has.
const (
	MaxTasks     = 256
	MaxStepTasks = 1024
)

// ServiceRow configures a service that callers send requests to.
type ServiceRow struct {
	Name       string        `cbor:"1,keyasint"`
	Team       Team          `cbor:"2,keyasint,omitempty"`
	Idempotent bool          `cbor:"3,keyasint,omitempty"`
	Timeout    time.Duration `cbor:"4,keyasint,omitempty"` // the maximum deadline, and the default
	Size       Size          `cbor:"5,keyasint,omitempty"` // reserved on each VM that serves it
}

// DCRow configures a data centre.
type DCRow struct {
	Name DC   `cbor:"1,keyasint"`
	Out  bool `cbor:"2,keyasint,omitempty"`
	// Deadline is when a drain must be complete, on the clock of the entry that
	// accepted the command.
	Deadline time.Time `cbor:"3,keyasint,omitzero"`
	// Since is when the row was written. The load of a returned data centre ramps
	// up from then.
	Since time.Time `cbor:"4,keyasint,omitzero"`
}

// TeamRow configures a team's quota.
type TeamRow struct {
	Name Team `cbor:"1,keyasint"`
	// Quota bounds what the team's tasks may hold; a zero field is unlimited.
	Quota Size `cbor:"2,keyasint,omitempty"`
	// Weight is the team's weight in sharing requests under overload; zero means
	// 1.
	Weight int `cbor:"3,keyasint,omitempty"`
}

// PolicyRow overrides one numeric policy parameter; the statement `set` writes it.
type PolicyRow struct {
	Name  string  `cbor:"1,keyasint"`
	Value float64 `cbor:"2,keyasint"`
}

// QueueRow configures a queue that callers submit jobs to.
type QueueRow struct {
	Name     string `cbor:"1,keyasint"`
	Host     string `cbor:"2,keyasint,omitempty"` // empty matches any
	Prefix   string `cbor:"3,keyasint"`           // of the paths that belong to the queue
	Service  string `cbor:"4,keyasint,omitempty"` // whose workers run its jobs
	Priority int    `cbor:"5,keyasint,omitempty"` // zero is the most urgent
	Attempts int    `cbor:"6,keyasint,omitempty"` // how often a task may fail
	// Stretch and Objective set the target duration of the queue's jobs,
	// see JobSpec.
	Stretch   float64       `cbor:"7,keyasint,omitempty"`
	Objective time.Duration `cbor:"8,keyasint,omitempty"`
	Timeout   time.Duration `cbor:"9,keyasint,omitempty"` // of an HTTP call by a caller
	// Tickets says that a worker starts the queue's tasks only with a ticket from
	// an advisor.
	Tickets bool `cbor:"10,keyasint,omitempty"`
}

// Route is the host and the path prefix that select a queue. Callers name a job by them and its
// ID, whatever the queue is named in the configuration of the moment.
type Route struct {
	Host   string `cbor:"1,keyasint,omitempty"` // empty matches any
	Prefix string `cbor:"2,keyasint,omitempty"`
}

// Route returns the route that selects the queue.
func (q QueueRow) Route() Route { return Route{Host: q.Host, Prefix: q.Prefix} }

// QueuesRow holds all queues in one row, so that they change together.
type QueuesRow struct {
	Queues []QueueRow `cbor:"1,keyasint"`
}

// InterferenceRow stores the learnt interference of best-effort with long-running
// tasks, so that it survives restarts of the entries.
type InterferenceRow struct {
	Pairs []interf.Pair `cbor:"1,keyasint"`
}

// VersionRow counts the configuration changes.
type VersionRow struct {
	N uint64 `cbor:"1,keyasint"`
}

// EntryRow announces a live entry to the other processes. It is rewritten every
// few seconds; readers consider an entry dead if its row stops changing.
type EntryRow struct {
	ID         EntryID `cbor:"1,keyasint"`
	Addr       string  `cbor:"2,keyasint"` // of EntryService
	Heartbeats uint64  `cbor:"3,keyasint"` // counts the rewrites of the row
	// Reports count the waiting jobs of the shards that the entry schedules. A shard
	// without a report has not been read by the entry.
	Reports []ShardReport `cbor:"5,keyasint,omitempty"`
	// DC, Millicores and Joined decide whether the entry is a home, see package homes.
	DC         DC     `cbor:"6,keyasint,omitempty"`
	Millicores int64  `cbor:"7,keyasint,omitempty"`
	Joined     uint64 `cbor:"8,keyasint,omitempty"` // revision of the table when it joined
}

// ShardReport is an entry's count of the waiting jobs in one shard.
type ShardReport struct {
	Shard int `cbor:"1,keyasint"`
	// ReadUpTo is the revision of the table up to which the entry has read the shard.
	ReadUpTo uint64 `cbor:"2,keyasint"`
	// Routes counts the accepted jobs none of whose tasks has started, by the hash of the
	// route that selects their queue. Waiting counts them by the name that the queue had when
	// they were accepted, for entries that don't read Routes yet.
	Waiting map[string]int `cbor:"3,keyasint,omitempty"`
	Routes  map[uint64]int `cbor:"4,keyasint,omitempty"`
}

// FenceRow lists the fenced incarnations of a worker: their claims have been or
// will be moved.
type FenceRow struct {
	Worker WorkerID      `cbor:"1,keyasint"`
	Fenced []Incarnation `cbor:"2,keyasint"`
}

// Has reports whether the incarnation is fenced.
func (f FenceRow) Has(inc Incarnation) bool {
	for _, x := range f.Fenced {
		if x == inc {
			return true
		}
	}
	return false
}

// TaskState is the state of a task in the table.
type TaskState uint8

// The states of a task. Those from TaskDone on are final.
const (
	TaskWaiting TaskState = iota
	TaskClaimed           // held by an incarnation, which may have started it
	TaskDone
	TaskFailed    // parked: failed on several workers, or can never run
	TaskCancelled // by an operator
	TaskUnknown   // may have run; an operator decides
)

// String returns the state's name as operators see it.
func (s TaskState) String() string {
	switch s {
	case TaskWaiting:
		return "waiting"
	case TaskClaimed:
		return "running"
	case TaskDone:
		return "done"
	case TaskFailed:
		return "failed"
	case TaskCancelled:
		return "cancelled"
	case TaskUnknown:
		return "unknown"
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Final reports whether the state is final.
func (s TaskState) Final() bool { return s >= TaskDone }

// TaskRow is the state of one task, part of the row of its job.
type TaskRow struct {
	State   TaskState `cbor:"1,keyasint,omitempty"`
	Attempt uint32    `cbor:"2,keyasint,omitempty"` // of the last claim
	// Holder is that of the last claim; without a claim, only its worker is kept.
	Holder Holder `cbor:"3,keyasint,omitempty"`
	Output string `cbor:"4,keyasint,omitempty"`
	Reason string `cbor:"5,keyasint,omitempty"` // of the last end; kept while the next attempt runs
	// FailedOn lists the distinct workers that the task failed on, the last one last.
	FailedOn []WorkerID `cbor:"6,keyasint,omitempty"`
	// By is the entry that made the claim. No other entry orders its start.
	By        EntryID `cbor:"8,keyasint,omitempty"`
	Evictions uint32  `cbor:"7,keyasint,omitempty"`
	// Failures counts the attempts that have failed.
	Failures uint32 `cbor:"9,keyasint,omitempty"`
	// Saved is the newest checkpoint, by the name that its worker gave it.
	Saved string `cbor:"10,keyasint,omitempty"`
	// Crashes is the record of crashes of workers that ran the task. CrashedOn lists the
	// workers and CrashedIn the attempts, the last ones if there are many.
	Crashes   crash.Record `cbor:"11,keyasint,omitzero"`
	CrashedOn []WorkerID   `cbor:"12,keyasint,omitempty"`
	CrashedIn []uint32     `cbor:"13,keyasint,omitempty"`
}

// JobSpec is the specification of a job.
type JobSpec struct {
	ID     JobID    `cbor:"1,keyasint"`
	Team   Team     `cbor:"2,keyasint,omitempty"`
	Class  string   `cbor:"3,keyasint,omitempty"` // what the tasks run
	Size   Size     `cbor:"4,keyasint"`           // declared size of each task
	Inputs []string `cbor:"5,keyasint"`           // one per task
	Urgent bool     `cbor:"6,keyasint,omitempty"`
	// Once marks a job whose tasks are not run again if they may have started and
	// left no checkpoint to resume from.
	Once bool `cbor:"7,keyasint,omitempty"`

	// Steps are the steps of a job that was submitted to a queue. Such a job has
	// no Size and no Inputs of its own.
	Steps []StepSpec `cbor:"8,keyasint,omitempty"`
	// Input is the input of every task of a job with steps.
	Input string `cbor:"9,keyasint,omitempty"`
	// Queue names the queue that the job was submitted to. Service names the
	// service whose workers run it; empty for any worker.
	Queue   string `cbor:"10,keyasint,omitempty"`
	Service string `cbor:"11,keyasint,omitempty"`
	// Runs is the number of runs of a periodic job; zero if it is not periodic.
	Runs int `cbor:"16,keyasint,omitempty"`
	// Priority orders jobs; zero is the most urgent.
	Priority int `cbor:"12,keyasint,omitempty"`
	// Attempts is how often a task may fail; zero means the policy default.
	Attempts int `cbor:"13,keyasint,omitempty"`
	// Stretch and Objective set the job's target duration: Stretch times its
	// critical path, plus Objective.
	Stretch   float64       `cbor:"14,keyasint,omitempty"`
	Objective time.Duration `cbor:"15,keyasint,omitempty"`
	// Route selected the queue when the job was submitted; of a request about a job, it is the
	// route by which the queue was found. Jobs of older builds have none.
	Route Route `cbor:"17,keyasint,omitzero" json:",omitzero"`
}

// JobRow is a job with the states of its tasks.
type JobRow struct {
	Spec     JobSpec   `cbor:"1,keyasint"`
	Tasks    []TaskRow `cbor:"2,keyasint"`
	Cancel   bool      `cbor:"3,keyasint,omitempty"`
	Accepted time.Time `cbor:"5,keyasint,omitzero"`
	// Ended is when the last task ended, on the clock of the entry that recorded
	// it; zero before.
	Ended time.Time `cbor:"6,keyasint,omitzero"`
	Op    string    `cbor:"7,keyasint,omitempty"` // id of the command that submitted it
	// Started is set once a task of the job was known to have started when the row was
	// written.
	Started bool `cbor:"8,keyasint,omitempty"`

	// stored says that the table holds the job, or will hold it once the
	// transaction commits that this copy is made for.
	stored bool
}

// TombstoneRow takes the key of a JobRow whose cancelling was acknowledged while the table did
// not hold it: a transaction that stores the job fails from then on. It is encoded as an array,
// so that entries that don't know it take it for a malformed row and store no job over it.
type TombstoneRow struct {
	_       struct{} `cbor:",toarray"`
	ID      JobID
	Queue   string    // by which it was cancelled
	Written time.Time // on the clock of the entry that wrote it
}

// OpRow records the result of a command in the same transaction as its changes, so
// that a repeated command is not applied twice. A refusal is recorded if another copy of
// the command might be carried out otherwise.
type OpRow struct {
	ID      string  `cbor:"1,keyasint"`
	Text    string  `cbor:"2,keyasint,omitempty"`
	Version uint64  `cbor:"3,keyasint,omitempty"`
	By      EntryID `cbor:"4,keyasint,omitempty"`
	Stmt    string  `cbor:"5,keyasint,omitempty"` // the statement, to detect another command with the same id
	// Refused is set if the command was refused and changed nothing. The statement is in
	// RefusedStmt then, so that entries that don't read Refused don't take it for done.
	Refused     CommandOutcome `cbor:"6,keyasint,omitempty"`
	RefusedStmt string         `cbor:"7,keyasint,omitempty"`
}

// Record is one of the row types above.
type Record interface{ record() }

func (ServiceRow) record()      {}
func (DCRow) record()           {}
func (TeamRow) record()         {}
func (PolicyRow) record()       {}
func (VersionRow) record()      {}
func (QueuesRow) record()       {}
func (InterferenceRow) record() {}
func (EntryRow) record()        {}
func (FenceRow) record()        {}
func (JobRow) record()          {}
func (TombstoneRow) record()    {}
func (OpRow) record()           {}

func keyService(n string) string { return PrefixConfig + "service/" + n }
func keyDC(n DC) string          { return PrefixConfig + "dc/" + string(n) }

// KeyDC returns the key of a data centre's row.
func KeyDC(n DC) string { return keyDC(n) }

// KeyJob returns the key of a job's row.
func KeyJob(id JobID) string { return keyJob(id) }

func keyTeam(n Team) string        { return PrefixConfig + "team/" + string(n) }
func keyPolicy(n string) string    { return PrefixConfig + "policy/" + n }
func keyEntry(n EntryID) string    { return PrefixEntry + string(n) }
func keyFence(w WorkerID) string   { return PrefixFence + string(w) }
func keyOp(id string) string       { return PrefixOp + id }
func shardPrefix(shard int) string { return fmt.Sprintf("%s%03d/", PrefixJob, shard) }
func keyJob(id JobID) string       { return shardPrefix(ShardOf(id)) + string(id) }

// jobIDOf returns the job of a job's key.
func jobIDOf(key string) JobID { return JobID(key[len(shardPrefix(0)):]) }

// ShardOf returns the shard of a job, in [0, Shards).
func ShardOf(id JobID) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % Shards)
}

// Encode returns the encoding of a record in the table. It fails if the record
// can't be encoded.
func Encode(r Record) ([]byte, error) {
	b, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode row of type %T: %w", r, err)
	}
	return b, nil
}

// Decode decodes the record of a row. The key determines its type. It fails for an
// unknown kind of key, for a malformed value, and for one that is not valid as that record.
func Decode(key string, b []byte) (Record, error) {
	switch {
	case key == KeyVersion:
		return decodeAs[VersionRow](key, b)
	case key == KeyQueues:
		return decodeAs[QueuesRow](key, b)
	case strings.HasPrefix(key, PrefixConfig+"service/"):
		return decodeAs[ServiceRow](key, b)
	case strings.HasPrefix(key, PrefixConfig+"dc/"):
		return decodeAs[DCRow](key, b)
	case strings.HasPrefix(key, PrefixConfig+"team/"):
		return decodeAs[TeamRow](key, b)
	case strings.HasPrefix(key, PrefixConfig+"policy/"):
		return decodeAs[PolicyRow](key, b)
	case strings.HasPrefix(key, PrefixInterference):
		return decodeAs[InterferenceRow](key, b)
	case strings.HasPrefix(key, PrefixEntry):
		return decodeAs[EntryRow](key, b)
	case strings.HasPrefix(key, PrefixJob) && isArray(b):
		return decodeAs[TombstoneRow](key, b)
	case strings.HasPrefix(key, PrefixJob):
		return decodeAs[JobRow](key, b)
	case strings.HasPrefix(key, PrefixFence):
		return decodeAs[FenceRow](key, b)
	case strings.HasPrefix(key, PrefixOp):
		return decodeAs[OpRow](key, b)
	}
	return nil, fmt.Errorf("decode row %s: no row type has this key prefix", key)
}

// isArray reports whether a value is encoded as an array: its first three bits are the CBOR
// major type 4.
func isArray(b []byte) bool { return len(b) > 0 && b[0]>>5 == 4 }

func decodeAs[R Record](key string, b []byte) (Record, error) {
	var r R
	if err := cbor.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("decode row %s: %w", key, err)
	}
	if c, ok := Record(r).(checked); ok {
		if err := c.check(key); err != nil {
			return r, fmt.Errorf("decode row %s: %w", key, err)
		}
	}
	return r, nil
}
