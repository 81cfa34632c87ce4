package core

import (
	"maps"
	"net/netip"
	"slices"
	"sort"
	"time"
)

// beatTimeout is how long a beat may go unanswered before the next is sent.
const beatTimeout = 3 * time.Second

// beatDue sends a beat to each entry whose turn it is.
func (a *Agent) beatDue() {
	if !a.ready {
		return
	}
	for _, addr := range a.peerAddrs() {
		p := a.peers[addr]
		if p.inFlight && a.at.Now.Before(p.next.Add(beatTimeout)) || a.at.Now.Before(p.next) {
			continue
		}
		p.next = a.at.Now.Add(a.beatEvery())
		p.inFlight = true
		a.emit(SendBeat{Entry: addr, Heartbeat: a.beat()})
	}
}

// lowLease is the part of a lease that is left when beats become frequent, and
// hurry how many times as frequent: an echo takes two beats.
const (
	lowLease = 0.5
	hurry    = 4
)

// beatEvery returns the time to the next beat: less while the lease runs out, so
// that it is renewed soon after the table is back.
func (a *Agent) beatEvery() time.Duration {
	left := a.leaseEnd().Sub(a.at.Now)
	if left < time.Duration(lowLease*float64(a.pol.Lease)) {
		return a.pol.HeartbeatInterval / hurry
	}
	return a.pol.HeartbeatInterval
}

// lapsed reports whether there is no lease to start tasks under.
func (a *Agent) lapsed() bool { return a.pol.on(guardLease) && !a.leaseEnd().After(a.at.Now) }

// beatSoon makes the next beats due now, to report an end early.
func (a *Agent) beatSoon() {
	for _, p := range a.peers {
		if !p.inFlight {
			p.next = a.at.Now
		}
	}
}

func (a *Agent) peerAddrs() []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(a.peers))
	for addr := range a.peers {
		addrs = append(addrs, addr)
	}
	sort.Slice(addrs, func(i, j int) bool { return addrs[i].Compare(addrs[j]) < 0 })
	return addrs
}

// beat returns what the agent says about its VM.
func (a *Agent) beat() Heartbeat {
	b := Heartbeat{
		Worker: a.self.Worker, Inc: a.inc, Run: a.self.Run, Addr: a.self.Addr,
		DC: a.self.DC, Rack: a.rack, Labels: a.labels, Sent: a.at.Now,
		Capacity: a.capacity, Committed: a.committed(), Batch: a.batch(), Used: a.used,
		Slots: a.slots, Services: a.serve.loads(a.services, a.at.Now),
		Config: a.config.rev, Leaving: a.closed() || a.workerQuiet(),
		LeaseLapsed: a.lapsed(),
	}
	b.Window, b.TailLatencies, b.BestEffort, b.Slowed = a.windows, a.tails, a.reportedMix(), a.slowed()
	for _, t := range a.heldInOrder() {
		b.Running = append(b.Running, t.order.Attempt)
		if t.order.Target > 0 {
			b.TargetedTasks++
		}
		if t.order.LongRunning {
			b.LongRunning += t.order.Size.Millicores
		}
	}
	b.Mix = a.mix()
	for _, e := range a.ends {
		b.Ends = append(b.Ends, e)
	}
	sort.Slice(b.Ends, func(i, j int) bool { return lessAttempt(b.Ends[i].Attempt, b.Ends[j].Attempt) })
	b.Dead = slices.Sorted(maps.Keys(a.gone))
	return b
}

// reportedMix returns the smoothed fillers, by image.
func (a *Agent) reportedMix() []BestEffortLoad {
	var ls []BestEffortLoad
	for _, image := range slices.Sorted(maps.Keys(a.fillerMix)) {
		ls = append(ls, BestEffortLoad{Image: image, Millicores: int64(a.fillerMix[image])})
	}
	return ls
}

// mix counts the batch tasks by class.
func (a *Agent) mix() []ClassLoad {
	n := map[string]ClassLoad{}
	for _, t := range a.held {
		if !t.order.Urgent && t.started {
			c := n[t.order.Class]
			c.Class = t.order.Class
			c.Running++
			n[t.order.Class] = c
		}
	}
	mix := slices.Collect(maps.Values(n))
	sort.Slice(mix, func(i, j int) bool { return mix[i].Class < mix[j].Class })
	return mix
}

// ease changes the speed of tasks that disturb a service.
func (a *Agent) ease(es []Throttle) {
	for _, s := range es {
		t, ok := a.held[s.Attempt.Task]
		if !ok || t.order.Attempt != s.Attempt || !t.started || t.stopping != "" || t.percent == s.Percent {
			continue
		}
		t.percent = s.Percent
		a.emit(Control{Attempt: s.Attempt, Verb: VerbThrottle, Percent: s.Percent})
	}
}

// beatAnswered takes an entry's answer.
func (a *Agent) beatAnswered(ev HeartbeatAnswered) {
	p, ok := a.peers[ev.Entry]
	if !ok {
		return
	}
	p.inFlight = false
	if ev.Fault != FaultNone {
		a.count("beat", ReasonCut)
		return
	}
	p.answered, a.answeredAt = a.at.Now, a.at.Now
	ans := ev.Answer
	a.applyConfig(ans)
	if len(ans.Entries) > 0 {
		a.learnEntries(append(ans.Entries, ev.Entry))
	}
	for _, t := range ans.Recorded {
		a.recorded(t)
	}
	a.ease(ans.Throttles)
	if len(ans.Interference) > 0 {
		a.press = ans.Interference
	}
	if ans.Checkpoint > 0 {
		a.pol.CheckpointInterval = ans.Checkpoint
	}
	for _, t := range ans.Moved {
		a.dropMoved(t)
	}
	if a.mayVouch(ans.Prior) && !a.gone[ans.Prior] {
		a.gone[ans.Prior] = true
		a.beatSoon()
	}
	if ev.Sent.Before(a.joined) {
		return // meant for an earlier incarnation
	}
	if ans.Fenced {
		a.fence()
		return
	}
	a.extend(ans.Echo)
}

// extend renews the leases of the VM's tasks from a newer echo.
func (a *Agent) extend(echo time.Time) {
	if a.fenced || !echo.After(a.echo) || echo.After(a.at.Now) || echo.Before(a.joined) {
		return
	}
	if a.lapsed() {
		a.tell("lease renewed", string(a.inc), "held", len(a.held))
		a.beatSoon()
	}
	a.echo = echo
	if a.workerQuiet() {
		return
	}
	var ts []Attempt
	for _, t := range a.heldInOrder() {
		if t.started && t.stopping == "" {
			t.extend(a.leaseEnd())
			ts = append(ts, t.order.Attempt)
		}
	}
	if len(ts) > 0 {
		a.emit(Renew{Attempts: ts, Deadline: a.leaseEnd()})
	}
}

// fence stops all that this incarnation holds: its claims are being moved.
func (a *Agent) fence() {
	if !a.fenced {
		a.note("fenced", string(a.inc), "claims move elsewhere")
		a.count("fence", ReasonIncarnation)
	}
	a.fenced = true
	for _, t := range a.heldInOrder() {
		t.moved = true
		a.stop(t, EndCancelled, "fenced")
	}
	a.rejoin()
}

// rejoin takes a new incarnation once a fenced one holds nothing.
func (a *Agent) rejoin() {
	if a.fenced && len(a.held) == 0 {
		a.renew()
	}
}

func (a *Agent) applyConfig(ans HeartbeatAnswer) {
	if ans.Config == 0 {
		return
	}
	for _, err := range a.config.apply(ans.Rows, ans.Config, ans.Full, a.pol.on(guardConfig)) {
		a.note("configuration row passed over", "", err.Error())
	}
	if row, ok := a.config.policy("queue"); ok {
		a.pol.set("queue", row)
	}
}

// learnEntries replaces the known entries; those of the settings stay.
func (a *Agent) learnEntries(addrs []netip.AddrPort) {
	if len(addrs) == 0 {
		return
	}
	keep := map[netip.AddrPort]bool{}
	for _, addr := range append(addrs, a.self.Entries...) {
		keep[addr] = true
		if a.peers[addr] == nil {
			a.peers[addr] = &beatPeer{next: a.at.Now}
		}
	}
	for addr := range a.peers {
		if !keep[addr] {
			delete(a.peers, addr)
		}
	}
}

const (
	// findAfter is how long no entry may answer until their rows are read.
	findAfter = 3 * time.Second
	// findEvery is the least time between two such reads.
	findEvery = time.Second
)

// findDue reads the rows of entries when none answers.
func (a *Agent) findDue() {
	lonely := len(a.peers) == 0 || a.at.Now.Sub(latest(a.answeredAt, a.began)) > findAfter
	if !a.pol.FindEntries || !lonely || a.at.Now.Before(a.nextFind) {
		return
	}
	a.nextFind = a.at.Now.Add(findEvery)
	a.emit(ReadEntries{})
}

// entriesRead takes the rows of entries. Some may be of dead ones; those don't
// answer, and the answers of the others name the live ones.
func (a *Agent) entriesRead(ev EntriesRead) {
	if ev.Fault != FaultNone {
		a.count("store.read", ReasonStore)
		return
	}
	var addrs []netip.AddrPort
	for _, r := range ev.View.Rows {
		rec, err := Decode(r.Key, r.Value)
		if err != nil {
			a.note("entry row passed over", r.Key, err.Error())
			continue
		}
		row, _ := rec.(EntryRow)
		addr, err := netip.ParseAddrPort(row.Addr)
		if err != nil {
			a.note("entry row without an address", r.Key, err.Error())
			continue
		}
		addrs = append(addrs, addr)
	}
	a.learnEntries(addrs)
}

// recorded forgets an end that the table holds.
func (a *Agent) recorded(t Attempt) {
	if _, ok := a.ends[t]; !ok {
		return
	}
	delete(a.ends, t)
	a.tombstones[t] = a.at.Now.Add(a.pol.Permit + time.Second)
	a.emit(Control{Attempt: t, Verb: VerbForget})
}

// dropMoved stops an attempt whose claim is no longer its own.
func (a *Agent) dropMoved(t Attempt) {
	a.recorded(t)
	held, ok := a.held[t.Task]
	if !ok || held.order.Attempt != t {
		return
	}
	held.moved = true
	a.count("evict", ReasonTombstone)
	a.stop(held, EndCancelled, "claim moved")
}
