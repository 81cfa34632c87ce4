package core

import (
	"slices"
	"time"

	"jayloft/impact"
	"jayloft/place"
)

// Parameters of the control of interference between batch tasks and services.
const (
	// throttlePercent is the speed of a throttled task, in percent of full speed.
	throttlePercent = 43
	// evictInterval is the minimum time between two evictions from one worker, the
	// minimum time that a task runs there before it is evicted, and how long its job
	// avoids the worker afterwards.
	evictInterval = 20 * time.Second
	// stableMixTime is how long the mix of batch tasks on a VM must have been
	// unchanged before the model learns from the VM's service times.
	stableMixTime = 2 * recentMeanInterval
	// baselineSmoothing is the weight of a new sample in a service's baseline.
	baselineSmoothing = 0.05
	// evictRatio is the slowdown from which ImpactEvict evicts a task.
	evictRatio = 1.1
	// acceptableImpactCost is the cost up to which the first worker found is taken.
	acceptableImpactCost = 0.15
	// maxImpactCandidates bounds the workers that are compared for a batch task.
	maxImpactCandidates = 4
)

// workerImpact is the state of the interference control of one worker.
type workerImpact struct {
	learntAt   time.Time // send time of the last heartbeat that the model learned from
	action     impact.Action
	class      string // of the batch tasks that the action applies to
	loads      []impact.Load
	loadsSince time.Time // send time of the first heartbeat with loads
	evictedAt  time.Time // last eviction because of interference
}

// observeImpact updates the interference model of a worker's services from its
// heartbeat and applies the resulting action to the worker's batch tasks.
func (e *Entry) observeImpact(w *workerView, ans *HeartbeatAnswer) {
	if e.pol.Impact == ImpactOff {
		return
	}
	loads := w.loads()
	if !slices.Equal(loads, w.impact.loads) {
		w.impact.loads, w.impact.loadsSince = loads, w.heartbeat.Sent
	}
	if w.heartbeat.Sent.Sub(w.impact.learntAt) >= recentMeanInterval {
		w.impact.learntAt = w.heartbeat.Sent
		e.learnImpact(w, loads)
	}
	worst, class := impact.NoAction, ""
	for _, s := range w.heartbeat.Services {
		if act, c := e.chooseAction(s, loads, w.impact.action); act > worst {
			worst, class = act, c
		}
	}
	if worst != w.impact.action {
		e.count("impact", impactReasons[worst])
	}
	w.impact.action, w.impact.class = worst, class
	e.throttleClaims(w, ans)
	e.evictDisturbingTask(w)
}

// learnImpact updates the model from the VM's mean service times, if the mix of batch
// tasks was constant over the period that they cover.
func (e *Entry) learnImpact(w *workerView, loads []impact.Load) {
	if w.heartbeat.Sent.Sub(w.impact.loadsSince) < stableMixTime {
		return
	}
	for _, s := range w.heartbeat.Services {
		if ratio, ok := e.slowdown(s, len(loads) == 0); ok && len(loads) > 0 {
			e.impact.ObserveMix(s.Service, loads, ratio, e.at.Now)
		}
	}
}

// chooseAction decides on the batch tasks beside a service and returns the class that
// the action applies to. The baseline ImpactEvict evicts a task at every slowdown.
func (e *Entry) chooseAction(s ServiceLoad, loads []impact.Load, last impact.Action) (impact.Action, string) {
	if e.pol.Impact != ImpactEvict {
		return e.impact.NextAction(s.Service, loads, last)
	}
	ratio, ok := e.slowdown(s, false)
	if !ok || len(loads) == 0 || ratio < evictRatio {
		return impact.NoAction, ""
	}
	return impact.Move, loads[0].Class
}

// impactReasons holds the counter labels of the actions.
var impactReasons = map[impact.Action]Reason{
	impact.NoAction: "leave", impact.Throttle: "throttle", impact.Move: "move",
}

// slowdown returns the ratio of a VM's mean service time to the service's baseline,
// which is measured on VMs without batch tasks. It reports false while either is
// unknown. With noBatch the sample updates the baseline.
func (e *Entry) slowdown(s ServiceLoad, noBatch bool) (float64, bool) {
	if s.Mean <= 0 {
		return 0, false
	}
	sv := e.service(s.Service)
	switch {
	case sv.baseline == 0:
		if noBatch {
			sv.baseline = s.Mean
		}
		return 0, false
	case noBatch:
		sv.baseline += time.Duration(baselineSmoothing * float64(s.Mean-sv.baseline))
	}
	return float64(s.Mean) / float64(sv.baseline), true
}

// loads returns the number of batch tasks on a worker by class.
func (w *workerView) loads() []impact.Load {
	loads := make([]impact.Load, len(w.heartbeat.ClassLoads))
	for i, m := range w.heartbeat.ClassLoads {
		loads[i] = impact.Load{
			Class: m.Class, Level: m.Running,
			Throttled: w.impact.action != impact.NoAction && w.impact.class == m.Class,
		}
	}
	return loads
}

// throttleClaims throttles this entry's tasks of the disturbing class on a worker and
// restores the speed of the others.
func (e *Entry) throttleClaims(w *workerView, ans *HeartbeatAnswer) {
	for _, c := range w.sortedClaims() {
		percent := 100
		if w.impact.action != impact.NoAction && c.class == w.impact.class && !c.urgent {
			percent = throttlePercent
		}
		if percent != 100 || c.throttled {
			c.throttled = percent != 100
			ans.Throttles = append(ans.Throttles, Throttle{Attempt: c.attempt, Percent: percent})
		}
	}
}

// evictDisturbingTask evicts one task of the disturbing class if throttling is not enough.
func (e *Entry) evictDisturbingTask(w *workerView) {
	minStay := evictInterval
	if e.pol.Impact == ImpactEvict {
		minStay = 0
	}
	if w.impact.action != impact.Move || e.at.Now.Sub(w.impact.evictedAt) < minStay {
		return
	}
	for _, c := range w.sortedClaims() {
		if c.class != w.impact.class || c.urgent || c.releasing || e.at.Now.Sub(c.since) < minStay {
			continue
		}
		j := e.jobs[c.attempt.Task.Job]
		if j == nil {
			continue
		}
		w.impact.evictedAt = e.at.Now
		j.avoidUntil[w.id] = e.at.Now.Add(evictInterval)
		e.count("evict", "impact")
		e.orderStop(w, c, EndEvicted, "disturbs a service")
		return
	}
}

// impactPenalty returns the placement penalty of a worker for the interference of its
// batch tasks with its services.
func (e *Entry) impactPenalty(w *workerView) float64 {
	var sum float64
	for _, s := range w.heartbeat.Services {
		for _, m := range w.heartbeat.ClassLoads {
			sum += e.impact.Cost(s.Service, m.Class, m.Running)
		}
	}
	return sum
}

// addedImpactCost returns the increase of a worker's impact penalty by one more task of
// the class.
func (e *Entry) addedImpactCost(w *workerView, class string) float64 {
	n := 0
	for _, m := range w.heartbeat.ClassLoads {
		if m.Class == class {
			n = m.Running
		}
	}
	var sum float64
	for _, s := range w.heartbeat.Services {
		sum += e.impact.Cost(s.Service, class, n+1) - e.impact.Cost(s.Service, class, n)
	}
	return sum
}

// pickLeastDisturbed chooses, among at most maxImpactCandidates workers with room, the
// first whose services the task would slow down acceptably little, else the one with
// the least added cost.
func (e *Entry) pickLeastDisturbed(need place.Need, class string, seed uint64) (string, bool) {
	var best string
	var least float64
	for id := range candidates(e.index.Pick, need, seed, maxImpactCandidates) {
		cost := e.addedImpactCost(e.workers[WorkerID(id)], class)
		if cost <= acceptableImpactCost {
			return id, true
		}
		if best == "" || cost < least {
			best, least = id, cost
		}
	}
	return best, best != ""
}
