// Package crash decides which task to blame for the crashes of workers.
//
// The load pattern it answers: a task crashes each worker that starts it, and a worker runs
// dozens of tasks. One that is placed again after each crash takes a worker down every few
// seconds, together with all that runs there; and since the tasks of one crash are placed
// again in one moment, those that crash workers travel together with their neighbours.
//
// A crash is evidence against each task that was there, weighed by what the agent has seen:
// how long the task had run, and whether all tasks of other jobs had run for longer.
// Neighbours share a crash by chance once; a task that crashes workers is there each time.
// So a single crash proves nothing: it makes those tasks suspects that had just been
// started. A suspect runs apart from other jobs, where the next crash costs nobody else
// anything and leaves little doubt. Tasks of one job are suspected together, since the job
// fails with the first one that is given up.
//
// A task that has run for longer than Recent has proven that it can: an end by a crash
// then clears it.
//
// # Usage
//
// Keep a Record with the task, add each crash once, and ask it for the verdict:
//
//	var r crash.Record
//	r = r.Add(crash.Evidence{Ran: 3 * time.Millisecond})
//	r.Verdict() // Isolate
//	r = r.Add(crash.Evidence{Ran: 3 * time.Millisecond, Alone: true})
//	r.Verdict() // GiveUp
package crash

import "time"

const (
	// Soon is how long after its launch a crash points to a task: a task that crashes its
	// worker as it starts does so within milliseconds.
	Soon = 100 * time.Millisecond
	// Recent is how long after its launch a crash may still be a task's fault.
	Recent = 10 * time.Second
	// Trial is how long a long-running task runs apart from others before it is taken for
	// one that can run.
	Trial = 3 * time.Second
)

// Evidence is what an agent has seen of a crash of its worker, about one task.
type Evidence struct {
	Ran   time.Duration // from the task's launch to the first sign of the crash
	Alone bool          // it ran apart, and each task of other jobs there had outlived it
}

// minOutlived is the run time from which on a task can have outlived another one.
const minOutlived = time.Second

// Outlived reports whether a task that had run for the time other can't be to blame for a
// crash in place of one that had run for the time ran: it has shown for longer that it can
// run.
func Outlived(other, ran time.Duration) bool { return other > max(ran, minOutlived) }

// Record counts the crashes of workers under one task since it last ran for longer than
// Recent. The zero value is the record of a task without crashes.
type Record struct {
	Total int `cbor:"1,keyasint,omitempty"`
	Soon  int `cbor:"2,keyasint,omitempty"` // those of Total within Soon of the task's launch
	Alone int `cbor:"3,keyasint,omitempty"` // those of Total with Evidence.Alone
}

// Add returns the record with one more crash.
func (r Record) Add(e Evidence) Record {
	if e.Ran > Recent {
		return Record{}
	}
	r.Total++
	if e.Ran <= Soon {
		r.Soon++
	}
	if e.Alone {
		r.Alone++
	}
	return r
}

// Verdict is what to do with a task.
type Verdict uint8

// The verdicts.
const (
	Clear   Verdict = iota // nothing speaks against it
	Isolate                // it is a suspect: run it apart from other jobs
	GiveUp                 // it crashes workers: don't run it again
)

// Bounds of the verdicts, in crashes.
const (
	soonAndAlone  = 2 // soon after the launch, if one of them was alone
	totalAndAlone = 4 // at any time within Recent, if aloneAtLeast of them were alone
	aloneAtLeast  = 2
	totalOnly     = 5 // at any time within Recent
	suspectTotal  = 2 // at any time within Recent; one is enough if it came soon
)

// Verdict returns what the record says about the task.
func (r Record) Verdict() Verdict {
	switch {
	case r.Soon >= soonAndAlone && r.Alone > 0,
		r.Total >= totalAndAlone && r.Alone >= aloneAtLeast, r.Total >= totalOnly:
		return GiveUp
	case r.Soon > 0 || r.Total >= suspectTotal:
		return Isolate
	}
	return Clear
}
