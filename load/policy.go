package load

import (
	"fmt"
	"slices"
	"strings"

	"jayloft/core"
)

// policies are what -policy can name: the default one and baselines.
var policies = []struct {
	name, about string
	change      func(*core.Policy)
}{
	{"default", "as jayloft runs", func(*core.Policy) {}},
	{"noretry", "no retries and no hedges, but for the few that a budget begins with", func(p *core.Policy) {
		p.RetryShare, p.HedgeShare = 0, 0
	}},
	{"nohedge", "no hedges, but for the few that a budget begins with", func(p *core.Policy) { p.HedgeShare = 0 }},
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
