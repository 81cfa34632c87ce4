package core_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// A transaction keeps to the writes and conditions that the table takes, also where
// one job claims tasks on more workers than that; the rest follows at once.
func TestTransactionsKeepToClauseLimit(t *testing.T) {
	const most, workers = 30, 60
	p := core.DefaultPolicy()
	p.TxnEntries = most
	s := newPressSite(t, core.WithPolicy(p))
	for i := range workers {
		s.worker(core.WorkerID(fmt.Sprintf("w%02d", i)), "", 0)
	}
	s.hear()
	s.place(core.StepSpec{Count: workers, MaxPerWorker: 1})
	started := map[core.Attempt]bool{}
	for range 20 {
		s.hear()
	}
	for _, eff := range s.all {
		switch eff := eff.(type) {
		case core.Commit:
			n := len(eff.Txn.Writes) + len(eff.Txn.Conds)
			assert.Assert(t, n <= most, "%d writes and conditions", n)
		case core.Start:
			started[eff.Order.Attempt] = true
		}
	}
	assert.Equal(t, len(started), workers)
}
