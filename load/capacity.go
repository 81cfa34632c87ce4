package load

import "time"

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
