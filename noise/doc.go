// Package noise learns how much batch tasks slow down the services on the same
// VM, and decides what to do about it.
//
// The effect depends on the pair of service and batch class and on how many
// tasks of the class run: its level. A [Model] learns it from ratios: the
// latency of the service on one VM to its latency on VMs without batch tasks.
// The ratios arrive late and are few, so the model is Bayesian. The logarithm
// of a ratio is taken as the sum of the effects of the classes on the VM, so
// that VMs with several classes tell their effects apart once the mixtures
// differ. The effect of a class is a piecewise linear function of its level.
// Its prior is a random slope and Brownian steps around none: levels inform
// each other, the near ones more, and an effect that was never seen has the
// mean ratio 1 and a wide error. Without new ratios, what was learnt returns
// to the prior (an Ornstein-Uhlenbeck process). The update is that of a Kalman filter (Kalman, "A new approach to linear
// filtering and prediction problems", J. Basic Eng. 82(1), 1960), with the
// variance of the noise learnt from the innovations and single ratios clipped
// to three deviations (Huber, "Robust estimation of a location parameter",
// Ann. Math. Stat. 35(1), 1964).
//
// # Usage
//
//	var m noise.Model
//	loads := []noise.Load{{Class: "import", Level: 2}, {Class: "render", Level: 1}}
//	m.ObserveMix("lookup", loads, 1.4, now)
//	ratio, err := m.Estimate("lookup", "import", 2)
//	penalty := m.Cost("lookup", "import", 3) // for placement
//	action, class := m.Act("lookup", loads, last)
//
// The package has no clock: times are arguments. A Model is not safe for
// concurrent use.
package noise
