// Package place selects a worker for each task.
//
// An [Index] stores the open workers by free capacity in a grid with logarithmic
// axes: millicores by row, memory by column. The workers of one cell form a tree
// in which each node stores the maximum free capacity of its subtree. A search
// skips the cells and subtrees in which nothing can fit, so a decision takes
// about the same time among a hundred workers and among thirty thousand.
//
// There are two placement strategies. Dense placement (batch) starts at the
// lowest row that can fit the need and takes the best fit among a few workers,
// which keeps large gaps free for large tasks. Spread placement (urgent) takes
// the data centre in which the owner has the fewest tasks relative to its
// capacity, then the least utilized of a few random workers there. Random
// sampling keeps several schedulers with the same view from choosing the same
// worker (Mitzenmacher, "The power of two choices in randomized load balancing",
// IEEE TPDS 12(10), 2001). Both strategies fall back to an exhaustive search, so
// a pick fails only if no open worker has room.
//
// # Usage
//
//	var x place.Index
//	x.Set("w-1", place.Worker{DC: "bog-1", Rack: "r1", Capacity: size})
//	need := place.Need{Size: task.Size, Spread: true, Owner: job}
//	if id, ok := x.Pick(need, seed); ok {
//		x.Assign(job, id)
//		// Set the worker again with its new commitment.
//	} else if !x.Possible(task.Size) {
//		// The task is larger than every worker.
//	}
//
// The package uses no clock and no random source: equal calls with equal seeds
// give equal results.
package place
