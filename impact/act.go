package impact

import "math"

// Action is a measure against interference by the batch tasks on a VM.
type Action uint8

// Actions in ascending order of severity.
const (
	NoAction Action = iota
	Throttle
	Move // checkpoint and start on another VM
)

const (
	// errorWeight is the number of standard errors added to the cost of a
	// placement, so that pairs known not to interfere are preferred to
	// unmeasured ones.
	errorWeight = 0.5

	// An action starts once the ratio exceeds its upper limit by
	// confidenceErrors standard errors, and ends once the expected ratio is
	// below the lower limit.
	confidenceErrors = 2.0
	throttleAbove    = 1.2
	throttleBelow    = 1.1
	moveAbove        = 1.6
	moveBelow        = 1.4
)

// Cost returns a penalty for placing level tasks of the class beside the
// service: the expected excess of the ratio over 1, plus half its standard
// error.
func (m *Model) Cost(service, class string, level int) float64 {
	if level <= 0 {
		return 0
	}
	ratio, err := m.Estimate(service, class, level)
	return max(ratio-1, 0) + errorWeight*err
}

// NextAction returns the action on the batch tasks on a VM beside the service,
// given the current one, and the class that interferes most with the service.
// The caller is to throttle the tasks of that class, or to move one of them.
//
// Whether to throttle is decided by the predicted ratio without throttling, so
// that the improvement by throttling doesn't end it. Moving a task loses more
// work than throttling it, so Move follows only on a Throttle that has not
// helped enough.
func (m *Model) NextAction(service string, loads []Load, current Action) (act Action, class string) {
	class = m.worstClass(service, loads)
	if class == "" {
		return NoAction, ""
	}
	unthrottled := withoutThrottling(loads)
	if !m.exceeds(service, unthrottled, current >= Throttle, throttleAbove, throttleBelow) {
		return NoAction, ""
	}
	if current >= Throttle && m.exceeds(service, loads, current >= Move, moveAbove, moveBelow) {
		return Move, class
	}
	return Throttle, class
}

// withoutThrottling returns the loads as if no task were throttled, one for
// each class.
func withoutThrottling(loads []Load) []Load {
	var unthrottled []Load
next:
	for _, l := range loads {
		for i := range unthrottled {
			if unthrottled[i].Class == l.Class {
				unthrottled[i].Level += l.Level
				continue next
			}
		}
		unthrottled = append(unthrottled, Load{Class: l.Class, Level: l.Level})
	}
	return unthrottled
}

// exceeds reports whether the expected ratio is above the lower limit if the
// action is active, and otherwise whether the ratio is above the upper limit
// with confidence.
func (m *Model) exceeds(service string, loads []Load, active bool, upper, lower float64) bool {
	mean, deviation := m.predict(service, loads)
	if active {
		return math.Exp(mean) > lower
	}
	return math.Exp(mean-confidenceErrors*deviation) > upper
}

// worstClass returns the class whose tasks raise the ratio most, empty if none
// does.
func (m *Model) worstClass(service string, loads []Load) string {
	class, most := "", 0.0
	for _, l := range withoutThrottling(loads) {
		if mean, _ := m.predict(service, []Load{l}); mean > most {
			class, most = l.Class, mean
		}
	}
	return class
}
