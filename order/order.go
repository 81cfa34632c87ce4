// Package order ranks the tasks that are queued for a worker.
//
// It is designed for one load pattern: a burst of large jobs on a site that is
// nearly full, with declared run times that are off by a factor of two either way.
// Jobs have a deadline from an objective; a result is worth little after it and
// nothing long after it. Earliest deadline first makes every job late once there is
// a backlog, and sharing what there is among all jobs does too. So jobs rank by what
// their result is worth for the work that is left to it: those that can meet their
// deadline go before those that can't, and among them those that are nearly done
// before those that have just begun. A job that is nearly done goes first even if it
// will be late: little work saves what has been done. The measure is the part of a
// job's own work that is left, so that large jobs rank like small ones.
//
// # Usage
//
//	r := order.RankOf(now, order.Job{Accepted: at, Deadline: deadline, Remaining: left, Undone: 0.4})
//	slices.SortFunc(tasks, func(a, b task) int { return a.rank.Compare(b.rank) })
package order

import (
	"cmp"
	"time"
)

// lateFactor is the multiple of the time from acceptance to deadline after which
// a job's result is worth nothing. The sites measure it that way.
const lateFactor = 3

// Class says how late a job will be at best.
type Class uint8

// Classes of jobs, in the order in which they are served.
const (
	InTime  Class = iota // can meet its deadline
	Late                 // misses its deadline, but the result still has some value
	TooLate              // can't finish before its result is worth nothing
)

// Job holds the properties of a job that determine the rank of its tasks.
type Job struct {
	Priority int       // lower values first
	Accepted time.Time // zero for a job without a deadline
	Deadline time.Time // from the job's objective
	// Remaining is the time to completion if all remaining work could start now.
	Remaining time.Duration
	// Undone is the part of the job's work that is not done, in (0, 1]. Zero counts as 1.
	Undone float64
}

// Worth of a result by its class, as a fraction of what it is worth in time. The sites' objectives
// say so; a job that is too late may still be asked for.
const (
	lateWorth    = 0.15
	tooLateWorth = 0.01
)

// minUndone is the least part of a job's work that counts as undone.
const minUndone = 0.05

// gain returns what the job's result is worth for the work that is left to it.
func (j Job) gain(now time.Time) float64 {
	worth := 1.0
	switch j.Class(now) {
	case Late:
		worth = lateWorth
	case TooLate:
		worth = tooLateWorth
	}
	if j.Undone <= 0 {
		return worth
	}
	return worth / max(j.Undone, minUndone)
}

// Class returns the class of the job as of now.
func (j Job) Class(now time.Time) Class {
	end := now.Add(j.Remaining)
	worthless := j.Accepted.Add(lateFactor * j.Deadline.Sub(j.Accepted))
	switch {
	case j.Accepted.IsZero() || !end.After(j.Deadline):
		return InTime
	case !end.After(worthless):
		return Late
	}
	return TooLate
}

// Rank is the rank of a job in the queue at some point in time.
type Rank struct {
	priority int
	gain     float64
	deadline time.Time
}

// RankOf returns the rank of the job's tasks: by priority, then by what the result is worth for
// the work that is left, then by deadline.
func RankOf(now time.Time, j Job) Rank {
	return Rank{priority: j.Priority, gain: j.gain(now), deadline: j.Deadline}
}

// EarliestDeadline returns the rank by priority and deadline alone (earliest
// deadline first). It is the baseline for measurements.
func EarliestDeadline(j Job) Rank { return Rank{priority: j.Priority, deadline: j.Deadline} }

// Compare returns a negative number if r comes before o, zero if they are equal,
// and a positive number otherwise.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(
		cmp.Compare(r.priority, o.priority),
		cmp.Compare(o.gain, r.gain),
		r.deadline.Compare(o.deadline),
	)
}
