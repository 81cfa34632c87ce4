package load

import (
	"fmt"
	"strings"

	"jayloft/config"
	"jayloft/core"
	"jayloft/stand"
)

// finder collects what is wrong with an experiment.
type finder struct{ found config.Findings }

func (f *finder) addf(format string, args ...any) {
	f.found = append(f.found, config.Finding{Line: 1, Column: 1, Text: fmt.Sprintf(format, args...)})
}

// findings returns what is wrong, by the names of the keys.
func (x *Experiment) findings() config.Findings {
	f := &finder{}
	if x.Name == "" {
		f.addf("name is missing")
	}
	if x.Site != "fichero" && x.Site != "mwakalinga" {
		f.addf("site is %q; want fichero or mwakalinga", x.Site)
	}
	if x.length() > MaxLength {
		f.addf("the run takes %s; the most is %s", x.length(), MaxLength)
	}
	loads := x.checkLoads(f)
	x.checkJobs(f)
	x.checkFaults(f)
	phases := x.checkPhases(f)
	for i, c := range x.Checks {
		for _, text := range c.findings(loads, phases) {
			f.addf("checks[%d]: %s", i, text)
		}
	}
	return f.found
}

// checkLoads returns the names of the loads.
func (x *Experiment) checkLoads(f *finder) map[string]bool {
	requests, names := 0.0, map[string]bool{}
	for i, l := range x.Loads {
		requests += l.Rate * l.For.D().Seconds()
		if l.Rate <= 0 || l.For <= 0 || l.From < 0 || l.Callers < 0 {
			f.addf("loads[%d]: rate and for must be above 0, from and callers not below", i)
		}
		if l.Name == "" || names[l.Name] {
			f.addf("loads[%d]: want a name of its own", i)
		}
		names[l.Name] = true
	}
	if requests > MaxRequests {
		f.addf("%.0f requests; the most is %d", requests, MaxRequests)
	}
	return names
}

func (x *Experiment) checkJobs(f *finder) {
	if n := x.tasks(); n > MaxTasks {
		f.addf("%d tasks; the most is %d", n, MaxTasks)
	}
	for i, j := range x.Jobs {
		if j.Name == "" || j.Tasks > core.MaxTasks {
			f.addf("jobs[%d]: want a name and at most %d tasks", i, core.MaxTasks)
		}
	}
}

func (x *Experiment) checkFaults(f *finder) {
	for i, t := range x.Faults {
		if t.On == "" || t.Name == "" {
			f.addf("faults[%d]: want on and name", i)
		}
		if strings.HasPrefix(t.On, entryPrefix) && t.Name != string(stand.FaultKill) {
			f.addf("faults[%d]: an entry has the fault kill only", i)
		}
	}
}

// checkPhases returns the names of the phases; the empty one is the whole run.
func (x *Experiment) checkPhases(f *finder) map[string]bool {
	names := map[string]bool{"": true}
	for i, p := range x.Phases {
		if p.To <= p.From || p.Name == "" {
			f.addf("phases[%d]: want a name, and to after from", i)
		}
		names[p.Name] = true
	}
	return names
}
