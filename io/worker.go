package io

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/internal/codec"
	"jayloft/wire"
)

// Worker is the interface through which an agent controls its worker. Methods
// block until the call has succeeded or failed; the Fault of the returned event
// tells which. They are safe for concurrent use.
type Worker interface {
	// Inspect returns the state of the worker and its tasks.
	Inspect(core.Inspect) core.Inspected
	// Launch starts a task.
	Launch(core.Launch) core.Launched
	// Renew extends the deadlines of tasks. The next Inspect shows the result.
	Renew(core.Renew)
	// Control changes the state of a running task.
	Control(core.Control) core.Controlled
	// Call sends a request to the endpoint on the worker.
	Call(core.Call) core.Called
	// Close closes idle connections.
	Close()
}

// rpcWorker calls a worker through WorkerService.
type rpcWorker struct {
	http  *http.Client
	rpc   wire.WorkerServiceClient
	calls chan struct{} // semaphore of calls in flight
}

func newRPCWorker(vm netip.AddrPort) *rpcWorker {
	h := &http.Client{Transport: newHTTP1Transport(maxWorkerConns)}
	return &rpcWorker{
		http:  h,
		rpc:   wire.NewWorkerServiceClient(h, "http://"+vm.String(), clientOptions()...),
		calls: make(chan struct{}, maxWorkerCalls),
	}
}

// callWorker calls the worker, with a deadline. Nothing is sent if the deadline
// has passed or maxWorkerCalls calls are in flight.
func callWorker[Q, A any](w *rpcWorker, deadline time.Time, req *Q,
	f func(context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*A, core.Fault) {
	if !time.Now().Before(deadline) {
		return nil, core.FaultNotSent
	}
	select {
	case w.calls <- struct{}{}:
		defer func() { <-w.calls }()
	default:
		return nil, core.FaultNotSent
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	res, err := f(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, faultOf(err)
	}
	return res.Msg, core.FaultNone
}

// Inspect returns the state of the worker and its tasks.
func (w *rpcWorker) Inspect(core.Inspect) core.Inspected {
	m, fault := callWorker(w, time.Now().Add(workerTimeout), &wire.InspectRequest{}, w.rpc.Inspect)
	ev := codec.InspectedFromWire(m)
	ev.Fault = fault
	return ev
}

// Launch starts a task.
func (w *rpcWorker) Launch(c core.Launch) core.Launched {
	m, fault := callWorker(w, time.Now().Add(workerTimeout), codec.LaunchToWire(c), w.rpc.Launch)
	return core.Launched{
		Attempt: c.Order.Attempt, Epoch: c.Epoch, Started: m.GetStarted(), Reason: m.GetReason(), Fault: fault,
	}
}

// Renew extends the deadlines of tasks.
func (w *rpcWorker) Renew(c core.Renew) {
	_, _ = callWorker(w, time.Now().Add(workerTimeout), codec.RenewToWire(c), w.rpc.Renew)
}

// Control changes the state of a running task.
func (w *rpcWorker) Control(c core.Control) core.Controlled {
	m, fault := callWorker(w, time.Now().Add(workerTimeout), codec.ControlToWire(c), w.rpc.Control)
	return core.Controlled{Attempt: c.Attempt, Verb: c.Verb, Epoch: c.Epoch, Done: m.GetDone(), Fault: fault}
}

// Call sends a request to the endpoint on the worker.
func (w *rpcWorker) Call(c core.Call) core.Called {
	req := &wire.CallRequest{Id: string(c.ID), Service: c.Service, Body: c.Body}
	m, fault := callWorker(w, c.Deadline, req, w.rpc.Call)
	return core.Called{
		ID: c.ID, OK: m.GetOk(), Body: m.GetBody(), Text: m.GetReason(),
		Invalid: m.GetInvalid(), Fault: fault,
	}
}

// Close closes idle connections.
func (w *rpcWorker) Close() { w.http.CloseIdleConnections() }
