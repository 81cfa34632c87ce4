// Package fake runs jayloft's reducers in virtual time.
//
// A World holds entries, agents, workers and the platform's table as plain
// values in one goroutine. Events wait in a queue ordered by time; nothing
// sleeps, and the same seed and actions always give the same run. Each machine
// has a clock of its own with its own offset and rate. Calls between processes
// may be delayed, reordered, doubled, dropped or cut in one direction;
// processes and VMs may be killed, paused and restarted. An Oracle records
// what really ran at the workers and endpoints, compares it with what jayloft
// answered and recorded, and keeps every violation of what must always hold.
//
// # Usage
//
//	w := fake.New(1, fake.Entries(3), fake.Workers(6, 3))
//	w.Do(fake.Submit{Tasks: 4})
//	w.Do(fake.PauseEntry{Entry: 0, For: 20 * time.Second})
//	w.Run(time.Minute)
//	w.Settle(5 * time.Minute)
//	for _, v := range w.Violations() {
//		fmt.Println(v)
//	}
package fake

import (
	"math/rand/v2"
	"time"

	"jayloft/core"
)

// Epoch is the time at which every World starts.
var Epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// EntryReducer is the decision maker of an entry.
type EntryReducer interface {
	Reduce(at core.Stamp, ev core.EntryEvent) []core.EntryEffect
}

// AgentReducer is the decision maker of an agent.
type AgentReducer interface {
	Reduce(at core.Stamp, ev core.AgentEvent) []core.AgentEffect
}

// World is a set of processes and VMs in virtual time.
type World struct {
	cfg     config
	now     time.Time
	queue   queue
	rand    *rand.Rand
	token   core.Token
	store   *store
	net     network
	entries []*entry
	vms     []*vm
	objects objects
	client  *client
	oracle  *Oracle
	counts  map[string]int
	trace   func(at time.Time, who, what string)
}

type config struct {
	entries  int
	workers  int
	dcs      int
	slots    int
	capacity core.Size
	services []core.ServiceRow
	teams    []core.TeamRow
	core     []core.Option
	discover bool
	drift    float64
	work     func(task core.TaskID) time.Duration
	serve    func(id core.RequestID) time.Duration
	trace    func(at time.Time, who, what string)

	entryCost func(EntryReducer, core.EntryEvent) time.Duration
}

// Option changes how a World is built.
type Option func(*config)

// Entries sets the number of entries.
func Entries(n int) Option { return func(c *config) { c.entries = n } }

// Workers sets the number of workers and the data centres that they stand in.
func Workers(n, dcs int) Option {
	return func(c *config) { c.workers, c.dcs = n, dcs }
}

// Capacity sets the size and the number of slots of each worker.
func Capacity(s core.Size, slots int) Option {
	return func(c *config) { c.capacity, c.slots = s, slots }
}

// Services sets the services that the endpoint of each worker offers.
func Services(rows ...core.ServiceRow) Option {
	return func(c *config) { c.services = rows }
}

// CoreOptions passes options to every reducer.
func CoreOptions(opts ...core.Option) Option {
	return func(c *config) { c.core = append(c.core, opts...) }
}

// Discover makes agents find the entries in the table only.
func Discover() Option { return func(c *config) { c.discover = true } }

// Work sets how long each task computes at full speed.
func Work(f func(core.TaskID) time.Duration) Option {
	return func(c *config) { c.work = f }
}

// ServeTime sets how long the endpoint takes for each request.
func ServeTime(f func(core.RequestID) time.Duration) Option {
	return func(c *config) { c.serve = f }
}

// EntryCost sets the processor time that an entry takes for each event that its reducer has
// handled. Later events wait meanwhile. Without it events take no time.
func EntryCost(f func(EntryReducer, core.EntryEvent) time.Duration) Option {
	return func(c *config) { c.entryCost = f }
}

// Trace sets a function that is told of each event and effect.
func Trace(f func(at time.Time, who, what string)) Option {
	return func(c *config) { c.trace = f }
}

func defaults() config {
	return config{
		entries:  3,
		workers:  6,
		dcs:      3,
		slots:    2,
		capacity: core.Size{Millicores: 4000, MemoryMB: 8000, Accelerators: 1},
		services: []core.ServiceRow{
			{Name: "lookup", Team: "red", Idempotent: true, Timeout: 2 * time.Second,
				Size: core.Size{Millicores: 500, MemoryMB: 500}},
			{Name: "order", Team: "blue", Timeout: 3 * time.Second,
				Size: core.Size{Millicores: 500, MemoryMB: 500}},
		},
		teams: []core.TeamRow{{Name: "red"}, {Name: "blue"}},
		drift: 0.004,
		work:  defaultWork,
		serve: defaultServe,
	}
}

// New returns a World whose processes have just been started.
func New(seed uint64, opts ...Option) *World {
	cfg := defaults()
	for _, o := range opts {
		o(&cfg)
	}
	w := &World{
		cfg:     cfg,
		now:     Epoch,
		rand:    rand.New(rand.NewPCG(seed, 0x6a61796c6f6674)),
		counts:  make(map[string]int),
		trace:   cfg.trace,
		objects: objects{kept: make(map[core.TaskID]checkpoint)},
	}
	w.oracle = newOracle(w)
	w.store = newStore(w)
	w.store.seed()
	w.client = newClient(w)
	for i := range cfg.workers {
		w.vms = append(w.vms, newVM(w, i))
	}
	for i := range cfg.entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	for _, e := range w.entries {
		e.start()
	}
	for _, m := range w.vms {
		m.start()
	}
	return w
}

// Now returns the time of the World's own clock.
func (w *World) Now() time.Time { return w.now }

// Violations returns what the oracle has found so far.
func (w *World) Violations() []Violation { return w.oracle.found }

// Counts returns how often each counter of the reducers was raised, by name
// and reason.
func (w *World) Counts() map[string]int { return w.counts }

// Oracle returns the record of what really happened.
func (w *World) Oracle() *Oracle { return w.oracle }

// Run lets the time pass. It stops early at the first violation.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.oracle.found) == 0 {
		at, ok := w.queue.first()
		if !ok || at.After(end) {
			break
		}
		w.step()
	}
	if w.now.Before(end) {
		w.now = end
	}
}

func (w *World) step() {
	at, do := w.queue.pop()
	if at.After(w.now) {
		w.now = at
	}
	do()
}

// after calls do once the time d has passed.
func (w *World) after(d time.Duration, do func()) { w.queue.push(w.now.Add(d), do) }

// at calls do at the time t, or now if t has passed.
func (w *World) at(t time.Time, do func()) {
	if t.Before(w.now) {
		t = w.now
	}
	w.queue.push(t, do)
}

func (w *World) nextToken() core.Token {
	w.token++
	return w.token
}

// chance reports true with the probability p.
func (w *World) chance(p float64) bool { return p > 0 && w.rand.Float64() < p }

// between returns a random length of time from lo to hi.
func (w *World) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rand.Int64N(int64(hi-lo)+1))
}

func (w *World) stamp(p *proc) core.Stamp {
	return core.Stamp{Now: p.clock.local(w.now), Seed: w.rand.Uint64()}
}

func (w *World) log(who, what string) {
	if w.trace != nil {
		w.trace(w.now, who, what)
	}
}
