package core

// observe learns from an answered request how much the batch tasks beside it
// slowed it down.
func (e *Entry) observe(_ *request, _ *call) {}

// disturbance returns the cost of placing batch work beside a worker's
// services.
func (e *Entry) disturbance(_ *workerView) float64 { return 0 }
