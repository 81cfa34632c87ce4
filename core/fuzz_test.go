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

// TestMain fixes the seed and the number of random runs unless flags set them.
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

// settleTimeout bounds the time in which all tasks of a run must end after its faults
// are over.
const settleTimeout = 10 * time.Minute

// script describes a run of a World: its seed, its size and the actions on it.
type script struct {
	Seed    uint64
	Entries int // zero: 3
	Workers int // zero: 6, in three data centres
	Actions []fake.Action
}

// run simulates the script and returns the violations that the oracle found.
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
		w.Settle(settleTimeout)
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

// reduce returns a shorter script that still violates the same property.
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

// TestFuzz checks random scripts with the oracle.
func TestFuzz(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := scripts.Draw(t, "script")
		if found := s.run(); len(found) > 0 {
			t.Fatalf("%s\n%s", found[0], s)
		}
	})
}

// Seeds of TestSeeds.
var (
	firstSeed = flag.Int("from", 0, "first seed of TestSeeds")
	seedCount = flag.Int("seeds", 100, "number of seeds of TestSeeds")
)

// TestSeeds checks one script for each seed, several in parallel, and prints a reduced
// script for a failing one. TestMutants uses the same scripts.
func TestSeeds(t *testing.T) {
	t.Parallel()
	count := *seedCount
	if testing.Short() {
		count = min(count, 10)
	}
	for i := range count {
		seed := *firstSeed + i
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			s := scripts.Example(seed)
			if found := s.run(); len(found) > 0 {
				t.Errorf("%v\n%s", found, s.reduce())
			}
		})
	}
}

// withSteps returns the script with jobs of steps in place of all but its run-once
// jobs.
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

// eachSeed runs a test for each of some seeds, in a subtest of its own. They run in parallel with
// each other and with other tests: a World shares no state with another one.
func eachSeed(t *testing.T, seeds int, test func(t *testing.T, seed uint64)) {
	t.Helper()
	t.Parallel()
	for seed := range uint64(seeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			test(t, seed)
		})
	}
}

// shortSeeds is the number of seeds of a short test.
const shortSeeds = 10

// checkVariant checks one variant of the scripts of TestSeeds, in a subtest for each seed. It
// prints a reduced script for a failing one.
func checkVariant(t *testing.T, variant func(script) script, opts ...fake.Option) {
	t.Helper()
	t.Parallel()
	count := *seedCount
	if testing.Short() {
		count = min(count, shortSeeds)
	}
	for i := range count {
		seed := *firstSeed + i
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			s := variant(scripts.Example(seed))
			if found := s.run(opts...); len(found) > 0 {
				t.Errorf("%v\n%s", found, s.reduce(opts...))
			}
		})
	}
}

// withRefusals returns the script with links that refuse connections in place of cuts.
func (s script) withRefusals() script {
	s.Actions = slices.Clone(s.Actions)
	for i, a := range s.Actions {
		switch a := a.(type) {
		case fake.CutVM:
			s.Actions[i] = fake.Refuse{Of: fake.TargetWorker, N: a.VM, For: a.For}
		case fake.CutDC:
			s.Actions[i] = fake.Refuse{Of: fake.TargetAgent, N: a.DC, For: a.For}
		case fake.CutEntries:
			s.Actions[i] = fake.Refuse{Of: fake.TargetEntry, N: a.A, For: a.For}
		case fake.CutStore:
			s.Actions[i] = fake.Refuse{Of: fake.TargetStore, For: a.For}
		}
	}
	return s
}

// TestSeedsOfRefusals checks the scripts of TestSeeds with links that refuse connections to
// processes that run on, where they have cuts without an answer.
func TestSeedsOfRefusals(t *testing.T) { checkVariant(t, script.withRefusals) }

// TestSeedsOfSteps checks the scripts of TestSeeds with jobs of steps.
func TestSeedsOfSteps(t *testing.T) { checkVariant(t, script.withSteps) }

// TestMutantOfSteps checks that the same scripts detect steps that don't wait for the
// steps before them.
func TestMutantOfSteps(t *testing.T) {
	t.Parallel()
	for seed := range 50 {
		s := scripts.Example(seed).withSteps()
		if len(s.run(fake.CoreOptions(core.DisableGuard("steps")))) > 0 && len(s.run()) == 0 {
			return
		}
	}
	t.Error("50 runs without the order of steps found no violation")
}

// TestDeterminism checks that two runs of one script have the same events and effects.
func TestDeterminism(t *testing.T) {
	t.Parallel()
	for seed := range 5 {
		s := scripts.Example(seed)
		assert.Equal(t, trace(s), trace(s))
	}
}

// trace returns all events and effects of a run.
func trace(s script) string {
	var b []byte
	s.run(fake.Trace(func(at time.Time, who, what string) {
		b = fmt.Appendf(b, "%s %s %s\n", at.Sub(fake.Epoch), who, what)
	}))
	return string(b)
}

// TestMutants checks that the fuzzing detects each protection that is disabled, by a
// script that finds no violation while the protection is enabled.
func TestMutants(t *testing.T) {
	if testing.Short() {
		t.Skip("slow under the race detector, which has nothing to detect in one goroutine")
	}
	t.Parallel()
	const seeds = 600
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
			t.Errorf("without %s, %d runs found no violation", name, seeds)
		})
	}
}
