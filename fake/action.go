package fake

import (
	"reflect"
	"strings"
	"time"

	"jayloft/core"
)

// Action is something that a test does to a World. Numbers of entries, VMs
// and data centres wrap around.
type Action interface{ action() }

// Submit sends a job.
type Submit struct {
	Entry  int
	Tasks  int
	Size   core.Size // zero: 1,000 millicores and 1,000 MB
	Class  string
	Urgent bool
	Once   bool
	// Steps makes a job of two or more tasks one of two steps, the second of
	// which waits for the first.
	Steps bool
	// LongRunning makes a job of long-running tasks with a tail-latency target.
	LongRunning bool
	// MaxPerWorker bounds the tasks of a step on one worker, if it is above zero.
	MaxPerWorker int
}

// Cancel cancels the last jobs that were submitted.
type Cancel struct {
	Entry int
	Last  int
}

// Enqueue submits jobs to the queue, as callers do.
type Enqueue struct {
	Entry int
	Jobs  int
	Tasks int       // of each job
	Size  core.Size // zero: 1,000 millicores and 1,000 MB
	Over  time.Duration
}

// Dequeue cancels the last jobs that were submitted to the queue.
type Dequeue struct {
	Entry int
	Last  int
}

// Read asks every entry at a steady rate for the number of waiting jobs, the
// states of jobs, and what operators can see of them.
type Read struct {
	Of    ReadKind // zero: all
	Every time.Duration
	For   time.Duration
}

// ReadKind is a kind of read.
type ReadKind int

// The kinds of reads.
const (
	ReadAll    ReadKind = iota
	ReadCounts          // the number of waiting jobs
	ReadStates          // the state of a job
	ReadLists           // what operators can see
)

// Ask sends requests of callers.
type Ask struct {
	Entry      int
	N          int
	Service    string
	Idempotent bool
	Timeout    time.Duration
	Gone       bool // the callers leave before the answers
	Over       time.Duration
}

// Drain takes a data centre out.
type Drain struct {
	Entry int
	DC    int
	In    time.Duration
}

// Return brings a data centre back.
type Return struct {
	Entry int
	DC    int
}

// Race sends conflicting commands about one data centre to several entries at
// once, all conditional on the version of now if If is set.
type Race struct {
	DC int
	If bool
}

// SetPolicy changes a number of policy that decides nothing.
type SetPolicy struct {
	Entry int
	Value int
}

// SetQuota changes how much the batch tasks of the jobs' team may hold.
type SetQuota struct {
	Entry      int
	Millicores int64
}

// KillEntry kills an entry, at once or when it next makes an effect of the
// kind On. A new one starts after For.
type KillEntry struct {
	Entry int
	On    string
	For   time.Duration
}

// PauseEntry pauses an entry, at once or when it next makes an effect of the
// kind On.
type PauseEntry struct {
	Entry int
	On    string
	For   time.Duration
}

// LeaveEntry stops an entry gracefully; a new one follows.
type LeaveEntry struct{ Entry int }

// KillAgent kills an agent process; its worker and tasks live on.
type KillAgent struct {
	VM  int
	On  string
	For time.Duration
}

// PauseAgent pauses an agent process; its worker and tasks run on.
type PauseAgent struct {
	VM  int
	On  string
	For time.Duration
}

// LeaveAgent stops an agent gracefully; a new one follows.
type LeaveAgent struct{ VM int }

// KillVM kills a VM with all that runs there. It boots anew after For.
type KillVM struct {
	VM  int
	For time.Duration
}

// CrashWorker kills a worker while the agent beside it lives on. It boots anew after For.
type CrashWorker struct {
	VM  int
	For time.Duration
}

// Resize changes the capacity that a worker reports to a percentage of its size, for a
// while.
type Resize struct {
	VM, Percent int
	For         time.Duration
}

// PauseVM freezes a VM.
type PauseVM struct {
	VM  int
	For time.Duration
}

// Unwell makes a worker fail everything it starts, or take its time over each
// call.
type Unwell struct {
	VM   int
	Slow bool
	For  time.Duration
}

// CutVM cuts a VM from an entry, or from all if Entry is negative.
type CutVM struct {
	VM    int
	Entry int
	Way   Way
	For   time.Duration
}

// CutDC cuts a whole data centre from an entry, or from all if negative.
type CutDC struct {
	DC    int
	Entry int
	Way   Way
	For   time.Duration
}

// CutStore cuts an entry from the platform's table, or all if negative.
type CutStore struct {
	Entry int
	Way   Way
	For   time.Duration
}

// FailReads makes the table leave an entry's reads of keys with a prefix without
// an answer, or those of all if Entry is negative. Writes go on.
type FailReads struct {
	Entry  int
	Prefix string
	For    time.Duration
}

// CutEntries cuts two entries from each other.
type CutEntries struct {
	A, B int
	Way  Way
	For  time.Duration
}

// Target names the kind of process that refuses connections.
type Target int

// The kinds of processes.
const (
	TargetWorker Target = iota
	TargetAgent
	TargetEntry
	TargetStore
)

// Refuse makes the link to a process refuse connections for a while. The process runs on.
type Refuse struct {
	Of  Target
	N   int // of the VM or the entry
	For time.Duration
}

// Way is the direction of a cut.
type Way int

// The directions of a cut.
const (
	BothWays Way = iota
	OnlyTo       // messages to the second are lost
	OnlyFrom     // messages from the second are lost
)

// Net delays, drops and doubles messages.
type Net struct {
	Delay        time.Duration
	Drop, Double float64
	For          time.Duration
}

// Store makes the platform's table ill.
type Store struct {
	Down bool
	Slow time.Duration
	Lose float64
	Late float64
	For  time.Duration
}

// Objects takes the platform's object store down.
type Objects struct{ For time.Duration }

// Wait lets time pass.
type Wait struct{ For time.Duration }

func (Submit) action()      {}
func (Cancel) action()      {}
func (Enqueue) action()     {}
func (Dequeue) action()     {}
func (Read) action()        {}
func (Ask) action()         {}
func (Drain) action()       {}
func (Return) action()      {}
func (Race) action()        {}
func (SetPolicy) action()   {}
func (SetQuota) action()    {}
func (KillEntry) action()   {}
func (PauseEntry) action()  {}
func (LeaveEntry) action()  {}
func (KillAgent) action()   {}
func (PauseAgent) action()  {}
func (LeaveAgent) action()  {}
func (KillVM) action()      {}
func (CrashWorker) action() {}
func (Resize) action()      {}
func (PauseVM) action()     {}
func (Unwell) action()      {}
func (CutVM) action()       {}
func (CutDC) action()       {}
func (CutStore) action()    {}
func (FailReads) action()   {}
func (CutEntries) action()  {}
func (Refuse) action()      {}
func (Net) action()         {}
func (Store) action()       {}
func (Objects) action()     {}
func (Wait) action()        {}

// kindOf names the type of an effect; of a transaction, what it writes too, as
// in "Commit job".
func kindOf(eff any) string {
	c, ok := eff.(core.Commit)
	if !ok || len(c.Txn.Writes) == 0 {
		return reflect.TypeOf(eff).Name()
	}
	what, _, _ := strings.Cut(c.Txn.Writes[0].Key, "/")
	return "Commit " + what
}
