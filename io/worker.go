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

// Worker is a worker's own interface, as its agent uses it. Its methods block
// until the answer is there or will not come, which the events' Fault says.
// They may be called from several goroutines.
type Worker interface {
	// Inspect returns the worker's account of itself.
	Inspect(core.Inspect) core.Inspected
	// Launch starts a task.
	Launch(core.Launch) core.Launched
	// Renew moves the deadlines of tasks. The next Inspect tells what came of
	// it.
	Renew(core.Renew)
	// Control changes a task.
	Control(core.Control) core.Controlled
	// Call runs a request in the endpoint.
	Call(core.Call) core.Called
	// Close gives up connections that are not in use.
	Close()
}

// rpcWorker speaks jayloft's own protocol.
type rpcWorker struct {
	http  *http.Client
	rpc   wire.WorkerServiceClient
	calls chan struct{} // holds one element for each call
}

func newRPCWorker(vm netip.AddrPort) *rpcWorker {
	h := &http.Client{Transport: newPool(workerConns)}
	return &rpcWorker{
		http:  h,
		rpc:   wire.NewWorkerServiceClient(h, "http://"+vm.String(), clientOptions()...),
		calls: make(chan struct{}, workerCalls),
	}
}

// ask makes one call to the worker that ends by the deadline.
func ask[Q, A any](w *rpcWorker, by time.Time, req *Q,
	f func(context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*A, core.Fault) {
	if !time.Now().Before(by) {
		return nil, core.FaultNotSent
	}
	select {
	case w.calls <- struct{}{}:
		defer func() { <-w.calls }()
	default:
		return nil, core.FaultNotSent
	}
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	res, err := f(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, faultOf(err)
	}
	return res.Msg, core.FaultNone
}

// Inspect returns the worker's account.
func (w *rpcWorker) Inspect(core.Inspect) core.Inspected {
	m, fault := ask(w, time.Now().Add(workerTimeout), &wire.InspectRequest{}, w.rpc.Inspect)
	ev := codec.InspectedFromWire(m)
	ev.Fault = fault
	return ev
}

// Launch starts a task.
func (w *rpcWorker) Launch(c core.Launch) core.Launched {
	m, fault := ask(w, time.Now().Add(workerTimeout), codec.LaunchToWire(c), w.rpc.Launch)
	return core.Launched{
		Attempt: c.Order.Attempt, Started: m.GetStarted(), Reason: m.GetReason(), Fault: fault,
	}
}

// Renew moves the deadlines of tasks.
func (w *rpcWorker) Renew(c core.Renew) {
	_, _ = ask(w, time.Now().Add(workerTimeout), codec.RenewToWire(c), w.rpc.Renew)
}

// Control changes a task.
func (w *rpcWorker) Control(c core.Control) core.Controlled {
	m, fault := ask(w, time.Now().Add(workerTimeout), codec.ControlToWire(c), w.rpc.Control)
	return core.Controlled{Attempt: c.Attempt, Verb: c.Verb, Done: m.GetDone(), Fault: fault}
}

// Call runs a request in the endpoint.
func (w *rpcWorker) Call(c core.Call) core.Called {
	req := &wire.CallRequest{Id: string(c.ID), Service: c.Service, Body: c.Body}
	m, fault := ask(w, c.Deadline, req, w.rpc.Call)
	return core.Called{
		ID: c.ID, OK: m.GetOk(), Body: m.GetBody(), Text: m.GetReason(),
		Invalid: m.GetInvalid(), Fault: fault,
	}
}

// Close gives up connections that are not in use.
func (w *rpcWorker) Close() { w.http.CloseIdleConnections() }
