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
	maxMessage   = 4 << 20 // bytes of one request to an RPC handler
	maxStatement = 64 << 10
)

func handlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessage),
	}
}

// entryRPC is EntryService.
type entryRPC struct{ s *EntryServer }

// Beat takes an agent's heartbeat.
func (h entryRPC) Beat(ctx context.Context, r *connect.Request[wire.BeatRequest]) (*connect.Response[wire.BeatResponse], error) {
	b, err := codec.HeartbeatFromWire(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	t := h.s.tokens.next()
	c := h.s.beats.add(t)
	h.s.drive.post(core.HeartbeatReceived{Token: t, Heartbeat: b})
	select {
	case a := <-c:
		return connect.NewResponse(codec.HeartbeatAnswerToWire(a)), nil
	case <-ctx.Done():
		h.s.beats.drop(t)
		return nil, ctx.Err()
	}
}

// Hear tells another entry which workers this one has heard.
func (h entryRPC) Hear(ctx context.Context, r *connect.Request[wire.HearRequest]) (*connect.Response[wire.HearResponse], error) {
	t := h.s.tokens.next()
	c := h.s.heard.add(t)
	h.s.drive.post(core.LivenessAsked{Token: t, Workers: codec.Strings[core.WorkerID](r.Msg.GetWorkers())})
	select {
	case heard := <-c:
		return connect.NewResponse(&wire.HearResponse{Heard: codec.Strings[string](heard)}), nil
	case <-ctx.Done():
		h.s.heard.drop(t)
		return nil, ctx.Err()
	}
}

// operatorRPC is OperatorService.
type operatorRPC struct{ s *EntryServer }

// Do runs one statement.
func (h operatorRPC) Do(ctx context.Context, r *connect.Request[wire.DoRequest]) (*connect.Response[wire.DoResponse], error) {
	src := r.Msg.GetStatement()
	if len(src) > maxStatement {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("statement: longer than 64 KiB"))
	}
	cmd, err := query.Parse(src, time.Now())
	if err != nil {
		return connect.NewResponse(invalid(err)), nil
	}
	id := r.Msg.GetId()
	if id == "" {
		id = rand.Text()
	}
	res := h.s.do(ctx, core.CommandAsked{ID: id, Text: src, Command: cmd})
	return connect.NewResponse(codec.ResultToWire(res)), nil
}

// do hands a command to the reducer and waits for its result, for so long as
// somebody waits for the answer.
func (s *EntryServer) do(ctx context.Context, ev core.CommandAsked) core.CommandResult {
	ctx, cancel := context.WithTimeout(ctx, commandWait)
	defer cancel()
	ev.Token = s.tokens.next()
	c := s.results.add(ev.Token)
	s.drive.post(ev)
	select {
	case res := <-c:
		return res
	case <-ctx.Done():
		s.results.drop(ev.Token)
		return core.CommandResult{
			Outcome: core.CommandUnknown,
			Text:    "no outcome is known yet: ask again with the id " + ev.ID,
		}
	}
}
