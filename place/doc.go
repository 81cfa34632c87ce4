// Package place chooses the worker for a task among many.
//
// An [Index] keeps the open workers by what they have free, in a grid with a
// logarithmic scale of millicores one way and of memory the other. The workers
// of one cell stand in a tree whose nodes know the most that is free below
// them. A search skips the cells and subtrees in which nothing can fit, so a
// decision takes about the same time among a hundred workers and among thirty
// thousand.
//
// There are two ways to choose. Dense (batch) picks begin at the lowest row
// that can fit the need and take the best fit of a few workers, which keeps
// large gaps free for large tasks. Spread (urgent) picks take the data centre
// in which the owner has the fewest tasks for its capacity, then the least
// used of a few random workers there; random samples keep several deciders
// with the same view from choosing the same worker (Mitzenmacher, "The power
// of two choices in randomized load balancing", IEEE TPDS 12(10), 2001).
// Both fall back to a complete search, so a pick fails only if no open worker
// has room.
//
// # Usage
//
//	var x place.Index
//	x.Set("w-1", place.Worker{DC: "bog-1", Rack: "r1", Capacity: size})
//	need := place.Need{Size: task.Size, Spread: true, Owner: job}
//	if id, ok := x.Pick(need, seed); ok {
//		x.Hold(job, id)
//		// Set the worker again with its new commitment.
//	} else if !x.Possible(task.Size) {
//		// No worker can ever hold the task.
//	}
//
// The package has no clock and no random source. Equal calls with equal seeds
// give equal answers.
package place
