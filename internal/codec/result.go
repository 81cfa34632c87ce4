package codec

import (
	"time"

	"jayloft/core"
	"jayloft/wire"
)

// ResultToWire converts the result of a command. RetryAfter is rounded up to
// whole milliseconds.
func ResultToWire(r core.CommandResult) *wire.DoResponse {
	return &wire.DoResponse{
		Outcome: string(r.Outcome),
		Text:    r.Text,
		Version: r.Version,
		Columns: r.Columns,
		Rows: mapSlice(r.Rows, func(row []string) *wire.Cells {
			return &wire.Cells{Cells: row}
		}),
		RetryAfterMs: int64((r.RetryAfter + time.Millisecond - 1) / time.Millisecond),
	}
}
