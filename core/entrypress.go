package core

import (
	"slices"
	"time"

	"jayloft/place"
	"jayloft/press"
)

const (
	// bearTail is the tail, as a part of its target, up to which more fillers are
	// placed beside a lasting task.
	bearTail = 0.5
	// hotTail is the same for fillers that add little each.
	hotTail = 0.9
	// mildPress is the utilization up to which a filler adds little: about as much
	// as the measurements' own noise.
	mildPress = 0.05
	// keepQuiet is the part of the workers that lasting tasks leave to fillers while
	// they find room on others.
	keepQuiet = 0.3
	// bearTries bounds the workers that are looked at for one filler.
	bearTries = 12
)

// observePress learns from a beat how hard fillers press, and tells the agent
// what is known of its own.
func (e *Entry) observePress(w *workerView, ans *BeatAnswer) {
	window := press.Window{Number: w.beat.Window}
	for _, f := range w.beat.Fillers {
		window.Loads = append(window.Loads, press.Load{Image: f.Image, Share: w.share(f.Millicores)})
	}
	for _, t := range w.beat.Tails {
		window.Tails = append(window.Tails, press.Tail{Image: t.Image, Busy: t.Busy, Tasks: t.Tasks})
	}
	e.press.Observe(string(w.id), window)
	for _, t := range w.beat.Tails {
		for _, f := range w.beat.Mix {
			ans.Press = append(ans.Press, ImagePress{Lasting: t.Image, Filler: f.Class, Press: e.press.Press(t.Image, f.Class)})
		}
	}
}

const (
	// keepPressEvery is the time between two writes of what was learnt. All
	// entries learn the same, so the last write wins.
	keepPressEvery = 4 * time.Second
	// assumedTail is taken for the tail of lasting tasks that have just been
	// placed, as a part of its target.
	assumedTail = 0.4
)

// waitPress waits for the row of what was learnt before this entry began.
type waitPress struct{}

func (waitPress) wait() {}

// pressDue reads what was learnt before, once, and keeps what is learnt.
func (e *Entry) pressDue() {
	if !e.ready() || e.circuit.Open(e.at.Now) || e.at.Now.Before(e.nextPress) {
		return
	}
	first := e.nextPress.IsZero()
	e.nextPress = e.at.Now.Add(keepPressEvery)
	if first {
		e.emit(ReadRows{Token: e.expect(waitPress{}), Keys: []string{KeyPress}})
		return
	}
	if known := e.press.Known(); len(known) > 0 && !e.leaving {
		e.commit(waitMember{}, nil, []Record{PressRow{Pairs: known}}, []string{KeyPress})
	}
}

// pressRead takes what was learnt before this entry began.
func (e *Entry) pressRead(ev RowsAnswered) {
	if ev.Fault != FaultNone {
		e.storeFault("read")
		e.nextPress = time.Time{}
		return
	}
	for _, r := range ev.View.Rows {
		if r.Version == 0 {
			continue
		}
		rec, err := Decode(r.Key, r.Value)
		if err != nil {
			e.note("press row passed over", r.Key, err.Error())
			continue
		}
		if row, ok := rec.(PressRow); ok {
			e.press.Recall(row.Pairs)
		}
	}
}

// tailsOn returns the tails of the lasting tasks on a worker, with assumed ones of
// images that were placed there and are not reported yet.
func (w *workerView) tailsOn() []ImageTail {
	tails := slices.Clone(w.beat.Tails)
	for _, c := range w.claims {
		known := func(t ImageTail) bool { return t.Image == c.class }
		if c.target > 0 && c.holder.Inc == w.inc && !slices.ContainsFunc(tails, known) {
			tails = append(tails, ImageTail{Image: c.class, Worst: assumedTail})
		}
	}
	return tails
}

// share returns the part of the worker that thousandths of a core are.
func (w *workerView) share(millicores int64) float64 {
	return float64(millicores) / float64(max(w.beat.Capacity.Millicores, 1))
}

// added returns the utilization that one more filler is likely to add to lasting
// tasks on the worker, and whether the lasting tasks there are likely to bear it with
// those that were placed there since the last beat.
func (e *Entry) added(w *workerView, image string, size Size) (most float64, borne bool) {
	borne = true
	for _, t := range w.tailsOn() {
		added := e.press.Press(t.Image, image) * press.UnknownWeight * w.share(size.Millicores)
		bound := bearTail
		if added <= mildPress {
			bound = hotTail
		}
		most = max(most, added)
		borne = borne && press.Busy(t.Worst)+e.coming(w, t.Image)+added <= press.Busy(bound)
	}
	return most, borne
}

// coming returns the utilization that fillers which were placed on a worker since
// its last beat are likely to add to lasting tasks of an image.
func (e *Entry) coming(w *workerView, lasting string) float64 {
	sum := 0.0
	for _, c := range w.claims {
		if c.holder.Inc == w.inc && !c.listed && c.soft.Millicores > 0 {
			sum += e.press.Press(lasting, c.class) * press.UnknownWeight * w.share(c.soft.Millicores)
		}
	}
	return sum
}

// pressed returns the utilization that all fillers on a worker are likely to add to
// lasting tasks of an image, if they run at full speed.
func (e *Entry) pressed(w *workerView, lasting string) float64 {
	sum := 0.0
	for _, c := range w.claims {
		if c.holder.Inc == w.inc && c.soft.Millicores > 0 {
			sum += e.press.Press(lasting, c.class) * press.UnknownWeight * w.share(c.soft.Millicores)
		}
	}
	return sum
}

// pickLasting chooses a worker for a lasting task: one that serves only tasks of
// its image, or else one that does not serve, or else the one with the fewest
// other images. It answers the load pattern of lasting tasks on all of a site,
// where a filler has a place beside few images: the fewer images a worker serves,
// the more fillers it bears.
func (e *Entry) pickLasting(need place.Need, image string, seed uint64) (string, bool) {
	var best string
	var least int
	need.Where, need.Spread = place.OnlyServing, false
	tried := need
	for range bearTries {
		id, ok := e.index.Pick(tried, seed)
		if !ok {
			break
		}
		tried.Avoid = append(tried.Avoid, id)
		others := e.workers[WorkerID(id)].otherImages(image)
		if others == 0 {
			return id, true
		}
		if best == "" || others < least {
			best, least = id, others
		}
	}
	if best != "" && e.index.Quiet() <= keepQuiet {
		return best, true
	}
	if id, ok := e.leastPressed(need, image, seed); ok {
		return id, true
	}
	if best != "" {
		return best, true
	}
	need.Where = place.Anywhere
	return e.index.PickReclaim(need, seed)
}

// leastPressed chooses among a few workers that don't serve the one whose fillers
// are likely to add least to lasting tasks of an image.
func (e *Entry) leastPressed(need place.Need, image string, seed uint64) (best string, ok bool) {
	need.Where, need.Spread = place.OnlyQuiet, true
	var least float64
	for range bearTries {
		id, ok := e.index.Pick(need, seed)
		if !ok {
			break
		}
		need.Avoid = append(need.Avoid, id)
		if p := e.pressed(e.workers[WorkerID(id)], image); best == "" || p < least {
			best, least = id, p
		}
	}
	return best, best != ""
}

// otherImages counts the images of lasting tasks on a worker but one.
func (w *workerView) otherImages(image string) int {
	n := 0
	for _, t := range w.tailsOn() {
		if t.Image != image {
			n++
		}
	}
	return n
}

// pickFiller chooses a worker for a filler: one that does not serve, or else the
// one of a few where it adds least to tails that are likely to bear it. A job that
// is stuck takes any.
func (e *Entry) pickFiller(need place.Need, image string, stuck bool, seed uint64) (string, bool) {
	if id, ok := e.index.PickSlack(need, seed); ok {
		return id, true
	}
	need.Where = place.OnlyServing
	var best string
	var least float64
	for range bearTries {
		id, ok := e.index.PickSlack(need, seed)
		if !ok {
			break
		}
		need.Avoid = append(need.Avoid, id)
		added, borne := e.added(e.workers[WorkerID(id)], image, need.Size)
		if (borne || stuck) && (best == "" || added < least) {
			best, least = id, added
		}
		if borne && added <= mildPress {
			break
		}
	}
	return best, best != ""
}
