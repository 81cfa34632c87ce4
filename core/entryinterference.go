package core

import (
	"time"

	"jayloft/interf"
)

// observeInterference updates the learnt interference of best-effort with long-running
// tasks from a heartbeat, and returns the estimates for the worker's pairs of images
// in the answer.
func (e *Entry) observeInterference(w *workerView, ans *HeartbeatAnswer) {
	window := interf.Window{Number: w.heartbeat.Window}
	for _, f := range w.heartbeat.BestEffort {
		window.Loads = append(window.Loads, interf.Load{Image: f.Image, Share: w.cpuFraction(f.Millicores)})
	}
	for _, t := range w.heartbeat.TailLatencies {
		window.TailLatencies = append(window.TailLatencies, interf.TailLatency{Image: t.Image, Utilization: t.Utilization, Tasks: t.Tasks})
	}
	e.interference.Observe(string(w.id), window)
	for _, t := range w.heartbeat.TailLatencies {
		for _, f := range w.heartbeat.ClassLoads {
			ans.Interference = append(ans.Interference, ImageInterference{LongRunning: t.Image, BestEffort: f.Class, Interference: e.interference.Interference(t.Image, f.Class)})
		}
	}
}

const (
	// interferenceSaveInterval is the time between two writes of the learnt estimates.
	// All homes learn the same, so the last write may win.
	interferenceSaveInterval = 4 * time.Second
)

// pendingInterference awaits the stored estimates, which this entry starts from.
type pendingInterference struct{}

func (pendingInterference) pendingAnswer() {}

// advanceInterference reads the stored estimates once, and from then on saves the
// learnt ones at intervals.
func (e *Entry) advanceInterference() {
	if !e.hasConfig() || e.breaker.IsOpen(e.at.Now) || e.at.Now.Before(e.nextInterference) {
		return
	}
	first := e.nextInterference.IsZero()
	e.nextInterference = e.at.Now.Add(interferenceSaveInterval)
	if first {
		e.emit(ReadRows{Token: e.expect(pendingInterference{}), Keys: []string{KeyInterference}})
		return
	}
	if known := e.interference.Snapshot(); len(known) > 0 && e.homes.self && !e.leaving {
		e.commit(pendingMember{}, nil, []Record{e.fitInterferenceRow(known)}, []string{KeyInterference})
	}
}

// handleInterferenceRead restores the stored estimates. After a fault they are read
// again at once.
func (e *Entry) handleInterferenceRead(ev RowsAnswered) {
	if ev.Fault != FaultNone {
		e.recordStoreFault("read")
		e.nextInterference = time.Time{}
		return
	}
	for _, r := range ev.View.Rows {
		if r.Version == 0 {
			continue
		}
		rec, err := Decode(r.Key, r.Value)
		if err != nil {
			e.logNote("interference row passed over", r.Key, err.Error())
			continue
		}
		if row, ok := rec.(InterferenceRow); ok {
			e.interference.Restore(row.Pairs)
		}
	}
}
