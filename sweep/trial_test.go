package sweep

import (
	"os"
	"strings"
	"testing"
	"time"
)

func TestAll(t *testing.T) {
	type c = struct {
		name string
		run  func(Site, Variant, uint64) Figures
		vs   []Variant
	}
	leases := []Variant{}
	for _, n := range []int{5, 10, 15, 30, 60, 120} {
		leases = append(leases, Lease(time.Duration(n)*time.Second))
	}
	for _, c := range []c{
		{"steady", Steady, []Variant{Default, Random, NoRetry}},
		{"overload", Overload, []Variant{Default, Random}},
		{"slow", SlowWorker, []Variant{Default, Random, NoRetry}},
		{"failing", FailingWorker, []Variant{Default, Random, NoRetry}},
		{"noisy", func(s Site, v Variant, n uint64) Figures { return Noisy(s, v, n, true) }, []Variant{Default, NoiseOff, NoiseSight, FirstFit}},
		{"nobatch", func(s Site, v Variant, n uint64) Figures { return Noisy(s, v, n, false) }, []Variant{Default}},
		{"urgent", Urgent, []Variant{Default, FirstFit}},
		{"out", Out, []Variant{Default, AtOnce, FirstFit}},
		{"down", PlatformDown, leases},
		{"killed", Killed, leases},
	} {
		if o := os.Getenv("ONLY"); o != "" && !strings.Contains(o, c.name) {
			continue
		}
		for _, site := range []Site{Fichero, Mwakalinga} {
			for _, v := range c.vs {
				at := time.Now()
				f := c.run(site, v, 1)
				t.Logf("%s %s %s (%.1fs): %.5v", c.name, site.Name, v.Name, time.Since(at).Seconds(), f)
			}
		}
	}
}
