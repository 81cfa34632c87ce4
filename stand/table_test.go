package stand

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/table"
)

func TestTableCommit(t *testing.T) {
	put := func(key, value string) table.Write { return table.Write{Key: key, Value: []byte(value)} }
	row := func(key string, version uint64, value string) table.Row {
		return table.Row{Key: key, Version: version, Value: []byte(value)}
	}
	tb := NewTable()
	steps := []struct {
		name string
		txn  table.Txn
		want table.Result
		err  string
	}{
		{"into an absent row", table.Txn{Conds: []table.Cond{{Key: "a"}}, Writes: []table.Write{put("a", "1"), put("b", "1")}},
			table.Result{Committed: true, Revision: 1}, ""},
		{"one condition of two fails", table.Txn{Conds: []table.Cond{{Key: "a"}, {Key: "b", Version: 1}}, Writes: []table.Write{put("c", "1")}},
			table.Result{Revision: 1, Conflicts: []table.Row{row("a", 1, "1")}}, ""},
		{"delete", table.Txn{Conds: []table.Cond{{Key: "a", Version: 1}}, Writes: []table.Write{{Key: "a", Delete: true}}},
			table.Result{Committed: true, Revision: 2}, ""},
		{"a deleted row is absent", table.Txn{Conds: []table.Cond{{Key: "a"}}, Writes: []table.Write{put("a", "2")}},
			table.Result{Committed: true, Revision: 3}, ""},
		{"delete again", table.Txn{Writes: []table.Write{{Key: "a", Delete: true}}},
			table.Result{Committed: true, Revision: 4}, ""},
		{"wrong in two places", table.Txn{Conds: []table.Cond{{}}, Writes: []table.Write{put("x", ""), put("x", "")}},
			table.Result{}, "stand: write 1: second write of \"x\"\nstand: condition 0 has no key"},
	}
	for _, tc := range steps {
		res, err := tb.Commit(t.Context(), tc.txn)
		if tc.err != "" {
			assert.Error(t, err, tc.err, tc.name)
			continue
		}
		assert.NilError(t, err, tc.name)
		assert.DeepEqual(t, res, tc.want)
	}
	for since, want := range map[uint64]int{0: 1, 1: 1, 3: 1, 4: 0} {
		v, err := tb.Changes(t.Context(), "", since)
		assert.NilError(t, err)
		assert.Equal(t, len(v.Rows), want, "since %d", since)
		for _, r := range v.Rows {
			assert.Equal(t, r.Deleted, since > 0)
		}
	}
	v, err := tb.Read(t.Context(), "a", "b")
	assert.NilError(t, err)
	assert.DeepEqual(t, v, table.View{Revision: 4, Rows: []table.Row{{Key: "a"}, row("b", 1, "1")}})
}

func TestTableCompacts(t *testing.T) {
	tb := NewTable(WithBudget(NewBudget(1e6, 1e6)))
	for i := range 3 * logSlack {
		_, err := tb.Commit(t.Context(), table.Txn{Writes: []table.Write{{Key: fmt.Sprint(i % 10)}}})
		assert.NilError(t, err)
	}
	assert.Assert(t, len(tb.log) < 2*logSlack, len(tb.log))
	v, err := tb.Changes(t.Context(), "", 3*logSlack-3)
	assert.NilError(t, err)
	assert.Equal(t, len(v.Rows), 3)
}

func TestTableFaults(t *testing.T) {
	now := epoch
	tests := []struct {
		fault             Fault
		value             float64
		until             time.Time
		commit, read      error
		commits, revision int
	}{
		{FaultDown, 1, time.Time{}, ErrDown, ErrDown, 1, 0},
		{FaultDown, 1, epoch, nil, nil, 1, 1},
		{FaultReadDown, 1, time.Time{}, nil, ErrDown, 1, 1},
		{FaultWriteDown, 1, time.Time{}, ErrDown, nil, 1, 0},
		{FaultLostAnswer, 2, time.Time{}, ErrLost, nil, 2, 2},
		{FaultLostAnswer, 1e-9, time.Time{}, nil, nil, 2, 2},
	}
	for _, tc := range tests {
		t.Run(fmt.Sprint(tc.fault, tc.value), func(t *testing.T) {
			tb := NewTable(WithClock(func() time.Time { return now }))
			assert.NilError(t, tb.SetFault(tc.fault, tc.value, tc.until))
			for range tc.commits {
				_, err := tb.Commit(t.Context(), table.Txn{Writes: []table.Write{{Key: "a"}}})
				assert.ErrorIs(t, err, tc.commit)
			}
			_, err := tb.Read(t.Context(), "a")
			assert.ErrorIs(t, err, tc.read)
			assert.NilError(t, tb.SetFault(tc.fault, 0, time.Time{}))
			v, err := tb.Read(t.Context(), "a")
			assert.NilError(t, err)
			assert.Equal(t, int(v.Revision), tc.revision)
		})
	}
	assert.ErrorContains(t, NewTable().SetFault("fire", 1, time.Time{}), "unknown fault")
}

func TestBudget(t *testing.T) {
	now := epoch
	p := NewPlatform(WithClock(func() time.Time { return now }), WithBudget(NewBudget(40, 80)))
	for range 15 {
		_, _ = p.Table.Commit(t.Context(), table.Txn{Writes: []table.Write{{Key: "a"}, {Key: "b"}}})
	}
	assert.ErrorIs(t, p.Objects.Put(t.Context(), "k", nil), ErrBudget)
	_, err := p.Objects.List(t.Context(), "")
	assert.NilError(t, err)
	assert.Equal(t, p.Traffic().Peak(), Traffic{Writes: 10, Rows: 20, Reads: 1, Refused: 6})
	now = now.Add(time.Second)
	assert.NilError(t, p.Objects.Put(t.Context(), "k", nil))
	assert.Equal(t, p.Traffic().Peak(), Traffic{Writes: 10, Rows: 20, Reads: 1, Refused: 6})
	assert.Equal(t, p.Traffic().Total(), Traffic{Writes: 11, Rows: 21, Reads: 1, Refused: 6})
	entries, _ := p.Journal().Since(0)
	assert.Equal(t, Peak(entries), p.Traffic().Peak())
}
