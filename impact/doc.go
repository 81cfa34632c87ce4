// Package impact learns how much batch tasks slow down the services on the same
// VM, and decides whether to throttle or move them.
//
// The slow-down depends on the pair of service and batch class and on the
// class's level, the number of its tasks on the VM. A [Model] learns it from
// ratios: the latency of the service on one VM to its latency on VMs without
// batch tasks. Ratios arrive late and are few, so the model is Bayesian. The
// logarithm of a ratio is modelled as the sum of the effects of the classes on
// the VM, so that effects can be separated once VMs run different mixtures of
// classes. The effect of a class is a piecewise linear function of its level.
// Its prior is a random slope plus Brownian steps with mean zero: levels inform
// each other, near ones more than distant ones, and an effect without
// measurements has the mean ratio 1 and a large error. Without new ratios the
// estimates decay to the prior (an Ornstein-Uhlenbeck process). The update is
// that of a Kalman filter (Kalman, "A new approach to linear filtering and
// prediction problems", J. Basic Eng. 82(1), 1960), with the noise variance
// estimated from the innovations, and single ratios clipped to three deviations
// (Huber, "Robust estimation of a location parameter", Ann. Math. Stat. 35(1),
// 1964).
//
// # Usage
//
//	var m impact.Model
//	loads := []impact.Load{{Class: "import", Level: 2}, {Class: "render", Level: 1}}
//	m.ObserveMix("lookup", loads, 1.4, now)
//	ratio, err := m.Estimate("lookup", "import", 2)
//	penalty := m.Cost("lookup", "import", 3) // for placement
//	action, class := m.NextAction("lookup", loads, current)
//
// The package has no clock: times are arguments. A Model is not safe for
// concurrent use.
package impact
