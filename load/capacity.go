package load

import (
	"time"

	"jayloft/core"
	"jayloft/stand"
)

// serviceTimes are the mean running times of the stand-ins' services on an
// idle VM; see docs/stand.md.
var serviceTimes = map[string]time.Duration{
	"lookup":     20 * time.Millisecond,
	"proof":      60 * time.Millisecond,
	"printwatch": 5 * time.Millisecond,
}

// slotCapacity returns the requests a second that all slots can run.
func (w window) slotCapacity() float64 {
	return float64(w.slots) / serviceTimes[w.load.Service].Seconds()
}

// busy returns the time that requests ran in the window as a share of all
// slots' time. Unlike goodput it doesn't suffer from a machine that lets the
// stand-ins' timers fire late.
func (w window) busy() float64 {
	type key struct {
		id     string
		worker core.WorkerID
	}
	open := map[key]time.Duration{}
	var sum time.Duration
	for _, e := range w.events {
		k := key{e.Subject, e.Worker}
		switch e.Kind {
		case stand.KindCall:
			open[k] = e.at
		case stand.KindAnswer, stand.KindCut:
			if began, ok := open[k]; ok {
				sum += max(0, min(e.at, w.to)-max(began, w.from))
				delete(open, k)
			}
		}
	}
	return sum.Seconds() / w.length().Seconds() / float64(w.slots)
}
