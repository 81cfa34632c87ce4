package load

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"jayloft/core"
	"jayloft/route"
)

// policies are what -policy can name: the default one and baselines.
var policies = []struct {
	name, about string
	change      func(*core.Policy)
}{
	{"default", "as jayloft runs", func(*core.Policy) {}},
	{"random", "requests go to random workers; none is ejected", func(p *core.Policy) { p.Route = route.Random }},
	{"firstfit", "the first worker with room gets a task", func(p *core.Policy) { p.FirstFit = true }},
	{"nolearn", "nothing is done about interference", func(p *core.Policy) { p.Impact = core.ImpactOff }},
	{"onsight", "a batch task is evicted at once where a service is slow", func(p *core.Policy) { p.Impact = core.ImpactEvict }},
	{"evictall", "a drain stops every task at once", func(p *core.Policy) { p.DrainAtOnce = true }},
	{"noretry", "no retries and no hedges, but for the few that a budget begins with", func(p *core.Policy) {
		p.RetryShare, p.HedgeShare = 0, 0
	}},
	{"nohedge", "no hedges, but for the few that a budget begins with", func(p *core.Policy) { p.HedgeShare = 0 }},
	{"lease5", "a lease of 5 s", func(p *core.Policy) { p.Lease = 5 * time.Second }},
	{"lease10", "a lease of 10 s", func(p *core.Policy) { p.Lease = 10 * time.Second }},
	{"lease25", "a lease of 25 s", func(p *core.Policy) { p.Lease = 25 * time.Second }},
	{"queue1", "one queued request for each slot", func(p *core.Policy) { p.QueuePerSlot = 1 }},
	{"noqueue", "no queues at the agents", func(p *core.Policy) { p.QueuePerSlot = 0 }},
}

// Policy returns the options of a named policy.
func Policy(name string) ([]core.Option, error) {
	p := core.DefaultPolicy()
	var names []string
	for _, q := range policies {
		if q.name == name {
			q.change(&p)
			return []core.Option{core.WithPolicy(p)}, nil
		}
		names = append(names, q.name)
	}
	slices.Sort(names)
	return nil, fmt.Errorf("there is no policy %q; there are %s", name, strings.Join(names, ", "))
}

// Policies lists the names of policies with their meanings, a line each.
func Policies() string {
	var b strings.Builder
	for _, q := range policies {
		fmt.Fprintf(&b, "    %-11s %s\n", q.name, q.about)
	}
	return b.String()
}
