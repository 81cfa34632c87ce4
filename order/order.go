// Package order decides whose turn it is among tasks that wait for a worker.
//
// It answers one load pattern: a burst of large jobs on a site that is nearly full,
// with declared run times that are off by a factor of two either way. Jobs are due
// by an objective and are worth little after it and nothing long after it. Serving
// the earliest due date first makes every job late once there is a backlog, so jobs
// that can no longer make a date go behind those that still can.
//
// # Usage
//
//	t := order.TurnOf(now, order.Job{Accepted: at, Due: due, Left: left})
//	slices.SortFunc(tasks, func(a, b task) int { return a.turn.Compare(b.turn) })
package order

import (
	"cmp"
	"time"
)

// lateTimes is how many times as long as its objective a job may take to be of
// some worth: the sites' measure.
const lateTimes = 3

// Class says which date a job can still make.
type Class uint8

// The classes of jobs.
const (
	InTime  Class = iota // its objective
	Late                 // the time after which it is worth nothing
	TooLate              // none
)

// Job is what decides the turn of a job's tasks.
type Job struct {
	Priority int       // zero comes first
	Accepted time.Time // zero for a job without an objective
	Deadline time.Time // by its objective
	// Remaining is how long it takes if all that is left of it starts now.
	Remaining time.Duration
}

// Class returns which date the job can still make.
func (j Job) Class(now time.Time) Class {
	end := now.Add(j.Remaining)
	late := j.Accepted.Add(lateTimes * j.Deadline.Sub(j.Accepted))
	switch {
	case j.Accepted.IsZero() || !end.After(j.Deadline):
		return InTime
	case !end.After(late):
		return Late
	}
	return TooLate
}

// Rank is a job's place in the order, as of some moment.
type Rank struct {
	priority int
	class    Class
	due      time.Time
}

// RankOf returns the turn of a job's tasks.
func RankOf(now time.Time, j Job) Rank {
	return Rank{priority: j.Priority, class: j.Class(now), due: j.Deadline}
}

// EarliestDeadline is the baseline that goes by priority and due date alone.
func EarliestDeadline(j Job) Rank { return Rank{priority: j.Priority, due: j.Deadline} }

// Compare orders turns, those that come first being less.
func (t Rank) Compare(o Rank) int {
	return cmp.Or(
		cmp.Compare(t.priority, o.priority),
		cmp.Compare(t.class, o.class),
		t.due.Compare(o.due),
	)
}
