package procs

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	jio "jayloft/io"
	"jayloft/stand"
)

// maxDrainLag bounds the time after a drain during which work may still start in
// the drained data centre.
const maxDrainLag = 5 * time.Second

// inDC reports whether the journal entry comes from a worker in data centre dc.
func (s *system) inDC(e stand.Entry, dc string) bool {
	for i, a := range s.agents {
		if a.worker == e.Worker {
			return dcOf(i) == dc
		}
	}
	return false
}

// TestDrainUnderLoad drains a data centre and returns it to service under
// requests and jobs. No request is interrupted, nothing starts there later than
// maxDrainLag after the drain, and evicted tasks complete exactly once.
func TestDrainUnderLoad(t *testing.T) {
	s := newSystem(t, systemConfig{workers: 4, entries: 2, policy: "checkpoint = \"500ms\"\n"})
	for i := range 4 {
		r, err := s.entries[i%2].submitSized(fmt.Sprintf("d%d", i), 1500, "9s", "9s")
		assert.NilError(t, err)
		assert.Equal(t, r.status, http.StatusAccepted, r.body)
	}
	inDC1 := func(e stand.Entry) bool { return s.inDC(e, "dc1") }
	eventually(t, "dc1 runs a task", func() bool { return count(s.journals(), stand.KindRun, inDC1) > 0 })
	l := s.startLoad()
	time.Sleep(time.Second)
	s.mustDo("drain dc dc1 by 2s")
	drained := time.Now()
	time.Sleep(8 * time.Second)
	s.mustDo("return dc dc1")
	returned := time.Now()
	late := func(e stand.Entry) bool {
		return inDC1(e) && e.At.After(drained.Add(maxDrainLag)) && e.At.Before(returned)
	}
	ran := s.journals()
	assert.Equal(t, count(ran, stand.KindLaunch, late), 0)
	assert.Equal(t, count(ran, stand.KindRun, late), 0)
	assert.Equal(t, count(ran, stand.KindCall, late), 0)
	eventually(t, "dc1 serves requests again", func() bool {
		return count(s.journals(), stand.KindCall, func(e stand.Entry) bool { return inDC1(e) && e.At.After(returned) }) > 0
	})
	got := s.checkRequests(l.end())
	assert.Equal(t, got["cut"]+got["unknown"]+got["failed"], 0, "%v", got)
	for i := range 4 {
		job := fmt.Sprintf("d%d", i)
		eventually(t, job+" is done", func() bool { return s.entries[0].jobDone(job, 2) })
		s.requireDoneOnce(job, 2)
	}
}

// TestKillVM kills a VM and its agent while a task runs there. The task resumes
// from its checkpoint on another worker, and the VM rejoins after its boot.
func TestKillVM(t *testing.T) {
	s := newSystem(t, systemConfig{workers: 2, entries: 2, policy: shortLease + "checkpoint = \"500ms\"\n"})
	r, err := s.entries[0].submit("vm", "6s")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusAccepted, r.body)
	a := s.awaitTaskAgent("vm")
	eventually(t, "a checkpoint is saved", func() bool {
		return count(s.journals(), stand.KindCheckpoint, func(stand.Entry) bool { return true }) > 0
	})
	s.fault(a.vm, "kill", 1)
	a.kill()
	elsewhere := func(e stand.Entry) bool { return e.Worker != a.worker && strings.HasPrefix(e.Subject, "vm.") }
	eventually(t, "the task runs elsewhere", func() bool { return count(s.journals(), stand.KindRun, elsewhere) > 0 })
	s.fault(a.vm, "kill", 0)
	a.start()
	eventually(t, "the job is done", func() bool { return s.entries[1].jobDone("vm", 1) })
	s.requireDoneOnce("vm", 1)
	eventually(t, "the VM serves requests again", func() bool {
		r, err := s.entries[0].lookup("", "tinto")
		return err == nil && r.status == http.StatusOK && r.header.Get(jio.HeaderWorker) == string(a.worker)
	})
}

// TestImport submits a malformed CSV file, which is rejected with the position
// of the error, and then a valid one.
func TestImport(t *testing.T) {
	s := newSystem(t, systemConfig{workers: 2, entries: 1})
	slips, err := os.ReadFile("../examples/fichero/slips.csv")
	assert.NilError(t, err)
	lines := strings.SplitAfter(string(slips), "\n")
	good := strings.Join(lines[:31], "")
	path := "/v1/jobs?id=slips&team=fichero&rows=10"
	r, err := s.entries[0].post(path, good+"only,two\n", "Content-Type", "text/csv")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusBadRequest)
	assert.Assert(t, strings.Contains(r.body, `"where":"32:1"`), r.body)
	r, err = s.entries[0].post(path, good, "Content-Type", "text/csv")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusAccepted, r.body)
	eventually(t, "the import is done", func() bool { return s.entries[0].jobDone("slips", 3) })
	s.requireDoneOnce("slips", 3)
}
