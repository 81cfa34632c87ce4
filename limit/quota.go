package limit

import "jayloft/place"

// Quota tracks the resources that each team has reserved. The zero value is
// empty.
type Quota struct {
	reserved map[string]place.Size
}

// Reserve adds s to the team's reservation. It does not check a limit.
func (q *Quota) Reserve(team string, s place.Size) {
	if q.reserved == nil {
		q.reserved = make(map[string]place.Size)
	}
	q.reserved[team] = q.reserved[team].Plus(s)
}

// Release undoes one Reserve of the same size. Teams without a reservation are
// ignored.
func (q *Quota) Release(team string, s place.Size) {
	if _, ok := q.reserved[team]; !ok {
		return
	}
	left := q.reserved[team].Minus(s)
	if left == (place.Size{}) {
		delete(q.reserved, team)
		return
	}
	q.reserved[team] = left
}

// Reserved returns the team's reservation.
func (q *Quota) Reserved(team string) place.Size { return q.reserved[team] }

// Allows reports whether the team can reserve s more within the limit.
func (q *Quota) Allows(team string, s, limit place.Size) bool {
	return q.reserved[team].Plus(s).Fits(limit)
}
