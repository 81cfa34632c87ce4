package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/wire"
)

const (
	askTry     = 12 * time.Second // for one entry to answer
	askDial    = time.Second
	askPause   = 200 * time.Millisecond // between rounds over the entries, doubled each time
	askPauseUp = 2 * time.Second
	maxResult  = 64 << 20 // bytes of an answer
)

// outcomeInvalid says that an entry could not read a statement.
const outcomeInvalid = "invalid"

// asker sends statements to entries in turn until one settles them.
type asker struct {
	clients []wire.OperatorServiceClient
}

func newAsker(entries []netip.AddrPort) *asker {
	var ps http.Protocols
	ps.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{
		Protocols:   &ps,
		DialContext: (&net.Dialer{Timeout: askDial}).DialContext,
	}}
	a := &asker{}
	for _, e := range entries {
		a.clients = append(a.clients, wire.NewOperatorServiceClient(client, "http://"+e.String(), connect.WithReadMaxBytes(maxResult)))
	}
	return a
}

// ask runs a statement. It goes on with the same id at the next entry while
// nothing is settled, until ctx ends. Its answer is never "refused" after a
// try that may yet take effect.
func (a *asker) ask(ctx context.Context, req *wire.DoRequest, reads bool) *wire.DoResponse {
	s := &settling{reads: reads}
	pause := askPause
	for {
		for _, c := range a.clients {
			if s.try(ctx, c, req) {
				return s.last
			}
		}
		if s.final() || !sleep(ctx, pause) {
			return s.result(req.GetId())
		}
		pause = min(2*pause, askPauseUp)
	}
}

// sleep waits for about d and reports whether ctx has not ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// settling is a statement that is asked until it is settled.
type settling struct {
	reads  bool             // the statement changes nothing
	doubt  bool             // an earlier try may yet take effect
	last   *wire.DoResponse // the last answer
	failed error            // of the last try that was not answered
}

// try asks one entry and reports whether its answer settles the statement.
func (s *settling) try(ctx context.Context, c wire.OperatorServiceClient, req *wire.DoRequest) bool {
	if ctx.Err() != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTry)
	defer cancel()
	res, err := c.Do(ctx, connect.NewRequest(req))
	if err != nil {
		s.failed = err
		if mayHaveRun(err) {
			s.doubt = s.doubt || !s.reads
		}
		return false
	}
	s.last = res.Msg
	switch core.CommandOutcome(s.last.GetOutcome()) {
	case core.CommandDone, outcomeInvalid:
		return true
	case core.CommandUnknown:
		s.doubt = s.doubt || !s.reads
		return false
	case core.CommandConflict:
		return !s.doubt
	}
	// Another entry may know or take what this one can't.
	return !s.doubt && !s.reads && s.last.GetRetryAfterMs() == 0
}

// final reports whether asking again would not help.
func (s *settling) final() bool {
	return s.last != nil && !s.doubt && core.CommandOutcome(s.last.GetOutcome()) != core.CommandUnknown
}

// result is the answer when nothing was settled.
func (s *settling) result(id string) *wire.DoResponse {
	switch {
	case s.doubt:
		res := &wire.DoResponse{Outcome: string(core.CommandUnknown), Text: "the statement may have taken effect: ask again with -id " + id}
		if s.last.GetText() != "" {
			res.Text += "; the last answer was: " + s.last.GetText()
		}
		return res
	case s.last != nil:
		return s.last
	}
	res := &wire.DoResponse{Outcome: string(core.CommandRefused), Text: "no entry could be reached; nothing was changed"}
	if s.failed != nil {
		res.Text += ": " + s.failed.Error()
	}
	return res
}

// mayHaveRun reports whether a statement whose call failed may have run. It
// has surely not if no connection was made or the server rejected the call.
func mayHaveRun(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnimplemented, connect.CodeInvalidArgument, connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return false
	}
	return true
}
