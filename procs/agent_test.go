package procs

import (
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	jio "jayloft/io"
	"jayloft/stand"
)

// shortLease is a policy with short time-outs, for tests in which a lease
// expires.
const shortLease = `lease = "4s"
permit = "1s"
suspect = "2s"
`

// awaitTaskAgent waits until a task of the job runs and returns the agent of the
// worker that runs it.
func (s *system) awaitTaskAgent(job string) *agentProc {
	s.t.Helper()
	var found *agentProc
	eventually(s.t, job+" runs", func() bool {
		for _, a := range s.agents {
			runs := count(s.journal(a.vm), stand.KindRun, func(e stand.Entry) bool {
				return e.Worker == a.worker && strings.HasPrefix(e.Subject, job+".")
			})
			if runs > 0 {
				found = a
				return true
			}
		}
		return false
	})
	return found
}

// TestPauseAgentPastLease suspends an agent's process for longer than its
// lease and then resumes it. The worker pauses the task without the agent, the
// task is rescheduled on another worker, and the agent finds that its claim has
// moved.
func TestPauseAgentPastLease(t *testing.T) {
	s := newSystem(t, systemConfig{workers: 2, entries: 2, policy: shortLease})
	r, err := s.entries[0].submit("long", "8s")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusAccepted, r.body)
	a := s.awaitTaskAgent("long")
	a.signal(syscall.SIGSTOP)
	elsewhere := func(e stand.Entry) bool { return e.Worker != a.worker && strings.HasPrefix(e.Subject, "long.") }
	eventually(t, "the task runs elsewhere", func() bool { return count(s.journals(), stand.KindRun, elsewhere) > 0 })
	a.signal(syscall.SIGCONT)
	eventually(t, "the job is done", func() bool { return s.entries[1].jobDone("long", 1) })
	s.requireDoneOnce("long", 1)
	assert.Equal(t, count(s.journals(), stand.KindEnd, func(e stand.Entry) bool { return elsewhere(e) && e.Detail == "done" }), 1)
	eventually(t, "the agent serves requests again", func() bool {
		r, err := s.entries[0].lookup("", "tinto")
		return err == nil && r.status == http.StatusOK && r.header.Get(jio.HeaderWorker) == string(a.worker)
	})
}

// TestKillAgentDuringRequest kills the agent of a running request. An
// idempotent request is retried on another worker. Any other request is not
// retried, and the caller receives the outcome unknown.
func TestKillAgentDuringRequest(t *testing.T) {
	for _, tc := range []struct {
		service string
		status  int
		outcome string
	}{
		{"lookup", http.StatusOK, "done"},
		{"proof", http.StatusGatewayTimeout, "unknown"},
	} {
		t.Run(tc.service, func(t *testing.T) {
			s := newSystem(t, systemConfig{workers: 2, entries: 1})
			e := s.entries[0]
			for _, a := range s.agents {
				s.fault(a.vm, "slow", 40)
			}
			answers := make(chan reply, 1)
			go func() {
				var r reply
				var err error
				if tc.service == "lookup" {
					r, err = e.lookup("cut", "tinto", jio.HeaderTimeout, "5s")
				} else {
					r, err = e.proof("cut", jio.HeaderTimeout, "5s")
				}
				assert.Check(t, err)
				answers <- r
			}()
			mine := func(e stand.Entry) bool { return e.Subject == "cut" }
			eventually(t, "the request runs", func() bool { return count(s.journals(), stand.KindCall, mine) == 1 })
			for _, a := range s.agents {
				s.fault(a.vm, "slow", 0)
			}
			// Kill only the first agent: the retry may reach the other one at once.
			i := slices.IndexFunc(s.agents, func(a *agentProc) bool {
				return count(s.journal(a.vm), stand.KindCall, func(e stand.Entry) bool { return mine(e) && e.Worker == a.worker }) == 1
			})
			s.agents[i].kill()
			r := <-answers
			assert.Equal(t, r.status, tc.status, r.body)
			assert.Equal(t, r.header.Get(jio.HeaderOutcome), tc.outcome)
			calls := count(s.journals(), stand.KindCall, mine)
			if tc.service == "proof" {
				assert.Equal(t, calls, 1)
			} else {
				assert.Assert(t, r.echoes("tinto"), r.body)
				assert.Equal(t, calls, 2)
			}
		})
	}
}

// TestRestartAgent kills an agent and restarts it while a task runs. The
// new process adopts the task.
func TestRestartAgent(t *testing.T) {
	s := newSystem(t, systemConfig{workers: 2, entries: 1})
	r, err := s.entries[0].submit("adopt", "3s")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusAccepted, r.body)
	a := s.awaitTaskAgent("adopt")
	a.kill()
	time.Sleep(200 * time.Millisecond)
	a.start()
	eventually(t, "the job is done", func() bool { return s.entries[0].jobDone("adopt", 1) })
	s.requireDoneOnce("adopt", 1)
	launches := count(s.journals(), stand.KindLaunch, func(e stand.Entry) bool { return strings.HasPrefix(e.Subject, "adopt.") })
	assert.Equal(t, launches, 1)
}

// TestPauseAgentInRequest suspends the only agent's process before a request is
// sent. The caller gets a response at the deadline, and the request runs at
// most once.
func TestPauseAgentInRequest(t *testing.T) {
	s := newSystem(t, systemConfig{workers: 1, entries: 1})
	a := s.agents[0]
	a.signal(syscall.SIGSTOP)
	began := time.Now()
	r, err := s.entries[0].proof("paused", jio.HeaderTimeout, "1s")
	took := time.Since(began)
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusGatewayTimeout, r.body)
	assert.Assert(t, took < 1500*time.Millisecond, "%v", took)
	a.signal(syscall.SIGCONT)
	eventually(t, "the agent serves requests again", func() bool {
		r, err := s.entries[0].lookup("", "tinto")
		return err == nil && r.status == http.StatusOK
	})
	calls := count(s.journals(), stand.KindCall, func(e stand.Entry) bool { return e.Subject == "paused" })
	assert.Assert(t, calls <= 1, "%d", calls)
}
