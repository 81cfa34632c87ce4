package core_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// A transaction stays within the limit of writes and conditions, even if one job claims
// tasks on more workers than that. The remaining claims follow in later transactions.
func TestTransactionsKeepToClauseLimit(t *testing.T) {
	const maxClauses, workers = 30, 60
	p := core.DefaultPolicy()
	p.TxnEntries = maxClauses
	s := newWorkerHarness(t, core.WithPolicy(p))
	for i := range workers {
		s.worker(core.WorkerID(fmt.Sprintf("w%02d", i)), "", 0)
	}
	s.heartbeatAll()
	s.place(core.StepSpec{Count: workers, MaxPerWorker: 1})
	started := map[core.Attempt]bool{}
	for range 20 {
		s.heartbeatAll()
	}
	for _, eff := range s.all {
		switch eff := eff.(type) {
		case core.Commit:
			n := len(eff.Txn.Writes) + len(eff.Txn.Conds)
			assert.Assert(t, n <= maxClauses, "%d writes and conditions", n)
		case core.Start:
			started[eff.Order.Attempt] = true
		}
	}
	assert.Equal(t, len(started), workers)
}
