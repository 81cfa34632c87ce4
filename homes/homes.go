// Package homes chooses the home entries of a site: the few entries that receive the
// heartbeats of all agents and share the shards of jobs among them.
//
// It handles one load pattern: a site has many more entries than scheduling needs, of
// different power, and each heartbeat that an entry receives costs it processor time. If
// every agent reported to every entry, the cost of both would grow with the product of
// their numbers. With a bounded number of homes, an agent's cost does not depend on the
// number of entries, and an entry that is no home has no cost for agents at all: it passes
// callers' requests on to the homes.
//
// Every process chooses by itself, from the rows of the entries in the platform's table.
// Two processes with different views may choose differently for a moment; what keeps a
// task from running twice does not rest on the choice.
//
// # Usage
//
//	ids := homes.Choose(live, 5)
//	owners := homes.Assign(ids, 32)
//	first := homes.Preferred(ids, "side-1")
package homes

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Entry is an entry that may be chosen as a home.
type Entry struct {
	ID string
	DC string
	// Millicores is the processor time that the entry may use; zero if unknown.
	Millicores int64
	// Joined is the revision of the platform's table when the entry joined. An entry that
	// joined earlier is preferred, so that a restart elsewhere moves no home.
	Joined uint64
}

const (
	// strongFraction is the fraction of the largest entry's processor time from which on
	// an entry counts as strong.
	strongFraction = 0.5
	// minStrong is the number of strong entries that are enough without weaker ones: a
	// weak home would slow the shards that it owns.
	minStrong = 2
	// minMillicores is the processor time that the homes have together at least, as far as
	// there is so much: weak entries need more homes.
	minMillicores = 1500
)

// Choose returns the ids of the homes among the live entries, in order: up to n, or more if
// these have less than minMillicores together. Strong entries come first. Among those it
// spreads the homes evenly over data centres, and prefers the ones that joined first.
func Choose(live []Entry, n int) []string {
	if len(live) <= n {
		return ids(live)
	}
	n = max(n, enough(live))
	strong, weak := split(live)
	if len(strong) >= minStrong {
		return ids(spread(strong, n))
	}
	chosen := spread(strong, n)
	return ids(append(chosen, spread(weak, n-len(chosen))...))
}

// enough returns the number of the largest entries that have minMillicores together; zero
// if the processor time of some is not known.
func enough(live []Entry) int {
	es := slices.Clone(live)
	slices.SortFunc(es, Entry.compare)
	var sum int64
	for i, e := range es {
		if sum += e.Millicores; sum >= minMillicores {
			return i + 1
		}
		if e.Millicores == 0 {
			return 0
		}
	}
	return len(es)
}

// split separates strong entries from weak ones.
func split(live []Entry) (strong, weak []Entry) {
	var most int64
	for _, e := range live {
		most = max(most, e.Millicores)
	}
	for _, e := range live {
		if float64(e.Millicores) >= strongFraction*float64(most) {
			strong = append(strong, e)
		} else {
			weak = append(weak, e)
		}
	}
	return strong, weak
}

// spread returns up to n of the entries: in turn one from each data centre.
func spread(es []Entry, n int) []Entry {
	es = slices.Clone(es)
	slices.SortFunc(es, Entry.compare)
	turn := map[string]int{}
	turns := map[string]int{}
	for _, e := range es {
		turns[e.ID] = turn[e.DC]
		turn[e.DC]++
	}
	slices.SortStableFunc(es, func(a, b Entry) int { return cmp.Compare(turns[a.ID], turns[b.ID]) })
	return es[:min(n, len(es))]
}

// compare orders entries of one data centre by preference.
func (e Entry) compare(o Entry) int {
	return cmp.Or(cmp.Compare(o.Millicores, e.Millicores), cmp.Compare(e.Joined, o.Joined), cmp.Compare(e.ID, o.ID))
}

func ids(es []Entry) []string {
	s := make([]string, 0, len(es))
	for _, e := range es {
		s = append(s, e.ID)
	}
	slices.Sort(s)
	return s
}

// Assign returns the owner of each shard among the homes, or "" for all shards if there
// are no homes. Each shard goes to the home with the highest hash of both (rendezvous
// hashing), as long as that one has no more than an even part of all shards.
func Assign(homes []string, shards int) []string {
	owners := make([]string, shards)
	if len(homes) == 0 {
		return owners
	}
	most := (shards + len(homes) - 1) / len(homes)
	owned := map[string]int{}
	for s := range owners {
		best := pick(homes, strconv.Itoa(s), func(id string) bool { return owned[id] < most })
		owners[s] = best
		owned[best]++
	}
	return owners
}

// Preferred returns the home that places tasks on a worker before the other homes do; ""
// if there are no homes. Homes place by views that are a moment old: as long as each finds
// room on workers that it alone prefers, none claims room that another one has just taken.
func Preferred(homes []string, worker string) string {
	return pick(homes, worker, func(string) bool { return true })
}

// Backup returns the home that records ends of a shard's jobs if its owner does not; "" if
// there is no other home.
func Backup(homes []string, owner string, shard int) string {
	return pick(homes, strconv.Itoa(shard), func(id string) bool { return id != owner })
}

// pick returns the open home with the highest hash of its id and the key.
func pick(homes []string, key string, open func(string) bool) string {
	var best string
	var top uint64
	for _, id := range homes {
		if !open(id) {
			continue
		}
		h := xxhash.Sum64String(id + "/" + key)
		if best == "" || h > top {
			best, top = id, h
		}
	}
	return best
}
