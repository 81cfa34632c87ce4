package procs

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/stand"
)

// TestKillEntryDuringSubmissions kills an entry while jobs are submitted to it.
// Resubmitting the jobs that were not accepted must neither lose nor duplicate
// any.
func TestKillEntryDuringSubmissions(t *testing.T) {
	s := newSystem(t, systemConfig{workers: 3, entries: 2})
	const jobs = 40
	status := make([]int, jobs)
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			if r, err := s.entries[0].submit(fmt.Sprintf("k%d", i), "100ms"); err == nil {
				status[i] = r.status
			}
		})
	}
	time.Sleep(jobs * 5 * time.Millisecond)
	s.entries[0].kill()
	wg.Wait()
	accepted := 0
	for i := range jobs {
		if status[i] == http.StatusAccepted {
			accepted++
			continue
		}
		id := fmt.Sprintf("k%d", i)
		eventually(t, id+" is resubmitted", func() bool {
			r, err := s.entries[1].submit(id, "100ms")
			return err == nil && r.status == http.StatusAccepted
		})
	}
	t.Logf("%d of %d were accepted before the kill", accepted, jobs)
	for i := range jobs {
		id := fmt.Sprintf("k%d", i)
		eventually(t, id+" is done", func() bool { return s.entries[1].jobDone(id, 1) })
		s.requireDoneOnce(id, 1)
	}
}

// TestOperatorsRace drains and returns a data centre concurrently at two
// entries, both conditional on the same configuration version. Exactly one
// command succeeds for each version, and the entries converge.
func TestOperatorsRace(t *testing.T) {
	s := newSystem(t, systemConfig{workers: 2, entries: 2})
	version := s.mustDo("show dcs").GetVersion()
	for range 8 {
		stmts := []string{"drain dc dc1 by 1s", "return dc dc1"}
		outcomes := make([]string, 2)
		var wg sync.WaitGroup
		for i, e := range s.entries {
			wg.Go(func() {
				res, err := e.do("", fmt.Sprintf("%s if version %d", stmts[i], version))
				if assert.Check(t, err) {
					outcomes[i] = res.GetOutcome()
				}
			})
		}
		wg.Wait()
		succeeded := 0
		for _, o := range outcomes {
			if o == "done" {
				succeeded++
			}
		}
		assert.Equal(t, succeeded, 1, "%v at version %d", outcomes, version)
		eventually(t, "both entries have the next version", func() bool {
			next := s.entries[0].version()
			agreed := next > version && next == s.entries[1].version()
			if agreed {
				version = next
			}
			return agreed
		})
	}
}

// version returns the version of the configuration in force at the entry.
func (e *entryProc) version() uint64 {
	res, err := e.do("", "show dcs")
	if err != nil {
		return 0
	}
	return res.GetVersion()
}

// TestPauseEntry suspends an entry's process during submissions until the
// other entries consider it dead, drains a data centre meanwhile, and resumes
// it. Its stale state must neither start work in the drained data centre nor
// duplicate a job.
func TestPauseEntry(t *testing.T) {
	s := newSystem(t, systemConfig{workers: 4, entries: 2})
	const jobs = 30
	accepted := make([]bool, jobs)
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			r, err := s.entries[0].submit(fmt.Sprintf("p%d", i), "500ms")
			accepted[i] = err == nil && r.status == http.StatusAccepted
		})
	}
	time.Sleep(jobs * 10 * time.Millisecond)
	s.entries[0].signal(syscall.SIGSTOP)
	res, err := s.entries[1].do("", "drain dc dc1 by 1s")
	assert.NilError(t, err)
	assert.Equal(t, res.GetOutcome(), "done", res.GetText())
	drained := time.Now()
	time.Sleep(8 * time.Second)
	s.entries[0].signal(syscall.SIGCONT)
	wg.Wait()
	for i := range jobs {
		id := fmt.Sprintf("p%d", i)
		if !accepted[i] {
			eventually(t, id+" is resubmitted", func() bool {
				r, err := s.entries[1].submit(id, "500ms")
				return err == nil && r.status == http.StatusAccepted
			})
		}
		for _, e := range s.entries {
			eventually(t, id+" is done at "+e.name, func() bool { return e.jobDone(id, 1) })
		}
		s.requireDoneOnce(id, 1)
	}
	late := count(s.journals(), stand.KindLaunch, func(e stand.Entry) bool {
		return s.inDC(e, "dc1") && e.At.After(drained.Add(maxDrainLag))
	})
	assert.Equal(t, late, 0)
}
