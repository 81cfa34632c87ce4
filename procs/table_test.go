package procs

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTableDown makes the platform unavailable for longer than the lease. Requests
// are still served, submissions are refused or have an unknown outcome, and no
// accepted job is lost.
func TestTableDown(t *testing.T) {
	s := newSystem(t, systemConfig{workers: 2, entries: 2, policy: shortLease})
	r, err := s.entries[0].submit("before", "6s", "6s")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusAccepted, r.body)
	s.awaitTaskAgent("before")
	l := s.startLoad()
	time.Sleep(500 * time.Millisecond)
	s.fault(s.table, "down", 1)
	const outage = 8 * time.Second
	end := time.Now().Add(outage)
	var statuses []int
	for i := 0; time.Now().Before(end); i++ {
		r, err := s.entries[i%2].submit(fmt.Sprintf("during%d", i), "100ms")
		assert.NilError(t, err)
		statuses = append(statuses, r.status)
		time.Sleep(200 * time.Millisecond)
	}
	s.fault(s.table, "down", 0)
	got := s.checkRequests(l.end())
	assert.Equal(t, got["cut"]+got["unknown"]+got["failed"]+got["refused"], 0, "%v", got)
	t.Logf("status of the submissions during the outage: %v", statuses)
	for i, status := range statuses {
		assert.Assert(t, status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout, "%d", status)
		id := fmt.Sprintf("during%d", i)
		eventually(t, id+" is accepted", func() bool {
			r, err := s.entries[i%2].submit(id, "100ms")
			return err == nil && r.status == http.StatusAccepted
		})
	}
	for i := range statuses {
		id := fmt.Sprintf("during%d", i)
		eventually(t, id+" is done", func() bool { return s.entries[0].jobDone(id, 1) })
		s.requireDoneOnce(id, 1)
	}
	eventually(t, "the job from before the outage is done", func() bool { return s.entries[0].jobDone("before", 2) })
	s.requireDoneOnce("before", 2)
}

// TestLostAnswers drops the responses to many committed transactions. Commands
// and submissions that are repeated must take effect once.
func TestLostAnswers(t *testing.T) {
	s := newSystem(t, systemConfig{workers: 2, entries: 2})
	s.fault(s.table, "table.lostanswer", 0.4)
	version := s.entries[0].version()
	const commands = 6
	for i := range commands {
		stmt := fmt.Sprintf("create team lost%d", i)
		var created uint64
		for repeat := range 2 {
			eventually(t, stmt+" is done", func() bool {
				res, err := s.entries[(i+repeat)%2].do(fmt.Sprintf("op%d", i), stmt)
				if err != nil || res.GetOutcome() != "done" {
					return false
				}
				assert.Assert(t, created == 0 || created == res.GetVersion(), "%s: version %d, then version %d for the same id", stmt, created, res.GetVersion())
				created = res.GetVersion()
				return true
			})
		}
	}
	eventually(t, "every command took effect once", func() bool { return s.entries[0].version() == version+commands })
	const jobs = 15
	for i := range jobs {
		id := fmt.Sprintf("lost%d", i)
		eventually(t, id+" is accepted", func() bool {
			r, err := s.entries[i%2].submit(id, "100ms")
			return err == nil && r.status == http.StatusAccepted
		})
	}
	for i := range jobs {
		id := fmt.Sprintf("lost%d", i)
		eventually(t, id+" is done", func() bool { return s.entries[1].jobDone(id, 1) })
		s.requireDoneOnce(id, 1)
	}
}
