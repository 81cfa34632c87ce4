package order

import (
	"math"
	"time"
)

const (
	// trust is the number of tasks that a queue's declared run times are trusted
	// for, before any task has ended, and declaredSpread the variance of their
	// logarithms that goes with it.
	trust          = 8
	declaredSpread = 0.25
	// shortest is the least run time that is looked at.
	shortest = time.Millisecond
)

// Guess corrects the declared run times of a queue's tasks by those that its tasks
// were seen to take. It answers the load pattern of declarations that are off by
// factors: a line is fitted to the logarithms of both, so that declarations which
// say little pull towards what the queue's tasks take in general. The zero value
// trusts what is declared.
type Guess struct {
	n              float64
	declared, took float64 // means of the logarithms
	spread, common float64 // sums of squares and of products about the means
}

// Learn takes the run time of a task that has ended.
func (g *Guess) Learn(declared, took time.Duration) {
	if declared < shortest || took < shortest {
		return
	}
	x, y := math.Log(declared.Seconds()), math.Log(took.Seconds())
	g.n++
	dx := x - g.declared
	g.declared += dx / g.n
	g.took += (y - g.took) / g.n
	g.spread += dx * (x - g.declared)
	g.common += dx * (y - g.took)
}

// Of returns how long a task is likely to take.
func (g *Guess) Of(declared time.Duration) time.Duration {
	if g == nil || g.n == 0 || declared < shortest {
		return declared
	}
	slope := (trust*declaredSpread + g.common) / (trust*declaredSpread + g.spread)
	weight := g.n / (trust + g.n)
	x := math.Log(declared.Seconds())
	y := x + weight*(g.took+slope*(x-g.declared)-x)
	return time.Duration(math.Exp(y) * float64(time.Second))
}
