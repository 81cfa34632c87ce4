package stand

import (
	"fmt"
	"sync"
	"time"

	"jayloft/core"
)

// Kind says what an Entry records.
type Kind string

// The kinds of entries.
const (
	KindLaunch     Kind = "launch"     // an attempt was accepted; its incarnation
	KindOver       Kind = "over"       // accepted attempts exceed the VM's size; their sum
	KindRun        Kind = "run"        // an attempt begins or goes on to run
	KindPause      Kind = "pause"      // an attempt no longer runs
	KindEnd        Kind = "end"        // an attempt ended; its kind
	KindCheckpoint Kind = "checkpoint" // an attempt's progress was saved
	KindBoot       Kind = "boot"       // a VM came up
	KindKill       Kind = "kill"       // a VM died
	KindCall       Kind = "call"       // a request began to run; its service
	KindAnswer     Kind = "answer"     // a request has run
	KindCut        Kind = "cut"        // a request's run was cut off
	KindCommit     Kind = "commit"     // a transaction took effect; its keys
	KindConflict   Kind = "conflict"   // a transaction did not take effect
	KindTraffic    Kind = "traffic"    // one second's calls to the platform
	KindFault      Kind = "fault"      // a fault was switched
)

// Entry is one thing that a stand-in did.
type Entry struct {
	At      time.Time // stand-in's clock
	Kind    Kind
	Subject string // attempt, request id, revision or name of a fault
	Detail  string
	Worker  core.WorkerID // empty for the platform
}

// maxEntries bounds the entries that a journal keeps.
const maxEntries = 1 << 17

// Journal records what stand-ins did. Several may share one. The zero value is
// ready for use.
type Journal struct {
	mu      sync.Mutex
	first   int // number of entries[0]
	entries []Entry
}

// Add appends an entry. The oldest ones are dropped when there are too many.
func (j *Journal) Add(e Entry) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.entries) >= maxEntries {
		n := maxEntries / 2
		j.first += n
		j.entries = append([]Entry(nil), j.entries[n:]...)
	}
	j.entries = append(j.entries, e)
}

// Since returns the entries from number n on, as far as they are kept, and the
// number that the next entry will get.
func (j *Journal) Since(n int) (entries []Entry, next int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	next = j.first + len(j.entries)
	i := min(max(n-j.first, 0), len(j.entries))
	return append([]Entry(nil), j.entries[i:]...), next
}

// faultEntry records that a fault was switched.
func faultEntry(at time.Time, name Fault, value float64, w core.WorkerID) Entry {
	return Entry{At: at, Kind: KindFault, Subject: string(name), Detail: fmt.Sprintf("value=%g", value), Worker: w}
}
