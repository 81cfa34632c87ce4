package core

import (
	"slices"

	"jayloft/crash"
)

// isSuspect reports whether a task may crash its worker and should run apart from other
// jobs.
func (j *jobView) isSuspect(n int) bool { return j.row.Tasks[n].Crashes.Verdict() == crash.Isolate }

// isolatedJob returns the job whose tasks run on the worker apart from others, or are
// claimed for it so; empty if there is none.
func (w *workerView) isolatedJob() JobID {
	if w.heartbeat.Isolated != "" {
		return w.heartbeat.Isolated
	}
	for _, c := range w.claims {
		if c.isolated && !c.reported && c.holder.Inc == w.inc {
			return c.attempt.Task.Job
		}
	}
	return ""
}

// pickIsolated chooses the worker on which a suspect runs apart from other jobs: the one
// where its job does so already, else the one where a crash would cost least.
func (e *Entry) pickIsolated(j *jobView, q queuedTask, st StepSpec) (WorkerID, bool) {
	exclude := e.need(j, q, st).Exclude
	var hosts []crash.Host
	apart, usable := 0, 0
	for _, id := range e.workerIDs() {
		w := e.workers[id]
		if _, ok := e.usable(w); !ok {
			continue
		}
		usable++
		job := w.isolatedJob()
		if job != "" {
			apart++
		}
		if !e.canIsolate(w, j, st, exclude) {
			continue
		}
		if job == q.task.Job {
			return id, true
		}
		hosts = append(hosts, e.hostView(w))
	}
	if apart >= crash.MaxApart(usable) {
		return "", false
	}
	h, ok := crash.Choose(hosts, e.at.Now)
	return WorkerID(h.ID), ok
}

// canIsolate reports whether a usable worker could run a suspect of the job apart from
// other jobs: it holds none of another job, and the task fits beside the tasks that stay.
func (e *Entry) canIsolate(w *workerView, j *jobView, st StepSpec, exclude []string) bool {
	if w.heartbeat.LeaseLapsed || w.failures.isQuarantined(e.at.Now) || slices.Contains(exclude, string(w.id)) {
		return false
	}
	room := w.heartbeat.Capacity.Minus(Size{Millicores: w.heartbeat.LongRunning})
	switch w.isolatedJob() {
	case "":
	case j.row.Spec.ID:
		all, _ := w.committed()
		room = w.heartbeat.Capacity.Minus(all)
	default:
		return false
	}
	return st.Reserved().Fits(room)
}

// hostView describes a worker to the choice among those for a suspect.
func (e *Entry) hostView(w *workerView) crash.Host {
	all, _ := w.committed()
	leaving := all.Millicores - w.heartbeat.LongRunning
	return crash.Host{
		ID: string(w.id), Busy: float64(leaving) / float64(max(w.heartbeat.Capacity.Millicores, 1)),
		LongRunning: w.heartbeat.LongRunning > 0, Restarted: w.restartedAt, Preferred: e.prefers(w),
	}
}

// waitsForIsolation reports whether a suspect for which no worker was found goes on
// waiting for one of its own. Orders that are refused don't prolong the wait of a
// long-running one.
func (e *Entry) waitsForIsolation(q queuedTask, longRunning bool) bool {
	busy := e.index.NonPreemptibleFraction() > busySiteUtilization
	return e.at.Now.Before(crash.WaitsUntil(q.idleSince, busy, longRunning))
}

// pickFor chooses the worker for a task, and whether the task runs there apart from other
// jobs.
func (e *Entry) pickFor(j *jobView, q queuedTask) (id WorkerID, isolated, ok bool) {
	st := j.row.Spec.Step(q.task.N)
	if j.isSuspect(q.task.N) {
		if id, ok = e.pickIsolated(j, q, st); ok || e.waitsForIsolation(q, st.LongRunning) {
			return id, true, ok
		}
	}
	id, ok = e.pick(j, q)
	return id, false, ok
}

// lessReliable returns the workers that a suspect avoids while there are others: a crash
// there is likely to have another cause.
func (e *Entry) lessReliable() []string {
	var ids []string
	for _, id := range e.workerIDs() {
		if crash.RestartedLately(e.workers[id].restartedAt, e.at.Now) {
			ids = append(ids, string(id))
		}
	}
	return ids
}
