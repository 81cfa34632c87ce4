package core_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayloft/core"
	"jayloft/fake"
)

// TestMain gives the fuzzing a fixed seed, unless one is named.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	defaults := map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.nofailfile": "true"}
	if testing.Short() {
		defaults["rapid.checks"] = "15"
	}
	for name, v := range defaults {
		if given[name] {
			continue
		}
		if err := flag.Set(name, v); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

// settleFor is how long a run may take to end all its tasks once the failures
// are over.
const settleFor = 10 * time.Minute

// script is a run of a World: a seed and what is done to it.
type script struct {
	Seed    uint64
	Entries int // zero: 3
	Workers int // zero: 6, in three data centres
	Actions []fake.Action
}

// run plays the script and returns what the oracle found.
func (s script) run(opts ...fake.Option) []fake.Violation {
	w := s.world(opts...)
	return w.Violations()
}

func (s script) world(opts ...fake.Option) *fake.World {
	size := []fake.Option{fake.Entries(cmp.Or(s.Entries, 3)), fake.Workers(cmp.Or(s.Workers, 6), 3)}
	w := fake.New(s.Seed, append(size, opts...)...)
	w.Run(3 * time.Second)
	for _, a := range s.Actions {
		if len(w.Violations()) > 0 {
			break
		}
		w.Do(a)
	}
	if len(w.Violations()) == 0 {
		w.Settle(settleFor)
	}
	return w
}

// String writes the script as a literal for the table in regress_test.go.
func (s script) String() string {
	text := fmt.Sprintf("script{Seed: %d, Entries: %d, Workers: %d, Actions: []fake.Action{\n", s.Seed, s.Entries, s.Workers)
	for _, a := range s.Actions {
		text += fmt.Sprintf("\t%#v,\n", a)
	}
	return text + "}}"
}

// reduce returns a shorter script that still fails in the same point.
func (s script) reduce(opts ...fake.Option) script {
	found := s.run(opts...)
	if len(found) == 0 {
		return s
	}
	for size := len(s.Actions) / 2; size > 0; size /= 2 {
		for i := 0; i+size <= len(s.Actions); {
			t := s
			t.Actions = append(append([]fake.Action{}, s.Actions[:i]...), s.Actions[i+size:]...)
			if less := t.run(opts...); len(less) > 0 && less[0].Point == found[0].Point {
				s = t
				continue
			}
			i += size
		}
	}
	return s
}

// TestFuzz plays random runs against the oracle.
func TestFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := scripts.Draw(t, "script")
		if found := s.run(); len(found) > 0 {
			t.Fatalf("%s\n%s", found[0], s)
		}
	})
}

// Seeds that TestSeeds plays.
var (
	fromSeed  = flag.Int("from", 0, "first seed of TestSeeds")
	manySeeds = flag.Int("seeds", 100, "number of seeds that TestSeeds plays")
)

// TestSeeds plays one run for each seed, several at a time, and prints the
// shortest script that fails in the same point. The mutants play these runs.
func TestSeeds(t *testing.T) {
	count := *manySeeds
	if testing.Short() {
		count = min(count, 10)
	}
	for i := range count {
		seed := *fromSeed + i
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			s := scripts.Example(seed)
			if found := s.run(); len(found) > 0 {
				t.Errorf("%v\n%s", found, s.reduce())
			}
		})
	}
}

// withSteps returns the script with jobs of steps in place of its other jobs.
func (s script) withSteps() script {
	s.Actions = slices.Clone(s.Actions)
	for i, a := range s.Actions {
		if sub, ok := a.(fake.Submit); ok && !sub.Once {
			sub.Steps = true
			s.Actions[i] = sub
		}
	}
	return s
}

// TestSeedsOfSteps plays the scripts of TestSeeds with jobs of steps.
func TestSeedsOfSteps(t *testing.T) {
	count := *manySeeds
	if testing.Short() {
		count = min(count, 10)
	}
	for i := range count {
		seed := *fromSeed + i
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			s := scripts.Example(seed).withSteps()
			if found := s.run(); len(found) > 0 {
				t.Errorf("%v\n%s", found, s.reduce())
			}
		})
	}
}

// TestMutantOfSteps requires that the same runs notice steps that don't wait.
func TestMutantOfSteps(t *testing.T) {
	for seed := range 50 {
		s := scripts.Example(seed).withSteps()
		if len(s.run(fake.CoreOptions(core.DisableGuard("steps")))) > 0 && len(s.run()) == 0 {
			return
		}
	}
	t.Error("50 runs without the order of steps found nothing")
}

// TestSame requires that the same run gives the same effects.
func TestSame(t *testing.T) {
	for seed := range 5 {
		s := scripts.Example(seed)
		assert.Equal(t, traceOf(s), traceOf(s))
	}
}

// traceOf returns every event and effect of a run.
func traceOf(s script) string {
	var b []byte
	s.run(fake.Trace(func(at time.Time, who, what string) {
		b = fmt.Appendf(b, "%s %s %s\n", at.Sub(fake.Epoch), who, what)
	}))
	return string(b)
}

// TestMutants requires that the fuzzing notices each protection that is off,
// by a run that finds nothing while it is on.
func TestMutants(t *testing.T) {
	if testing.Short() {
		t.Skip("takes long under the race detector, which has nothing to find in one goroutine")
	}
	const seeds = 400
	for _, name := range core.Guards {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				s := scripts.Example(seed)
				found := s.run(fake.CoreOptions(core.DisableGuard(name)))
				if len(found) > 0 && len(s.run()) == 0 {
					t.Logf("seed %d: %s", seed, found[0])
					return
				}
			}
			t.Errorf("without %s, %d runs found nothing", name, seeds)
		})
	}
}
