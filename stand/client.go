package stand

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/internal/codec"
	"jayloft/wire"
)

// Client reaches stand-ins in other processes.
type Client struct {
	http    *http.Client
	base    string
	objects wire.ObjectServiceClient
	faults  wire.FaultServiceClient
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the stand-in at addr. It connects when needed.
func NewClient(addr netip.AddrPort) *Client {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	h := &http.Client{Transport: &http.Transport{Protocols: &p}}
	base := "http://" + addr.String()
	return &Client{
		http:    h,
		base:    base,
		objects: wire.NewObjectServiceClient(h, base),
		faults:  wire.NewFaultServiceClient(h, base),
	}
}

// Close gives up connections that are not in use.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Put replaces an object.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	_, err := c.objects.Put(ctx, connect.NewRequest(&wire.PutRequest{Key: key, Value: value}))
	if err != nil {
		return fmt.Errorf("put %s: %w", key, err)
	}
	return nil
}

// Get returns an object, and whether there is one.
func (c *Client) Get(ctx context.Context, key string) (value []byte, found bool, err error) {
	res, err := c.objects.Get(ctx, connect.NewRequest(&wire.GetRequest{Key: key}))
	if err != nil {
		return nil, false, fmt.Errorf("get %s: %w", key, err)
	}
	return res.Msg.GetValue(), res.Msg.GetFound(), nil
}

// List returns the keys that begin with the prefix, in order.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	res, err := c.objects.List(ctx, connect.NewRequest(&wire.ListRequest{Prefix: prefix}))
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	return res.Msg.GetKeys(), nil
}

// SetFault switches a fault of the stand-in on until a time, which may be
// zero, or off with a value of zero.
func (c *Client) SetFault(ctx context.Context, name Fault, value float64, until time.Time) error {
	req := &wire.FaultRequest{Name: string(name), Value: value, Until: codec.Nanos(until)}
	if _, err := c.faults.Set(ctx, connect.NewRequest(req)); err != nil {
		return fmt.Errorf("set fault %s: %w", name, err)
	}
	return nil
}

// Journal returns what the stand-in recorded from entry n on, and the number
// that its next entry will get.
func (c *Client) Journal(ctx context.Context, n int) (entries []Entry, next int, err error) {
	res, err := c.faults.Journal(ctx, connect.NewRequest(&wire.JournalRequest{Since: int64(n)}))
	if err != nil {
		return nil, 0, fmt.Errorf("journal: %w", err)
	}
	for _, e := range res.Msg.GetEntries() {
		entries = append(entries, entryFromWire(e))
	}
	return entries, int(res.Msg.GetNext()), nil
}

func entryToWire(e Entry) *wire.JournalEntry {
	return &wire.JournalEntry{
		At:      codec.Nanos(e.At),
		Kind:    string(e.Kind),
		Subject: e.Subject,
		Detail:  e.Detail,
		Worker:  string(e.Worker),
	}
}

func entryFromWire(e *wire.JournalEntry) Entry {
	return Entry{
		At:      codec.Time(e.GetAt()),
		Kind:    Kind(e.GetKind()),
		Subject: e.GetSubject(),
		Detail:  e.GetDetail(),
		Worker:  core.WorkerID(e.GetWorker()),
	}
}
