package core_test

import (
	"strconv"
	"testing"
)

// TestRegressSeeds checks seeds of the scripts of TestSeeds and its variants that have failed.
func TestRegressSeeds(t *testing.T) {
	tests := []struct {
		variant func(script) script
		seeds   []int
		cause   string
	}{
		{
			variant: func(s script) script { return s }, seeds: []int{20245, 40037},
			cause: "one transaction wrote a job's row twice",
		},
		{
			variant: script.withSteps, seeds: []int{20069, 40022},
			cause: "one transaction wrote a job's row twice",
		},
		{
			variant: script.withCrashes, seeds: []int{20090},
			cause: "one transaction wrote a job's row twice",
		},
		{
			variant: script.withSteps, seeds: []int{20108, 20248, 40155, 40279},
			cause: "steps waited for ever behind tasks that were parked",
		},
	}
	for _, tc := range tests {
		for _, seed := range tc.seeds {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				if found := tc.variant(scripts.Example(seed)).run(); len(found) > 0 {
					t.Errorf("%s: %v", tc.cause, found)
				}
			})
		}
	}
}
