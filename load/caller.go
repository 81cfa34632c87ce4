package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	stdio "io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/io"
	"jayloft/wire"
)

const (
	// answerGrace is how long a caller waits beyond a request's deadline.
	answerGrace = 2 * time.Second
	// idleConns is how many unused connections a caller keeps to one entry.
	idleConns    = 512
	callerDial   = time.Second
	maxReply     = 16 << 20 // bytes of an answer
	noIdempotent = "false"
)

// Outcome is what became of a request, as its caller saw it.
type Outcome string

// Outcomes besides those of package core.
const (
	OutcomeBroken Outcome = "broken" // the connection broke, or no answer came in time
	OutcomeWrong  Outcome = "wrong"  // the answer isn't whole, or another's
	OutcomeUnsent Outcome = "unsent" // too many requests were in flight at the load tool
)

// Sample is one request.
type Sample struct {
	At      time.Duration // of its scheduled arrival, since the start
	Took    time.Duration // from its scheduled arrival to its answer
	Outcome Outcome
	Reason  core.Reason
	Retry   time.Duration // until it makes sense to come back
	Tries   int           // how often it was sent to a worker
	Worker  core.WorkerID
}

// caller sends requests and fills in samples.
type caller interface {
	call(ctx context.Context, id string, a ask, s *Sample)
}

// entryCaller is a program that calls jayloft, with its own connections.
type entryCaller struct {
	load    Load
	client  *http.Client
	entries *balancer
	turn    *atomic.Int64 // of all callers of the load
}

func newEntryCaller(l Load, entries *balancer, turn *atomic.Int64) *entryCaller {
	return &entryCaller{
		load:    l,
		entries: entries,
		turn:    turn,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: callerDial}).DialContext,
			MaxIdleConnsPerHost: idleConns,
		}},
	}
}

// call sends one request and waits for its answer.
func (c *entryCaller) call(ctx context.Context, id string, a ask, s *Sample) {
	ctx, cancel := context.WithTimeout(ctx, c.load.Timeout.D()+answerGrace)
	defer cancel()
	var res *http.Response
	err := errors.New("no entry")
	for _, e := range c.entries.at(int(c.turn.Add(1))) {
		if res, err = c.send(ctx, e, id, a.body); !notSent(err) {
			break
		}
	}
	if err != nil {
		s.Outcome = OutcomeBroken
		return
	}
	defer func() { _ = res.Body.Close() }()
	body, err := stdio.ReadAll(stdio.LimitReader(res.Body, maxReply))
	if err != nil {
		s.Outcome = OutcomeBroken
		return
	}
	c.take(res, body, id, a, s)
}

func (c *entryCaller) send(ctx context.Context, to netip.AddrPort, id string, body []byte) (*http.Response, error) {
	url := "http://" + to.String() + "/v1/services/" + c.load.Service
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(io.HeaderID, id)
	req.Header.Set(io.HeaderTimeout, c.load.Timeout.D().String())
	if c.load.Team != "" {
		req.Header.Set(io.HeaderTeam, c.load.Team)
	}
	if c.load.Once {
		req.Header.Set(io.HeaderIdempotent, noIdempotent)
	}
	return c.client.Do(req)
}

// notSent reports whether no connection was made.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// take reads an answer.
func (c *entryCaller) take(res *http.Response, body []byte, id string, a ask, s *Sample) {
	s.Outcome = Outcome(res.Header.Get(io.HeaderOutcome))
	s.Worker = core.WorkerID(res.Header.Get(io.HeaderWorker))
	s.Tries, _ = strconv.Atoi(res.Header.Get(io.HeaderTries)) // absent: 0
	if ms, err := strconv.ParseInt(res.Header.Get(io.HeaderRetry), 10, 64); err == nil {
		s.Retry = time.Duration(ms) * time.Millisecond
	}
	if res.StatusCode == http.StatusOK {
		if res.Header.Get(io.HeaderID) != id || !bytes.Equal(body, a.want) {
			s.Outcome = OutcomeWrong
		}
		return
	}
	var p io.Problem
	if err := json.Unmarshal(body, &p); err != nil || s.Outcome == "" || s.Outcome == Outcome(core.OutcomeDone) {
		s.Outcome = OutcomeWrong
		return
	}
	s.Reason = p.Reason
}

// directCaller calls the endpoints itself, in turn.
type directCaller struct {
	load    Load
	workers []wire.WorkerServiceClient
	names   []core.WorkerID
	turn    *atomic.Int64 // of all callers of the load
}

func newDirectCaller(l Load, s *Site, turn *atomic.Int64) *directCaller {
	c := &directCaller{load: l, turn: turn}
	for _, v := range s.vms {
		c.workers = append(c.workers, wire.NewWorkerServiceClient(newClient(), "http://"+v.inner.addr().String(), connect.WithAcceptCompression("gzip", nil, nil)))
		c.names = append(c.names, v.worker)
	}
	return c
}

func (c *directCaller) call(ctx context.Context, id string, a ask, s *Sample) {
	ctx, cancel := context.WithTimeout(ctx, c.load.Timeout.D()+answerGrace)
	defer cancel()
	n := int(c.turn.Add(1)) % len(c.workers)
	s.Worker, s.Tries = c.names[n], 1
	res, err := c.workers[n].Call(ctx, connect.NewRequest(&wire.CallRequest{Id: id, Service: c.load.Service, Body: a.body}))
	switch {
	case err != nil:
		s.Outcome = OutcomeBroken
	case !res.Msg.GetOk():
		s.Outcome = Outcome(core.OutcomeFailed)
	case !bytes.Equal(res.Msg.GetBody(), a.want):
		s.Outcome = OutcomeWrong
	default:
		s.Outcome = Outcome(core.OutcomeDone)
	}
}
