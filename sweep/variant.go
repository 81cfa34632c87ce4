package sweep

import (
	"fmt"
	"time"

	"jayloft/core"
	"jayloft/route"
)

// Variant is a policy to be measured.
type Variant struct {
	Name   string
	Change func(*core.Policy)
}

// The policies that are compared.
var (
	Default    = Variant{"default", func(*core.Policy) {}}
	Random     = Variant{"random", func(p *core.Policy) { p.Route = route.Random }}
	NoRetry    = Variant{"noretry", func(p *core.Policy) { p.RetryShare, p.HedgeShare = 0, 0 }}
	FirstFit   = Variant{"firstfit", func(p *core.Policy) { p.FirstFit = true }}
	NoiseOff   = Variant{"noiseoff", func(p *core.Policy) { p.Impact = core.ImpactOff }}
	NoiseSight = Variant{"noisesight", func(p *core.Policy) { p.Impact = core.ImpactEvict }}
	AtOnce     = Variant{"atonce", func(p *core.Policy) { p.DrainAtOnce = true }}
)

// Lease returns the default policy with another lease.
func Lease(d time.Duration) Variant {
	return Variant{fmt.Sprintf("lease=%v", d), func(p *core.Policy) { p.Lease = d }}
}

func (v Variant) policy() core.Policy {
	p := core.DefaultPolicy()
	v.Change(&p)
	return p
}

func (v Variant) sim(site Site, seed uint64) *Sim {
	return New(site, seed, core.WithPolicy(v.policy()))
}

// warm is the time after which a deployment is in its usual state.
const warm = 5 * time.Second

// Figure is one measured number.
type Figure struct {
	Name  string
	Value float64
}

// Figures are what one run measured, in order.
type Figures []Figure

// Get returns a figure by its name.
func (f Figures) Get(name string) float64 {
	for _, x := range f {
		if x.Name == name {
			return x.Value
		}
	}
	panic("sweep: no figure " + name)
}

func (f *Figures) add(name string, v float64) { *f = append(*f, Figure{name, v}) }

func (f *Figures) ms(name string, d time.Duration) { f.add(name, float64(d)/float64(time.Millisecond)) }

func (f *Figures) seconds(name string, d time.Duration) { f.add(name, d.Seconds()) }

// always adds what must hold in every run.
func (f *Figures) always(s *Sim) {
	f.add("overlaps", float64(len(s.Overlaps())))
	f.add("over", float64(s.Over()))
	f.add("retries", s.Requests(0, s.now).Retries)
}

// ratio returns a over b, or 0 if b is none.
func ratio(a, b time.Duration) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}
