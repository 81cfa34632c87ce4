package main

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/subcommands"
	"gotest.tools/v3/assert"

	"jayloft/wire"
)

// fakeEntry answers statements with answers in turn, the last one for ever. A
// nil answer cuts the connection after the statement has arrived.
type fakeEntry struct {
	mu      sync.Mutex
	asked   []*wire.DoRequest
	answers []*wire.DoResponse
}

func (e *fakeEntry) Do(_ context.Context, r *connect.Request[wire.DoRequest]) (*connect.Response[wire.DoResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked = append(e.asked, r.Msg)
	res := e.answers[0]
	if len(e.answers) > 1 {
		e.answers = e.answers[1:]
	}
	if res == nil {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(res), nil
}

// serve starts the entry and returns its address.
func (e *fakeEntry) serve(t *testing.T) netip.AddrPort {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wire.NewOperatorServiceHandler(e))
	srv := httptest.NewUnstartedServer(mux)
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// closedAddr returns an address that nobody listens on.
func closedAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func TestQuery(t *testing.T) {
	done := &wire.DoResponse{Outcome: "done", Text: "dc med-1 is out", Version: 42}
	busy := &wire.DoResponse{Outcome: "refused", Text: "the table does not answer", RetryAfterMs: 1500}
	tests := []struct {
		name      string
		statement string
		answers   [][]*wire.DoResponse // of each entry
		want      subcommands.ExitStatus
		out, errs string // parts of the output
		asked     []int  // calls of each entry; -1: any number
	}{
		{
			name: "done", statement: "drain dc med-1", answers: [][]*wire.DoResponse{{done}},
			want: subcommands.ExitSuccess, out: "done: dc med-1 is out (version 42)\n", asked: []int{1},
		},
		{
			name: "rows", statement: "show dcs", want: subcommands.ExitSuccess, asked: []int{1},
			answers: [][]*wire.DoResponse{{{
				Outcome: "done", Version: 7, Columns: []string{"dc", "state"}, Text: "just started",
				Rows: []*wire.Cells{{Cells: []string{"bog-1", "in"}}, {Cells: []string{"m", ""}}},
			}}},
			out: "dc     state\nbog-1  in\nm      -\n2 rows (version 7)\n", errs: "note: just started\n",
		},
		{
			name: "another entry takes what one can't", statement: "drain dc med-1",
			answers: [][]*wire.DoResponse{{busy}, {done}}, want: subcommands.ExitSuccess, out: "done: ", asked: []int{1, 1},
		},
		{
			name: "refused by all", statement: "drain dc med-1", answers: [][]*wire.DoResponse{{busy}, {busy}},
			want: subcommands.ExitFailure, errs: "refused: the table does not answer; try again in 1.5s\n", asked: []int{1, 1},
		},
		{
			name: "conflict", statement: "drain dc med-1 if version 4",
			answers: [][]*wire.DoResponse{{{Outcome: "conflict", Text: "another command came first", Version: 5}}, {done}},
			want:    subcommands.ExitFailure, errs: "conflict: another command came first (version 5)\n", asked: []int{1, 0},
		},
		{
			name: "invalid at the entry", statement: "show dcs",
			answers: [][]*wire.DoResponse{{{Outcome: "invalid", Text: "bad", Findings: []*wire.Finding{{Line: 1, Column: 6, Text: "no dcs"}}}}},
			want:    subcommands.ExitUsageError, errs: "invalid: bad\n1:6: no dcs\n", asked: []int{1},
		},
		{
			name: "cut, then done", statement: "drain dc med-1", answers: [][]*wire.DoResponse{{nil}, {done}},
			want: subcommands.ExitSuccess, out: "done: ", asked: []int{1, 1},
		},
		{
			name: "cut, then refused, is unknown", statement: "drain dc med-1", answers: [][]*wire.DoResponse{{nil}, {busy}},
			want: exitUnknown, errs: "ask again with -id", asked: []int{-1, -1},
		},
		{
			name: "unknown, then done", statement: "drain dc med-1",
			answers: [][]*wire.DoResponse{{{Outcome: "unknown"}, done}}, want: subcommands.ExitSuccess, out: "done: ", asked: []int{2},
		},
		{
			name: "a cut read is asked again", statement: "show dcs", answers: [][]*wire.DoResponse{{nil}, {busy}},
			want: subcommands.ExitFailure, errs: "refused: the table", asked: []int{1, 1},
		},
		{
			name: "another entry knows the reason", statement: "why job j",
			answers: [][]*wire.DoResponse{{{Outcome: "refused", Text: "this entry knows no job"}}, {done}},
			want:    subcommands.ExitSuccess, out: "done: ", asked: []int{1, 1},
		},
		{
			name: "invalid here", statement: "show dc; drain", want: subcommands.ExitUsageError,
			answers: [][]*wire.DoResponse{{done}}, errs: "1:6: show takes", asked: []int{0},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := queryCommand{id: "op-1", timeout: 2 * time.Second}
			var entries []*fakeEntry
			for _, answers := range tc.answers {
				e := &fakeEntry{answers: answers}
				entries = append(entries, e)
				c.entries = append(c.entries, e.serve(t))
			}
			var out, errs bytes.Buffer
			assert.Equal(t, c.run(t.Context(), &out, &errs, []string{tc.statement}), tc.want, errs.String())
			assert.Assert(t, strings.Contains(out.String(), tc.out), out.String())
			assert.Assert(t, strings.Contains(errs.String(), tc.errs), errs.String())
			for i, e := range entries {
				if tc.asked[i] >= 0 {
					assert.Equal(t, len(e.asked), tc.asked[i])
				}
				for _, r := range e.asked {
					assert.Equal(t, r.GetId(), "op-1")
					assert.Equal(t, r.GetStatement(), tc.statement)
				}
			}
		})
	}
}

func TestQueryReachesNobody(t *testing.T) {
	c := queryCommand{entries: addrList{closedAddr(t)}, timeout: 500 * time.Millisecond}
	var out, errs bytes.Buffer
	assert.Equal(t, c.run(t.Context(), &out, &errs, []string{"drain dc med-1"}), subcommands.ExitFailure)
	assert.Assert(t, strings.Contains(errs.String(), "no entry could be reached; nothing was changed"), errs.String())
}

func TestQueryFile(t *testing.T) {
	path := files(t, map[string]string{"s.jay": "create dc a\ncreate dc b # second\n\ncreate dc c\n"})["s.jay"]
	e := &fakeEntry{answers: []*wire.DoResponse{
		{Outcome: "done", Version: 1}, {Outcome: "refused", Text: "dc b exists"}, {Outcome: "done"},
	}}
	c := queryCommand{id: "monday", file: path, json: true, timeout: time.Second, entries: addrList{e.serve(t)}}
	var out, errs bytes.Buffer
	assert.Equal(t, c.run(t.Context(), &out, &errs, nil), subcommands.ExitFailure)
	assert.Equal(t, out.String(), `{"id":"monday-1","outcome":"done","version":1}`+"\n"+
		`{"id":"monday-2","outcome":"refused","text":"dc b exists"}`+"\n")
	assert.Equal(t, errs.String(), path+":2: stopped here; 1 statements were not run\n")
	assert.Equal(t, len(e.asked), 2)
	assert.Equal(t, e.asked[1].GetStatement(), "create dc b")
}

func TestQueryWrongArguments(t *testing.T) {
	path := files(t, map[string]string{"s.jay": "create dc a\nfly\n"})["s.jay"]
	tests := []struct {
		c    queryCommand
		args []string
		want string
	}{
		{queryCommand{}, nil, "want a statement"},
		{queryCommand{file: path}, []string{"show dcs"}, "not both"},
		{queryCommand{file: path}, nil, path + `:2:1: unknown statement "fly"`},
		{queryCommand{json: true}, []string{"fly"}, `"findings":[{"line":1,"column":1,"text":"unknown statement`},
	}
	for _, tc := range tests {
		var out bytes.Buffer
		assert.Equal(t, tc.c.run(t.Context(), &out, &out, tc.args), subcommands.ExitUsageError)
		assert.Assert(t, strings.Contains(out.String(), tc.want), out.String())
	}
	var l addrList
	assert.NilError(t, l.Set("127.0.0.1:1,127.0.0.1:2"))
	assert.Equal(t, l.String(), "127.0.0.1:1,127.0.0.1:2")
	assert.ErrorContains(t, l.Set("localhost"), "no IP number with a port")
}

// A statement whose time is over before a connection is made was not sent: it must not be
// reported as one that may have taken effect.
func TestStatementWithoutConnectionIsNotInDoubt(t *testing.T) {
	dialUntilDone := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dialUntilDone}}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	s := &statementRun{}
	assert.Assert(t, !s.try(ctx, wire.NewOperatorServiceClient(client, "http://127.0.0.1:1"), &wire.DoRequest{Id: "a", Statement: "drain dc a"}))
	assert.Assert(t, !s.inDoubt, "error: %v", s.lastErr)
}
