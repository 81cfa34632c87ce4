// Package press learns how much tasks that fill a VM's spare processor time raise
// the tail latency of the lasting tasks beside them.
//
// It answers one load pattern: some pairs of images press hard on each other and
// most hardly do, nobody says which, all images are new each day, and a measurement
// shows only the sum of what is on a VM, on top of a tail that swings with its own
// load. Each measurement corrects the estimates of the pairs that were present, in
// proportion to the fillers' parts of the VM (normalised least mean squares;
// Haykin, "Adaptive Filter Theory", ch. 6). Tails are given as a part of their
// target.
//
// # Usage
//
//	var l press.Learner
//	l.Observe("worker-1", "api", 1.4, []press.Load{{Image: "import", Share: 0.3}})
//	more := l.Press("api", "import") * 0.1 // what a tenth of a VM of imports adds
package press

const (
	// first is the press of a pair that nothing is known of: a VM full of the
	// filler raises the tail by that part of its target.
	first = 0.8
	// most bounds an estimate against single wild measurements.
	most = 150
	// rate is the part of an error that one measurement corrects.
	rate = 0.4
	// floor keeps small shares from being made responsible for every swing.
	floor = 0.004
	// aloneFirst is the tail without fillers, before any was measured, and
	// aloneMost the highest that is put down to a tail's own load.
	aloneFirst = 0.5
	aloneMost  = 0.9
	// aloneUp and aloneDown follow the swing of a tail's own load. Upwards they
	// are slow, since a tail takes a second to fall after its cause has gone.
	aloneUp   = 0.1
	aloneDown = 0.5
	// leastShare is the sum of shares below which a measurement is put down to
	// the tail's own load alone.
	leastShare = 0.01
)

// Load is the part of a VM that tasks of one image take, in [0, 1].
type Load struct {
	Image string
	Share float64
}

// pair is a lasting task's image and a filler's.
type pair struct{ lasting, filler string }

// tail names the lasting tasks of one image on a VM.
type tail struct{ vm, image string }

// Learner holds the estimates for a site. The zero value knows nothing.
type Learner struct {
	pairs map[pair]float64
	alone map[tail]float64 // tails without fillers
}

// Observe takes the worst tail of the lasting tasks of an image on a VM, and the
// fillers that ran there meanwhile.
func (l *Learner) Observe(vm, image string, worst float64, loads []Load) {
	if l.pairs == nil {
		l.pairs, l.alone = map[pair]float64{}, map[tail]float64{}
	}
	at := tail{vm, image}
	alone, known := l.alone[at]
	if !known {
		alone = aloneFirst
	}
	var added, sum, squares float64
	for _, x := range loads {
		added += l.Press(image, x.Image) * x.Share
		sum += x.Share
		squares += x.Share * x.Share
	}
	miss := worst - alone - added
	if sum < leastShare {
		l.alone[at] = min(max(alone+aloneStep(miss), 0), aloneMost)
		return
	}
	for _, x := range loads {
		p := l.Press(image, x.Image) + rate*miss*x.Share/(squares+floor)
		l.pairs[pair{image, x.Image}] = min(max(p, 0), most)
	}
}

func aloneStep(miss float64) float64 {
	if miss > 0 {
		return aloneUp * miss
	}
	return aloneDown * miss
}

// Press returns by what part of its target a VM full of the filler's tasks raises
// the tail of a lasting task there.
func (l *Learner) Press(lasting, filler string) float64 {
	if p, ok := l.pairs[pair{lasting, filler}]; ok {
		return p
	}
	return first
}
