package codec

import (
	"time"

	"jayloft/core"
	"jayloft/wire"
)

// InspectedFromWire converts a worker's report of its capacity and tasks.
func InspectedFromWire(m *wire.InspectResponse) core.Inspected {
	return core.Inspected{
		Boot:     m.GetBoot(),
		Capacity: SizeFromWire(m.GetCapacity()),
		Slots:    int(m.GetSlots()),
		Services: m.GetServices(),
		Tasks:    mapSlice(m.GetTasks(), workerTaskFromWire),
		Partial:  m.GetPartial(),
		Draining: m.GetDraining(),
		Rack:     core.Rack(m.GetRack()),
		Labels:   m.GetLabels(),
	}
}

func workerTaskFromWire(t *wire.WorkerTask) core.WorkerTask {
	return core.WorkerTask{
		Attempt:      AttemptFromWire(t.GetAttempt()),
		Inc:          core.Incarnation(t.GetIncarnation()),
		Class:        t.GetClass(),
		Size:         SizeFromWire(t.GetSize()),
		Used:         SizeFromWire(t.GetUsed()),
		Urgent:       t.GetUrgent(),
		State:        core.WorkerState(t.GetState()),
		End:          EndFromWire(t.GetEnd()),
		Started:      Time(t.GetStarted()),
		Checkpointed: Time(t.GetCheckpointed()),
		BestEffort:   t.GetFiller(),
		LongRunning:  t.GetLasting(),
		Target:       time.Duration(t.GetTargetNs()),
		TailLatency:  time.Duration(t.GetTailNs()),
		Saved:        t.GetSaved(),
	}
}

// LaunchToWire converts an order to launch a task at its worker.
func LaunchToWire(l core.Launch) *wire.LaunchRequest {
	return &wire.LaunchRequest{
		Attempt:     AttemptToWire(l.Order.Attempt),
		Incarnation: string(l.Order.Holder.Inc),
		Class:       l.Order.Class,
		Size:        SizeToWire(l.Order.Size),
		Urgent:      l.Order.Urgent,
		Input:       l.Order.Input,
		Deadline:    Nanos(l.Deadline),
	}
}

// RenewToWire converts an extension of the deadlines of tasks.
func RenewToWire(r core.Renew) *wire.RenewRequest {
	return &wire.RenewRequest{Attempts: AttemptsToWire(r.Attempts), Deadline: Nanos(r.Deadline)}
}

// ControlToWire converts an order to throttle, checkpoint, stop or forget a task.
func ControlToWire(c core.Control) *wire.ControlRequest {
	return &wire.ControlRequest{
		Attempt: AttemptToWire(c.Attempt),
		Verb:    string(c.Verb),
		Percent: int32(c.Percent),
		Kind:    string(c.Kind),
	}
}
