package core_test

import (
	"time"

	"pgregory.net/rapid"

	"jayloft/core"
	"jayloft/fake"
)

// segments generates a single action, or a scenario of several.
var segments = rapid.Custom(func(t *rapid.T) []fake.Action {
	if n(t, "scene", 7) < 7 {
		return []fake.Action{actions.Draw(t, "action")}
	}
	return rapid.SampledFrom(scenarios).Draw(t, "which")(t)
})

// scenarios are the coincidences of events that the protections guard against. They
// would be rare if their actions were drawn independently.
var scenarios = []func(t *rapid.T) []fake.Action{lateStart, lateOrder, lostVM, lateClaim, doubledStart, crowdedStart, doubledCall, doubledLookup, outage}

func seconds(t *rapid.T, name string, lo, hi int) time.Duration {
	return time.Duration(rapid.IntRange(lo*10, hi*10).Draw(t, name)) * time.Second / 10
}

func milliseconds(t *rapid.T, name string, hi int) time.Duration {
	return time.Duration(n(t, name, hi)) * time.Millisecond
}

func spread(t *rapid.T) fake.Action {
	return fake.Submit{
		Entry: n(t, "entry", 2), Tasks: 8, Urgent: rapid.Bool().Draw(t, "urgent"),
		Size: core.Size{Millicores: 900, MemoryMB: 500},
	}
}

// lateStart pauses an entry between its claims and its start orders while a data
// centre is drained whose agents can't receive the new configuration.
func lateStart(t *rapid.T) []fake.Action {
	late, dc := n(t, "late", 2), n(t, "dc", 2)
	d := seconds(t, "for", 5, 14)
	as := []fake.Action{
		fake.PauseEntry{Entry: late, On: "Start", For: d},
		fake.CutDC{DC: dc, Entry: late + 1, For: d + time.Second},
		fake.CutDC{DC: dc, Entry: late + 2, For: d + time.Second},
		spread(t), spread(t),
		fake.Wait{For: milliseconds(t, "wait", 300)},
		fake.Drain{Entry: late + 1, DC: dc},
		fake.Wait{For: d + time.Second},
	}
	return as
}

// lateOrder pauses an entry between its claims and its start orders while some of the
// VMs are restarted.
func lateOrder(t *rapid.T) []fake.Action {
	late, vm := n(t, "late", 2), n(t, "vm", 5)
	d := seconds(t, "for", 1, 2)
	as := []fake.Action{
		fake.PauseEntry{Entry: late, On: "Start", For: d},
		spread(t), spread(t),
		fake.Wait{For: milliseconds(t, "wait", 800)},
	}
	for i := range 3 {
		as = append(as, fake.KillVM{VM: vm + i, For: milliseconds(t, "off", 50)})
	}
	return append(as, fake.Wait{For: d + time.Second})
}

// lostVM disconnects a VM while it runs tasks.
func lostVM(t *rapid.T) []fake.Action {
	return []fake.Action{
		spread(t),
		fake.Wait{For: milliseconds(t, "wait", 2000)},
		fake.CutVM{VM: n(t, "vm", 5), Entry: -1, Way: direction(t), For: seconds(t, "for", 5, 60)},
		fake.Wait{For: seconds(t, "then", 5, 60)},
	}
}

// lateClaim pauses an entry before its claims reach the table, while one of the VMs
// is disconnected.
func lateClaim(t *rapid.T) []fake.Action {
	vm, late := n(t, "vm", 5), n(t, "late", 2)
	return []fake.Action{
		spread(t), spread(t),
		fake.Wait{For: seconds(t, "wait", 0, 2)},
		fake.CutVM{VM: vm, Entry: -1, For: seconds(t, "for", 10, 40)},
		fake.PauseEntry{Entry: late, On: "Commit job", For: seconds(t, "pause", 5, 14)},
		spread(t), spread(t),
		fake.Wait{For: seconds(t, "then", 5, 20)},
	}
}

// doubledStart duplicates and delays start orders while an agent and a VM restart.
func doubledStart(t *rapid.T) []fake.Action {
	vm := n(t, "vm", 5)
	return []fake.Action{
		fake.Net{Delay: milliseconds(t, "delay", 3000), Double: 0.6, For: seconds(t, "for", 5, 20)},
		fake.KillAgent{VM: vm, For: milliseconds(t, "down", 200)},
		fake.KillVM{VM: vm + 1, For: milliseconds(t, "off", 200)},
		spread(t),
		fake.Wait{For: milliseconds(t, "wait", 1000)},
		spread(t), spread(t), spread(t),
		fake.Wait{For: seconds(t, "then", 2, 20)},
	}
}

// crowdedStart makes all entries place tasks at once on workers that are nearly full,
// so that agents refuse orders. Duplicates of orders are in flight meanwhile, and
// cancelled jobs free room before and after.
func crowdedStart(t *rapid.T) []fake.Action {
	fill := func(entry int) fake.Action {
		return fake.Submit{
			Entry: entry, Tasks: 8, Size: core.Size{Millicores: 900, MemoryMB: 500}, Urgent: n(t, "urgent", 2) == 0,
		}
	}
	free := func() fake.Action {
		return fake.Cancel{Entry: n(t, "entry", 2), Last: rapid.IntRange(1, 3).Draw(t, "last")}
	}
	return []fake.Action{
		fill(0), fill(1), fill(2),
		fake.Wait{For: seconds(t, "wait", 1, 2)},
		fake.Net{Delay: seconds(t, "delay", 1, 2), Double: 0.6, For: 6 * time.Second},
		free(),
		fake.Wait{For: 200*time.Millisecond + milliseconds(t, "before", 400)},
		fill(0), fill(1), fill(2), fill(0),
		fake.Wait{For: 400*time.Millisecond + milliseconds(t, "after", 1000)},
		free(),
		fake.Wait{For: 5 * time.Second},
	}
}

// doubledCall duplicates and delays requests while agents restart.
func doubledCall(t *rapid.T) []fake.Action {
	return []fake.Action{
		fake.Net{Delay: milliseconds(t, "delay", 4000), Double: 0.6, For: 5 * time.Second},
		fake.KillAgent{VM: n(t, "vm", 5), On: "ServeReply", For: milliseconds(t, "down", 50)},
		fake.KillAgent{VM: n(t, "other", 5), On: "Call", For: milliseconds(t, "off", 50)},
		fake.Ask{Entry: n(t, "entry", 2), N: 40, Service: "order", Timeout: 2 * time.Second, Over: time.Second},
		fake.Wait{For: 5 * time.Second},
	}
}

// doubledLookup duplicates and delays idempotent requests under overload. Some of them
// are refused before agents restart.
func doubledLookup(t *rapid.T) []fake.Action {
	as := []fake.Action{
		fake.Net{Delay: 4 * time.Second, Double: 0.6, For: 6 * time.Second},
		fake.Ask{Entry: n(t, "entry", 2), N: 150, Service: "lookup", Timeout: 2 * time.Second, Over: time.Second},
		fake.Wait{For: milliseconds(t, "wait", 1500)},
	}
	vm := n(t, "vm", 5)
	for i := range 3 {
		as = append(as, fake.KillAgent{VM: vm + i, For: milliseconds(t, "off", 50)})
	}
	return append(as, fake.Wait{For: 6 * time.Second})
}

// outage makes the table unavailable while work goes on, for 5 to 40 s: often longer
// than a lease.
func outage(t *rapid.T) []fake.Action {
	d := seconds(t, "for", 5, 40)
	return []fake.Action{
		spread(t),
		fake.Wait{For: milliseconds(t, "wait", 1000)},
		fake.Store{Down: true, Late: float64(n(t, "late", 30)) / 100, For: d},
		fake.Wait{For: d + seconds(t, "then", 0, 5)},
	}
}
