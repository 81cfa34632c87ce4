package core_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/fake"
)

// Entries that are short of processor time must not spend it on events that exist only because
// they are late: queries about attempts that run, and orders that are refused.
func TestBusyEntriesSpendTheirTimeOnStarts(t *testing.T) {
	spent := map[string]time.Duration{}
	number := map[string]int{}
	effects := map[string]int{}
	tried := map[fake.EntryReducer]int{}
	cost := fake.EntryCost(func(r fake.EntryReducer, ev core.EntryEvent) time.Duration {
		n := r.(*core.Entry).Tried()
		search := time.Duration(n-tried[r]) * placementCost
		tried[r] = n
		own := answerCost
		switch ev.(type) {
		case core.HeartbeatReceived:
			own = heartbeatCost
		case core.Tick:
			own = tickCost
		}
		kind := fmt.Sprintf("%T", ev)
		spent[kind] += own
		number[kind]++
		spent["searches"] += search
		return own + search
	})
	count := fake.Trace(func(_ time.Time, who, what string) {
		if strings.HasPrefix(who, "e") && strings.HasPrefix(what, "-> core.") && !strings.HasPrefix(what, "-> core.Note") {
			name, _, _ := strings.Cut(what[3:], "{")
			effects[name]++
		}
	})
	p := sitePolicy()
	p.Homes = 9
	w := fake.New(0, fake.Entries(9), fake.Workers(50, 3), fake.Discover(), fake.CoreOptions(core.WithPolicy(p)),
		busyWork, cost, count, fake.Capacity(core.Size{Millicores: 32000, MemoryMB: 128000}, 8))
	w.Run(5 * time.Second)
	w.Do(fake.Submit{Tasks: 48, LongRunning: true, Size: core.Size{Millicores: 2500, MemoryMB: 1000}, Class: "api"})
	w.Run(5 * time.Second)
	clear(spent)
	clear(number)
	clear(effects)
	for i := range 250 {
		w.Do(fake.Submit{Entry: i, Tasks: 16, Steps: true, Size: core.Size{Millicores: 600, MemoryMB: 100}})
		if i%3 == 0 {
			w.Do(fake.Submit{Entry: i, Tasks: 40, Steps: true, Size: core.Size{Millicores: 3500, MemoryMB: 100}})
		}
		w.Run(time.Second / 10)
	}
	for _, k := range slices.Sorted(maps.Keys(spent)) {
		t.Logf("%-26s %6d events %9s, %2.0f %% of the entries' time", k, number[k], spent[k].Round(time.Millisecond), 100*spent[k].Seconds()/(9*25))
	}
	for _, k := range slices.Sorted(maps.Keys(effects)) {
		t.Logf("%-26s %6d", k, effects[k])
	}
	t.Logf("%d ends, %d orders refused, %d conflicts", w.Counts()["end done"], w.Counts()["restart room"], w.Counts()["conflict store"])
	assert.Assert(t, effects["core.Settle"]*10 <= effects["core.Start"], "%d queries about attempts, %d orders", effects["core.Settle"], effects["core.Start"])
}
