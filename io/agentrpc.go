package io

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/internal/codec"
	"jayloft/wire"
)

// errNoReply reports that an order was accepted but its outcome is not known
// yet.
var errNoReply = errors.New("agent did not reply to the order within 5 s; the order may still take effect")

// agentRPC implements AgentService.
type agentRPC struct{ s *AgentServer }

// Start receives an order to start an attempt and returns whether it started.
func (h agentRPC) Start(ctx context.Context, r *connect.Request[wire.StartRequest]) (*connect.Response[wire.StartResponse], error) {
	o, err := codec.StartFromWire(r.Msg, h.s.site.Worker)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	t := h.s.tokens.next()
	c := h.s.starts.add(t)
	h.s.driver.post(core.StartAsked{Token: t, Order: o})
	reply, err := await(ctx, &h.s.starts, t, c)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.StartResponse{Started: reply.Started, Reason: string(reply.Reason)}), nil
}

// Stop receives an order to stop an attempt. It doesn't wait for the stop.
func (h agentRPC) Stop(_ context.Context, r *connect.Request[wire.StopRequest]) (*connect.Response[wire.StopResponse], error) {
	ev, err := codec.StopFromWire(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	h.s.driver.post(ev)
	return connect.NewResponse(&wire.StopResponse{}), nil
}

// Settle returns the definite state of an attempt.
func (h agentRPC) Settle(ctx context.Context, r *connect.Request[wire.SettleRequest]) (*connect.Response[wire.SettleResponse], error) {
	ev, err := codec.SettleFromWire(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	ev.Token = h.s.tokens.next()
	c := h.s.settles.add(ev.Token)
	h.s.driver.post(ev)
	reply, err := await(ctx, &h.s.settles, ev.Token, c)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.SettleResponse{State: string(reply.State)}), nil
}

// Serve runs a request and returns its answer. The request continues if the
// entry cancels the call.
func (h agentRPC) Serve(ctx context.Context, r *connect.Request[wire.ServeRequest]) (*connect.Response[wire.ServeResponse], error) {
	ev, err := codec.ServeFromWire(r.Msg, time.Now())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	ev.Token = h.s.tokens.next()
	c := h.s.serves.add(ev.Token)
	h.s.driver.post(ev)
	select {
	case a := <-c:
		return connect.NewResponse(codec.ServeAnswerToWire(a)), nil
	case <-ctx.Done():
		h.s.serves.remove(ev.Token)
		return nil, ctx.Err()
	}
}

// Revoke cancels a request unless it has started, and returns its state.
func (h agentRPC) Revoke(ctx context.Context, r *connect.Request[wire.RevokeRequest]) (*connect.Response[wire.RevokeResponse], error) {
	ev, err := codec.RevokeFromWire(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	ev.Token = h.s.tokens.next()
	c := h.s.revokes.add(ev.Token)
	h.s.driver.post(ev)
	reply, err := await(ctx, &h.s.revokes, ev.Token, c)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(codec.RevokeReplyToWire(reply)), nil
}

// await waits up to replyTimeout for the reducer's reply to an order.
func await[V any](ctx context.Context, w *waiters[core.Token, V], t core.Token, c <-chan V) (V, error) {
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	var zero V
	select {
	case v := <-c:
		return v, nil
	case <-ctx.Done():
		w.remove(t)
		return zero, ctx.Err()
	case <-timer.C:
		w.remove(t)
		return zero, connect.NewError(connect.CodeUnavailable, errNoReply)
	}
}
