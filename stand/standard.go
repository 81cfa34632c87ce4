package stand

import (
	"strings"
	"time"

	"jayloft/core"
	"jayloft/work"
)

// Running times of the example deployments' work on an idle VM.
const (
	lookupTime = 20 * time.Millisecond
	proofTime  = 60 * time.Millisecond
	watchTime  = 5 * time.Millisecond

	importTime      = 3 * time.Second // besides the lines
	importLineTime  = 20 * time.Millisecond
	cutPlanTime     = 4 * time.Second
	cutPlanSizeTime = 500 * time.Millisecond
	watchTaskTime   = 2 * time.Second
)

// Standard returns the classes and services of the example deployments: lookup
// over the slips and import, proof and cutplan, and printwatch as both. How
// much a class slows a service down depends on the pair.
func Standard(slips []work.Slip) []Option {
	ix := work.NewIndex(slips)
	return []Option{
		WithService("lookup", Service{
			Time: lookupTime, Spread: 0.5, Answer: ix.Answer,
			Noise: map[string]float64{"import": 1.2, "sleep": 0.5, "cutplan": 0.8, "printwatch": 0.1},
		}),
		WithService("proof", Service{
			Time: proofTime, Spread: 0.3, Answer: work.Proof,
			Noise: map[string]float64{"import": 0.3, "sleep": 0.5, "cutplan": 1.5, "printwatch": 0.2},
		}),
		WithService("printwatch", Service{
			Time: watchTime, Spread: 0.1, Answer: watchAnswer,
			Noise: map[string]float64{"cutplan": 0.2},
		}),
		WithClass("import", Class{Work: importWork, Used: importUse, Run: work.Import}),
		WithClass("cutplan", Class{Work: cutPlanWork, Run: work.CutPlan}),
		WithClass("printwatch", Class{Work: fixed(watchTaskTime), Run: work.PrintWatch}),
	}
}

func watchAnswer(body []byte) ([]byte, error) {
	out, err := work.PrintWatch(string(body))
	return []byte(out), err
}

func fixed(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

func importWork(text string) time.Duration {
	return importTime + time.Duration(strings.Count(text, "\n"))*importLineTime
}

// importUse returns half as many processors again as declared: imports declare
// too little.
func importUse(_ string, declared core.Size) core.Size {
	declared.Millicores += declared.Millicores / 2
	return declared
}

func cutPlanWork(run string) time.Duration {
	return cutPlanTime + time.Duration(1+strings.Count(run, ","))*cutPlanSizeTime
}
