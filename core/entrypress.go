package core

import (
	"time"

	"jayloft/press"
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
		e.emit(ReadRows{Token: e.expect(waitPress{}), Keys: []string{KeyInterference}})
		return
	}
	if known := e.press.Known(); len(known) > 0 && !e.leaving {
		e.commit(waitMember{}, nil, []Record{InterferenceRow{Pairs: known}}, []string{KeyInterference})
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
		if row, ok := rec.(InterferenceRow); ok {
			e.press.Recall(row.Pairs)
		}
	}
}
