package core

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayloft/table"
)

// entryPeer is an entry that the agent sends heartbeats to.
type entryPeer struct {
	next       time.Time // when the next heartbeat is due
	sentAt     time.Time // when the last one was sent
	inFlight   bool
	answeredAt time.Time
	answerTime time.Duration // of the last answered heartbeat
	namedAt    time.Time     // when an entry last named it as a home; zero if none has
	since      time.Time     // when it became a peer
}

const (
	// heartbeatTimeout is how long a heartbeat may go unanswered before the next one is
	// sent.
	heartbeatTimeout = 3 * time.Second
	// namedTimeout is how long an entry stays a peer after it was last named as a home.
	// Answers of entries with different views of the homes name different ones.
	namedTimeout = 2 * time.Second
	// unheardAfter is how long a home must not have answered to be listed in
	// Heartbeat.Unheard.
	unheardAfter = 2 * time.Second
	// reportInterval is the minimum time between two heartbeats to an entry that report
	// changes of tasks which other entries have ordered.
	reportInterval = 100 * time.Millisecond
	// answerTimeRest is the rest between two such heartbeats, as a multiple of the time that
	// the entry took to answer the last one: one that is behind is to catch up.
	answerTimeRest = 4
)

// advanceHeartbeats sends a heartbeat to each entry that is due one.
func (a *Agent) advanceHeartbeats() {
	if !a.ready {
		return
	}
	a.dropPeers()
	var hb *Heartbeat // the same for all peers
	for _, addr := range a.peerAddrs() {
		p := a.peers[addr]
		if p.awaitsAnswer(a.at.Now) || a.at.Now.Before(p.next) {
			continue
		}
		if hb == nil {
			b := a.heartbeat()
			hb = &b
		}
		p.next, p.sentAt, p.inFlight = a.at.Now.Add(a.heartbeatInterval()), a.at.Now, true
		a.emit(SendBeat{Entry: addr, Heartbeat: *hb})
	}
}

// awaitsAnswer reports whether a heartbeat is in flight that may still be answered.
func (p *entryPeer) awaitsAnswer(now time.Time) bool {
	return p.inFlight && now.Before(p.sentAt.Add(heartbeatTimeout))
}

// expediteHeartbeats makes the next heartbeats due now, to report a change without delay.
func (a *Agent) expediteHeartbeats() {
	for _, p := range a.peers {
		p.next = earliest(p.next, a.at.Now)
	}
}

// reportEnd expedites the report of a task's end: at once to the entry that ordered the task,
// which waits for it, and soon to the others, which only see other free resources.
func (a *Agent) reportEnd(by netip.AddrPort) {
	a.reportSoon()
	if p := a.peers[by]; p != nil {
		p.next = earliest(p.next, a.at.Now)
	}
}

// reportSoon expedites the report of a change to each entry, once that has had time to handle
// the last report.
func (a *Agent) reportSoon() {
	for _, p := range a.peers {
		due := latest(a.at.Now, p.sentAt.Add(reportInterval+answerTimeRest*p.answerTime))
		p.next = earliest(p.next, due)
	}
}

func (a *Agent) peerAddrs() []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(a.peers))
	for addr := range a.peers {
		addrs = append(addrs, addr)
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return addrs
}

// unheardHomes returns the homes that have not answered for unheardAfter, in order.
func (a *Agent) unheardHomes() []netip.AddrPort {
	var addrs []netip.AddrPort
	for addr, p := range a.peers {
		if p.isHome(a.at.Now) && a.at.Now.Sub(latest(p.since, p.answeredAt)) > unheardAfter {
			addrs = append(addrs, addr)
		}
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return addrs
}

// addPeer returns the peer at an address, a new one if there is none.
func (a *Agent) addPeer(addr netip.AddrPort) *entryPeer {
	p := a.peers[addr]
	if p == nil {
		p = &entryPeer{next: a.at.Now, since: a.at.Now}
		a.peers[addr] = p
	}
	return p
}

// keepPeers keeps the entries that an answer names as homes.
func (a *Agent) keepPeers(addrs []netip.AddrPort) {
	for _, addr := range addrs {
		a.addPeer(addr).namedAt = a.at.Now
	}
}

// dropPeers drops the entries that are no homes any more, once a home answers. Those of
// the settings always stay.
func (a *Agent) dropPeers() {
	if !a.hearsHome() {
		return
	}
	for addr, p := range a.peers {
		if !p.isHome(a.at.Now) && !slices.Contains(a.self.Entries, addr) {
			delete(a.peers, addr)
		}
	}
}

// hearsHome reports whether a home has answered a recent heartbeat.
func (a *Agent) hearsHome() bool {
	for _, p := range a.peers {
		if p.isHome(a.at.Now) && a.at.Now.Sub(p.answeredAt) <= namedTimeout {
			return true
		}
	}
	return false
}

// isHome reports whether an entry has been named as a home recently.
func (p *entryPeer) isHome(now time.Time) bool {
	return !p.namedAt.IsZero() && now.Sub(p.namedAt) <= namedTimeout
}

const (
	// discoveryAfter is how long no entry must have answered before the agent
	// reads their rows from the table.
	discoveryAfter = 3 * time.Second
	// discoveryInterval is the minimum time between two such reads.
	discoveryInterval = time.Second
	// discoveryRows is the number of rows, those written last, among which the agent
	// chooses discoverySample entries to ask for the homes.
	discoveryRows   = 8
	discoverySample = 3
)

// advanceDiscovery reads the rows of the entries from the table if no entry
// answers.
func (a *Agent) advanceDiscovery() {
	isolated := len(a.peers) == 0 || a.at.Now.Sub(latest(a.answeredAt, a.startedAt)) > discoveryAfter
	if !a.pol.FindEntries || !isolated || a.at.Now.Before(a.nextDiscovery) {
		return
	}
	a.nextDiscovery = a.at.Now.Add(discoveryInterval)
	a.emit(ReadEntries{})
}

// handleEntriesRead asks a few of the entries whose rows were read for the homes. Some
// rows may be of dead entries: those are written no more, and the next read chooses others.
func (a *Agent) handleEntriesRead(ev EntriesRead) {
	if ev.Fault != FaultNone {
		a.count("store.read", ReasonStore)
		return
	}
	for addr, p := range a.peers {
		if p.namedAt.IsZero() && !p.awaitsAnswer(a.at.Now) && !slices.Contains(a.self.Entries, addr) {
			delete(a.peers, addr) // of an earlier read
		}
	}
	for _, addr := range a.sampleEntries(a.entryAddrs(ev.View)) {
		a.addPeer(addr)
	}
}

// entryAddrs returns the addresses in the rows of entries, those written last first.
func (a *Agent) entryAddrs(v table.View) []netip.AddrPort {
	rows := slices.Clone(v.Rows)
	slices.SortStableFunc(rows, func(r, s table.Row) int { return cmp.Compare(s.Version, r.Version) })
	var addrs []netip.AddrPort
	for _, r := range rows {
		rec, err := Decode(r.Key, r.Value)
		if err != nil {
			a.logNote("entry row passed over", r.Key, err.Error())
			continue
		}
		row, _ := rec.(EntryRow)
		addr, err := row.addr()
		if err != nil {
			a.logNote("entry row without an address", r.Key, err.Error())
			continue
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

// sampleEntries returns up to discoverySample of the first discoveryRows addresses, other
// ones at each read and for each worker, so that a start of the whole site spreads over
// the entries.
func (a *Agent) sampleEntries(addrs []netip.AddrPort) []netip.AddrPort {
	addrs = addrs[:min(len(addrs), discoveryRows)]
	seed := string(a.self.Worker) + a.at.Now.String()
	slices.SortFunc(addrs, func(x, y netip.AddrPort) int {
		return cmp.Compare(xxhash.Sum64String(seed+x.String()), xxhash.Sum64String(seed+y.String()))
	})
	return addrs[:min(len(addrs), discoverySample)]
}
