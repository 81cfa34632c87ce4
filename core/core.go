// Package core decides everything that jayloft decides, and does nothing.
//
// It holds two reducers. An Entry takes callers' requests and operators'
// commands, places tasks and recovers them. An Agent stands beside one worker
// and is the only authority on what starts there. Both turn events into
// effects, which are plain data: package io carries effects out and brings
// their answers back as events. A reducer has no clock, no random source and
// no I/O; the time and a seed come with each event. The same sequence of
// events always gives the same effects.
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
