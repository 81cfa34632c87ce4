package core_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/fake"
)

// recordedAfter returns how long after the end of a run an entry writes it to the table, and how
// long until its agent learns that. Faults begin just before the end; owner is the entry that
// ordered the run.
func recordedAfter(t *testing.T, seed uint64, cutOff bool, faults func(w *fake.World, owner int)) (toTable, toAgent time.Duration) {
	owner := -1
	var ended, written, forgotten time.Time
	isCut := func(who string) bool { return cutOff && int(who[1]-'0') == owner }
	trace := func(at time.Time, who, what string) {
		switch {
		case strings.HasPrefix(what, "-> core.Start{") && owner < 0:
			owner = int(who[1] - '0')
		case strings.HasPrefix(what, "-> core.Note{Text:run ended Subject:job0.0#1"):
			ended = at
		case strings.HasPrefix(what, "-> core.Commit{") && strings.Contains(what, "/job0 ") && !ended.IsZero() && written.IsZero() && !isCut(who):
			written = at
		case strings.HasPrefix(what, "-> core.Control{Attempt:job0.0#1 Verb:forget") && forgotten.IsZero():
			forgotten = at
		}
	}
	w := fake.New(seed, fake.Entries(5), fake.Workers(1, 1), fake.Discover(), fake.CoreOptions(core.WithPolicy(sitePolicy())),
		fake.Trace(trace), fake.Work(func(core.TaskID) time.Duration { return 4 * time.Second }))
	w.Run(8 * time.Second)
	w.Do(fake.Submit{Tasks: 1, Size: core.Size{Millicores: 1000, MemoryMB: 100}})
	for i := 0; i < 100 && owner < 0; i++ {
		w.Run(50 * time.Millisecond)
	}
	w.Run(3500 * time.Millisecond)
	faults(w, owner)
	w.Run(40 * time.Second)
	assert.Equal(t, len(w.Violations()), 0, "%v", w.Violations())
	assert.Assert(t, !forgotten.IsZero(), "the end was not recorded")
	assert.Assert(t, !written.IsZero())
	return written.Sub(ended), forgotten.Sub(ended)
}

// The owner of a job does not record an end, and one other home does not hear the agent.
func TestEndsAreRecordedWithoutTheirOwner(t *testing.T) {
	const long = 30 * time.Second
	for _, c := range []struct {
		name   string
		faults func(w *fake.World, owner, other int)
	}{
		{"owner cut from the worker", func(w *fake.World, owner, _ int) { w.Do(fake.CutVM{Entry: owner, For: long}) }},
		{"owner and another home cut from the worker", func(w *fake.World, owner, other int) {
			w.Do(fake.CutVM{Entry: owner, For: long})
			w.Do(fake.CutVM{Entry: other, For: long})
		}},
		{"owner cut from the store", func(w *fake.World, owner, _ int) { w.Do(fake.CutStore{Entry: owner, For: long}) }},
		{"owner cut from the store, another home from the worker", func(w *fake.World, owner, other int) {
			w.Do(fake.CutStore{Entry: owner, For: long})
			w.Do(fake.CutVM{Entry: other, For: long})
		}},
		{"owner cut from the worker, another home from the store", func(w *fake.World, owner, other int) {
			w.Do(fake.CutVM{Entry: owner, For: long})
			w.Do(fake.CutStore{Entry: other, For: long})
		}},
		{"owner killed", func(w *fake.World, owner, _ int) { w.Do(fake.KillEntry{Entry: owner, For: long}) }},
		{"owner killed, another home cut from the worker", func(w *fake.World, owner, other int) {
			w.Do(fake.KillEntry{Entry: owner, For: long})
			w.Do(fake.CutVM{Entry: other, For: long})
		}},
		{"owner and another home frozen", func(w *fake.World, owner, other int) {
			w.Do(fake.PauseEntry{Entry: owner, For: long})
			w.Do(fake.PauseEntry{Entry: other, For: long})
		}},
	} {
		var longest, agent time.Duration
		for other := range uint64(4) {
			d, e := recordedAfter(t, 1+other, strings.HasPrefix(c.name, "owner cut from the store"), func(w *fake.World, owner int) { c.faults(w, owner, (owner+1+int(other))%5) })
			longest, agent = max(longest, d), max(agent, e)
		}
		t.Logf("%-56s written after %s, known to the agent after %s", c.name, longest.Round(10*time.Millisecond), agent.Round(10*time.Millisecond))
		assert.Check(t, longest < 12*time.Second, "%s: recorded after %s", c.name, longest)
	}
}
