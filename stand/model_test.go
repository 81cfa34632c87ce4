package stand

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

func attempt(n uint32) core.Attempt {
	return core.Attempt{Task: core.TaskID{Job: "j"}, Number: n}
}

func launch(a core.Attempt, input string, size core.Size, deadline time.Time) core.Launch {
	return core.Launch{Order: core.Order{Attempt: a, Class: "sleep", Size: size, Input: input}, Deadline: deadline}
}

var spec = Spec{
	Worker:   "w1",
	Capacity: core.Size{Millicores: 4000, MemoryMB: 1000},
	Slots:    4,
	Services: []string{"echo"},
	Lag:      3 * time.Second,
}

var small = core.Size{Millicores: 2000, MemoryMB: 100}

func TestModelTasks(t *testing.T) {
	j, k := attempt(1), core.Attempt{Task: core.TaskID{Job: "k"}, Number: 1}
	tests := []struct {
		name string
		do   func(m *Model)
		want []string // journal from the launch on
	}{
		{"runs to its end", func(m *Model) {
			m.Launch(at(0), launch(j, "2s", small, at(60)))
		}, []string{"0s launch j.0#1", "0s run j.0#1", "2s pause j.0#1", "2s end j.0#1 done"}},
		{"failure", func(m *Model) {
			m.Launch(at(0), launch(j, "2s fail", small, at(60)))
		}, []string{"0s launch j.0#1", "0s run j.0#1", "2s pause j.0#1", "2s end j.0#1 failed"}},
		{"deadline pauses and renewal resumes", func(m *Model) {
			m.Launch(at(0), launch(j, "5s", small, at(2)))
			m.Renew(at(4), core.Renew{Attempts: []core.Attempt{j}, Deadline: at(60)})
		}, []string{
			"0s launch j.0#1", "0s run j.0#1", "2s pause j.0#1",
			"4s run j.0#1", "7s pause j.0#1", "7s end j.0#1 done",
		}},
		{"a deadline doesn't move back", func(m *Model) {
			m.Launch(at(0), launch(j, "5s", small, at(20)))
			m.Renew(at(1), core.Renew{Attempts: []core.Attempt{j}, Deadline: at(2)})
		}, []string{"0s launch j.0#1", "0s run j.0#1", "5s pause j.0#1", "5s end j.0#1 done"}},
		{"throttle", func(m *Model) {
			m.Launch(at(0), launch(j, "3s", small, at(60)))
			m.Control(at(1), core.Control{Attempt: j, Verb: core.VerbThrottle, Percent: 50})
			m.Control(at(3), core.Control{Attempt: j, Verb: core.VerbThrottle, Percent: 0})
			m.Control(at(8), core.Control{Attempt: j, Verb: core.VerbThrottle, Percent: 100})
		}, []string{
			"0s launch j.0#1", "0s run j.0#1", "3s pause j.0#1",
			"8s run j.0#1", "9s pause j.0#1", "9s end j.0#1 done",
		}},
		{"a cancelled task ends without a checkpoint", func(m *Model) {
			m.Launch(at(0), launch(j, "5s", small, at(60)))
			m.Control(at(1), core.Control{Attempt: j, Verb: core.VerbStop, Kind: core.EndCancelled})
		}, []string{"0s launch j.0#1", "0s run j.0#1", "1s pause j.0#1", "1s end j.0#1 cancelled"}},
		{"a stopped task ends once its checkpoint is saved", func(m *Model) {
			m.Launch(at(0), launch(j, "5s", small, at(60)))
			m.Control(at(1), core.Control{Attempt: j, Verb: core.VerbStop, Kind: core.EndEvicted})
			m.Advance(at(3))
			for _, c := range m.Saves() {
				m.Saved(at(4), c)
			}
		}, []string{
			"0s launch j.0#1", "0s run j.0#1", "1s pause j.0#1",
			"4s checkpoint j.0#1", "4s end j.0#1 evicted",
		}},
		{"twice the processors take twice the time", func(m *Model) {
			m.Launch(at(0), launch(j, "2s cores=4", small, at(60)))
			m.Launch(at(0), launch(k, "1s cores=4", small, at(60)))
		}, []string{
			"0s launch j.0#1", "0s run j.0#1", "0s launch k.0#1", "0s run k.0#1",
			"2s pause k.0#1", "2s end k.0#1 done", "3s pause j.0#1", "3s end j.0#1 done",
		}},
		{"a frozen VM does nothing but lets deadlines pass", func(m *Model) {
			m.Launch(at(0), launch(j, "5s", small, at(3)))
			m.SetFrozen(at(1), true)
			m.SetFrozen(at(9), false)
		}, []string{"0s launch j.0#1", "0s run j.0#1", "3s pause j.0#1"}},
		{"a worker that fails everything", func(m *Model) {
			m.SetFailing(at(0), true)
			m.Launch(at(1), launch(j, "5s", small, at(60)))
		}, []string{"1s launch j.0#1", "1s end j.0#1 failed"}},
		{"killed and booted", func(m *Model) {
			m.Launch(at(0), launch(j, "5s", small, at(60)))
			m.Kill(at(1))
			m.Boot(at(2))
		}, []string{"0s launch j.0#1", "0s run j.0#1", "1s pause j.0#1"}},
		{"a second launch changes nothing", func(m *Model) {
			m.Launch(at(0), launch(j, "2s", small, at(60)))
			m.Launch(at(1), launch(j, "2s", small, at(60)))
		}, []string{"0s launch j.0#1", "0s run j.0#1", "2s pause j.0#1", "2s end j.0#1 done"}},
		{"more than fits", func(m *Model) {
			m.Launch(at(0), launch(j, "1s", small, at(60)))
			m.Launch(at(0), launch(k, "1s", core.Size{Millicores: 1000, MemoryMB: 901}, at(60)))
			m.Control(at(0.5), core.Control{Attempt: k, Verb: core.VerbStop, Kind: core.EndCancelled})
		}, []string{
			"0s launch j.0#1", "0s run j.0#1", "0s launch k.0#1", "0s over k.0#1", "0s run k.0#1",
			"500ms pause k.0#1", "500ms end k.0#1 cancelled",
			"1.375s pause j.0#1", "1.375s end j.0#1 done",
		}},
		{"too late to launch", func(m *Model) {
			m.Launch(at(2), launch(j, "2s", small, at(2)))
		}, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			m := NewModel(spec, at(0))
			tc.do(m)
			m.Advance(at(30))
			assert.DeepEqual(t, story(m.journal), tc.want)
		})
	}
}

// story returns a journal's entries about tasks, one on each line.
func story(j *Journal) []string {
	var s []string
	entries, _ := j.Since(0)
	for _, e := range entries {
		switch e.Kind {
		case KindBoot, KindKill:
			continue
		case KindEnd:
			s = append(s, fmt.Sprintf("%v %s %s %s", e.At.Sub(epoch).Round(time.Millisecond), e.Kind, e.Subject, e.Detail))
		default:
			s = append(s, fmt.Sprintf("%v %s %s", e.At.Sub(epoch).Round(time.Millisecond), e.Kind, e.Subject))
		}
	}
	return s
}

func TestModelResumes(t *testing.T) {
	m := NewModel(spec, at(0))
	m.Launch(at(0), launch(attempt(2), "10s", small, at(60)))
	loads := m.Loads()
	assert.DeepEqual(t, loads, []Load{{Attempt: attempt(2), Input: "10s", Resume: true}})

	// Before it is loaded, neither a pause nor a stop may write progress that
	// would hide the older checkpoint.
	m.Control(at(1), core.Control{Attempt: attempt(2), Verb: core.VerbCheckpoint})
	assert.Equal(t, len(m.Saves()), 0)

	m.Loaded(at(2), attempt(2), "10s", 7*time.Second)
	m.Advance(at(30))
	assert.DeepEqual(t, story(m.journal), []string{
		"0s launch j.0#2", "2s run j.0#2", "5s pause j.0#2", "5s end j.0#2 done",
	})
}

func TestModelUsageLags(t *testing.T) {
	m := NewModel(spec, at(0))
	m.Launch(at(0), launch(attempt(1), "20s cores=1 memory=700", small, at(60)))
	used := func(s float64) core.Size { return m.Inspect(at(s)).Tasks[0].Used }
	assert.Equal(t, used(2), core.Size{})
	assert.Equal(t, used(3), core.Size{Millicores: 1000, MemoryMB: 700})
	m.Control(at(4), core.Control{Attempt: attempt(1), Verb: core.VerbThrottle, Percent: 10})
	assert.Equal(t, used(6), core.Size{Millicores: 1000, MemoryMB: 700})
	assert.Equal(t, used(7), core.Size{Millicores: 100, MemoryMB: 700})
}

func TestModelNoise(t *testing.T) {
	echo := WithService("echo", Service{Time: 10 * time.Millisecond, Noise: map[string]float64{"sleep": 1}})
	tests := []struct {
		name  string
		tasks string // input
		calls int    // running before
		want  time.Duration
	}{
		{"idle", "", 0, 10 * time.Millisecond},
		{"half the processors", "1h cores=2", 0, 13125 * time.Microsecond},
		{"busy slots", "1h cores=2", 1, 13750 * time.Microsecond},
		{"more calls than processors", "", 7, 20 * time.Millisecond},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			m := NewModel(spec, at(0), echo)
			if tc.tasks != "" {
				m.Launch(at(0), launch(attempt(1), tc.tasks, small, at(60)))
			}
			for i := range tc.calls {
				m.Begin(at(1), core.Call{ID: core.RequestID(fmt.Sprint(i)), Service: "echo"})
			}
			d, reason := m.Begin(at(1), core.Call{ID: "r", Service: "echo"})
			assert.Equal(t, reason, "")
			assert.Equal(t, d.Round(time.Microsecond), tc.want.Round(time.Microsecond))
		})
	}
	_, reason := NewModel(spec, at(0), echo).Begin(at(1), core.Call{Service: "other"})
	assert.Equal(t, reason, "no such service: other")
}

func TestOverlaps(t *testing.T) {
	e := func(s float64, k Kind, attempt string, w core.WorkerID) Entry {
		return Entry{At: at(s), Kind: k, Subject: attempt, Worker: w}
	}
	tests := []struct {
		name    string
		entries []Entry
		want    int
	}{
		{"one after the other", []Entry{
			e(0, KindRun, "j.0#1", "a"), e(2, KindPause, "j.0#1", "a"),
			e(2, KindRun, "j.0#2", "b"), e(3, KindPause, "j.0#2", "b"),
		}, 0},
		{"two places at once", []Entry{
			e(0, KindRun, "j.0#1", "a"), e(2, KindPause, "j.0#1", "a"),
			e(1, KindRun, "j.0#2", "b"), e(3, KindPause, "j.0#2", "b"),
		}, 1},
		{"the first still runs", []Entry{e(0, KindRun, "j.0#1", "a"), e(5, KindRun, "j.0#2", "b")}, 1},
		{"a long one over two", []Entry{
			e(0, KindRun, "j.0#1", "a"), e(9, KindPause, "j.0#1", "a"),
			e(1, KindRun, "j.0#2", "b"), e(2, KindPause, "j.0#2", "b"),
			e(3, KindRun, "j.0#3", "b"), e(4, KindPause, "j.0#3", "b"),
		}, 2},
		{"tasks of their own", []Entry{e(0, KindRun, "j.0#1", "a"), e(0, KindRun, "j.1#1", "b")}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, len(Overlaps(tc.entries)), tc.want)
		})
	}
}
