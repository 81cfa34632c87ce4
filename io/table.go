package io

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"connectrpc.com/connect"

	"jayloft/core"
	"jayloft/internal/codec"
	"jayloft/table"
	"jayloft/wire"
)

// tableCalls bounds the calls to the table that run at once.
const tableCalls = 64

// Table is a client of the platform's table.
type Table struct {
	http  *http.Client
	rpc   wire.TableServiceClient
	calls chan struct{}
}

// NewTable returns a client of the table at addr. It connects when needed.
func NewTable(addr netip.AddrPort) *Table {
	h := &http.Client{Transport: newTransport()}
	return &Table{
		http:  h,
		rpc:   wire.NewTableServiceClient(h, "http://"+addr.String(), clientOptions()...),
		calls: make(chan struct{}, tableCalls),
	}
}

// Close gives up connections that are not in use.
func (t *Table) Close() { t.http.CloseIdleConnections() }

// Commit applies the transaction if its conditions hold. Its error wraps
// table.ErrNotSent if the transaction certainly has no effect.
func (t *Table) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	if err := t.take(ctx); err != nil {
		return table.Result{}, err
	}
	defer t.give()
	res, err := t.rpc.Commit(ctx, connect.NewRequest(codec.TxnToWire(txn)))
	if err != nil {
		return table.Result{}, tableError("commit", err)
	}
	return codec.ResultFromWire(res.Msg), nil
}

// Read returns the named rows; absent ones have version zero.
func (t *Table) Read(ctx context.Context, keys ...string) (table.View, error) {
	if err := t.take(ctx); err != nil {
		return table.View{}, err
	}
	defer t.give()
	res, err := t.rpc.Read(ctx, connect.NewRequest(&wire.ReadRequest{Keys: keys}))
	if err != nil {
		return table.View{}, tableError("read", err)
	}
	return table.View{Rows: codec.RowsFromWire(res.Msg.GetRows()), Revision: res.Msg.GetRevision()}, nil
}

// Changes returns the rows below the prefix that were written after the
// revision since.
func (t *Table) Changes(ctx context.Context, prefix string, since uint64) (table.View, error) {
	if err := t.take(ctx); err != nil {
		return table.View{}, err
	}
	defer t.give()
	req := connect.NewRequest(&wire.ChangesRequest{Prefix: prefix, Since: since})
	res, err := t.rpc.Changes(ctx, req)
	if err != nil {
		return table.View{}, tableError("changes", err)
	}
	return table.View{Rows: codec.RowsFromWire(res.Msg.GetRows()), Revision: res.Msg.GetRevision()}, nil
}

// take waits for one of the calls that may run at once.
func (t *Table) take(ctx context.Context) error {
	select {
	case t.calls <- struct{}{}:
		if ctx.Err() == nil {
			return nil
		}
		t.give()
	case <-ctx.Done():
	}
	return fmt.Errorf("%w: %w", table.ErrNotSent, ctx.Err())
}

func (t *Table) give() { <-t.calls }

func tableError(what string, err error) error {
	if faultOf(err) == core.FaultNotSent {
		return fmt.Errorf("table: %s: %w: %w", what, table.ErrNotSent, err)
	}
	return fmt.Errorf("table: %s: %w", what, err)
}
