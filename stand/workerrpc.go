package stand

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/internal/codec"
	"jayloft/wire"
)

// Handler serves the worker's interface and its faults.
func (w *Worker) Handler() http.Handler {
	return mux(w, func(m *http.ServeMux) { m.Handle(wire.NewWorkerServiceHandler(workerRPC{w})) })
}

// workerRPC serves a worker.
type workerRPC struct{ worker *Worker }

func (h workerRPC) Inspect(ctx context.Context, _ *connect.Request[wire.InspectRequest]) (*connect.Response[wire.InspectResponse], error) {
	in, err := h.worker.Inspect(ctx)
	return answer(inspectedToWire(in, h.worker), err)
}

func (h workerRPC) Launch(ctx context.Context, r *connect.Request[wire.LaunchRequest]) (*connect.Response[wire.LaunchResponse], error) {
	started, reason, err := h.worker.Launch(ctx, launchFromWire(r.Msg, h.worker.model.spec.Worker))
	return answer(&wire.LaunchResponse{Started: started, Reason: reason}, err)
}

func (h workerRPC) Renew(ctx context.Context, r *connect.Request[wire.RenewRequest]) (*connect.Response[wire.RenewResponse], error) {
	err := h.worker.Renew(ctx, core.Renew{
		Attempts: codec.AttemptsFromWire(r.Msg.GetAttempts()),
		Deadline: codec.Time(r.Msg.GetDeadline()),
	})
	return answer(&wire.RenewResponse{}, err)
}

func (h workerRPC) Control(ctx context.Context, r *connect.Request[wire.ControlRequest]) (*connect.Response[wire.ControlResponse], error) {
	done, reason, err := h.worker.Control(ctx, core.Control{
		Attempt: codec.AttemptFromWire(r.Msg.GetAttempt()),
		Verb:    core.Verb(r.Msg.GetVerb()),
		Percent: int(r.Msg.GetPercent()),
		Kind:    core.EndKind(r.Msg.GetKind()),
	})
	return answer(&wire.ControlResponse{Done: done, Reason: reason}, err)
}

func (h workerRPC) Call(ctx context.Context, r *connect.Request[wire.CallRequest]) (*connect.Response[wire.CallResponse], error) {
	body, err := h.worker.Call(ctx, core.Call{
		ID:      core.RequestID(r.Msg.GetId()),
		Service: r.Msg.GetService(),
		Body:    r.Msg.GetBody(),
	})
	var failed *CallError
	if errors.As(err, &failed) {
		return answer(&wire.CallResponse{Reason: failed.Reason, Invalid: failed.Invalid}, nil)
	}
	if errors.Is(err, errKilled) {
		panic(http.ErrAbortHandler)
	}
	return answer(&wire.CallResponse{Ok: true, Body: body}, err)
}

func inspectedToWire(in core.Inspected, w *Worker) *wire.InspectResponse {
	res := &wire.InspectResponse{
		Boot:     in.Boot,
		Capacity: codec.SizeToWire(in.Capacity),
		Slots:    int32(in.Slots),
		Services: in.Services,
		Now:      codec.Nanos(w.clock()),
	}
	for _, t := range in.Tasks {
		res.Tasks = append(res.Tasks, &wire.WorkerTask{
			Attempt:      codec.AttemptToWire(t.Attempt),
			Incarnation:  string(t.Inc),
			Size:         codec.SizeToWire(t.Size),
			Used:         codec.SizeToWire(t.Used),
			State:        string(t.State),
			End:          codec.EndToWire(t.End),
			Class:        t.Class,
			Urgent:       t.Urgent,
			Started:      codec.Nanos(t.Started),
			Checkpointed: codec.Nanos(t.Checkpointed),
		})
	}
	return res
}

func launchFromWire(m *wire.LaunchRequest, w core.WorkerID) core.Launch {
	return core.Launch{
		Order: core.Order{
			Attempt: codec.AttemptFromWire(m.GetAttempt()),
			Holder:  core.Holder{Worker: w, Inc: core.Incarnation(m.GetIncarnation())},
			Class:   m.GetClass(),
			Size:    codec.SizeFromWire(m.GetSize()),
			Urgent:  m.GetUrgent(),
			Input:   m.GetInput(),
		},
		Deadline: codec.Time(m.GetDeadline()),
	}
}
