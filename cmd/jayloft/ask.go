package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/wire"
)

const (
	entryTimeout     = 12 * time.Second // per entry and attempt
	dialTimeout      = time.Second
	minBackoff       = 200 * time.Millisecond // between rounds over all entries; doubles each round
	maxBackoff       = 2 * time.Second
	maxResponseBytes = 64 << 20 // bytes of one response
)

// outcomeInvalid is the outcome of a statement that an entry can't parse.
const outcomeInvalid = "invalid"

// statementClient sends statements to the entries in turn until one gives a final
// answer.
type statementClient struct {
	clients []wire.OperatorServiceClient
}

func newStatementClient(entries []netip.AddrPort) *statementClient {
	var ps http.Protocols
	ps.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{
		Protocols:   &ps,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}}
	a := &statementClient{}
	for _, e := range entries {
		a.clients = append(a.clients, wire.NewOperatorServiceClient(client, "http://"+e.String(), connect.WithReadMaxBytes(maxResponseBytes)))
	}
	return a
}

// ask runs a statement. It retries with the same id at the next entry until the
// outcome is final or ctx ends. It never returns "refused" after an attempt that
// may still take effect.
func (a *statementClient) ask(ctx context.Context, req *wire.DoRequest, reads bool) *wire.DoResponse {
	s := &statementRun{readOnly: reads}
	pause := minBackoff
	for {
		for _, c := range a.clients {
			if s.try(ctx, c, req) {
				return s.lastResponse
			}
		}
		if s.final() || !sleep(ctx, pause) {
			return s.result(req.GetId())
		}
		pause = min(2*pause, maxBackoff)
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

// statementRun is the state of one statement while it is retried.
type statementRun struct {
	readOnly     bool             // the statement changes nothing
	inDoubt      bool             // an earlier attempt may still take effect
	lastResponse *wire.DoResponse // nil before the first response
	lastErr      error            // of the last attempt without a response
}

// try sends the statement to one entry and reports whether the answer is final.
func (s *statementRun) try(ctx context.Context, c wire.OperatorServiceClient, req *wire.DoRequest) bool {
	if ctx.Err() != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	res, err := c.Do(ctx, connect.NewRequest(req))
	req.First = false
	if err != nil {
		s.lastErr = err
		if connected.Load() && mayHaveRun(err) {
			s.inDoubt = s.inDoubt || !s.readOnly
		}
		return false
	}
	s.lastResponse = res.Msg
	switch core.CommandOutcome(s.lastResponse.GetOutcome()) {
	case core.CommandDone, outcomeInvalid:
		return true
	case core.CommandUnknown:
		s.inDoubt = s.inDoubt || !s.readOnly
		return false
	case core.CommandConflict:
		return !s.inDoubt
	}
	// Another entry may be able to answer or accept the statement.
	return !s.inDoubt && !s.readOnly && s.lastResponse.GetRetryAfterMs() == 0
}

// final reports whether the last answer is final and a retry is pointless.
func (s *statementRun) final() bool {
	return s.lastResponse != nil && !s.inDoubt && core.CommandOutcome(s.lastResponse.GetOutcome()) != core.CommandUnknown
}

// result returns the response to report when no entry gave a final answer.
func (s *statementRun) result(id string) *wire.DoResponse {
	switch {
	case s.inDoubt:
		res := &wire.DoResponse{Outcome: string(core.CommandUnknown), Text: "the statement may have taken effect: ask again with -id " + id}
		if s.lastResponse.GetText() != "" {
			res.Text += "; the last answer was: " + s.lastResponse.GetText()
		}
		return res
	case s.lastResponse != nil:
		return s.lastResponse
	}
	res := &wire.DoResponse{Outcome: string(core.CommandRefused), Text: "no entry could be reached; nothing was changed"}
	if s.lastErr != nil {
		res.Text += ": " + s.lastErr.Error()
	}
	return res
}

// mayHaveRun reports whether a statement that was sent and whose call failed may have
// run. It can't have run if the server rejected the call.
func mayHaveRun(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnimplemented, connect.CodeInvalidArgument, connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return false
	}
	return true
}
