package load

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/stand"
)

const ms = time.Millisecond

// report returns a report of one load with the samples, and of the events.
func report(samples []Sample, events []event) *Report {
	l := Load{Name: "a", Service: "lookup", Rate: 10, For: Duration(4 * time.Second), Timeout: Duration(100 * ms)}
	return &Report{
		x: Experiment{Loads: []Load{l}, Phases: []Phase{
			{"early", 0, Duration(2 * time.Second)}, {"late", Duration(2 * time.Second), Duration(4 * time.Second)},
		}},
		loads:   []*loadRun{{load: l, samples: samples}},
		results: &results{events: events, slots: 2, asked: map[core.JobID]time.Duration{"u": time.Second}},
	}
}

func TestMeasures(t *testing.T) {
	done, refused := Outcome(core.OutcomeDone), Outcome(core.OutcomeRefused)
	at := func(d time.Duration, kind stand.Kind, subject, detail string, w core.WorkerID, dc core.DC) event {
		return event{stand.Entry{At: time.Unix(0, int64(d)), Kind: kind, Subject: subject, Detail: detail, Worker: w}, d, dc}
	}
	r := report([]Sample{
		{At: 100 * ms, Took: 10 * ms, Outcome: done, Tries: 1},
		{At: 200 * ms, Took: 20 * ms, Outcome: done, Tries: 3},
		{At: 300 * ms, Took: 200 * ms, Outcome: done, Tries: 1},
		{At: 2100 * ms, Took: 5 * ms, Outcome: refused, Retry: 100 * ms, Tries: 1},
		{At: 2200 * ms, Took: 7 * ms, Outcome: refused, Retry: 300 * ms},
		{At: 2300 * ms, Took: 40 * ms, Outcome: done, Tries: 1},
		{At: 2400 * ms, Took: 40 * ms, Outcome: OutcomeWrong},
	}, []event{
		at(100*ms, stand.KindCall, "a-1", "", "w1", "d1"),
		at(200*ms, stand.KindCall, "a-2", "", "w2", "d2"),
		at(300*ms, stand.KindAnswer, "a-2", "", "w2", "d2"),
		at(300*ms, stand.KindLaunch, "j.0#1", "", "w1", "d1"),
		at(300*ms, stand.KindRun, "j.0#1", "done=0s total=5s", "w1", "d1"),
		at(1200*ms, stand.KindLaunch, "u.0#1", "", "w2", "d2"),
		at(1300*ms, stand.KindPause, "j.0#1", "done=1s total=5s why=end", "w1", "d1"),
		at(1300*ms, stand.KindEnd, "j.0#1", "evicted", "w1", "d1"),
		at(2300*ms, stand.KindLaunch, "j.0#2", "", "w2", "d2"),
		at(2300*ms, stand.KindRun, "j.0#2", "done=400ms total=5s", "w2", "d2"),
		at(2500*ms, stand.KindPause, "j.0#2", "done=600ms total=5s why=kill", "w2", "d2"),
		at(3500*ms, stand.KindRun, "j.0#3", "done=500ms total=5s", "w1", "d1"),
		at(3900*ms, stand.KindEnd, "j.0#3", "done", "w1", "d1"),
		at(3950*ms, stand.KindEnd, "j.0#4", "done", "w1", "d1"),
	})
	tests := []struct {
		m    Measure
		ref  Ref
		want float64
	}{
		{"requests", Ref{}, 7},
		{"requests", Ref{Phase: "early"}, 3},
		{"p50", Ref{Phase: "early"}, 20},
		{"goodput", Ref{Phase: "early"}, 1}, // the third answer is late
		{"late", Ref{Phase: "early"}, 1.0 / 3},
		{"capacity", Ref{Phase: "early"}, 1.0 / 100},
		{"busy", Ref{Phase: "early"}, 0.1 / 4},
		{"success", Ref{Phase: "late"}, 0.25},
		{"refused", Ref{Phase: "late"}, 0.5},
		{"refusalp99", Ref{}, 7},
		{"spread", Ref{}, 2},
		{"wrong", Ref{}, 1},
		{"unsent", Ref{}, 0},
		{"retries", Ref{Phase: "early"}, 2.0 / 3},
		{"share", Ref{Worker: "w1"}, 0.5},
		{"share", Ref{DC: "d2", Phase: "late"}, 0},
		{"starts", Ref{DC: "d2", Phase: "late"}, 1},
		{"starts", Ref{Worker: "w1"}, 1},
		{"evictions", Ref{}, 1},
		{"tasks", Ref{Phase: "late"}, 1},
		{"work", Ref{Phase: "early"}, 0.5},
		{"work", Ref{Phase: "late"}, 0.1},
		{"twice", Ref{}, 1},
		{"lost", Ref{}, 0.6},
		{"recovery", Ref{}, 1},
		{"urgentp99", Ref{}, 200},
	}
	for _, tc := range tests {
		got := r.take(tc.m, tc.ref)
		assert.Assert(t, got > tc.want*0.995-1e-9 && got < tc.want*1.005+1e-9, "%s of %+v is %g, want %g", tc.m, tc.ref, got, tc.want)
	}
}

func TestJudge(t *testing.T) {
	r := report([]Sample{
		{At: 100 * ms, Took: 10 * ms, Outcome: Outcome(core.OutcomeDone)},
		{At: 2100 * ms, Took: 30 * ms, Outcome: Outcome(core.OutcomeDone)},
	}, nil)
	bound := func(f float64) *float64 { return &f }
	tests := []struct {
		check Check
		value float64
		pass  bool
	}{
		{Check{Measure: "p99", Phase: "late", Max: bound(31)}, 30, true},
		{Check{Measure: "p99", Phase: "late", Over: &Ref{Phase: "early"}, Max: bound(2)}, 3, false},
		{Check{Measure: "p99", Phase: "late", Less: &Ref{Phase: "early"}, Min: bound(19), Max: bound(21)}, 20, true},
		{Check{Measure: "refusalp99", Max: bound(50)}, -1, false}, // there is none
	}
	for _, tc := range tests {
		v := r.judge(tc.check)
		assert.Equal(t, v.Pass, tc.pass, "%+v", v)
		assert.Assert(t, v.Value > tc.value-0.1 && v.Value < tc.value+0.1, "%+v", v)
	}
}

// TestArrivals checks that the schedule depends on nothing but the load and
// the seed, and has the rate asked for.
func TestArrivals(t *testing.T) {
	l := Load{Rate: 1000, From: Duration(time.Second), For: Duration(10 * time.Second)}
	a := arrivals(l, 3)
	assert.DeepEqual(t, a, arrivals(l, 3))
	assert.Assert(t, len(a) > 9500 && len(a) < 10500, "%d arrivals", len(a))
	assert.Assert(t, a[0].At >= time.Second && a[len(a)-1].At < 11*time.Second)
	other := arrivals(l, 4)
	assert.Assert(t, a[0].At != other[0].At)
}
