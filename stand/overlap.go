package stand

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"jayloft/core"
)

// Interval is a time during which an attempt ran at a worker.
type Interval struct {
	Attempt    string
	Worker     core.WorkerID
	Start, End time.Time // End is zero if the attempt still runs
}

// Overlap is two intervals in which one task ran at the same time.
type Overlap struct {
	A, B Interval
}

// String tells what ran where and when.
func (o Overlap) String() string { return fmt.Sprintf("%v and %v", o.A, o.B) }

// String tells what ran where and when.
func (i Interval) String() string {
	const layout = "15:04:05.000"
	end := "now"
	if !i.End.IsZero() {
		end = i.End.Format(layout)
	}
	return fmt.Sprintf("%s on %s from %s to %s", i.Attempt, i.Worker, i.Start.Format(layout), end)
}

// Intervals returns when attempts ran, in order of their tasks and starts. Entries may
// come from several journals, one after the other.
func Intervals(entries []Entry) []Interval {
	type key struct {
		attempt string
		worker  core.WorkerID
	}
	var all []Interval
	open := map[key]int{}
	for _, e := range entries {
		k := key{e.Subject, e.Worker}
		switch e.Kind {
		case KindRun:
			open[k] = len(all)
			all = append(all, Interval{Attempt: e.Subject, Worker: e.Worker, Start: e.At})
		case KindPause:
			if i, ok := open[k]; ok {
				all[i].End = e.At
				delete(open, k)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Interval) int {
		return cmp.Or(cmp.Compare(taskOf(a.Attempt), taskOf(b.Attempt)), a.Start.Compare(b.Start))
	})
	return all
}

// Overlaps returns where a task ran in two places at once, by any attempts.
func Overlaps(entries []Entry) []Overlap {
	var over []Overlap
	var last Interval // of the same task, the one that ends last
	for _, i := range Intervals(entries) {
		if taskOf(i.Attempt) != taskOf(last.Attempt) || last.Attempt == "" {
			last = i
			continue
		}
		if last.End.IsZero() || i.Start.Before(last.End) {
			over = append(over, Overlap{last, i})
		}
		if !last.End.IsZero() && (i.End.IsZero() || i.End.After(last.End)) {
			last = i
		}
	}
	return over
}

// taskOf returns the task of an attempt written as job.n#number.
func taskOf(attempt string) string {
	if i := strings.LastIndexByte(attempt, '#'); i >= 0 {
		return attempt[:i]
	}
	return attempt
}

// Runs returns how often each request was run, by its id.
func Runs(entries []Entry) map[core.RequestID]int {
	runs := map[core.RequestID]int{}
	for _, e := range entries {
		if e.Kind == KindCall {
			runs[core.RequestID(e.Subject)]++
		}
	}
	return runs
}
