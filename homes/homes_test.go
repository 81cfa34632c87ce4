package homes_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"jayloft/homes"
)

// site returns entries in data centres: strong ones of 800 and weak ones of 192 millicores
// in each.
func site(dcs, strong, weak int) []homes.Entry {
	var es []homes.Entry
	for d := range dcs {
		for i := range strong + weak {
			e := homes.Entry{ID: fmt.Sprintf("e%d-%d", d, i), DC: fmt.Sprint(d), Millicores: 800, Joined: uint64(10 + i)}
			if i >= strong {
				e.Millicores = 192
			}
			es = append(es, e)
		}
	}
	return es
}

func without(es []homes.Entry, drop func(homes.Entry) bool) []homes.Entry {
	return slices.DeleteFunc(slices.Clone(es), drop)
}

func TestHomesAreStrongAndInDifferentDCs(t *testing.T) {
	es := site(5, 3, 4)
	dcs := map[string]bool{}
	for _, id := range homes.Choose(es, 5) {
		i := slices.IndexFunc(es, func(e homes.Entry) bool { return e.ID == id })
		assert.Equal(t, es[i].Millicores, int64(800), id)
		dcs[es[i].DC] = true
	}
	assert.Equal(t, len(dcs), 5)
}

func TestFewStrongEntriesNeedNoWeakOnes(t *testing.T) {
	assert.Equal(t, len(homes.Choose(site(2, 2, 3), 5)), 4)
	assert.Equal(t, len(homes.Choose(site(1, 1, 8), 5)), 5)
	assert.Equal(t, len(homes.Choose(site(3, 0, 3), 5)), 8) // 8 x 192 millicores are enough
}

func TestEveryEntryIsAHomeWithoutABound(t *testing.T) {
	assert.Equal(t, len(homes.Choose(site(3, 1, 2), 9)), 9)
	assert.Equal(t, len(homes.Choose(site(3, 1, 0), 5)), 3)
	assert.Equal(t, len(homes.Choose(nil, 5)), 0)
}

// A restarted entry joins with a later revision. It must not displace a home.
func TestRestartElsewhereMovesNoHome(t *testing.T) {
	es := site(5, 3, 4)
	before := homes.Choose(es, 5)
	for i := range es {
		if slices.Contains(before, es[i].ID) {
			continue
		}
		again := slices.Clone(es)
		again[i].Joined, again[i].ID = 1000, "0-restarted"
		assert.DeepEqual(t, homes.Choose(again, 5), before)
	}
}

func TestLossOfADCMovesItsHomesOnly(t *testing.T) {
	es := site(5, 3, 4)
	before := homes.Choose(es, 5)
	after := homes.Choose(without(es, func(e homes.Entry) bool { return e.DC == "2" }), 5)
	kept := 0
	for _, id := range after {
		if slices.Contains(before, id) {
			kept++
		}
	}
	assert.Equal(t, len(after), 5)
	assert.Equal(t, kept, 4)
}

func TestShardsAreEven(t *testing.T) {
	const shards = 32
	for n := 1; n <= 9; n++ {
		ids := homes.Choose(site(n, 1, 0), n)
		owned := map[string]int{}
		for _, id := range homes.Assign(ids, shards) {
			owned[id]++
		}
		for id, k := range owned {
			assert.Assert(t, k <= (shards+n-1)/n, "%s owns %d of %d shards among %d", id, k, shards, n)
		}
	}
	assert.Equal(t, homes.Assign(nil, shards)[0], "")
}

// Most shards of the homes that stay must keep their owners when one home is lost: each
// move costs a read of the shard.
func TestLossOfAHomeMovesFewOtherShards(t *testing.T) {
	const shards = 32
	ids := homes.Choose(site(5, 1, 0), 5)
	before := homes.Assign(ids, shards)
	for i := range ids {
		after := homes.Assign(slices.Delete(slices.Clone(ids), i, i+1), shards)
		moved := 0
		for s := range after {
			if before[s] != ids[i] && after[s] != before[s] {
				moved++
			}
		}
		assert.Assert(t, moved <= shards/5, "%d shards of living homes moved", moved)
	}
}

// Nine entries of 0.11 cores have less than one strong one together: all of them are homes.
func TestWeakEntriesNeedMoreHomes(t *testing.T) {
	es := site(5, 2, 0)[:9]
	for i := range es {
		es[i].Millicores = 110
	}
	assert.Equal(t, len(homes.Choose(es, 5)), 9)
	assert.Equal(t, len(homes.Choose(site(5, 3, 4), 1)), 2)
}
