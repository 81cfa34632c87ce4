package procs

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/stand"
)

// TestStopAgentUnderLoad shuts one of two agents down gracefully. No request may
// be interrupted, and the tasks of its worker complete exactly
// once, on the other worker.
func TestStopAgentUnderLoad(t *testing.T) {
	s := newSystem(t, systemConfig{workers: 2, entries: 2})
	r, err := s.entries[0].submitSized("j", 1500, "5s", "5s", "5s", "5s")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusAccepted, r.body)
	eventually(t, "both workers run tasks", func() bool {
		n := 0
		for _, a := range s.agents {
			n += min(1, count(s.journal(a.vm), stand.KindRun, func(e stand.Entry) bool { return e.Worker == a.worker }))
		}
		return n == 2
	})
	l := s.startLoad()
	time.Sleep(time.Second)
	assert.Equal(t, s.agents[0].stop(), 0)
	time.Sleep(time.Second)
	got := s.checkRequests(l.end())
	assert.Equal(t, got["cut"]+got["unknown"]+got["failed"], 0, "%v", got)
	eventually(t, "the job is done", func() bool { return s.entries[1].jobDone("j", 4) })
	s.requireDoneOnce("j", 4)
}

// TestReplaceEntriesUnderLoad replaces the entries one by one, as in a rolling
// upgrade. No request may be interrupted, and every job completes exactly once.
func TestReplaceEntriesUnderLoad(t *testing.T) {
	s := newSystem(t, systemConfig{workers: 2, entries: 2})
	l := s.startLoad()
	for i := range 2 {
		r, err := s.entries[len(s.entries)-1].submit(fmt.Sprintf("j%d", i), "1s", "1s")
		assert.NilError(t, err)
		assert.Equal(t, r.status, http.StatusAccepted, r.body)
		next := s.addEntry(fmt.Sprintf("entry-%d", i+3))
		eventually(t, next.name+" is ready", func() bool { return healthy(next.callers) })
		eventually(t, next.name+" serves requests", func() bool {
			r, err := next.lookup("", "tinto")
			return err == nil && r.status == http.StatusOK
		})
		l.setEntries(s.entries[i+1:]...)
		assert.Equal(t, s.entries[i].stop(), 0)
	}
	time.Sleep(time.Second)
	got := s.checkRequests(l.end())
	assert.Equal(t, got["cut"]+got["unknown"]+got["failed"], 0, "%v", got)
	last := s.entries[len(s.entries)-1]
	for i := range 2 {
		job := fmt.Sprintf("j%d", i)
		eventually(t, job+" is done", func() bool { return last.jobDone(job, 2) })
		s.requireDoneOnce(job, 2)
	}
}
