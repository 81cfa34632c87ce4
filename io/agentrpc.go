package io

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/internal/codec"
	"jayloft/wire"
)

// agentRPC implements AgentService.
type agentRPC struct{ s *AgentServer }

// Start receives an order to start an attempt and returns whether it started.
func (h agentRPC) Start(ctx context.Context, r *connect.Request[wire.StartRequest]) (*connect.Response[wire.StartResponse], error) {
	o, err := codec.StartFromWire(r.Msg, h.s.site.Worker)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	reply, err := request(ctx, h.s.driver, &h.s.tokens, &h.s.starts, replyTimeout, func(t core.Token) core.AgentEvent {
		return core.StartAsked{Token: t, Order: o}
	})
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
	reply, err := request(ctx, h.s.driver, &h.s.tokens, &h.s.settles, replyTimeout, func(t core.Token) core.AgentEvent {
		ev.Token = t
		return ev
	})
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
	a, err := request(ctx, h.s.driver, &h.s.tokens, &h.s.serves, 0, func(t core.Token) core.AgentEvent {
		ev.Token = t
		return ev
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(codec.ServeAnswerToWire(a)), nil
}

// Revoke cancels a request unless it has started, and returns its state.
func (h agentRPC) Revoke(ctx context.Context, r *connect.Request[wire.RevokeRequest]) (*connect.Response[wire.RevokeResponse], error) {
	ev, err := codec.RevokeFromWire(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	reply, err := request(ctx, h.s.driver, &h.s.tokens, &h.s.revokes, replyTimeout, func(t core.Token) core.AgentEvent {
		ev.Token = t
		return ev
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(codec.RevokeReplyToWire(reply)), nil
}
