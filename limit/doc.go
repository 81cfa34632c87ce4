// Package limit provides admission control, rate limits and quotas for an
// entry. They protect the store from too many calls, the workers from too many
// retries, and teams from the load of other teams.
//
//   - [Budget] limits retries and hedges to a fraction of the new requests, so
//     that they can't amplify an overload.
//   - [Rate] limits the calls per second; low priorities leave a reserve for
//     higher ones.
//   - [Breaker] is a circuit breaker. It stops calls while their target is down
//     and sends probes with exponential back-off and jitter (Brooker,
//     "Exponential backoff and jitter", AWS Architecture Blog, 2015).
//   - [Gate] does admission control. Without overload it admits every request
//     that can meet its deadline. With overload it holds each active team to its
//     weighted share and refuses the rest at once, with a retry time that
//     follows from the measured drain rate.
//   - [Quota] tracks the resources that each team has reserved.
//
// # Usage
//
//	retries := limit.NewBudget(0.1, 10)
//	retries.Deposit() // for each new request
//	if retries.Spend() {
//		// Retry.
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
