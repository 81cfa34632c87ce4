package core_test

import (
	"time"

	"pgregory.net/rapid"

	"jayloft/core"
	"jayloft/fake"
)

// scripts generates scripts of 8 to 30 segments.
var scripts = rapid.Custom(func(t *rapid.T) script {
	s := script{
		Seed:    rapid.Uint64Max(1<<20).Draw(t, "seed"),
		Entries: rapid.SampledFrom([]int{3, 3, 2, 1, 4}).Draw(t, "entries"),
		Workers: rapid.SampledFrom([]int{6, 6, 3, 4, 7}).Draw(t, "workers"),
	}
	for _, as := range rapid.SliceOfN(segments, 8, 30).Draw(t, "segments") {
		s.Actions = append(s.Actions, as...)
	}
	return s
})

// actions generates single actions. Waits are frequent, so that faults overlap with
// work in each of its stages.
var actions = rapid.Custom(func(t *rapid.T) fake.Action {
	kind := rapid.SampledFrom(weightedActions).Draw(t, "kind")
	return kind(t)
})

type actionGen func(t *rapid.T) fake.Action

var weightedActions = repeatByWeight(map[int][]actionGen{
	6: {wait},
	5: {submit, ask},
	2: {drain, pauseEntry, pauseAgent, killEntry, cutVM, store},
	1: {cancel, returnDC, race, setPolicy, quota, leaveEntry, killAgent, leaveAgent,
		killVM, pauseVM, faultyWorker, cutDC, cutStore, cutEntries, network, objects},
})

func repeatByWeight(m map[int][]actionGen) []actionGen {
	var s []actionGen
	for _, n := range []int{6, 5, 2, 1} {
		for range n {
			s = append(s, m[n]...)
		}
	}
	return s
}

func n(t *rapid.T, name string, limit int) int { return rapid.IntRange(0, limit).Draw(t, name) }

// duration draws a duration: short ones provoke races, long ones let leases lapse.
func duration(t *rapid.T) time.Duration {
	if rapid.Bool().Draw(t, "long") {
		return time.Duration(rapid.IntRange(1, 30).Draw(t, "s")) * time.Second
	}
	return time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond
}

func wait(t *rapid.T) fake.Action { return fake.Wait{For: duration(t)} }

var sizes = []core.Size{
	{Millicores: 500, MemoryMB: 500},
	{Millicores: 1000, MemoryMB: 2000},
	{Millicores: 1500, MemoryMB: 1000, Accelerators: 1},
	{Millicores: 2900, MemoryMB: 6500},
	{Millicores: 9000, MemoryMB: 1000}, // fits nowhere
}

func submit(t *rapid.T) fake.Action {
	return fake.Submit{
		Entry:  n(t, "entry", 2),
		Tasks:  rapid.IntRange(1, 8).Draw(t, "tasks"),
		Size:   rapid.SampledFrom(sizes).Draw(t, "size"),
		Class:  rapid.SampledFrom([]string{"cut", "cut", "import", fake.ClassBad}).Draw(t, "class"),
		Urgent: n(t, "urgent", 3) == 3,
		Once:   n(t, "once", 3) == 3,
	}
}

func ask(t *rapid.T) fake.Action {
	return fake.Ask{
		Entry:      n(t, "entry", 2),
		N:          rapid.IntRange(1, 40).Draw(t, "n"),
		Service:    rapid.SampledFrom([]string{"lookup", "order", "order", "none"}).Draw(t, "service"),
		Idempotent: n(t, "idempotent", 4) == 4,
		Timeout:    time.Duration(rapid.IntRange(50, 2000).Draw(t, "timeout")) * time.Millisecond,
		Gone:       n(t, "gone", 5) == 5,
		Over:       duration(t),
	}
}

func cancel(t *rapid.T) fake.Action {
	return fake.Cancel{Entry: n(t, "entry", 2), Last: rapid.IntRange(1, 5).Draw(t, "last")}
}

func drain(t *rapid.T) fake.Action {
	return fake.Drain{Entry: n(t, "entry", 2), DC: n(t, "dc", 2), In: duration(t)}
}

func returnDC(t *rapid.T) fake.Action {
	return fake.Return{Entry: n(t, "entry", 2), DC: n(t, "dc", 2)}
}

func race(t *rapid.T) fake.Action {
	return fake.Race{DC: n(t, "dc", 2), If: rapid.Bool().Draw(t, "if")}
}

func setPolicy(t *rapid.T) fake.Action {
	return fake.SetPolicy{Entry: n(t, "entry", 2), Value: n(t, "value", 100)}
}

// quota sets a team's quota to at least the size of the largest task that fits a VM.
func quota(t *rapid.T) fake.Action {
	return fake.SetQuota{Entry: n(t, "entry", 2), Millicores: 3000 * rapid.Int64Range(2, 6).Draw(t, "millicores")}
}

var entryTriggers = []string{"", "", "Commit job", "Commit config", "Start", "Serve", "CommandReply", "BeatReply", "Revoke", "ReadChanges"}

func killEntry(t *rapid.T) fake.Action {
	return fake.KillEntry{Entry: n(t, "entry", 2), On: rapid.SampledFrom(entryTriggers).Draw(t, "on"), For: duration(t)}
}

func pauseEntry(t *rapid.T) fake.Action {
	return fake.PauseEntry{Entry: n(t, "entry", 2), On: rapid.SampledFrom(entryTriggers).Draw(t, "on"), For: duration(t)}
}

func leaveEntry(t *rapid.T) fake.Action { return fake.LeaveEntry{Entry: n(t, "entry", 2)} }

var agentTriggers = []string{"", "", "Launch", "Renew", "Call", "StartReply", "SettleReply", "ServeReply", "SendBeat"}

func killAgent(t *rapid.T) fake.Action {
	return fake.KillAgent{VM: n(t, "vm", 5), On: rapid.SampledFrom(agentTriggers).Draw(t, "on"), For: duration(t)}
}

func pauseAgent(t *rapid.T) fake.Action {
	return fake.PauseAgent{VM: n(t, "vm", 5), On: rapid.SampledFrom(agentTriggers).Draw(t, "on"), For: duration(t)}
}

func leaveAgent(t *rapid.T) fake.Action { return fake.LeaveAgent{VM: n(t, "vm", 5)} }
func killVM(t *rapid.T) fake.Action     { return fake.KillVM{VM: n(t, "vm", 5), For: duration(t)} }
func pauseVM(t *rapid.T) fake.Action    { return fake.PauseVM{VM: n(t, "vm", 5), For: duration(t)} }

func faultyWorker(t *rapid.T) fake.Action {
	return fake.Unwell{VM: n(t, "vm", 5), Slow: rapid.Bool().Draw(t, "slow"), For: duration(t)}
}

func direction(t *rapid.T) fake.Way { return fake.Way(n(t, "way", 2)) }

func cutVM(t *rapid.T) fake.Action {
	return fake.CutVM{VM: n(t, "vm", 5), Entry: n(t, "entry", 4) - 2, Way: direction(t), For: duration(t)}
}

func cutDC(t *rapid.T) fake.Action {
	return fake.CutDC{DC: n(t, "dc", 2), Entry: n(t, "entry", 5) - 3, Way: direction(t), For: duration(t)}
}

func cutStore(t *rapid.T) fake.Action {
	return fake.CutStore{Entry: n(t, "entry", 3) - 1, Way: direction(t), For: duration(t)}
}

func cutEntries(t *rapid.T) fake.Action {
	return fake.CutEntries{A: n(t, "a", 2), B: n(t, "b", 2), Way: direction(t), For: duration(t)}
}

func network(t *rapid.T) fake.Action {
	return fake.Net{
		Delay:  time.Duration(n(t, "delay", 4000)) * time.Millisecond,
		Drop:   float64(n(t, "drop", 30)) / 100,
		Double: float64(n(t, "double", 50)) / 100,
		For:    duration(t),
	}
}

func store(t *rapid.T) fake.Action {
	return fake.Store{
		Down: n(t, "down", 2) == 2,
		Slow: time.Duration(n(t, "slow", 3000)) * time.Millisecond,
		Lose: float64(n(t, "lose", 60)) / 100,
		Late: float64(n(t, "late", 30)) / 100,
		For:  duration(t),
	}
}

func objects(t *rapid.T) fake.Action { return fake.Objects{For: duration(t)} }
