package core

import (
	"jayloft/place"
	"jayloft/press"
)

const (
	// bearTail is the tail, as a part of its target, up to which more fillers are
	// placed beside a lasting task. It leaves room for the swing of its load.
	bearTail = 0.85
	// mildPress is what one filler may add to any tail, as a part of its target:
	// less than the measurements' own noise.
	mildPress = 0.04
	// bearTries bounds the workers that are looked at for one filler.
	bearTries = 6
)

// observePress learns from a beat how hard fillers press, and tells the agent
// what is known of its own.
func (e *Entry) observePress(w *workerView, ans *BeatAnswer) {
	var loads []press.Load
	for _, f := range w.beat.Fillers {
		loads = append(loads, press.Load{Image: f.Image, Share: w.share(f.Millicores)})
	}
	for _, t := range w.beat.Tails {
		e.press.Observe(string(w.id), t.Image, t.Worst, loads)
		for _, f := range w.beat.Mix {
			ans.Press = append(ans.Press, ImagePress{Lasting: t.Image, Filler: f.Class, Press: e.press.Press(t.Image, f.Class)})
		}
	}
}

// share returns the part of the worker that thousandths of a core are.
func (w *workerView) share(millicores int64) float64 {
	return float64(millicores) / float64(max(w.beat.Capacity.Millicores, 1))
}

// bears reports whether the lasting tasks on a worker are likely to bear one more
// filler: by their tails of late, what was placed since, and what it adds.
func (e *Entry) bears(w *workerView, image string, size Size) bool {
	for _, t := range w.beat.Tails {
		added := e.press.Press(t.Image, image) * w.share(size.Millicores)
		if added <= mildPress {
			continue
		}
		for _, c := range w.claims {
			if c.holder.Inc == w.inc && !c.listed && c.soft.Millicores > 0 {
				added += e.press.Press(t.Image, c.class) * w.share(c.soft.Millicores)
			}
		}
		if t.Worst+added > bearTail {
			return false
		}
	}
	return true
}

// pickFiller chooses a worker for a filler: one that does not serve, or else one
// whose lasting tasks are likely to bear it. A job that is stuck takes any.
func (e *Entry) pickFiller(need place.Need, image string, stuck bool, seed uint64) (string, bool) {
	if id, ok := e.index.PickSlack(need, seed); ok {
		return id, true
	}
	need.Where = place.OnlyServing
	for range bearTries {
		id, ok := e.index.PickSlack(need, seed)
		if !ok {
			break
		}
		if stuck || e.bears(e.workers[WorkerID(id)], image, need.Size) {
			return id, true
		}
		need.Avoid = append(need.Avoid, id)
	}
	return "", false
}
