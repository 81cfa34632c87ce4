package core

import (
	"maps"
	"net/netip"
	"slices"
	"sort"
	"time"

	"jayloft/homes"
	"jayloft/limit"
	"jayloft/table"
)

// peerView is the last known state of an entry's row in the table, this entry's
// included.
type peerView struct {
	row     EntryRow
	addr    netip.AddrPort // invalid if the row holds no valid address
	version uint64
	changed time.Time // when the last change of the row was read
}

// shardView is this entry's view of one shard of jobs.
type shardView struct {
	owner   EntryID   // according to the last assignment
	owned   bool      // by this entry
	loaded  bool      // the whole shard has been read
	since   uint64    // table revision up to which it was read
	reading bool      // a read is in flight
	began   time.Time // when the newest read began
	asOf    time.Time // when the last read that succeeded began

	published ShardReport // the most recent one of another entry
	next      time.Time   // when a loaded shard is read again
}

// pendingMember awaits a write whose result needs no action: of this entry's own
// row, the deletion of a dead peer's row, or the learnt interference.
type pendingMember struct{}

func (pendingMember) pendingAnswer() {}

// advanceMembership rewrites this entry's row three times per EntryTimeout, as a
// heartbeat to the other entries.
func (e *Entry) advanceMembership() {
	if e.at.Now.Before(e.nextAnnounce) || !e.hasConfig() || e.leaving || e.breaker.IsOpen(e.at.Now) {
		return
	}
	e.nextAnnounce = e.at.Now.Add(e.pol.publishInterval())
	if e.at.Now.Sub(e.round.asOf) > e.pol.EntryTimeout {
		e.count("announce", ReasonStore)
		return // it can't schedule the jobs of shards that it can't read: others must take them over
	}
	e.heartbeats++
	row := EntryRow{
		ID: e.self.ID, Addr: e.self.Addr.String(), Heartbeats: e.heartbeats, Reports: e.shardReports(),
		DC: e.self.DC, Millicores: e.self.Millicores, Joined: e.homes.joined,
	}
	e.commit(pendingMember{}, nil, []Record{e.fitEntryRow(row)}, []string{keyEntry(e.self.ID)})
	e.removeDeadPeers()
}

// removeDeadPeers deletes the row of one entry that has been dead for ten times
// EntryTimeout.
func (e *Entry) removeDeadPeers() {
	for _, id := range e.peerIDs() {
		p := e.peers[id]
		if e.at.Now.Sub(p.changed) < 10*e.pol.EntryTimeout || id == e.self.ID {
			continue
		}
		delete(e.peers, id)
		key := keyEntry(id)
		txn := table.Txn{
			Conds:  []table.Cond{{Key: key, Version: p.version}},
			Writes: []table.Write{{Key: key, Delete: true}},
		}
		e.emit(Commit{Token: e.expect(pendingMember{}), Txn: txn})
		return
	}
}

// peerIDs returns the ids of all known entries in order, this one included.
func (e *Entry) peerIDs() []EntryID { return slices.Sorted(maps.Keys(e.peers)) }

// commit emits a transaction that writes the records under the keys.
func (e *Entry) commit(w pendingAnswer, conds []table.Cond, recs []Record, keys []string) {
	txn := table.Txn{Conds: conds}
	for i, rec := range recs {
		b, err := Encode(rec)
		if err != nil {
			e.logNote("record not written", keys[i], err.Error())
			return
		}
		txn.Writes = append(txn.Writes, table.Write{Key: keys[i], Value: b})
	}
	e.emit(Commit{Token: e.expect(w), Txn: txn})
}

// applyPeerRow updates the view of an entry from its changed row.
func (e *Entry) applyPeerRow(r table.Row) {
	if r.Deleted {
		id := EntryID(r.Key[len(PrefixEntry):])
		delete(e.peers, id)
		return
	}
	rec, err := Decode(r.Key, r.Value)
	if err != nil {
		e.logNote("entry row passed over", r.Key, err.Error())
		return
	}
	row, ok := rec.(EntryRow)
	if !ok {
		return
	}
	if i := slices.IndexFunc(row.Reports, func(s ShardReport) bool { return s.ReadUpTo > r.Version }); i >= 0 {
		e.logNote("entry row passed over", r.Key, "reports of a revision that was still to come")
		return
	}
	p := e.peers[row.ID]
	if p == nil {
		p = &peerView{}
		e.peers[row.ID] = p
	}
	if r.Version <= p.version {
		return
	}
	p.row, p.version, p.changed = row, r.Version, e.at.Now
	if row.ID != e.self.ID {
		e.applyReports(row.Reports)
	}
	p.addr, err = row.addr()
	if err != nil {
		e.logNote("entry row without an address", r.Key, err.Error())
	}
}

// isAlive reports whether an entry's row has changed within EntryTimeout. No row
// changes while the table is unavailable, so the age of a row is measured at the
// last successful read round, not at the present time.
func (e *Entry) isAlive(p *peerView) bool { return e.round.asOf.Sub(p.changed) < e.pol.EntryTimeout }

// liveEntries returns the ids of the live entries in order, this one included unless
// it is leaving.
func (e *Entry) liveEntries() []EntryID {
	ids := []EntryID{}
	for _, id := range e.peerIDs() {
		p := e.peers[id]
		if id != e.self.ID && e.isAlive(p) {
			ids = append(ids, id)
		}
	}
	if !e.leaving {
		ids = append(ids, e.self.ID)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// assignShards determines the homes and the owner of each shard among them. With a stale
// view two entries may take the same shard; conditional writes keep that safe, and some of
// them fail.
func (e *Entry) assignShards() {
	e.updateHomes()
	before := e.ownedShards()
	defer func() {
		if after := e.ownedShards(); after != before {
			e.logEvent("shards owned", string(e.self.ID), "shards", after, "before", before, "homes", len(e.homes.ids))
		}
	}()
	e.shareBudgets()
	for s, id := range homes.Assign(e.homes.ids, Shards) {
		sh := &e.shards[s]
		sh.owner = EntryID(id)
		owned := sh.owner == e.self.ID
		if owned == sh.owned {
			continue
		}
		sh.owned = owned
		if owned {
			sh.loaded, sh.since = false, 0
			e.adoptShard(s)
		} else {
			e.dropShard(s)
		}
	}
}

// ownedShards returns the number of shards that this entry owns.
func (e *Entry) ownedShards() int {
	n := 0
	for i := range e.shards {
		if e.shards[i].owned {
			n++
		}
	}
	return n
}

// adoptShard takes over the jobs of a newly owned shard that are in memory because
// of an unfinished edit. Their rows may not change again, so the next read may not
// return them.
func (e *Entry) adoptShard(s int) {
	for _, id := range e.jobIDs(s) {
		j := e.jobs[id]
		j.foreign, j.stale = false, j.row.stored
		for n := range j.row.Tasks {
			e.reconcile(j, n)
		}
	}
}

// distrustShards has the owned shards read anew before anything of theirs is placed: this entry
// could not read them for so long that other homes have taken them over. They take some rounds
// to hand them back, in which the shards are read in each round.
func (e *Entry) distrustShards() {
	e.rereadUntil = e.at.Now.Add(e.pol.EntryTimeout)
	for s := range e.shards {
		if !e.shards[s].owned {
			continue
		}
		e.shards[s].loaded = false
		e.setStale(s, true)
	}
}

// setStale marks the jobs of a shard that the table holds as stale, or as read.
func (e *Entry) setStale(shard int, stale bool) {
	for _, j := range e.jobs {
		if j.shard == shard {
			j.stale = stale && j.row.stored
		}
	}
}

// dropShard forgets the jobs of a shard that another entry owns now. Edits in flight
// are not withdrawn: their conditions keep them safe.
func (e *Entry) dropShard(s int) {
	for _, id := range e.jobIDs(s) {
		e.forget(id, e.jobs[id])
	}
}

// jobIDs returns the ids of a shard's jobs in memory, in order.
func (e *Entry) jobIDs(shard int) []JobID {
	var ids []JobID
	for id, j := range e.jobs {
		if j.shard == shard {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// readShards reads the changes of the owned shards within the read budget. It starts
// at most maxShardLoads reads of shards that are not loaded yet.
func (e *Entry) readShards() {
	loading := 0
	for s := range e.shards {
		sh := &e.shards[s]
		if !sh.owned || sh.reading || sh.loaded && e.at.Now.Before(sh.next) && !e.at.Now.Before(e.rereadUntil) {
			continue
		}
		if !sh.loaded && loading >= maxShardLoads {
			continue
		}
		if !e.reads.Allow(e.at.Now, limit.PriorityMid) {
			e.count("store.wait", ReasonBudget)
			return
		}
		if !sh.loaded {
			loading++
		}
		sh.reading, sh.began, sh.next = true, e.at.Now, e.at.Now.Add(e.pol.ShardReadInterval)
		t := e.expect(pendingShard{shard: s, since: sh.since})
		e.emit(ReadChanges{Token: t, Prefix: shardPrefix(s), Since: sh.since})
	}
}

// maxShardLoads bounds the shards whose full read is started in one round.
const maxShardLoads = 16

// handleShardAnswered applies the changes of an owned shard.
func (e *Entry) handleShardAnswered(w pendingShard, ev ChangesAnswered) {
	sh := &e.shards[w.shard]
	sh.reading = false
	if ev.Fault != FaultNone {
		e.logReadFailed(shardPrefix(w.shard), sh.since, sh.began)
		e.recordStoreFault("read")
		return
	}
	if !sh.owned || w.since != sh.since {
		return // handed over meanwhile, and maybe taken back: its jobs before since were forgotten
	}
	first := !sh.loaded
	sh.loaded, sh.asOf = true, sh.began
	sh.since = max(sh.since, ev.View.Revision)
	for _, r := range ev.View.Rows {
		e.applyJobRow(r)
	}
	if first {
		e.setStale(w.shard, false)
		e.queue.blocked = false
	}
}
