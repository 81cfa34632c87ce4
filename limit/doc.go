// Package limit holds the budgets that keep an entry from doing harm: to the
// store by too many calls, to the workers by too many retries, and to teams by
// the load of other teams.
//
//   - [Budget] lets retries and hedges be a share of fresh load, so that they
//     can't multiply an overload.
//   - [Rate] bounds calls a second; low priorities leave a reserve for higher
//     ones.
//   - [Breaker] holds calls back while their target is down and lets probes
//     through, with exponential back-off and jitter (Brooker, "Exponential
//     backoff and jitter", AWS Architecture Blog, 2015).
//   - [Gate] admits requests. Without overload it admits everything. With
//     overload it gives each active team its weighted share and refuses the
//     rest at once, with a time to come back that follows from the measured
//     drain rate.
//   - [Quota] counts what teams hold.
//
// # Usage
//
//	retries := limit.NewBudget(0.1, 10)
//	retries.Fresh() // for each fresh request
//	if retries.Spend() {
//		// Try again.
//	}
//
//	var g limit.Gate
//	ok, retryAfter := g.Admit(now, team, weight, wait, deadline, seed)
//	if ok {
//		// Serve the request, then:
//		g.Done(now, team)
//	}
//
// The package has no clock and no random source: times and seeds are
// arguments. No type is safe for concurrent use.
package limit
