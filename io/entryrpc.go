package io

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/internal/codec"
	"jayloft/query"
	"jayloft/wire"
)

const (
	maxMessageBytes   = 4 << 20 // of one request to an RPC handler
	maxStatementBytes = 64 << 10
)

func handlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessageBytes),
	}
}

// entryRPC implements EntryService.
type entryRPC struct{ s *EntryServer }

// Beat receives an agent's heartbeat and returns the reducer's answer.
func (h entryRPC) Beat(ctx context.Context, r *connect.Request[wire.BeatRequest]) (*connect.Response[wire.BeatResponse], error) {
	b, err := codec.HeartbeatFromWire(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	a, err := request(ctx, h.s.driver, &h.s.tokens, &h.s.heartbeats, 0, func(t core.Token) core.EntryEvent {
		return core.HeartbeatReceived{Token: t, Heartbeat: b}
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(codec.HeartbeatAnswerToWire(a)), nil
}

// Hear returns the workers that this entry receives heartbeats from, among those
// that another entry asks about.
func (h entryRPC) Hear(ctx context.Context, r *connect.Request[wire.HearRequest]) (*connect.Response[wire.HearResponse], error) {
	reply, err := request(ctx, h.s.driver, &h.s.tokens, &h.s.liveness, 0, func(t core.Token) core.EntryEvent {
		return core.LivenessAsked{Token: t, Workers: codec.Strings[core.WorkerID](r.Msg.GetWorkers())}
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.HearResponse{
		Heard: codec.Strings[string](reply.Alive), Unsure: reply.Unsure, Unsettled: codec.Strings[string](reply.Unsettled),
	}), nil
}

// operatorRPC implements OperatorService.
type operatorRPC struct{ s *EntryServer }

// Do executes one statement.
func (h operatorRPC) Do(ctx context.Context, r *connect.Request[wire.DoRequest]) (*connect.Response[wire.DoResponse], error) {
	src := r.Msg.GetStatement()
	if len(src) > maxStatementBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("statement is longer than 64 KiB"))
	}
	cmd, err := query.Parse(src, time.Now())
	if err != nil {
		return connect.NewResponse(invalidStatement(err)), nil
	}
	id, first := r.Msg.GetId(), r.Msg.GetFirst()
	if id == "" {
		id, first = rand.Text(), true
	}
	res := h.s.do(ctx, core.CommandAsked{ID: id, Text: src, Command: cmd, First: first})
	return connect.NewResponse(codec.ResultToWire(res)), nil
}

// do passes a command to the reducer and waits for its result. The outcome is
// unknown once ctx ends or commandTimeout has passed.
func (s *EntryServer) do(ctx context.Context, ev core.CommandAsked) core.CommandResult {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	res, err := request(ctx, s.driver, &s.tokens, &s.results, 0, func(t core.Token) core.EntryEvent {
		ev.Token = t
		return ev
	})
	if err != nil {
		return core.CommandResult{
			Outcome: core.CommandUnknown,
			Text:    "the outcome is not known yet; retry with id " + ev.ID,
		}
	}
	return res
}
