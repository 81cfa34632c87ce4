// Package noise learns interference between services and batch classes.
package noise

import "time"

// Model holds what was learnt.
type Model struct{}

// Observe notes one ratio.
func (m *Model) Observe(service, class string, level int, ratio float64, now time.Time) {}

// Load is a number of tasks of one class on a VM.
type Load struct {
	Class string
	Level int
}

// ObserveMix notes one ratio on a VM where several classes run.
func (m *Model) ObserveMix(service string, loads []Load, ratio float64, now time.Time) {}

// Estimate returns mean and standard error of the ratio.
func (m *Model) Estimate(service, class string, level int) (ratio, err float64) { return 1, 1 }

// Cost returns a penalty for placement.
func (m *Model) Cost(service, class string, level int) float64 { return 0 }

// Action is what to do about a VM.
type Action uint8

// Actions, from mild to strong.
const (
	Leave Action = iota
	Throttle
	Move
)

// Act decides what to do about the batch tasks on a VM next to a service; last is the standing action.
func (m *Model) Act(service string, loads []Load, last Action) (act Action, class string) {
	return Leave, ""
}
