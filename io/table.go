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

// maxTableCalls bounds the concurrent calls to the table.
const maxTableCalls = 64

// Table is a client of the platform's table; it implements table.Table.
type Table struct {
	http  *http.Client
	rpc   wire.TableServiceClient
	calls chan struct{}
}

// NewTable returns a client of the table at addr. It connects on the first call.
func NewTable(addr netip.AddrPort) *Table {
	h := &http.Client{Transport: newHTTP2Transport()}
	return &Table{
		http:  h,
		rpc:   wire.NewTableServiceClient(h, "http://"+addr.String(), clientOptions()...),
		calls: make(chan struct{}, maxTableCalls),
	}
}

// Close closes idle connections.
func (t *Table) Close() { t.http.CloseIdleConnections() }

// Commit applies the transaction if its conditions hold. Its error wraps
// table.ErrNotSent or table.ErrRejected if the transaction certainly has no effect.
func (t *Table) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	if err := t.acquire(ctx); err != nil {
		return table.Result{}, err
	}
	defer t.release()
	res, err := t.rpc.Commit(ctx, connect.NewRequest(codec.TxnToWire(txn)))
	if err != nil {
		return table.Result{}, tableError("commit", err)
	}
	return codec.ResultFromWire(res.Msg), nil
}

// Read returns the rows with the given keys; absent rows have version zero.
func (t *Table) Read(ctx context.Context, keys ...string) (table.View, error) {
	if err := t.acquire(ctx); err != nil {
		return table.View{}, err
	}
	defer t.release()
	res, err := t.rpc.Read(ctx, connect.NewRequest(&wire.ReadRequest{Keys: keys}))
	if err != nil {
		return table.View{}, tableError("read", err)
	}
	return table.View{Rows: codec.RowsFromWire(res.Msg.GetRows()), Revision: res.Msg.GetRevision()}, nil
}

// Changes returns the rows whose keys have the prefix and that were written after
// the revision since.
func (t *Table) Changes(ctx context.Context, prefix string, since uint64) (table.View, error) {
	if err := t.acquire(ctx); err != nil {
		return table.View{}, err
	}
	defer t.release()
	req := connect.NewRequest(&wire.ChangesRequest{Prefix: prefix, Since: since})
	res, err := t.rpc.Changes(ctx, req)
	if err != nil {
		return table.View{}, tableError("changes", err)
	}
	return table.View{Rows: codec.RowsFromWire(res.Msg.GetRows()), Revision: res.Msg.GetRevision()}, nil
}

// acquire waits until fewer than maxTableCalls calls are in flight. Its error
// wraps table.ErrNotSent.
func (t *Table) acquire(ctx context.Context) error {
	select {
	case t.calls <- struct{}{}:
		if ctx.Err() == nil {
			return nil
		}
		t.release()
	case <-ctx.Done():
	}
	return fmt.Errorf("%w: %w", table.ErrNotSent, ctx.Err())
}

func (t *Table) release() { <-t.calls }

func tableError(op string, err error) error {
	if code := connect.CodeOf(err); code == connect.CodeInvalidArgument || code == connect.CodePermissionDenied {
		return fmt.Errorf("table: %s: %w: %w", op, table.ErrRejected, err)
	}
	if faultOf(err) == core.FaultNotSent {
		return fmt.Errorf("table: %s: %w: %w", op, table.ErrNotSent, err)
	}
	return fmt.Errorf("table: %s: %w", op, err)
}
