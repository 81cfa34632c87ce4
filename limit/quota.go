package limit

import "jayloft/place"

// Quota counts what teams hold. The zero value is empty.
type Quota struct {
	held map[string]place.Size
}

// Reserve adds s to what the team holds.
func (q *Quota) Reserve(team string, s place.Size) {
	if q.held == nil {
		q.held = make(map[string]place.Size)
	}
	q.held[team] = q.held[team].Plus(s)
}

// Release undoes one Take.
func (q *Quota) Release(team string, s place.Size) {
	if _, ok := q.held[team]; !ok {
		return
	}
	left := q.held[team].Minus(s)
	if left == (place.Size{}) {
		delete(q.held, team)
		return
	}
	q.held[team] = left
}

// Reserved returns what the team holds.
func (q *Quota) Reserved(team string) place.Size { return q.held[team] }

// Allows reports whether the team may take s and stay within the limit.
func (q *Quota) Allows(team string, s, limit place.Size) bool {
	return q.held[team].Plus(s).Fits(limit)
}
