package core

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"jayloft/limit"
	"jayloft/table"
)

// readRound is the state of the periodic read of the configuration, the entries and
// the fences. Only a round in which all parts were read counts as a read of the table.
type readRound struct {
	next        time.Time // when the next round is due
	startedAt   time.Time // of the newest round
	begun       uint64    // number of the newest round
	done        uint64    // number of the last round that succeeded
	asOf        time.Time // when that round began
	outstanding int       // number of answers that are missing
	failed      bool      // some part of the newest round failed
	since       [3]uint64 // table revision up to which each prefix was read
	marks       []readMark
}

// roundPrefixes are the key prefixes that each round reads.
var roundPrefixes = [3]string{PrefixConfig, PrefixEntry, PrefixFence}

// entryPart is the index of PrefixEntry in roundPrefixes.
const entryPart = 1

// pendingRound awaits one part of a round.
type pendingRound struct {
	part int
}

// pendingShard awaits the changes of one shard since a revision.
type pendingShard struct {
	shard int
	since uint64
}

func (pendingRound) pendingAnswer() {}
func (pendingShard) pendingAnswer() {}

// advanceReads starts a round and the reads of the owned shards, once the last round
// is complete and the circuit breaker allows it.
func (e *Entry) advanceReads() {
	if e.at.Now.Before(e.round.next) || e.round.outstanding > 0 {
		return
	}
	if !e.breaker.Allow(e.at.Now) {
		e.round.next = latest(e.breaker.NextProbe(e.at.Now), e.at.Now.Add(minWake))
		return
	}
	e.round.next = e.at.Now.Add(e.pol.ReadInterval)
	e.round.startedAt, e.round.failed = e.at.Now, false
	e.round.begun++
	e.round.outstanding = len(roundPrefixes)
	for i, prefix := range roundPrefixes {
		t := e.expect(pendingRound{part: i})
		e.emit(ReadChanges{Token: t, Prefix: prefix, Since: e.round.since[i]})
	}
	e.readShards()
}

// handleChangesAnswered passes changed rows to the reader that awaits them.
func (e *Entry) handleChangesAnswered(ev ChangesAnswered) {
	switch w := e.takePending(ev.Token).(type) {
	case pendingRound:
		e.handleRoundAnswered(w, ev)
	case pendingShard:
		e.handleShardAnswered(w, ev)
	case pendingShow:
		e.handleShowAnswered(w, ev)
	}
}

// handleRoundAnswered applies one part of a round. After the last part of a successful
// round, the shards are assigned again.
func (e *Entry) handleRoundAnswered(w pendingRound, ev ChangesAnswered) {
	e.round.outstanding--
	if ev.Fault != FaultNone {
		e.round.failed = true
		e.logReadFailed(roundPrefixes[w.part], e.round.since[w.part], e.round.startedAt)
		e.recordStoreFault("read")
	} else {
		e.breaker.RecordSuccess(e.at.Now)
		e.round.mark(ev.View.Revision, e.at.Now.Add(-e.pol.MaxCountAge()))
		e.applyRoundPart(w.part, ev.View)
	}
	if e.round.outstanding > 0 || e.round.failed {
		return
	}
	if e.storeLost {
		e.storeLost = false
		e.logEvent("store regained", string(e.self.ID), "away", e.round.startedAt.Sub(e.round.asOf).String())
	}
	first := !e.hasConfig()
	e.excuseUnreadTime(e.round.startedAt.Sub(e.round.asOf))
	e.round.done, e.round.asOf = e.round.begun, e.round.startedAt
	e.assignShards()
	if first {
		e.logNote("ready", string(e.self.ID), fmt.Sprintf("configuration %d", e.config.changes))
	}
}

// logReadFailed logs a read of the table's changes that failed: of which rows, since
// which revision, and how long it took.
func (e *Entry) logReadFailed(prefix string, since uint64, began time.Time) {
	e.logEvent("table read failed", string(e.self.ID), "prefix", prefix, "since", since, "took", e.at.Now.Sub(began).String())
}

// excuseUnreadTime keeps the time in which this entry could not read the table from
// counting against its peers, whose rows may have changed unseen or could not be written. They
// may have taken its shards over.
func (e *Entry) excuseUnreadTime(gap time.Duration) {
	if e.round.asOf.IsZero() || gap < e.pol.EntryTimeout {
		return
	}
	e.distrustShards()
	for _, p := range e.peers {
		p.changed = earliest(p.changed.Add(gap), e.round.startedAt)
	}
}

// recordStoreFault counts a failed call of the table, logs the first one since the
// last successful round, and reports the failure to the circuit breaker.
func (e *Entry) recordStoreFault(call string) {
	if !e.storeLost {
		e.storeLost = true
		e.logEvent("store lost", string(e.self.ID), "call", call, "read", e.at.Now.Sub(e.round.asOf).String())
	}
	e.breaker.RecordFailure(e.at.Now, e.at.Seed)
	e.count("store."+call, ReasonStore)
}

// applyRoundPart applies the changed rows of one of roundPrefixes.
func (e *Entry) applyRoundPart(part int, v table.View) {
	full := e.round.since[part] == 0
	e.round.since[part] = max(e.round.since[part], v.Revision)
	switch roundPrefixes[part] {
	case PrefixConfig:
		e.applyConfig(v, full)
	case PrefixEntry:
		for _, r := range v.Rows {
			e.applyPeerRow(r)
		}
	case PrefixFence:
		for _, r := range v.Rows {
			e.applyFenceRow(r)
		}
	}
}

// applyConfig merges changed configuration rows and updates what depends on them.
func (e *Entry) applyConfig(v table.View, full bool) {
	rev := e.config.rev
	for _, r := range v.Rows {
		if r.Key == KeyVersion {
			rev = r.Version
		}
	}
	for _, err := range e.config.apply(v.Rows, rev, full && e.config.rev == 0, e.pol.on(guardConfig)) {
		e.logNote("configuration row passed over", "", err.Error())
		e.count("decode", ReasonConfig)
	}
	if len(v.Rows) > 0 || full {
		e.logEvent("configuration in force", string(e.self.ID), "version", e.config.changes, "revision", e.config.rev)
		e.applyPolicyRows()
		e.refreshWorkers(v.Rows)
	}
}

// refreshWorkers updates the placement index and the routes of the workers that
// changed rows affect: those of a data centre, or all of them if a service changed.
func (e *Entry) refreshWorkers(rows []table.Row) {
	dcs := map[DC]bool{}
	all := false
	for _, r := range rows {
		if n, ok := strings.CutPrefix(r.Key, keyDC("")); ok {
			dcs[DC(n)] = true
		}
		all = all || strings.HasPrefix(r.Key, keyService(""))
	}
	if !all && len(dcs) == 0 {
		return
	}
	for _, id := range e.workerIDs() {
		if w := e.workers[id]; all || dcs[w.heartbeat.DC] {
			e.indexWorker(w)
			e.updateRoutes(w)
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(dcs)) {
		row, _ := e.config.dc(dc)
		e.logEvent("data centre", string(dc), "out", row.Out, "revision", e.config.rev)
	}
	e.queue.blocked = false
}

// workerIDs returns the ids of the workers in order. The slice is valid until the
// next call of worker.
func (e *Entry) workerIDs() []WorkerID {
	if len(e.sortedWorkers) != len(e.workers) {
		e.sortedWorkers = e.sortedWorkers[:0]
		for id := range e.workers {
			e.sortedWorkers = append(e.sortedWorkers, id)
		}
		slices.Sort(e.sortedWorkers)
	}
	return e.sortedWorkers
}

// applyPolicyRows applies the policy numbers that operators have set.
func (e *Entry) applyPolicyRows() {
	for _, rec := range e.config.list(PrefixConfig + "policy/") {
		if row, ok := rec.(PolicyRow); ok {
			e.pol.set(row.Name, row.Value)
		}
	}
	if e.pol.RetryShare != e.retryShare {
		e.retryShare = e.pol.RetryShare
		e.retries = limit.NewBudget(e.retryShare, retryBurst)
	}
	if e.pol.HedgeShare != e.hedgeShare {
		e.hedgeShare = e.pol.HedgeShare
		e.hedges = limit.NewBudget(e.hedgeShare, hedgeBurst)
	}
}

// allowWrite reports whether the write budget allows a transaction, and spends it.
func (e *Entry) allowWrite(p limit.Priority) bool { return e.writes.Allow(e.at.Now, p) }
