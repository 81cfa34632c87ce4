package core

import (
	"net/netip"
	"slices"
	"time"

	"jayloft/homes"
)

// homeView is an entry's view of the home entries, as of the last successful read round.
type homeView struct {
	ids    []string         // of all homes, in order
	addrs  []netip.AddrPort // of all homes whose address is known
	others []netip.AddrPort // addrs without this entry's own
	joined uint64           // revision of the table when this entry joined; zero before the first round

	self      bool          // this entry is a home
	selfSince time.Time     // since when it is
	grace     time.Duration // see homeGrace; zero if every entry is a home
}

// homeGrace is how long agents may take to find a new home. Until then a worker's silence
// says nothing.
const homeGrace = 2 * discoveryInterval

// has reports whether an entry is a home.
func (h *homeView) has(id EntryID) bool { return slices.Contains(h.ids, string(id)) }

// IsHome reports whether the entry is a home by its own view.
func (e *Entry) IsHome() bool { return e.homes.self }

// heardFrom returns the time from which on this entry expects to hear every worker.
func (h *homeView) heardFrom() time.Time {
	if h.selfSince.IsZero() {
		return time.Time{}
	}
	return h.selfSince.Add(h.grace)
}

// updateHomes determines the homes among the live entries.
func (e *Entry) updateHomes() {
	h := &e.homes
	if h.joined == 0 {
		h.joined = e.round.since[entryPart]
	}
	before := h.ids
	h.ids = homes.Choose(e.candidateHomes(), e.pol.Homes)
	h.addrs, h.others = nil, nil
	for _, id := range h.ids {
		e.addHomeAddr(EntryID(id))
	}
	was := h.self
	h.self = h.has(e.self.ID)
	if h.self && !was {
		e.becomeHome()
	}
	if !slices.Equal(h.ids, before) {
		e.preferWorkers()
	}
	if h.self != was {
		e.logEvent("home changed", string(e.self.ID), "home", h.self, "homes", len(h.ids), "live", len(e.liveEntries()))
	}
}

// preferWorkers determines anew which home places on each worker first.
func (e *Entry) preferWorkers() {
	for _, id := range e.workerIDs() {
		w := e.workers[id]
		w.preferredBy = ""
		e.indexWorker(w)
	}
}

// prefers reports whether this home places tasks on a worker before the others do.
func (e *Entry) prefers(w *workerView) bool {
	if e.pol.ShareWorkers || len(e.homes.ids) < 2 {
		return false
	}
	if w.preferredBy == "" {
		w.preferredBy = EntryID(homes.Preferred(e.homes.ids, string(w.id)))
	}
	return w.preferredBy == e.self.ID
}

// candidateHomes returns the live entries with what decides which of them are homes.
func (e *Entry) candidateHomes() []homes.Entry {
	var es []homes.Entry
	for _, id := range e.liveEntries() {
		c := homes.Entry{ID: string(id), DC: string(e.self.DC), Millicores: e.self.Millicores, Joined: e.homes.joined}
		if p := e.peers[id]; p != nil && id != e.self.ID {
			c.DC, c.Millicores, c.Joined = string(p.row.DC), p.row.Millicores, p.row.Joined
		}
		es = append(es, c)
	}
	return es
}

// addHomeAddr adds the address of a home, if it is known.
func (e *Entry) addHomeAddr(id EntryID) {
	h := &e.homes
	if id == e.self.ID {
		h.addrs = append(h.addrs, e.self.Addr)
		return
	}
	if addr := e.peers[id].addr; addr.IsValid() {
		h.addrs = append(h.addrs, addr)
		h.others = append(h.others, addr)
	}
}

// becomeHome forgets what this entry heard of workers before it became a home, so that
// nothing is placed by an old view and no worker counts as silent for the time before.
func (e *Entry) becomeHome() {
	e.homes.selfSince = e.at.Now
	if !e.pol.boundsHomes() {
		return
	}
	e.homes.grace = homeGrace
	for _, id := range e.workerIDs() {
		w := e.workers[id]
		if e.at.Now.Sub(w.heartbeatAt) <= e.pol.Silent {
			continue
		}
		w.silent, w.heartbeatAt = true, e.homes.heardFrom()
		e.closeWorker(w)
	}
}

// canTellSilence reports whether this entry would have heard every live worker within
// Policy.Suspect.
func (e *Entry) canTellSilence() bool {
	return e.homes.self && (!e.pol.boundsHomes() || e.at.Now.Sub(e.homes.heardFrom()) >= e.pol.Suspect)
}

// minHomeBudget is the least fraction of the table's budgets that is left to homes.
const minHomeBudget = 0.5

// shareBudgets shares the budgets of the table's calls: every live entry announces itself,
// and the rest goes to the homes. An entry that is no home writes only what it can't relay.
func (e *Entry) shareBudgets() {
	live := float64(max(len(e.liveEntries()), 1))
	n := float64(max(len(e.homes.ids), 1))
	if !e.homes.self {
		n = live
	}
	writes := e.pol.WritesPerSecond
	if e.pol.boundsHomes() {
		writes = max(writes-live/e.pol.publishInterval().Seconds(), minHomeBudget*writes)
	}
	e.writes.SetRate(e.at.Now, writes/n)
	e.reads.SetRate(e.at.Now, e.pol.ReadsPerSecond/n)
}
