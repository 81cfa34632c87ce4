package order_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/order"
)

// off returns the mean distance of logarithms between guesses and run times, with
// declarations that are off by a spread.
func off(g *order.Guess, spread float64, learn int) (with, without float64) {
	r := rand.New(rand.NewPCG(1, 2))
	draw := func() (declared, took time.Duration) {
		y := math.Log(1.7) + 0.5*r.NormFloat64()
		x := y + spread*r.NormFloat64()
		return time.Duration(math.Exp(x) * 1e9), time.Duration(math.Exp(y) * 1e9)
	}
	for range learn {
		g.Learn(draw())
	}
	const n = 2000
	for range n {
		declared, took := draw()
		with += math.Abs(math.Log(g.Of(declared).Seconds()/took.Seconds())) / n
		without += math.Abs(math.Log(declared.Seconds()/took.Seconds())) / n
	}
	return with, without
}

// Declarations that are off by a factor of two and a half are corrected by more than
// a third, and good ones are kept.
func TestGuess(t *testing.T) {
	var g order.Guess
	with, without := off(&g, 0.9, 100)
	assert.Assert(t, with < without*2/3, "%.2f %.2f", with, without)
	var good order.Guess
	with, without = off(&good, 0.1, 100)
	assert.Assert(t, with < without*1.1, "%.2f %.2f", with, without)
}

func TestGuessTrustsAtFirst(t *testing.T) {
	var g *order.Guess
	assert.Equal(t, g.Of(time.Second), time.Second)
	var h order.Guess
	h.Learn(time.Second, 0)
	assert.Equal(t, h.Of(time.Second), time.Second)
	h.Learn(time.Second, 10*time.Second)
	assert.Assert(t, h.Of(time.Second) < 2*time.Second, "%v", h.Of(time.Second))
}
