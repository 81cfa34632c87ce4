package codec

import (
	"net/netip"
	"time"

	"jayloft/core"
	"jayloft/wire"
)

// HeartbeatToWire converts an agent's heartbeat.
func HeartbeatToWire(b core.Heartbeat) *wire.BeatRequest {
	return &wire.BeatRequest{
		Worker:      string(b.Worker),
		Incarnation: string(b.Inc),
		Run:         string(b.Run),
		Addr:        b.Addr.String(),
		Dc:          string(b.DC),
		Rack:        string(b.Rack),
		Sent:        Nanos(b.Sent),
		Capacity:    SizeToWire(b.Capacity),
		Committed:   SizeToWire(b.Committed),
		Batch:       SizeToWire(b.Preemptible),
		Used:        SizeToWire(b.Used),
		Slots:       int32(b.Slots),
		Services:    mapSlice(b.Services, serviceLoadToWire),
		Running:     AttemptsToWire(b.Running),
		Ends:        mapSlice(b.Ends, EndToWire),
		Config:      b.Config,
		Leaving:     b.Leaving,
		Lapsed:      b.LeaseLapsed,
		Isolated:    string(b.Isolated),
		Unsettled:   b.Unsettled,
		Unheard:     mapSlice(b.Unheard, netip.AddrPort.String),
		Gone:        Strings[string](b.Dead),
		Mix:         mapSlice(b.ClassLoads, classLoadToWire),
		Labels:      b.Labels,
		Serving:     int32(b.TargetedTasks),
		Tails:       mapSlice(b.TailLatencies, tailLatencyToWire),
		Fillers:     mapSlice(b.BestEffort, bestEffortToWire),
		Lasting:     b.LongRunning,
		Window:      b.Window,
		Slowed:      AttemptsToWire(b.Slowed),
		Launching:   AttemptsToWire(b.Launching),
	}
}

// HeartbeatFromWire converts an agent's heartbeat. It requires a worker, an
// incarnation, a run, a data centre and an ip:port address, and valid attempts.
func HeartbeatFromWire(m *wire.BeatRequest) (core.Heartbeat, error) {
	var f findings
	f.require("worker", m.GetWorker())
	f.require("incarnation", m.GetIncarnation())
	f.require("run", m.GetRun())
	f.require("dc", m.GetDc())
	for _, a := range m.GetRunning() {
		f.attempt(a)
	}
	for _, a := range m.GetSlowed() {
		f.attempt(a)
	}
	for _, a := range m.GetLaunching() {
		f.attempt(a)
	}
	for _, e := range m.GetEnds() {
		f.attempt(e.GetAttempt())
	}
	b := core.Heartbeat{
		Worker:        core.WorkerID(m.GetWorker()),
		Inc:           core.Incarnation(m.GetIncarnation()),
		Run:           core.Run(m.GetRun()),
		Addr:          f.addr("addr", m.GetAddr()),
		DC:            core.DC(m.GetDc()),
		Rack:          core.Rack(m.GetRack()),
		Sent:          Time(m.GetSent()),
		Capacity:      SizeFromWire(m.GetCapacity()),
		Committed:     SizeFromWire(m.GetCommitted()),
		Preemptible:   SizeFromWire(m.GetBatch()),
		Used:          SizeFromWire(m.GetUsed()),
		Slots:         int(m.GetSlots()),
		Services:      mapSlice(m.GetServices(), serviceLoadFromWire),
		Running:       AttemptsFromWire(m.GetRunning()),
		Ends:          mapSlice(m.GetEnds(), EndFromWire),
		Config:        m.GetConfig(),
		Leaving:       m.GetLeaving(),
		LeaseLapsed:   m.GetLapsed(),
		Isolated:      core.JobID(m.GetIsolated()),
		Unsettled:     m.GetUnsettled(),
		Unheard:       mapSlice(m.GetUnheard(), func(s string) netip.AddrPort { return f.addr("unheard", s) }),
		Dead:          Strings[core.Incarnation](m.GetGone()),
		ClassLoads:    mapSlice(m.GetMix(), classLoadFromWire),
		Labels:        m.GetLabels(),
		TargetedTasks: int(m.GetServing()),
		TailLatencies: mapSlice(m.GetTails(), tailLatencyFromWire),
		BestEffort:    mapSlice(m.GetFillers(), bestEffortFromWire),
		LongRunning:   m.GetLasting(),
		Window:        m.GetWindow(),
		Slowed:        AttemptsFromWire(m.GetSlowed()),
		Launching:     AttemptsFromWire(m.GetLaunching()),
	}
	return b, f.err("beat")
}

func serviceLoadToWire(l core.ServiceLoad) *wire.ServiceLoad {
	return &wire.ServiceLoad{
		Service: l.Service, Running: int32(l.Running), Queued: int32(l.Queued), MeanNs: int64(l.Mean),
	}
}

func serviceLoadFromWire(l *wire.ServiceLoad) core.ServiceLoad {
	return core.ServiceLoad{
		Service: l.GetService(),
		Running: int(l.GetRunning()),
		Queued:  int(l.GetQueued()),
		Mean:    time.Duration(l.GetMeanNs()),
	}
}

func classLoadToWire(c core.ClassLoad) *wire.ClassLoad {
	return &wire.ClassLoad{Class: c.Class, Running: int32(c.Running)}
}

func classLoadFromWire(c *wire.ClassLoad) core.ClassLoad {
	return core.ClassLoad{Class: c.GetClass(), Running: int(c.GetRunning())}
}

func throttleToWire(e core.Throttle) *wire.Ease {
	return &wire.Ease{Attempt: AttemptToWire(e.Attempt), Percent: int32(e.Percent)}
}

func throttleFromWire(e *wire.Ease) core.Throttle {
	return core.Throttle{Attempt: AttemptFromWire(e.GetAttempt()), Percent: int(e.GetPercent())}
}

func tailLatencyToWire(t core.ImageTailLatency) *wire.ImageTail {
	return &wire.ImageTail{Image: t.Image, Worst: t.Worst, Busy: t.Utilization, Tasks: int32(t.Tasks)}
}

func tailLatencyFromWire(t *wire.ImageTail) core.ImageTailLatency {
	return core.ImageTailLatency{Image: t.GetImage(), Worst: t.GetWorst(), Utilization: t.GetBusy(), Tasks: int(t.GetTasks())}
}

func bestEffortToWire(f core.BestEffortLoad) *wire.FillerLoad {
	return &wire.FillerLoad{Image: f.Image, Millicores: f.Millicores}
}

func bestEffortFromWire(f *wire.FillerLoad) core.BestEffortLoad {
	return core.BestEffortLoad{Image: f.GetImage(), Millicores: f.GetMillicores()}
}

func interferenceToWire(p core.ImageInterference) *wire.ImagePress {
	return &wire.ImagePress{Lasting: p.LongRunning, Filler: p.BestEffort, Press: p.Interference}
}

func interferenceFromWire(p *wire.ImagePress) core.ImageInterference {
	return core.ImageInterference{LongRunning: p.GetLasting(), BestEffort: p.GetFiller(), Interference: p.GetPress()}
}

// HeartbeatAnswerToWire converts an entry's answer to a heartbeat.
func HeartbeatAnswerToWire(a core.HeartbeatAnswer) *wire.BeatResponse {
	return &wire.BeatResponse{
		Echo:     Nanos(a.Echo),
		Fenced:   a.Fenced,
		Config:   a.Config,
		Rows:     RowsToWire(a.Rows),
		Full:     a.Full,
		Recorded: AttemptsToWire(a.Recorded),
		Moved:    AttemptsToWire(a.Moved),
		Entries:  mapSlice(a.Entries, netip.AddrPort.String),
		Prior:    string(a.Prior),
		Ease:     mapSlice(a.Throttles, throttleToWire),
		Press:    mapSlice(a.Interference, interferenceToWire),

		CheckpointNs: int64(a.Checkpoint),
	}
}

// HeartbeatAnswerFromWire converts an entry's answer to a heartbeat. An entry
// address that is not an ip:port is an error.
func HeartbeatAnswerFromWire(m *wire.BeatResponse) (core.HeartbeatAnswer, error) {
	var f findings
	a := core.HeartbeatAnswer{
		Echo:         Time(m.GetEcho()),
		Fenced:       m.GetFenced(),
		Config:       m.GetConfig(),
		Rows:         RowsFromWire(m.GetRows()),
		Full:         m.GetFull(),
		Recorded:     AttemptsFromWire(m.GetRecorded()),
		Moved:        AttemptsFromWire(m.GetMoved()),
		Entries:      mapSlice(m.GetEntries(), func(s string) netip.AddrPort { return f.addr("entries", s) }),
		Prior:        core.Incarnation(m.GetPrior()),
		Throttles:    mapSlice(m.GetEase(), throttleFromWire),
		Interference: mapSlice(m.GetPress(), interferenceFromWire),

		Checkpoint: time.Duration(m.GetCheckpointNs()),
	}
	return a, f.err("beat answer")
}
