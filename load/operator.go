package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/wire"
)

const (
	statementTry   = 3 * time.Second // for one entry to answer
	statementPause = 50 * time.Millisecond
	statementFor   = time.Minute // until a statement is given up
	maxResult      = 64 << 20    // bytes of an answer
)

// operator runs statements at entries, in turn until they are done.
type operator struct {
	client  *http.Client
	entries []wire.OperatorServiceClient
}

// newClient returns a client over unencrypted HTTP/2.
func newClient() *http.Client {
	var ps http.Protocols
	ps.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: &ps}}
}

func newOperator(peers []netip.AddrPort) *operator {
	o := &operator{client: newClient()}
	for _, p := range peers {
		o.entries = append(o.entries, wire.NewOperatorServiceClient(o.client, "http://"+p.String(), connect.WithReadMaxBytes(maxResult)))
	}
	return o
}

func (o *operator) close() { o.client.CloseIdleConnections() }

// ask runs a statement until it is done, and comes back when it is told to. A
// conflict or an invalid statement ends the tries.
func (o *operator) ask(ctx context.Context, req *wire.DoRequest) (*wire.DoResponse, error) {
	if len(o.entries) == 0 {
		return nil, errors.New("no entry's RPC is known")
	}
	ctx, cancel := context.WithTimeout(ctx, statementFor)
	defer cancel()
	var last error
	for n := 0; ; n++ {
		pause := statementPause
		res, err := o.try(ctx, o.entries[n%len(o.entries)], req)
		if err == nil {
			switch core.CommandOutcome(res.GetOutcome()) {
			case core.CommandDone:
				return res, nil
			case core.CommandRefused, core.CommandUnknown:
			default:
				return nil, fmt.Errorf("%s: %s: %s %v", req.GetStatement(), res.GetOutcome(), res.GetText(), res.GetFindings())
			}
			err = fmt.Errorf("%s: %s", res.GetOutcome(), res.GetText())
			pause = max(pause, time.Duration(res.GetRetryAfterMs())*time.Millisecond)
		}
		last = err
		if !wait(ctx, time.Now().Add(pause)) {
			return nil, fmt.Errorf("%s: %w", req.GetStatement(), last)
		}
	}
}

func (o *operator) try(ctx context.Context, c wire.OperatorServiceClient, req *wire.DoRequest) (*wire.DoResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, statementTry)
	defer cancel()
	res, err := c.Do(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}
