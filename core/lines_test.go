package core_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"jayloft/fake"
)

// loggedEffects maps the traces of effects and events to the log line that the same
// step of the same process must emit.
var loggedEffects = []struct {
	effect *regexp.Regexp
	line   string
}{
	{regexp.MustCompile(`^core\.StartReply\{.*Started:false`), "start refused"},
	{regexp.MustCompile(`^core\.Control\{.* Verb:stop `), "run stopped"},
	{regexp.MustCompile(`^core\.Stop\{`), "stop ordered"},
	{regexp.MustCompile(`^core\.ServeReply\{.*Outcome:(refused|failed|unknown)`), "try answered"},
	{regexp.MustCompile(`^core\.Answer\{.*Outcome:(refused|failed|unknown)`), "request answered"},
	{regexp.MustCompile(`^core\.CommandReply\{.*Outcome:(refused|unknown|invalid)`), "command answered"},
	{regexp.MustCompile(`^core\.Launched\{.*Started:true`), "task started"},
}

// step is an event of a process and its effects, as traced by a World.
type step struct {
	who, event string
	effects    []string
}

// stepsOf returns the steps of a run.
func stepsOf(s script) []step {
	var steps []step
	last := map[string]int{}
	s.run(fake.Trace(func(_ time.Time, who, what string) {
		if ev, ok := strings.CutPrefix(what, "<- "); ok {
			last[who] = len(steps)
			steps = append(steps, step{who: who, event: ev})
			return
		}
		if eff, ok := strings.CutPrefix(what, "-> "); ok {
			i := last[who]
			steps[i].effects = append(steps[i].effects, eff)
		}
	}))
	return steps
}

// missing returns a message for each log line that a step lacks.
func (s step) missing() []string {
	var lines []string
	all := strings.Join(s.effects, "\n")
	for _, l := range loggedEffects {
		for _, what := range append([]string{s.event}, s.effects...) {
			if l.effect.MatchString(what) && !strings.Contains(all, "core.Note{Text:"+l.line) {
				lines = append(lines, fmt.Sprintf("%s: no line %q for %.200s", s.who, l.line, what))
			}
		}
	}
	return lines
}

// TestDecisionsAreLogged simulates random runs and requires a log line for each
// refusal, stop and start.
func TestDecisionsAreLogged(t *testing.T) {
	t.Parallel()
	runs := 8
	if testing.Short() {
		runs = 2
	}
	seen := map[string]int{}
	for seed := range runs {
		s := scripts.Example(seed)
		for _, st := range append(stepsOf(s), stepsOf(s.withSteps())...) {
			for _, m := range st.missing() {
				t.Fatalf("seed %d: %s", seed, m)
			}
			for _, l := range loggedEffects {
				for _, eff := range append([]string{st.event}, st.effects...) {
					if l.effect.MatchString(eff) {
						seen[l.line]++
					}
				}
			}
		}
	}
	for _, l := range loggedEffects {
		if seen[l.line] == 0 && !testing.Short() {
			t.Errorf("no run produced the line %q", l.line)
		}
	}
	t.Log(seen)
}
