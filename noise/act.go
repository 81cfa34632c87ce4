package noise

import "math"

// Action is what to do about the batch tasks on a VM.
type Action uint8

// Actions, from mild to strong.
const (
	NoAction Action = iota
	Throttle
	Move // checkpoint, and start elsewhere
)

const (
	// caution is how many standard errors are added to the cost of a
	// placement. Pairs that are known to be quiet go before unknown ones.
	caution = 0.5

	// An action starts once the ratio is above its limit by sure standard
	// errors, and ends once the expected ratio is below the lower limit.
	sure          = 2.0
	throttleAbove = 1.2
	throttleBelow = 1.1
	moveAbove     = 1.6
	moveBelow     = 1.4
)

// Cost returns a penalty for the placement of level tasks of the class beside
// the service: the expected excess of the ratio over 1, and half its error.
func (m *Model) Cost(service, class string, level int) float64 {
	if level <= 0 {
		return 0
	}
	ratio, err := m.Estimate(service, class, level)
	return max(ratio-1, 0) + caution*err
}

// NextAction decides on the batch tasks on a VM beside the service, given the action
// that stands, and names the class that disturbs the service most. The tasks
// of that class are meant to be throttled, or one of them to be moved.
//
// Whether to throttle is decided by the ratio as it would be if no task were
// throttled, so that the relief by throttling doesn't end it. Moving a task
// loses more work than throttling, so a move follows only on a Throttle that
// has not helped enough.
func (m *Model) NextAction(service string, loads []Load, last Action) (act Action, class string) {
	class = m.worst(service, loads)
	if class == "" {
		return NoAction, ""
	}
	free := unthrottled(loads)
	if !m.above(service, free, last >= Throttle, throttleAbove, throttleBelow) {
		return NoAction, ""
	}
	if last >= Throttle && m.above(service, loads, last >= Move, moveAbove, moveBelow) {
		return Move, class
	}
	return Throttle, class
}

// unthrottled returns the loads as they would be if no task were throttled,
// one for each class.
func unthrottled(loads []Load) []Load {
	var free []Load
next:
	for _, l := range loads {
		for i := range free {
			if free[i].Class == l.Class {
				free[i].Level += l.Level
				continue next
			}
		}
		free = append(free, Load{Class: l.Class, Level: l.Level})
	}
	return free
}

// above reports whether the ratio is beyond a limit: the lower one if the
// action stands, otherwise surely the upper one.
func (m *Model) above(service string, loads []Load, stands bool, upper, lower float64) bool {
	mean, deviation := m.predict(service, loads)
	if stands {
		return math.Exp(mean) > lower
	}
	return math.Exp(mean-sure*deviation) > upper
}

// worst returns the class whose tasks raise the ratio most.
func (m *Model) worst(service string, loads []Load) string {
	class, most := "", 0.0
	for _, l := range unthrottled(loads) {
		if mean, _ := m.predict(service, []Load{l}); mean > most {
			class, most = l.Class, mean
		}
	}
	return class
}
