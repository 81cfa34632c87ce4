package core

import (
	"slices"
	"time"

	"jayloft/noise"
	"jayloft/place"
)

// Numbers of the control of interference.
const (
	// throttlePercent is the speed of a task that disturbs a service.
	throttlePercent = 43
	// evictInterval is the least time between two moves away from one worker, and
	// the least stay of a task before it is moved.
	evictInterval = 20 * time.Second
	// stableMixTime is how long the batch tasks on a VM must have been the same
	// before its service times are learnt from.
	stableMixTime = 2 * lateEvery
	// baselineSmoothing is the weight of a new sample in a service's baseline.
	baselineSmoothing = 0.05
	// evictRatio is the slow-down at which the baseline evicts.
	evictRatio = 1.1
	// maxNoiseCost is the cost above which another worker is looked for.
	maxNoiseCost = 0.15
	// maxNoiseCandidates bounds the workers that are compared for a batch task.
	maxNoiseCandidates = 4
)

// workerNoise is what is being done about interference on one worker.
type workerNoise struct {
	observed time.Time // send time of the last beat that was learnt from
	action   noise.Action
	class    string // that the action is about
	loads    []noise.Load
	since    time.Time // send time of the first beat with loads
	moved    time.Time
}

// observeNoise learns from a beat how much the batch tasks on a VM slow its
// services down, and decides what to do about it.
func (e *Entry) observeNoise(w *workerView, ans *HeartbeatAnswer) {
	if e.pol.Noise == NoiseOff {
		return
	}
	loads := w.loads()
	if !slices.Equal(loads, w.noise.loads) {
		w.noise.loads, w.noise.since = loads, w.heartbeat.Sent
	}
	if w.heartbeat.Sent.Sub(w.noise.observed) >= lateEvery {
		w.noise.observed = w.heartbeat.Sent
		e.learnNoise(w, loads)
	}
	worst, class := noise.NoAction, ""
	for _, s := range w.heartbeat.Services {
		if act, c := e.chooseAction(s, loads, w.noise.action); act > worst {
			worst, class = act, c
		}
	}
	if worst != w.noise.action {
		e.count("noise", noiseReasons[worst])
	}
	w.noise.action, w.noise.class = worst, class
	e.throttleClaims(w, ans)
	e.evictDisturbing(w)
}

// learnNoise learns from the service times of a VM whose batch tasks have been
// the same for as long as the times cover.
func (e *Entry) learnNoise(w *workerView, loads []noise.Load) {
	if w.heartbeat.Sent.Sub(w.noise.since) < stableMixTime {
		return
	}
	for _, s := range w.heartbeat.Services {
		if ratio, ok := e.slowdown(s, len(loads) == 0); ok && len(loads) > 0 {
			e.noise.ObserveMix(s.Service, loads, ratio, e.at.Now)
		}
	}
}

// chooseAction decides what to do about the batch tasks beside a service. The baseline
// that evicts on sight moves a task at every slow-down.
func (e *Entry) chooseAction(s ServiceLoad, loads []noise.Load, last noise.Action) (noise.Action, string) {
	if e.pol.Noise != NoiseEvict {
		return e.noise.NextAction(s.Service, loads, last)
	}
	ratio, ok := e.slowdown(s, false)
	if !ok || len(loads) == 0 || ratio < evictRatio {
		return noise.NoAction, ""
	}
	return noise.Move, loads[0].Class
}

// noiseReasons names the actions against interference in counters.
var noiseReasons = map[noise.Action]Reason{
	noise.NoAction: "leave", noise.Throttle: "throttle", noise.Move: "move",
}

// slowdown compares a VM's service time with the service's on quiet VMs.
func (e *Entry) slowdown(s ServiceLoad, quiet bool) (float64, bool) {
	if s.Mean <= 0 {
		return 0, false
	}
	sv := e.service(s.Service)
	switch {
	case sv.base == 0:
		if quiet {
			sv.base = s.Mean
		}
		return 0, false
	case quiet:
		sv.base += time.Duration(baselineSmoothing * float64(s.Mean-sv.base))
	}
	return float64(s.Mean) / float64(sv.base), true
}

// loads returns the batch tasks beside a worker's services.
func (w *workerView) loads() []noise.Load {
	loads := make([]noise.Load, len(w.heartbeat.Mix))
	for i, m := range w.heartbeat.Mix {
		loads[i] = noise.Load{
			Class: m.Class, Level: m.Running,
			Throttled: w.noise.action != noise.NoAction && w.noise.class == m.Class,
		}
	}
	return loads
}

// throttleClaims sets the speed of this entry's tasks on a worker.
func (e *Entry) throttleClaims(w *workerView, ans *HeartbeatAnswer) {
	for _, c := range w.sortedClaims() {
		percent := 100
		if w.noise.action != noise.NoAction && c.class == w.noise.class && !c.urgent {
			percent = throttlePercent
		}
		if percent != 100 || c.throttled {
			c.throttled = percent != 100
			ans.Throttles = append(ans.Throttles, Throttle{Attempt: c.attempt, Percent: percent})
		}
	}
}

// evictDisturbing moves one task that disturbs a service too much to be throttled.
func (e *Entry) evictDisturbing(w *workerView) {
	stay := evictInterval
	if e.pol.Noise == NoiseEvict {
		stay = 0
	}
	if w.noise.action != noise.Move || e.at.Now.Sub(w.noise.moved) < stay {
		return
	}
	for _, c := range w.sortedClaims() {
		if c.class != w.noise.class || c.urgent || c.releasing || e.at.Now.Sub(c.since) < stay {
			continue
		}
		j := e.jobs[c.attempt.Task.Job]
		if j == nil {
			continue
		}
		w.noise.moved = e.at.Now
		j.avoidUntil[w.id] = e.at.Now.Add(evictInterval)
		e.count("evict", "noise")
		e.orderStop(w, c, EndEvicted, "disturbs a service")
		return
	}
}

// noisePenalty returns what the batch tasks on a worker cost its services, as a
// penalty to placement.
func (e *Entry) noisePenalty(w *workerView) float64 {
	var sum float64
	for _, s := range w.heartbeat.Services {
		for _, m := range w.heartbeat.Mix {
			sum += e.noise.Cost(s.Service, m.Class, m.Running)
		}
	}
	return sum
}

// addedNoiseCost returns what one more task of a class would cost a worker's
// services.
func (e *Entry) addedNoiseCost(w *workerView, class string) float64 {
	n := 0
	for _, m := range w.heartbeat.Mix {
		if m.Class == class {
			n = m.Running
		}
	}
	var sum float64
	for _, s := range w.heartbeat.Services {
		sum += e.noise.Cost(s.Service, class, n+1) - e.noise.Cost(s.Service, class, n)
	}
	return sum
}

// pickLeastDisturbed chooses among a few workers that fit the one where the class
// disturbs least.
func (e *Entry) pickLeastDisturbed(need place.Need, class string, seed uint64) (string, bool) {
	var best string
	var least float64
	for range maxNoiseCandidates {
		id, ok := e.index.Pick(need, seed)
		if !ok {
			break
		}
		cost := e.addedNoiseCost(e.workers[WorkerID(id)], class)
		if cost <= maxNoiseCost {
			return id, true
		}
		if best == "" || cost < least {
			best, least = id, cost
		}
		need.Exclude = append(need.Exclude[:len(need.Exclude):len(need.Exclude)], id)
	}
	return best, best != ""
}
