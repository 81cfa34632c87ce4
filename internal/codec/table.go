package codec

import (
	"jayloft/table"
	"jayloft/wire"
)

// RowToWire converts a row of the table.
func RowToWire(r table.Row) *wire.Row {
	return &wire.Row{Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted}
}

// RowFromWire converts a row of the table.
func RowFromWire(r *wire.Row) table.Row {
	return table.Row{
		Key:     r.GetKey(),
		Version: r.GetVersion(),
		Value:   r.GetValue(),
		Deleted: r.GetDeleted(),
	}
}

// RowsToWire converts rows of the table.
func RowsToWire(rs []table.Row) []*wire.Row { return mapSlice(rs, RowToWire) }

// RowsFromWire converts rows of the table.
func RowsFromWire(rs []*wire.Row) []table.Row { return mapSlice(rs, RowFromWire) }

// TxnToWire converts a transaction.
func TxnToWire(t table.Txn) *wire.CommitRequest {
	return &wire.CommitRequest{
		Conds: mapSlice(t.Conds, func(c table.Cond) *wire.Cond {
			return &wire.Cond{Key: c.Key, Version: c.Version}
		}),
		Writes: mapSlice(t.Writes, func(w table.Write) *wire.Row {
			return &wire.Row{Key: w.Key, Value: w.Value, Deleted: w.Delete}
		}),
	}
}

// TxnFromWire converts a transaction.
func TxnFromWire(m *wire.CommitRequest) table.Txn {
	return table.Txn{
		Conds: mapSlice(m.GetConds(), func(c *wire.Cond) table.Cond {
			return table.Cond{Key: c.GetKey(), Version: c.GetVersion()}
		}),
		Writes: mapSlice(m.GetWrites(), func(w *wire.Row) table.Write {
			return table.Write{Key: w.GetKey(), Value: w.GetValue(), Delete: w.GetDeleted()}
		}),
	}
}

// ResultFromWire converts the answer to a transaction.
func ResultFromWire(m *wire.CommitResponse) table.Result {
	return table.Result{
		Committed: m.GetCommitted(),
		Revision:  m.GetRevision(),
		Conflicts: RowsFromWire(m.GetConflicts()),
	}
}
