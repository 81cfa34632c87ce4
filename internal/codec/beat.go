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
		Services:    each(b.Services, loadToWire),
		Running:     AttemptsToWire(b.Running),
		Ends:        each(b.Ends, EndToWire),
		Config:      b.Config,
		Leaving:     b.Leaving,
		Lapsed:      b.LeaseLapsed,
		Gone:        Strings[string](b.Dead),
		Mix:         each(b.ClassLoads, mixToWire),
		Labels:      b.Labels,
		Serving:     int32(b.TargetedTasks),
		Tails:       each(b.TailLatencies, tailToWire),
		Fillers:     each(b.BestEffort, fillerToWire),
		Lasting:     b.LongRunning,
		Window:      b.Window,
		Slowed:      AttemptsToWire(b.Slowed),
	}
}

// HeartbeatFromWire converts an agent's heartbeat. It wants a worker, an
// incarnation, a run, an address and the time of sending.
func HeartbeatFromWire(m *wire.BeatRequest) (core.Heartbeat, error) {
	var f findings
	f.need("worker", m.GetWorker())
	f.need("incarnation", m.GetIncarnation())
	f.need("run", m.GetRun())
	f.need("dc", m.GetDc())
	for _, a := range m.GetRunning() {
		f.attempt(a)
	}
	for _, a := range m.GetSlowed() {
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
		Services:      each(m.GetServices(), loadFromWire),
		Running:       AttemptsFromWire(m.GetRunning()),
		Ends:          each(m.GetEnds(), EndFromWire),
		Config:        m.GetConfig(),
		Leaving:       m.GetLeaving(),
		LeaseLapsed:   m.GetLapsed(),
		Dead:          Strings[core.Incarnation](m.GetGone()),
		ClassLoads:    each(m.GetMix(), mixFromWire),
		Labels:        m.GetLabels(),
		TargetedTasks: int(m.GetServing()),
		TailLatencies: each(m.GetTails(), tailFromWire),
		BestEffort:    each(m.GetFillers(), fillerFromWire),
		LongRunning:   m.GetLasting(),
		Window:        m.GetWindow(),
		Slowed:        AttemptsFromWire(m.GetSlowed()),
	}
	return b, f.err("beat")
}

func loadToWire(l core.ServiceLoad) *wire.ServiceLoad {
	return &wire.ServiceLoad{
		Service: l.Service, Running: int32(l.Running), Queued: int32(l.Queued), MeanNs: int64(l.Mean),
	}
}

func loadFromWire(l *wire.ServiceLoad) core.ServiceLoad {
	return core.ServiceLoad{
		Service: l.GetService(),
		Running: int(l.GetRunning()),
		Queued:  int(l.GetQueued()),
		Mean:    time.Duration(l.GetMeanNs()),
	}
}

func mixToWire(c core.ClassLoad) *wire.ClassLoad {
	return &wire.ClassLoad{Class: c.Class, Running: int32(c.Running)}
}

func mixFromWire(c *wire.ClassLoad) core.ClassLoad {
	return core.ClassLoad{Class: c.GetClass(), Running: int(c.GetRunning())}
}

func easeToWire(e core.Throttle) *wire.Ease {
	return &wire.Ease{Attempt: AttemptToWire(e.Attempt), Percent: int32(e.Percent)}
}

func easeFromWire(e *wire.Ease) core.Throttle {
	return core.Throttle{Attempt: AttemptFromWire(e.GetAttempt()), Percent: int(e.GetPercent())}
}

func tailToWire(t core.ImageTailLatency) *wire.ImageTail {
	return &wire.ImageTail{Image: t.Image, Worst: t.Worst, Busy: t.Utilization, Tasks: int32(t.Tasks)}
}

func tailFromWire(t *wire.ImageTail) core.ImageTailLatency {
	return core.ImageTailLatency{Image: t.GetImage(), Worst: t.GetWorst(), Utilization: t.GetBusy(), Tasks: int(t.GetTasks())}
}

func fillerToWire(f core.BestEffortLoad) *wire.FillerLoad {
	return &wire.FillerLoad{Image: f.Image, Millicores: f.Millicores}
}

func fillerFromWire(f *wire.FillerLoad) core.BestEffortLoad {
	return core.BestEffortLoad{Image: f.GetImage(), Millicores: f.GetMillicores()}
}

func pressToWire(p core.ImageInterference) *wire.ImagePress {
	return &wire.ImagePress{Lasting: p.LongRunning, Filler: p.BestEffort, Press: p.Interference}
}

func pressFromWire(p *wire.ImagePress) core.ImageInterference {
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
		Entries:  each(a.Entries, netip.AddrPort.String),
		Prior:    string(a.Prior),
		Ease:     each(a.Throttles, easeToWire),
		Press:    each(a.Interference, pressToWire),

		CheckpointNs: int64(a.Checkpoint),
	}
}

// HeartbeatAnswerFromWire converts an entry's answer to a heartbeat.
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
		Entries:      each(m.GetEntries(), func(s string) netip.AddrPort { return f.addr("entries", s) }),
		Prior:        core.Incarnation(m.GetPrior()),
		Throttles:    each(m.GetEase(), easeFromWire),
		Interference: each(m.GetPress(), pressFromWire),

		Checkpoint: time.Duration(m.GetCheckpointNs()),
	}
	return a, f.err("beat answer")
}
