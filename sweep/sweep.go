// Package sweep measures the policies of jayloft's reducers in virtual time.
//
// A [Sim] is one deployment: entries and agents are the real reducers of
// package core, each worker is a stand.Model, and the platform's table and
// object store are maps. Callers send requests at given times whether or not
// earlier ones were answered (open loop), jobs are submitted, and faults
// strike. Nothing sleeps: a minute takes seconds, and the same seed gives the
// same run. All machines share one clock and messages are neither lost nor
// doubled; package fake covers those. A process takes no time to decide, so
// latencies here are made of service, queues and the network alone.
//
// # Usage
//
//	s := sweep.New(sweep.Fichero, 1, core.WithLease(10*time.Second))
//	s.Ask(0, time.Minute, 500)
//	s.Submit(time.Second, sweep.Job{ID: "a", Tasks: 100, Work: 5 * time.Second, Size: size})
//	s.Kill(20*time.Second, 3, 0)
//	s.Run(2 * time.Minute)
//	fmt.Println(s.Requests(0, time.Minute).P99, s.Batch(0, time.Minute).Work)
package sweep

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"jayloft/core"
	"jayloft/stand"
)

// Epoch is the time at which every Sim starts.
var Epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

const (
	entryCount = 3
	// usageLag is how old the usage is that workers report.
	usageLag = 2 * time.Second
	// peerLimit bounds a call between jayloft's own processes, localLimit one
	// of an agent to its worker, tableLimit one to the platform.
	peerLimit  = time.Second
	localLimit = time.Second
	tableLimit = 2 * time.Second
)

// Sim is one deployment in virtual time.
type Sim struct {
	site    Site
	opts    []core.Option
	rand    *rand.Rand
	now     time.Duration // since Epoch
	queue   queue[func()]
	token   core.Token
	store   store
	objects map[core.TaskID]saved
	entries []*entry
	vms     []*vm
	journal *stand.Journal
	tally   tally
}

// New returns a deployment whose processes have just started.
func New(site Site, seed uint64, opts ...core.Option) *Sim {
	s := &Sim{
		site: site, opts: opts, rand: rand.New(rand.NewPCG(seed, 0)),
		objects: map[core.TaskID]saved{}, journal: new(stand.Journal),
		tally: newTally(),
	}
	s.store.init(site.rows())
	for i := range entryCount {
		s.entries = append(s.entries, newEntry(s, i))
	}
	for dc, n := range site.DCs {
		for range n {
			s.vms = append(s.vms, newVM(s, len(s.vms), dc))
		}
	}
	for _, e := range s.entries {
		e.reduce(core.Tick{})
	}
	for _, v := range s.vms {
		v.start()
	}
	s.readJournal()
	return s
}

// readEvery is the time between two reads of the journal, which keeps only the
// newest entries.
const readEvery = time.Second

func (s *Sim) readJournal() {
	s.tally.read(s.journal)
	s.after(readEvery, s.readJournal)
}

// Run lets the time pass up to d after the start.
func (s *Sim) Run(d time.Duration) {
	for len(s.queue.heap) > 0 && s.queue.heap[0].at <= d {
		at, do := s.queue.pop()
		s.now = max(s.now, at)
		do()
	}
	s.now = max(s.now, d)
	s.tally.read(s.journal)
	for _, v := range s.vms {
		v.look()
	}
}

// Count returns how often the reducers raised a counter, named by name and
// reason with a space between.
func (s *Sim) Count(name string) int { return s.tally.counts[name] }

func (s *Sim) time() time.Time { return Epoch.Add(s.now) }

func (s *Sim) at(d time.Duration, do func()) { s.queue.push(max(d, s.now), do) }

func (s *Sim) after(d time.Duration, do func()) { s.queue.push(s.now+d, do) }

func (s *Sim) stamp() core.Stamp { return core.Stamp{Now: s.time(), Seed: s.rand.Uint64()} }

func (s *Sim) nextToken() core.Token {
	s.token++
	return s.token
}

// between returns a random length of time from lo to hi.
func (s *Sim) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rand.Int64N(int64(hi-lo)+1))
}

// hop returns the time that a message takes between two VMs.
func (s *Sim) hop() time.Duration { return s.between(400*time.Microsecond, 600*time.Microsecond) }

// localHop returns the time that a message takes within a VM.
func (s *Sim) localHop() time.Duration { return s.between(20*time.Microsecond, 60*time.Microsecond) }

// host is something that can die: a VM, or one that never does.
type host struct{ life int }

// down is the life of a host that is dead.
const down = 0

// message is one call and what its callee and caller do.
type message[A any] struct {
	from, to *host
	limit    time.Duration // until the caller gives up
	local    bool
	serve    func(reply func(A))
	done     func(A, core.Fault)
}

// send carries a call out. Messages to a dead VM vanish, so its callers learn
// of it when they give up.
func send[A any](s *Sim, m message[A]) {
	hop := s.hop
	if m.local {
		hop = s.localHop
	}
	life, over := m.from.life, false
	finish := func(a A, f core.Fault) {
		if !over && m.from.life == life {
			over = true
			m.done(a, f)
		}
	}
	s.after(m.limit, func() {
		var none A
		finish(none, core.FaultNoAnswer)
	})
	s.after(hop(), func() {
		there := m.to.life
		if there == down {
			return
		}
		m.serve(func(a A) {
			if m.to.life == there {
				s.after(hop(), func() { finish(a, core.FaultNone) })
			}
		})
	})
}

// replies holds how calls are answered, by token.
type replies[A any] map[core.Token]func(A)

func (r replies[A]) answer(t core.Token, a A) {
	if reply, ok := r[t]; ok {
		delete(r, t)
		reply(a)
	}
}

func entryAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

func agentAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}), 7000)
}

func workerName(i int) core.WorkerID { return core.WorkerID(fmt.Sprintf("w%d", i+1)) }
