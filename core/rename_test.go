package core_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// queueScene is an entry with a worker, and queues that the test changes.
type queueScene struct {
	*bench
	hbs []core.Heartbeat
}

func newQueueScene(t *testing.T, queues ...core.QueueRow) *queueScene {
	s := &queueScene{bench: newBench(t), hbs: []core.Heartbeat{benchHeartbeat(0, time.Time{})}}
	s.hbs[0].Services = []core.ServiceLoad{{Service: "s"}}
	s.configure(queues...)
	return s
}

// configure puts a configuration with the queues in force.
func (s *queueScene) configure(queues ...core.QueueRow) {
	s.table.put(s.tb, core.KeyQueues, core.QueuesRow{Queues: queues})
	s.table.put(s.tb, core.KeyVersion, core.VersionRow{N: s.table.rev})
	s.pass()
}

// pass lets three seconds go by, in which the worker runs what it was told to.
func (s *queueScene) pass() {
	for range 30 {
		s.run(100 * time.Millisecond)
		s.hbs[0].Running = nil
		for _, o := range s.orders {
			s.hbs[0].Running = append(s.hbs[0].Running, o.Attempt)
		}
		s.heartbeatAll(s.hbs)
	}
}

// ask sends a request and returns the answer.
func (s *queueScene) ask(verb core.JobVerb, host, path string) core.JobAnswer {
	s.tb.Helper()
	s.replies = nil
	req := core.JobRequest{Verb: verb, Host: host, Path: path, Deadline: s.now.Add(3 * time.Second)}
	if verb == core.JobSubmit {
		req.Spec.Steps = []core.StepSpec{{Count: 1, LongRunning: true, Size: core.Size{Millicores: 500, MemoryMB: 16}}}
	}
	s.reduce(core.JobRequested{Token: core.Token(1 << 40), Request: req})
	for i := 0; i < 20 && len(s.replies) == 0; i++ {
		s.step(50 * time.Millisecond)
	}
	assert.Equal(s.tb, len(s.replies), 1)
	return s.replies[0]
}

// restart replaces the entry's process.
func (s *queueScene) restart() {
	s.e = core.NewEntry(core.EntryIdentity{ID: "e2", Addr: netip.MustParseAddrPort("127.0.0.1:7102")})
	s.pass()
}

// queueAt returns a queue of the name with a route.
func queueAt(name, host, prefix string) core.QueueRow {
	return core.QueueRow{Name: name, Host: host, Prefix: prefix, Service: "s", Attempts: 4}
}

// Guards against LOST and UNASKED: jobs were compared by the name of their queue, so that they
// were answered 410 and ran on after a cancellation once the operator had renamed it.
func TestJobStaysKnownAsItsQueueChanges(t *testing.T) {
	const path = "/q/0123456789abcdef"
	first := queueAt("a", "h.example", "/q/")
	other := queueAt("z", "h.example", "/z/")
	tests := []struct {
		name    string
		configs [][]core.QueueRow // put in force in turn after the submission
		path    string            // by which the job is asked for then
	}{
		{name: "renamed", configs: [][]core.QueueRow{{queueAt("b", "h.example", "/q/"), other}}, path: path},
		{name: "renamed twice", configs: [][]core.QueueRow{{queueAt("b", "h.example", "/q/")}, {queueAt("c", "h.example", "/q/")}}, path: path},
		{name: "renamed back", configs: [][]core.QueueRow{{queueAt("b", "h.example", "/q/")}, {first}}, path: path},
		{name: "removed and added", configs: [][]core.QueueRow{{other}, {first, other}}, path: path},
		{name: "removed and added by another name", configs: [][]core.QueueRow{{other}, {queueAt("b", "h.example", "/q/"), other}}, path: path},
		{name: "names exchanged", configs: [][]core.QueueRow{{queueAt("z", "h.example", "/q/"), queueAt("a", "h.example", "/z/")}}, path: path},
		{name: "moved", configs: [][]core.QueueRow{{queueAt("a", "h.example", "/other/")}}, path: "/other/0123456789abcdef"},
		{name: "with another service and priority", configs: [][]core.QueueRow{{{Name: "b", Host: "h.example", Prefix: "/q/", Service: "t", Priority: 3, Attempts: 1}}}, path: path},
	}
	for _, tc := range tests {
		for _, restarts := range []bool{false, true} {
			name := tc.name
			if restarts {
				name += ", entry restarted"
			}
			t.Run(name, func(t *testing.T) {
				s := newQueueScene(t, first, other)
				assert.Equal(t, s.ask(core.JobSubmit, "h.example", path).Outcome, core.JobAccepted)
				s.pass()
				for _, queues := range tc.configs {
					s.configure(queues...)
				}
				if restarts {
					s.restart()
				}
				ans := s.ask(core.JobGet, "h.example", tc.path)
				assert.Equal(t, ans.State, core.JobRunning, "%+v", ans)
				assert.Equal(t, s.ask(core.JobSubmit, "h.example", tc.path).Outcome, core.JobAccepted)
				assert.Equal(t, len(s.orders), 1, "it is one job, with one run")
				assert.Equal(t, s.ask(core.JobStop, "h.example", tc.path).Outcome, core.JobAccepted)
				rec, err := core.Decode(keyOfJob("0123456789abcdef"), s.table.rows[keyOfJob("0123456789abcdef")].Value)
				assert.NilError(t, err)
				assert.Assert(t, rec.(core.JobRow).Cancel)
				s.pass()
				assert.Equal(t, s.ask(core.JobGet, "h.example", tc.path).Outcome, core.JobAccepted)
			})
		}
	}
}

// Guards against LOST: jobs stayed with the service that their queue had when they were submitted,
// also once the operator had moved the queue to another one and taken that service's workers away.
func TestJobOfMovedQueueRunsOnItsNewService(t *testing.T) {
	without := queueAt("a", "h.example", "/q/")
	without.Service = "none"
	moved := queueAt("a", "h.example", "/q/")
	renamed := queueAt("b", "h.example", "/q/")
	rerouted := queueAt("a", "h.example", "/other/")
	for _, now := range []core.QueueRow{moved, renamed, rerouted} {
		s := newQueueScene(t, without)
		assert.Equal(t, s.ask(core.JobSubmit, "h.example", "/q/0123456789abcdef").Outcome, core.JobAccepted)
		s.pass()
		assert.Equal(t, len(s.orders), 0, "started on a worker of another service")
		s.configure(now)
		assert.Equal(t, len(s.orders), 1, "not started once its queue is %+v", now)
	}
}

// Guards against ROUTE: a job starts on no worker of a service that its queue never had.
func TestJobOfRemovedQueueKeepsItsService(t *testing.T) {
	without := queueAt("a", "h.example", "/q/")
	without.Service = "none"
	s := newQueueScene(t, without)
	assert.Equal(t, s.ask(core.JobSubmit, "h.example", "/q/0123456789abcdef").Outcome, core.JobAccepted)
	s.configure(queueAt("z", "h.example", "/z/"))
	s.pass()
	assert.Equal(t, len(s.orders), 0)
}

// Guards against a loss in an update: a row that an older build has written names no route.
func TestJobOfOlderBuildStaysKnownAsItsQueueIsRenamed(t *testing.T) {
	s := newQueueScene(t, queueAt("a", "", "/q/"))
	const id = "0123456789abcdef"
	s.table.put(t, keyOfJob(id), core.JobRow{Tasks: make([]core.TaskRow, 1), Spec: core.JobSpec{
		ID: id, Queue: "a", Service: "none", Steps: []core.StepSpec{{Count: 1, Size: core.Size{Millicores: 1}}},
	}})
	s.configure(queueAt("b", "", "/q/"), queueAt("c", "", "/c/"))
	assert.Equal(t, s.ask(core.JobGet, "", "/q/"+id).State, core.JobQueued)
	assert.Equal(t, s.ask(core.JobStop, "", "/q/"+id).Outcome, core.JobAccepted)
}

// Guards against a job that is shown or cancelled by way of a queue that it was not submitted
// to, and against a second job under its id that is accepted and never run.
func TestJobOfAnotherQueueIsNotFound(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		s := newQueueScene(t, queueAt("a", "", "/q/"), queueAt("z", "", "/z/"))
		assert.Equal(t, s.ask(core.JobSubmit, "", "/q/0123456789abcdef").Outcome, core.JobAccepted)
		s.pass()
		if restarts {
			s.restart()
		}
		assert.Equal(t, s.ask(core.JobGet, "", "/z/0123456789abcdef").Outcome, core.JobNotFound)
		assert.Equal(t, s.ask(core.JobStop, "", "/z/0123456789abcdef").Outcome, core.JobNotFound)
		assert.Equal(t, s.ask(core.JobSubmit, "", "/z/0123456789abcdef").Outcome, core.JobInvalid)
		assert.Equal(t, s.ask(core.JobGet, "", "/q/0123456789abcdef").State, core.JobRunning)
	}
}

// Guards against MIXED: the jobs of a renamed queue were left out of the count of its waiting
// jobs, those of this entry and those that another one has reported.
func TestCountOfRenamedQueue(t *testing.T) {
	s := newQueueScene(t, queueAt("a", "", "/q/"))
	s.hbs[0].Capacity = core.Size{Millicores: 400, MemoryMB: 16} // no room for a task
	s.pass()
	assert.Equal(t, s.ask(core.JobSubmit, "", "/q/0123456789abcdef").Outcome, core.JobAccepted)
	s.configure(queueAt("b", "", "/q/"))
	ans := s.ask(core.JobGet, "", "/q/")
	assert.Equal(t, ans.Outcome, core.JobAccepted, "%+v", ans)
	assert.Equal(t, ans.Pending, 1)
	rec, err := core.Decode(core.PrefixEntry+"e1", s.table.rows[core.PrefixEntry+"e1"].Value)
	assert.NilError(t, err)
	row := rec.(core.EntryRow)
	row.ID, row.Addr = "peer", "127.0.0.1:7103"
	h := newEntryHarness(t)
	h.passWithPeer(4*time.Second, func() core.EntryRow {
		row.Heartbeats++
		for i := range row.Reports {
			row.Reports[i].ReadUpTo = h.rev
		}
		return row
	})
	assert.Equal(t, h.askCount().Pending, 1, "by the report of an entry that knew the queue by another name")
}

// Guards against a request that is relayed by an entry with another configuration: the owner
// finds the job by its route.
func TestRelayedRequestNamesRoute(t *testing.T) {
	s := newQueueScene(t, queueAt("a", "", "/q/"))
	assert.Equal(t, s.ask(core.JobSubmit, "", "/q/0123456789abcdef").Outcome, core.JobAccepted)
	s.pass()
	s.replies = nil
	s.reduce(core.JobRequested{Token: 1 << 41, Request: core.JobRequest{
		Verb: core.JobGet, Relayed: true, Deadline: s.now.Add(time.Second),
		Spec: core.JobSpec{ID: "0123456789abcdef", Queue: "b", Route: core.Route{Prefix: "/q/"}},
	}})
	assert.Equal(t, len(s.replies), 1)
	assert.Equal(t, s.replies[0].State, core.JobRunning)
}
