package work

import (
	"encoding/json"
	"errors"
	"slices"
)

const (
	// piecesPerJersey are a front, a back, two sleeves and a collar.
	piecesPerJersey = 5
	// maxPlies is the maximum number of layers of cloth per cut.
	maxPlies = 24
	// jerseysPerMarker is the maximum number of jerseys side by side on one marker.
	jerseysPerMarker = 4
)

// Plan is the output of a cut plan.
type Plan struct {
	Lays    []Lay          `json:"lays"`
	Jerseys map[string]int `json:"jerseys"` // by size
	Pieces  int            `json:"pieces"`
}

// Lay is one stack of cloth that is cut in one pass.
type Lay struct {
	Plies  int      `json:"plies"`
	Sizes  []string `json:"sizes"` // on the marker, each cut once per ply
	Pieces int      `json:"pieces"`
}

// CutPlan takes a size run such as "XS:3,S:10,M:22" and returns a Plan as
// JSON with exactly the number of jerseys of each size that the run specifies.
// It returns an error if the size run is malformed or empty.
func CutPlan(input string) (string, error) {
	run, err := parseCounts("input", input, sizes)
	if err != nil {
		return "", err
	}
	p := plan(run)
	if p.Pieces == 0 {
		return "", errors.New("cut plan: the size run is empty")
	}
	b, err := json.Marshal(p)
	return string(b), err
}

// plan builds lays greedily: each lay holds the sizes with the most jerseys
// remaining, and its plies are limited by the smallest of these and by maxPlies.
func plan(run []Count) Plan {
	p := Plan{Jerseys: map[string]int{}}
	left := slices.Clone(run)
	for {
		left = slices.DeleteFunc(left, func(c Count) bool { return c.N == 0 })
		if len(left) == 0 {
			return p
		}
		slices.SortStableFunc(left, func(a, b Count) int { return b.N - a.N })
		marker := left[:min(jerseysPerMarker, len(left))]
		lay := Lay{Plies: min(maxPlies, marker[len(marker)-1].N)}
		for i := range marker {
			marker[i].N -= lay.Plies
			lay.Sizes = append(lay.Sizes, marker[i].Name)
			p.Jerseys[marker[i].Name] += lay.Plies
		}
		lay.Pieces = lay.Plies * len(lay.Sizes) * piecesPerJersey
		p.Pieces += lay.Pieces
		p.Lays = append(p.Lays, lay)
	}
}
