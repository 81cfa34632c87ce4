// Package stand provides small stand-ins for the systems outside jayloft: the
// platform's table and object store, and the interface of a worker. Tests and
// the demo run against them; an organisation's own platform takes their place.
//
// Every stand-in records in a Journal what it did and when, so that a verdict
// can rest on what ran where rather than on what jayloft says of itself, and
// takes faults by name: it can be down, slow, or lose an answer after the
// change took effect.
//
// A worker has two parts. A Model is the state machine of one VM, driven by
// the time that its caller passes in; it does no I/O and never sleeps. A Worker
// serves a Model over connect with the real clock.
//
// # Usage
//
//	platform := stand.NewPlatform()
//	srv, err := io.Listen(addr, platform.Handler(), io.WithHTTP2())
//	...
//	worker := stand.NewWorker(stand.Spec{
//		Worker:   "w1",
//		Capacity: core.Size{Millicores: 16000, MemoryMB: 60000},
//		Slots:    8,
//		Services: []string{"lookup"},
//	}, stand.WithStore(platform.Objects))
//	...
//	err = platform.SetFault("table.down", 1, time.Time{})
//	entries, _ := worker.Journal().Since(0)
//	over := stand.Overlaps(entries)
//
// A Model is not safe for concurrent use; all other types are.
package stand
