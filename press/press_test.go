package press_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"jayloft/press"
)

// A site of 11 VMs with two lasting images and 9 fillers, of which 4 press hard on
// the first and none on the second, with tails that swing: the hard pairs are told
// apart within 15 s of a measurement a second.
func TestTellsHardPairsApart(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	hard := func(lasting string, i int) bool { return lasting == "a" && i < 4 }
	var l press.Learner
	for second := range 15 {
		for vm := range 11 {
			var loads []press.Load
			for range 2 {
				loads = append(loads, press.Load{Image: fmt.Sprint(r.IntN(9)), Share: 0.05 + 0.1*r.Float64()})
			}
			for _, lasting := range []string{"a", "b"} {
				busy := 0.45 + 0.2*math.Sin(float64(second)/3+float64(vm))
				for _, x := range loads {
					var i int
					_, err := fmt.Sscan(x.Image, &i)
					assert.NilError(t, err)
					if hard(lasting, i) {
						busy += 4.5 * x.Share
					}
				}
				l.Observe(fmt.Sprint(vm), lasting, 0.2/(1-min(busy, 0.98)), loads)
			}
		}
	}
	for _, lasting := range []string{"a", "b"} {
		for i := range 9 {
			p := l.Press(lasting, fmt.Sprint(i))
			assert.Check(t, (p > 2) == hard(lasting, i), "%s %d: %.2f", lasting, i, p)
		}
	}
}

func TestWithoutFillersNothingIsLearntOfThem(t *testing.T) {
	var l press.Learner
	before := l.Press("a", "f")
	for range 10 {
		l.Observe("vm", "a", 3, nil)
	}
	assert.Equal(t, l.Press("a", "f"), before)
}

// What was learnt outlives the process that learnt it.
func TestRecall(t *testing.T) {
	var l, m press.Learner
	for range 10 {
		l.Observe("vm", "a", 2, []press.Load{{Image: "f", Share: 0.1}})
	}
	m.Recall(l.Known())
	assert.Equal(t, m.Press("a", "f"), l.Press("a", "f"))
	m.Recall([]press.Pair{{Lasting: "a", Filler: "f", Press: 0, Variance: 3}})
	assert.Equal(t, m.Press("a", "f"), l.Press("a", "f"), "a worse estimate replaced a better one")
}
