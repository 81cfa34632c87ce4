package core

import (
	"slices"

	"jayloft/place"
	"jayloft/press"
)

const (
	// maxTailLatency is the tail, as a part of its target, up to which more fillers are
	// placed beside a lasting task.
	maxTailLatency = 0.5
	// maxTailLatencyMild is the same for fillers that add little each.
	maxTailLatencyMild = 0.9
	// mildInterference is the utilization up to which a filler adds little: about as much
	// as the measurements' own noise.
	mildInterference = 0.05
	// bestEffortReserve is the part of the workers that lasting tasks leave to fillers while
	// they find room on others.
	bestEffortReserve = 0.3
	// maxCandidates bounds the workers that are looked at for one filler.
	maxCandidates = 12
	// assumedTailLatency is taken for the tail of lasting tasks that have just been
	// placed, as a part of its target.
	assumedTailLatency = 0.4
)

// tailLatencies returns the tails of the lasting tasks on a worker, with assumed ones of
// images that were placed there and are not reported yet.
func (w *workerView) tailLatencies() []ImageTail {
	tails := slices.Clone(w.heartbeat.Tails)
	for _, c := range w.claims {
		known := func(t ImageTail) bool { return t.Image == c.class }
		if c.target > 0 && c.holder.Inc == w.inc && !slices.ContainsFunc(tails, known) {
			tails = append(tails, ImageTail{Image: c.class, Worst: assumedTailLatency})
		}
	}
	return tails
}

// cpuFraction returns the part of the worker that thousandths of a core are.
func (w *workerView) cpuFraction(millicores int64) float64 {
	return float64(millicores) / float64(max(w.heartbeat.Capacity.Millicores, 1))
}

// addedInterference returns the utilization that one more filler is likely to add to lasting
// tasks on the worker, and whether the lasting tasks there are likely to bear it with
// those that were placed there since the last beat.
func (e *Entry) addedInterference(w *workerView, image string, size Size) (most float64, borne bool) {
	borne = true
	for _, t := range w.tailLatencies() {
		addedInterf := e.interference.Interference(t.Image, image) * press.DefaultWeight * w.cpuFraction(size.Millicores)
		bound := maxTailLatency
		if addedInterf <= mildInterference {
			bound = maxTailLatencyMild
		}
		most = max(most, addedInterf)
		borne = borne && press.Utilization(t.Worst)+e.interferenceOn(w, t.Image, (*claim).isUnreported)+addedInterf <= press.Utilization(bound)
	}
	return most, borne
}

// interferenceOn returns the utilization that fillers on a worker are likely to add to
// lasting tasks of an image, if they run at full speed.
func (e *Entry) interferenceOn(w *workerView, lasting string, counts func(*claim) bool) float64 {
	sum := 0.0
	for _, c := range w.sortedClaims() {
		if c.holder.Inc == w.inc && c.bestEffort.Millicores > 0 && counts(c) {
			sum += e.interference.Interference(lasting, c.class) * press.DefaultWeight * w.cpuFraction(c.bestEffort.Millicores)
		}
	}
	return sum
}

// isUnreported reports whether the claim's worker has not listed the attempt yet.
func (c *claim) isUnreported() bool { return !c.reported }

func anyClaim(*claim) bool { return true }

// pickLongRunning chooses a worker for a lasting task: one that serves only tasks of
// its image, or else one that does not serve, while enough of those are left to
// fillers, or else the one with the fewest other images. It answers the load pattern
// of lasting tasks on most of a site, where a filler has a place beside few images:
// the fewer images a worker serves, the more fillers it bears, and some fillers press
// on all images.
func (e *Entry) pickLongRunning(need place.Need, image string, seed uint64) (string, bool) {
	var best string
	var least int
	need.Constraint, need.Spread = place.ServingOnly, false
	tried := need
	for range maxCandidates {
		id, ok := e.index.Pick(tried, seed)
		if !ok {
			break
		}
		tried.Exclude = append(tried.Exclude, id)
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

// pickLeastInterference chooses among a few workers that don't serve the one whose fillers
// are likely to add least to lasting tasks of an image.
func (e *Entry) pickLeastInterference(need place.Need, image string, seed uint64) (best string, ok bool) {
	need.Constraint, need.Spread = place.NonServingOnly, true
	var least float64
	for range maxCandidates {
		id, ok := e.index.Pick(need, seed)
		if !ok {
			break
		}
		need.Exclude = append(need.Exclude, id)
		if p := e.interferenceOn(e.workers[WorkerID(id)], image, anyClaim); best == "" || p < least {
			best, least = id, p
		}
	}
	return best, best != ""
}

// otherImages counts the images of lasting tasks on a worker but one.
func (w *workerView) otherImages(image string) int {
	n := 0
	for _, t := range w.tailLatencies() {
		if t.Image != image {
			n++
		}
	}
	return n
}

// pickBestEffort chooses a worker for a filler: one that does not serve, or else the
// one of a few where it adds least to tails that are likely to bear it. A job that
// is stuck takes any.
func (e *Entry) pickBestEffort(need place.Need, image string, stuck bool, seed uint64) (string, bool) {
	if id, ok := e.index.PickSlack(need, seed); ok {
		return id, true
	}
	need.Constraint = place.ServingOnly
	var best string
	var least float64
	for range maxCandidates {
		id, ok := e.index.PickSlack(need, seed)
		if !ok {
			break
		}
		need.Exclude = append(need.Exclude, id)
		addedInterf, borne := e.addedInterference(e.workers[WorkerID(id)], image, need.Size)
		if (borne || stuck) && (best == "" || addedInterf < least) {
			best, least = id, addedInterf
		}
		if borne && addedInterf <= mildInterference {
			break
		}
	}
	return best, best != ""
}
