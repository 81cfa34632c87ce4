package core_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

// Limits of a table as platforms publish them.
const (
	tableRowBytes   = 65536
	tableTxnEntries = 100
)

// sizeScene is an entry with a table that has limits, and workers that run what they are told.
type sizeScene struct {
	*bench
	hbs   []core.Heartbeat
	fails int  // attempts of each task that fail, with a long reason
	saved int  // bytes of each checkpoint
	slow  bool // the first attempt of each job's first task runs until it is stopped
	most  int  // attempts that ran at the same time
	runs  []taskRun
}

// taskRun is an attempt that a worker has begun.
type taskRun struct {
	core.Attempt
	on core.WorkerID
	at time.Time
}

const (
	sizeRunTime = 300 * time.Millisecond
	sizeStep    = 50 * time.Millisecond
)

// newSizeScene returns a scene with this number of workers, whose ids are as long as those of
// a large site.
func newSizeScene(t *testing.T, workers int) *sizeScene {
	p := core.DefaultPolicy()
	p.WritesPerSecond, p.ReadsPerSecond = 1e6, 1e6
	p.RowBytes, p.TxnEntries, p.TxnRows = tableRowBytes, tableTxnEntries, 30
	s := &sizeScene{bench: newBench(t, core.WithPolicy(p)), hbs: make([]core.Heartbeat, workers)}
	s.table.rowBytes, s.table.txnEntries = tableRowBytes, tableTxnEntries
	for i := range s.hbs {
		s.hbs[i] = benchHeartbeat(i, s.now)
		s.hbs[i].Worker = core.WorkerID(fmt.Sprintf("side-andes-norte-a-large-%03d", i))
		s.hbs[i].Inc = core.Incarnation(fmt.Sprintf("i-7f3a91c2d4e5f607-%013d-boot", 1796000000000+i))
		s.hbs[i].Services = []core.ServiceLoad{{Service: "s"}}
	}
	s.table.put(t, core.KeyQueues, core.QueuesRow{Queues: []core.QueueRow{
		{Name: "q", Prefix: "/q/", Service: "s", Attempts: 4}, {Name: "unbounded", Prefix: "/unbounded/", Service: "s"},
	}})
	s.table.put(t, core.KeyVersion, core.VersionRow{N: 2})
	s.run(3 * time.Second)
	s.heartbeatAll(s.hbs)
	return s
}

// submit submits a job and returns the answer to the caller.
func (s *sizeScene) submit(id core.JobID, spec core.JobSpec) core.JobAnswer {
	s.tb.Helper()
	return s.submitTo("/q/", id, spec)
}

// submitTo submits a job to the queue with a prefix.
func (s *sizeScene) submitTo(prefix string, id core.JobID, spec core.JobSpec) core.JobAnswer {
	s.tb.Helper()
	s.replies = nil
	s.reduce(core.JobRequested{Token: core.Token(1 << 40), Request: core.JobRequest{
		Verb: core.JobSubmit, Path: prefix + string(id), Spec: spec, Deadline: s.now.Add(3 * time.Second),
	}})
	for range 20 {
		if len(s.replies) == 0 {
			s.step(sizeStep)
		}
	}
	assert.Assert(s.tb, len(s.replies) > 0, "job %s is not answered", id)
	return s.replies[0]
}

// play lets the workers run what they are told for a time.
func (s *sizeScene) play(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step(sizeStep)
		running := 0
		for i := range s.hbs {
			s.work(&s.hbs[i])
			running += len(s.hbs[i].Running)
		}
		s.most = max(s.most, running)
		s.orders = slices.DeleteFunc(s.orders, func(o core.Order) bool { return o.Size.Millicores == 0 })
		s.heartbeatAll(s.hbs)
		s.forget()
	}
}

// work ends the attempts of a worker and begins the ones that it was ordered to start. Each
// attempt runs for sizeRunTime.
func (s *sizeScene) work(hb *core.Heartbeat) {
	if s.now.UnixNano()/int64(sizeRunTime) == s.now.Add(-sizeStep).UnixNano()/int64(sizeRunTime) {
		return
	}
	running := hb.Running
	hb.Running, hb.Committed = nil, core.Size{}
	for _, a := range running {
		stopped := slices.Contains(s.stops, a)
		if s.slow && a.Task.N == 0 && a.Number == 1 && !stopped {
			hb.Running = append(hb.Running, a)
			continue
		}
		end := core.End{Attempt: a, Kind: core.EndDone, Started: true, Saved: strings.Repeat("c", s.saved)}
		if int(a.Number) <= s.fails {
			end.Kind, end.Reason = core.EndFailed, "failed: "+strings.Repeat("x", 1000)
		}
		if stopped {
			end.Kind = core.EndEvicted
		}
		hb.Ends = append(hb.Ends, end)
	}
	for i, o := range s.orders {
		if o.Holder.Worker == hb.Worker && o.Size.Millicores > 0 {
			hb.Running = append(hb.Running, o.Attempt)
			s.runs = append(s.runs, taskRun{Attempt: o.Attempt, on: hb.Worker, at: s.now})
			hb.Committed = hb.Committed.Plus(o.Size)
			s.orders[i].Size = core.Size{} // begun
		}
	}
}

// forget drops the ends that the entry has acknowledged.
func (s *sizeScene) forget() {
	for i := range s.hbs {
		s.hbs[i].Ends = slices.DeleteFunc(s.hbs[i].Ends, func(e core.End) bool { return slices.Contains(s.recorded, e.Attempt) })
	}
	s.recorded = nil
}

func (s *sizeScene) job(id core.JobID) core.JobRow {
	s.tb.Helper()
	rec, err := core.Decode(keyOfJob(id), s.table.rows[keyOfJob(id)].Value)
	assert.NilError(s.tb, err)
	return rec.(core.JobRow)
}

// largeSpec is a job of some steps of a width, of which each waits for the one before.
func largeSpec(steps, width int) core.JobSpec {
	spec := core.JobSpec{Input: strings.Repeat("i", 4000)}
	for i := range steps {
		st := core.StepSpec{Count: width, Size: core.Size{Millicores: 250, MemoryMB: 16}, Estimate: sizeRunTime}
		if i > 0 {
			st.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, st)
	}
	return spec
}

// Guards against LOST: the row of an accepted job outgrew the table's limit while its tasks
// ran, the table refused it for good, and the entry wrote nothing else any more.
func TestLargeJobsEndWithinRowLimit(t *testing.T) {
	tests := []struct {
		name                  string
		steps, width, workers int
		fails, saved          int
		wantAtOnce            int // that many attempts run at the same time
		maxSeconds            int
	}{
		{name: "of 5 x 160 tasks at once", steps: 5, width: 160, workers: 300, wantAtOnce: 160, maxSeconds: 20},
		{name: "of 1,024 tasks at once", steps: 1, width: 1024, workers: 300, wantAtOnce: 200, maxSeconds: 20},
		{name: "of 64 steps", steps: 64, width: 16, workers: 40, wantAtOnce: 16, maxSeconds: 80},
		{name: "whose tasks fail three times", steps: 1, width: 1024, workers: 300, fails: 3, wantAtOnce: 50, maxSeconds: 120},
		{name: "with long checkpoints", steps: 1, width: 800, workers: 300, fails: 2, saved: 300, wantAtOnce: 20, maxSeconds: 120},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newSizeScene(t, tc.workers)
			s.fails, s.saved = tc.fails, tc.saved
			const large = "00000000000000aa"
			assert.Equal(t, s.submit(large, largeSpec(tc.steps, tc.width)).Outcome, core.JobAccepted)
			for range tc.maxSeconds {
				s.play(time.Second)
				if row := s.job(large); row.State() == core.JobDone {
					break
				}
			}
			row := s.job(large)
			assert.Equal(t, row.State(), core.JobDone)
			assert.Equal(t, s.table.rejected, 0, "transactions rejected")
			assert.Assert(t, s.most >= tc.wantAtOnce, "%d attempts ran at once", s.most)
			t.Logf("%d bytes written for %d starts, at most %d at once", s.table.bytesWritten, s.starts, s.most)
		})
	}
}

// Guards against a job that is accepted though the ends of its tasks can't be stored: it is
// refused at once, with the reason.
func TestJobThatOutgrowsItsRowIsRefused(t *testing.T) {
	s := newSizeScene(t, 3)
	spec := largeSpec(64, 16)
	for i := range spec.Steps {
		spec.Steps[i].Label = strings.Repeat("l", 200)
	}
	ans := s.submit("00000000000000ab", spec)
	assert.Equal(t, ans.Outcome, core.JobInvalid)
	assert.Assert(t, strings.Contains(ans.Text, "the table allows 65536"), ans.Text)
	long := s.submit(core.JobID(strings.Repeat("a", 200)), largeSpec(1, 1))
	assert.Equal(t, long.Outcome, core.JobInvalid)
	assert.Equal(t, s.table.rejected, 0)
}

// Guards against one bad row that holds up its neighbours: a transaction that the table rejects
// is split, the other jobs of the entry go on, and the one that is rejected is told.
func TestRejectedRowHoldsUpNoOtherJob(t *testing.T) {
	s := newSizeScene(t, 3)
	s.table.rowBytes = 2000 // less than the entry knows
	const large = "00000000000000ac"
	s.delay = 100 * time.Millisecond // the submissions share a transaction
	s.replies = nil
	for i, id := range []core.JobID{"00000000000000b0", large, "00000000000000b1", "00000000000000b2"} {
		spec := largeSpec(1, 2)
		if spec.Input = "i"; id == large {
			spec.Input = strings.Repeat("i", 4000)
		}
		s.reduce(core.JobRequested{Token: core.Token(1<<40 + i), Request: core.JobRequest{
			Verb: core.JobSubmit, Path: "/q/" + string(id), Spec: spec, Deadline: s.now.Add(3 * time.Second),
		}})
	}
	s.play(3 * time.Second)
	outcomes := map[core.JobOutcome]int{}
	for _, r := range s.replies {
		outcomes[r.Outcome]++
	}
	assert.DeepEqual(t, outcomes, map[core.JobOutcome]int{core.JobAccepted: 3, core.JobInvalid: 1})
	for _, id := range []core.JobID{"00000000000000b0", "00000000000000b1", "00000000000000b2"} {
		row := s.job(id)
		assert.Equal(t, row.State(), core.JobDone, id)
	}
}

// Guards against the same for a job that is stored: its row is rejected from then on, its
// neighbours end, and it ends too once the table takes its row again.
func TestStoredJobSurvivesRejections(t *testing.T) {
	s := newSizeScene(t, 3)
	const large, small = "00000000000000ad", "00000000000000b3"
	assert.Equal(t, s.submit(large, largeSpec(2, 2)).Outcome, core.JobAccepted)
	s.table.rowBytes = 2000
	s.play(2 * time.Second)
	spec := largeSpec(2, 2)
	spec.Input = "i"
	assert.Equal(t, s.submit(small, spec).Outcome, core.JobAccepted)
	s.play(3 * time.Second)
	row := s.job(small)
	assert.Equal(t, row.State(), core.JobDone)
	s.replies = nil
	s.reduce(core.JobRequested{Token: 1 << 41, Request: core.JobRequest{Verb: core.JobStop, Path: "/q/" + large, Deadline: s.now.Add(3 * time.Second)}})
	s.play(2 * time.Second)
	assert.Assert(t, len(s.replies) == 1, "a cancellation that can't be stored is answered at once")
	assert.Equal(t, s.replies[0].Outcome, core.JobRefused)
	s.table.rowBytes = tableRowBytes
	s.play(70 * time.Second)
	row = s.job(large)
	assert.Equal(t, row.State(), core.JobDone)
}
