package load

import (
	"slices"
	"strings"
	"time"

	"jayloft/core"
	"jayloft/stand"
)

// event is an entry of a worker's journal with its time since the start.
type event struct {
	stand.Entry
	at time.Duration
	dc core.DC
}

// journals returns what all workers recorded, by time.
func (r *run) journals() []event {
	if r.site == nil {
		return nil
	}
	var all []event
	for _, v := range r.site.vms {
		entries, _ := v.stand.Journal().Since(0)
		for _, e := range entries {
			all = append(all, event{e, e.At.Sub(r.start), v.dc})
		}
	}
	slices.SortStableFunc(all, func(a, b event) int { return int(a.at - b.at) })
	return all
}

// taskOf returns the task of an attempt written as job.n#number.
func taskOf(attempt string) string {
	task, _, _ := strings.Cut(attempt, "#")
	return task
}

// within counts the events of a kind in a window.
func (w window) within(k stand.Kind, keep func(event) bool) int {
	n := 0
	for _, e := range w.events {
		if e.Kind == k && w.has(e.at) && (keep == nil || keep(e)) {
			n++
		}
	}
	return n
}

func endedAs(k core.EndKind) func(event) bool {
	return func(e event) bool { return e.Detail == string(k) }
}

// tasksDone returns the tasks that ended well in the window, per second.
func (w window) tasksDone() float64 {
	return float64(w.within(stand.KindEnd, endedAs(core.EndDone))) / w.length().Seconds()
}

// work returns the seconds of batch work that were done in the window, per
// second. A run's progress is taken as even from its start to its pause.
func (w window) work() float64 {
	type key struct {
		attempt string
		worker  core.WorkerID
	}
	open := map[key]event{}
	sum := 0.0
	for _, e := range w.events {
		k := key{e.Subject, e.Worker}
		switch e.Kind {
		case stand.KindRun:
			open[k] = e
		case stand.KindPause:
			run, ok := open[k]
			if in := min(e.at, w.to) - max(run.at, w.from); ok && in > 0 {
				sum += (doneOf(e.Detail) - doneOf(run.Detail)).Seconds() * in.Seconds() / (e.at - run.at).Seconds()
			}
			delete(open, k)
		}
	}
	return sum / w.length().Seconds()
}

// evictions returns how many tasks were stopped to run elsewhere.
func (w window) evictions() float64 {
	return float64(w.within(stand.KindEnd, endedAs(core.EndEvicted)))
}

// starts returns how many attempts were launched in the data centre or at the
// worker that the window names.
func (w window) starts() float64 {
	return float64(w.within(stand.KindLaunch, w.place))
}

// share returns the share of all runs of requests at the named worker or data
// centre.
func (w window) share() float64 {
	all := w.within(stand.KindCall, nil)
	return float64(w.within(stand.KindCall, w.place)) / float64(max(all, 1))
}

// place reports whether an event is at the named worker and data centre.
func (w window) place(e event) bool {
	return (w.worker == "" || e.Worker == w.worker) && (w.dc == "" || e.dc == w.dc)
}

// twice returns how many tasks ended well more than once, or ran in two places
// at the same time, over the whole run.
func (w window) twice() float64 {
	done, n := map[string]int{}, 0
	var entries []stand.Entry
	for _, e := range w.events {
		entries = append(entries, e.Entry)
		if e.Kind == stand.KindEnd && e.Detail == string(core.EndDone) {
			done[taskOf(e.Subject)]++
		}
	}
	for _, k := range done {
		n += k - 1
	}
	return float64(n + len(stand.Overlaps(entries)))
}

// resumed is a task that went on elsewhere, or anew.
type resumed struct {
	lost time.Duration // work done after the checkpoint
	gap  time.Duration // between the two runs
	kill bool          // the VM had died
}

// resumptions returns every pair of consecutive runs of a task by different
// attempts, in the window of the second one.
func (w window) resumptions() []resumed {
	last := map[string]event{} // by task, its last pause
	var rs []resumed
	for _, e := range w.events {
		switch e.Kind {
		case stand.KindPause:
			last[taskOf(e.Subject)] = e
		case stand.KindRun:
			p, ok := last[taskOf(e.Subject)]
			if !ok || p.Subject == e.Subject || !w.has(e.at) {
				continue
			}
			rs = append(rs, resumed{
				lost: max(0, doneOf(p.Detail)-doneOf(e.Detail)),
				gap:  e.at - p.at,
				kill: strings.HasSuffix(p.Detail, "why=kill"),
			})
		}
	}
	return rs
}

// doneOf reads the work done from the detail of a run or a pause.
func doneOf(detail string) time.Duration {
	word, _, _ := strings.Cut(strings.TrimPrefix(detail, "done="), " ")
	d, err := time.ParseDuration(word)
	if err != nil {
		return 0
	}
	return d
}

// lost returns the seconds of work that were done again after a planned move.
func (w window) lost() float64 {
	var sum time.Duration
	for _, r := range w.resumptions() {
		if !r.kill {
			sum += r.lost
		}
	}
	return sum.Seconds()
}

// recovery returns the longest time in seconds until a task of a dead VM ran
// again.
func (w window) recovery() float64 {
	var most time.Duration
	for _, r := range w.resumptions() {
		if r.kill {
			most = max(most, r.gap)
		}
	}
	return most.Seconds()
}

// urgent returns the 99% quantile of the time from the submission of an urgent
// job to the launch of its last task, in milliseconds.
func (w window) urgent() float64 {
	launched := map[string]time.Duration{} // first launch of each task
	for _, e := range w.events {
		task := taskOf(e.Subject)
		if _, ok := launched[task]; !ok && e.Kind == stand.KindLaunch {
			launched[task] = e.at
		}
	}
	h := newHistogram()
	for task, at := range launched {
		if asked, ok := w.asked[core.ParseTask(task).Job]; ok && w.has(asked) {
			record(h, at-asked)
		}
	}
	return quantile(h, 0.99)
}
