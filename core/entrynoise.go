package core

import (
	"slices"
	"time"

	"jayloft/noise"
	"jayloft/place"
)

// Numbers of the control of interference.
const (
	// easedPercent is the speed of a task that disturbs a service.
	easedPercent = 43
	// moveEvery is the least time between two moves away from one worker, and
	// the least stay of a task before it is moved.
	moveEvery = 20 * time.Second
	// settledMix is how long the batch tasks on a VM must have been the same
	// before its service times are learnt from.
	settledMix = 2 * lateEvery
	// baseSmoothing is the weight of a new sample in a service's baseline.
	baseSmoothing = 0.05
	// sightRatio is the slow-down at which the baseline evicts.
	sightRatio = 1.1
	// costlyPlace is the cost above which another worker is looked for.
	costlyPlace = 0.15
	// costTries bounds the workers that are compared for a batch task.
	costTries = 4
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
		if act, c := e.act(s, loads, w.noise.action); act > worst {
			worst, class = act, c
		}
	}
	if worst != w.noise.action {
		e.count("noise", noiseReason[worst])
	}
	w.noise.action, w.noise.class = worst, class
	e.easeClaims(w, ans)
	e.moveClaim(w)
}

// learnNoise learns from the service times of a VM whose batch tasks have been
// the same for as long as the times cover.
func (e *Entry) learnNoise(w *workerView, loads []noise.Load) {
	if w.heartbeat.Sent.Sub(w.noise.since) < settledMix {
		return
	}
	for _, s := range w.heartbeat.Services {
		if ratio, ok := e.ratio(s, len(loads) == 0); ok && len(loads) > 0 {
			e.noise.ObserveMix(s.Service, loads, ratio, e.at.Now)
		}
	}
}

// act decides what to do about the batch tasks beside a service. The baseline
// that evicts on sight moves a task at every slow-down.
func (e *Entry) act(s ServiceLoad, loads []noise.Load, last noise.Action) (noise.Action, string) {
	if e.pol.Noise != NoiseSight {
		return e.noise.NextAction(s.Service, loads, last)
	}
	ratio, ok := e.ratio(s, false)
	if !ok || len(loads) == 0 || ratio < sightRatio {
		return noise.NoAction, ""
	}
	return noise.Move, loads[0].Class
}

// noiseReason names the actions against interference in counters.
var noiseReason = map[noise.Action]Reason{
	noise.NoAction: "leave", noise.Throttle: "throttle", noise.Move: "move",
}

// ratio compares a VM's service time with the service's on quiet VMs.
func (e *Entry) ratio(s ServiceLoad, quiet bool) (float64, bool) {
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
		sv.base += time.Duration(baseSmoothing * float64(s.Mean-sv.base))
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

// easeClaims sets the speed of this entry's tasks on a worker.
func (e *Entry) easeClaims(w *workerView, ans *HeartbeatAnswer) {
	for _, c := range w.sortedClaims() {
		percent := 100
		if w.noise.action != noise.NoAction && c.class == w.noise.class && !c.urgent {
			percent = easedPercent
		}
		if percent != 100 || c.throttled {
			c.throttled = percent != 100
			ans.Throttles = append(ans.Throttles, Throttle{Attempt: c.attempt, Percent: percent})
		}
	}
}

// moveClaim moves one task that disturbs a service too much to be throttled.
func (e *Entry) moveClaim(w *workerView) {
	stay := moveEvery
	if e.pol.Noise == NoiseSight {
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
		j.avoidUntil[w.id] = e.at.Now.Add(moveEvery)
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

// placeCost returns what one more task of a class would cost a worker's
// services.
func (e *Entry) placeCost(w *workerView, class string) float64 {
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

// pickQuiet chooses among a few workers that fit the one where the class
// disturbs least.
func (e *Entry) pickQuiet(need place.Need, class string, seed uint64) (string, bool) {
	var best string
	var least float64
	for range costTries {
		id, ok := e.index.Pick(need, seed)
		if !ok {
			break
		}
		cost := e.placeCost(e.workers[WorkerID(id)], class)
		if cost <= costlyPlace {
			return id, true
		}
		if best == "" || cost < least {
			best, least = id, cost
		}
		need.Exclude = append(need.Exclude[:len(need.Exclude):len(need.Exclude)], id)
	}
	return best, best != ""
}
