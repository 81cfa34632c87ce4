// Package core holds the scheduling logic of jayloft, free of I/O.
//
// It has two reducers. An [Entry] accepts requests of callers and commands of
// operators, places tasks on workers and recovers them after failures. An
// [Agent] runs beside one worker and alone decides which tasks start there, so
// that a stale or duplicate order of an entry can't overcommit the VM or run a
// task twice.
//
// A reducer turns an event into effects, which are plain data. Package io
// carries the effects out and posts their results back as events. A reducer
// has no clock, no random source and no I/O: the time and a seed come with each
// event. The same sequence of events therefore always gives the same effects,
// which makes every run reproducible from its seed.
//
// # Usage
//
//	e := core.NewEntry(core.EntryIdentity{ID: "e1", Addr: addr})
//	for _, eff := range e.Reduce(core.Stamp{Now: now, Seed: seed}, ev) {
//		// carry eff out; it is valid until the next call of Reduce
//	}
//
// A reducer is not safe for concurrent use.
package core
