package main

import (
	"math/rand/v2"
	"time"
)

// lateGrants makes a worker leave a share of the calls that extend its lease unanswered, and
// carry them out late. The zero value answers all calls.
type lateGrants struct {
	share    float64
	least    time.Duration
	most     time.Duration
	random   *rand.Rand
	switched bool
}

// draw reports whether the next call is carried out late.
func (l *lateGrants) draw() bool { return l.switched && l.random.Float64() < l.share }

// delay returns how late a call is carried out.
func (l *lateGrants) delay() time.Duration {
	return l.least + time.Duration(l.random.Int64N(int64(l.most-l.least)+1))
}

// setLate switches late calls of a worker on or off.
func (w *worker) setLate(on bool, share float64, least, most time.Duration, seed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = lateGrants{share: share, least: least, most: most, random: rand.New(rand.NewPCG(seed, seed)), switched: on}
}
