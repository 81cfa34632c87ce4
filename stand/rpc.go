package stand

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"jayloft/internal/codec"
	"jayloft/wire"
)

// target is a stand-in that the fault service controls.
type target interface {
	SetFault(name Fault, value float64, until time.Time) error
	Journal() *Journal
}

// faultRPC serves the faults and the journal of a stand-in.
type faultRPC struct{ target target }

func (h faultRPC) Set(_ context.Context, r *connect.Request[wire.FaultRequest]) (*connect.Response[wire.FaultResponse], error) {
	err := h.target.SetFault(Fault(r.Msg.GetName()), r.Msg.GetValue(), codec.Time(r.Msg.GetUntil()))
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(&wire.FaultResponse{}), nil
}

func (h faultRPC) Journal(_ context.Context, r *connect.Request[wire.JournalRequest]) (*connect.Response[wire.JournalResponse], error) {
	entries, next := h.target.Journal().Since(int(r.Msg.GetSince()))
	res := &wire.JournalResponse{Next: int64(next), Entries: make([]*wire.JournalEntry, len(entries))}
	for i, e := range entries {
		res.Entries[i] = entryToWire(e)
	}
	return connect.NewResponse(res), nil
}

// mux serves a stand-in's faults and its services.
func mux(t target, mount func(*http.ServeMux)) http.Handler {
	m := http.NewServeMux()
	m.Handle(wire.NewFaultServiceHandler(faultRPC{t}))
	mount(m)
	return m
}

// answer returns a handler's result as connect wants it. A lost answer breaks
// the stream.
func answer[T any](msg *T, err error) (*connect.Response[T], error) {
	switch {
	case err == nil:
		return connect.NewResponse(msg), nil
	case errors.Is(err, ErrLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, ErrDown):
		return nil, connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, ErrBudget):
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	case errors.Is(err, context.DeadlineExceeded):
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	case errors.Is(err, context.Canceled):
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	return nil, connect.NewError(connect.CodeInvalidArgument, err)
}

// Handler serves the table and its faults.
func (t *Table) Handler() http.Handler { return mux(t, t.mount) }

// Handler serves the object store and its faults.
func (o *Objects) Handler() http.Handler { return mux(o, o.mount) }

// Handler serves the table, the object store and their faults.
func (p *Platform) Handler() http.Handler {
	return mux(p, func(m *http.ServeMux) {
		p.Table.mount(m)
		p.Objects.mount(m)
	})
}

func (t *Table) mount(m *http.ServeMux) { m.Handle(wire.NewTableServiceHandler(tableRPC{t})) }

func (o *Objects) mount(m *http.ServeMux) { m.Handle(wire.NewObjectServiceHandler(objectRPC{o})) }

// tableRPC serves a table.
type tableRPC struct{ table *Table }

func (h tableRPC) Commit(ctx context.Context, r *connect.Request[wire.CommitRequest]) (*connect.Response[wire.CommitResponse], error) {
	res, err := h.table.Commit(ctx, codec.TxnFromWire(r.Msg))
	return answer(&wire.CommitResponse{
		Committed: res.Committed,
		Revision:  res.Revision,
		Conflicts: codec.RowsToWire(res.Conflicts),
	}, err)
}

func (h tableRPC) Read(ctx context.Context, r *connect.Request[wire.ReadRequest]) (*connect.Response[wire.ReadResponse], error) {
	v, err := h.table.Read(ctx, r.Msg.GetKeys()...)
	return answer(&wire.ReadResponse{Rows: codec.RowsToWire(v.Rows), Revision: v.Revision}, err)
}

func (h tableRPC) Changes(ctx context.Context, r *connect.Request[wire.ChangesRequest]) (*connect.Response[wire.ChangesResponse], error) {
	v, err := h.table.Changes(ctx, r.Msg.GetPrefix(), r.Msg.GetSince())
	return answer(&wire.ChangesResponse{Rows: codec.RowsToWire(v.Rows), Revision: v.Revision}, err)
}

// objectRPC serves an object store.
type objectRPC struct{ objects *Objects }

func (h objectRPC) Put(ctx context.Context, r *connect.Request[wire.PutRequest]) (*connect.Response[wire.PutResponse], error) {
	return answer(&wire.PutResponse{}, h.objects.Put(ctx, r.Msg.GetKey(), r.Msg.GetValue()))
}

func (h objectRPC) Get(ctx context.Context, r *connect.Request[wire.GetRequest]) (*connect.Response[wire.GetResponse], error) {
	v, found, err := h.objects.Get(ctx, r.Msg.GetKey())
	return answer(&wire.GetResponse{Found: found, Value: v}, err)
}

func (h objectRPC) List(ctx context.Context, r *connect.Request[wire.ListRequest]) (*connect.Response[wire.ListResponse], error) {
	keys, err := h.objects.List(ctx, r.Msg.GetPrefix())
	return answer(&wire.ListResponse{Keys: keys}, err)
}
