// Package order ranks the tasks that are queued for a worker.
//
// It is designed for one load pattern: a burst of large jobs on a site that is
// nearly full, with declared run times that are off by a factor of two either way.
// Jobs have a deadline from an objective; a result is worth little after it and
// nothing long after it. Earliest deadline first makes every job late once there is
// a backlog, so jobs that can no longer meet a deadline rank behind those that can.
//
// # Usage
//
//	r := order.RankOf(now, order.Job{Accepted: at, Deadline: deadline, Remaining: left})
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
	class    Class
	deadline time.Time
}

// RankOf returns the rank of the job's tasks: by priority, then class, then
// deadline.
func RankOf(now time.Time, j Job) Rank {
	return Rank{priority: j.Priority, class: j.Class(now), deadline: j.Deadline}
}

// EarliestDeadline returns the rank by priority and deadline alone (earliest
// deadline first). It is the baseline for measurements.
func EarliestDeadline(j Job) Rank { return Rank{priority: j.Priority, deadline: j.Deadline} }

// Compare returns a negative number if r comes before o, zero if they are equal,
// and a positive number otherwise.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(
		cmp.Compare(r.priority, o.priority),
		cmp.Compare(r.class, o.class),
		r.deadline.Compare(o.deadline),
	)
}
