package core

import (
	"slices"

	"jayloft/interf"
	"jayloft/place"
)

const (
	// maxTailLatency is the tail latency of a long-running task, as a fraction of its
	// target, up to which more best-effort tasks are placed beside it.
	maxTailLatency = 0.5
	// maxTailLatencyMild is the same bound for best-effort tasks that interfere mildly.
	maxTailLatencyMild = 0.9
	// mildInterference is the utilization that a best-effort task with mild
	// interference adds at most: about as much as the measurement noise.
	mildInterference = 0.05
	// bestEffortReserve is the fraction of all workers that long-running tasks leave to
	// best-effort tasks while there is room for them elsewhere.
	bestEffortReserve = 0.3
	// maxCandidates bounds the workers that are considered for one task.
	maxCandidates = 12
	// assumedTailLatency is the tail latency that is assumed for long-running tasks
	// without a measurement, as a fraction of their target.
	assumedTailLatency = 0.4
)

// tailLatencies returns the tail latencies of the long-running tasks on a worker, by
// image. Images that were placed there but are not reported yet have assumed ones.
func (w *workerView) tailLatencies() []ImageTailLatency {
	tails := slices.Clone(w.heartbeat.TailLatencies)
	for _, c := range w.claims {
		sameImage := func(t ImageTailLatency) bool { return t.Image == c.class }
		if c.target > 0 && c.holder.Inc == w.inc && !slices.ContainsFunc(tails, sameImage) {
			tails = append(tails, ImageTailLatency{Image: c.class, Worst: assumedTailLatency})
		}
	}
	return tails
}

// cpuFraction converts millicores to a fraction of the worker's CPU capacity.
func (w *workerView) cpuFraction(millicores int64) float64 {
	return float64(millicores) / float64(max(w.heartbeat.Capacity.Millicores, 1))
}

// addedInterference returns the utilization that one more best-effort task is expected
// to add to the most affected long-running task on the worker. It also reports whether
// all long-running tasks there are expected to tolerate it, on top of the best-effort
// tasks that were placed there since the last heartbeat.
func (e *Entry) addedInterference(w *workerView, image string, size Size) (highest float64, tolerated bool) {
	tolerated = true
	for _, t := range w.tailLatencies() {
		added := e.interference.Interference(t.Image, image) * interf.DefaultWeight * w.cpuFraction(size.Millicores)
		bound := maxTailLatency
		if added <= mildInterference {
			bound = maxTailLatencyMild
		}
		highest = max(highest, added)
		tolerated = tolerated && interf.Utilization(t.Worst)+e.interferenceOn(w, t.Image, (*claim).isUnreported)+added <= interf.Utilization(bound)
	}
	return highest, tolerated
}

// interferenceOn returns the utilization that the best-effort tasks on a worker, of the
// claims that are selected, are expected to add to long-running tasks of an image when
// they run at full speed.
func (e *Entry) interferenceOn(w *workerView, image string, selected func(*claim) bool) float64 {
	sum := 0.0
	for _, c := range w.sortedClaims() {
		if c.holder.Inc == w.inc && c.bestEffort.Millicores > 0 && selected(c) {
			sum += e.interference.Interference(image, c.class) * interf.DefaultWeight * w.cpuFraction(c.bestEffort.Millicores)
		}
	}
	return sum
}

// isUnreported reports whether no heartbeat has listed the claim's attempt yet.
func (c *claim) isUnreported() bool { return !c.reported }

func anyClaim(*claim) bool { return true }

// pickLongRunning chooses a worker for a long-running task. Its order of preference:
// a worker whose long-running tasks all have this image; a worker without long-running
// tasks, as long as enough of those remain for best-effort tasks; the worker with the
// fewest other images; any worker, by preemption. This packs images together where
// long-running tasks occupy most of a site: the fewer images run on a worker, the more
// best-effort tasks fit beside them, as some of these interfere with every image.
func (e *Entry) pickLongRunning(need place.Need, image string, seed uint64) (string, bool) {
	var best string
	var least int
	need.Constraint, need.Spread = place.ServingOnly, false
	need.Shared = true // its image matters more than a refusal
	for id := range candidates(e.index.Pick, need, seed, maxCandidates) {
		others := e.workers[WorkerID(id)].otherImages(image)
		if others == 0 {
			return id, true
		}
		if best == "" || others < least {
			best, least = id, others
		}
	}
	if best != "" && e.index.NonServingFraction() <= bestEffortReserve {
		return best, true
	}
	if id, ok := e.pickLeastInterference(need, image, seed); ok {
		return id, true
	}
	if best != "" {
		return best, true
	}
	need.Constraint = place.AnyWorker
	return e.index.PickPreempt(need, seed)
}

// pickLeastInterference chooses, among a few workers without long-running tasks, the
// one whose best-effort tasks are expected to interfere least with an image.
func (e *Entry) pickLeastInterference(need place.Need, image string, seed uint64) (best string, ok bool) {
	need.Constraint, need.Spread = place.NonServingOnly, true
	var least float64
	for id := range candidates(e.index.Pick, need, seed, maxCandidates) {
		if p := e.interferenceOn(e.workers[WorkerID(id)], image, anyClaim); best == "" || p < least {
			best, least = id, p
		}
	}
	return best, best != ""
}

// otherImages counts the images of long-running tasks on a worker, except for one.
func (w *workerView) otherImages(image string) int {
	n := 0
	for _, t := range w.tailLatencies() {
		if t.Image != image {
			n++
		}
	}
	return n
}

// pickBestEffort chooses a worker for a best-effort task: one that meets need, or else
// the one of a few workers with long-running tasks where it interferes least and is
// tolerated. Tasks of a job that is stuck are placed even where they are not tolerated, or where
// others leave less than they declare: their CPU is not reserved, so that it is a preference.
func (e *Entry) pickBestEffort(need place.Need, image string, stuck bool, seed uint64) (string, bool) {
	if id, ok := e.index.PickSlack(need, seed); ok {
		return id, true
	}
	need.Constraint = place.ServingOnly
	var best string
	var least float64
	for id := range candidates(e.index.PickSlack, need, seed, maxCandidates) {
		added, tolerated := e.addedInterference(e.workers[WorkerID(id)], image, need.Size)
		if (tolerated || stuck) && (best == "" || added < least) {
			best, least = id, added
		}
		if tolerated && added <= mildInterference {
			break
		}
	}
	if best != "" || !stuck {
		return best, best != ""
	}
	need.Size, need.Constraint = reservedSize(need.Size, true), place.AnyWorker
	return e.index.PickSlack(need, seed)
}
