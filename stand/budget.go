package stand

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// The platform's own limits, of the table and the object store together.
const (
	WritesPerSecond = 400
	ReadsPerSecond  = 2000
)

// burst is the share of a second's budget that may come at once.
const burst = 0.25

// Traffic counts what reached the platform in one second.
type Traffic struct {
	Writes  int // transactions and objects written
	Rows    int // rows written
	Reads   int
	Refused int // calls beyond the budget, not counted above
}

// Budget bounds and counts the calls to the platform. Its parts share one.
type Budget struct {
	mu            sync.Mutex
	writes, reads *rate.Limiter
	second        int64
	now, peak     Traffic
	total         Traffic
	journal       *Journal // of each second's counts
}

// NewBudget returns a budget of writes and reads a second.
func NewBudget(writes, reads float64) *Budget {
	return &Budget{
		writes: rate.NewLimiter(rate.Limit(writes), max(int(writes*burst), 1)),
		reads:  rate.NewLimiter(rate.Limit(reads), max(int(reads*burst), 1)),
	}
}

// Peak returns the largest of each count in any second.
func (b *Budget) Peak() Traffic {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

// Total returns the counts since the start.
func (b *Budget) Total() Traffic {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// ResetPeak forgets the peak so far.
func (b *Budget) ResetPeak() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peak = Traffic{}
}

// write counts a write of rows; false if it is beyond the budget.
func (b *Budget) write(now time.Time, rows int) bool {
	return b.count(now, b.writes, Traffic{Writes: 1, Rows: rows})
}

// read counts a read; false if it is beyond the budget.
func (b *Budget) read(now time.Time) bool {
	return b.count(now, b.reads, Traffic{Reads: 1})
}

func (b *Budget) count(now time.Time, l *rate.Limiter, t Traffic) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := l.AllowN(now, 1)
	if !ok {
		t = Traffic{Refused: 1}
	}
	if s := now.Unix(); s != b.second {
		b.note()
		b.second, b.now = s, Traffic{}
	}
	b.now = b.now.plus(t)
	b.total = b.total.plus(t)
	b.peak = b.peak.max(b.now)
	return ok
}

// note records the counts of the second that is over.
func (b *Budget) note() {
	if b.now != (Traffic{}) {
		b.journal.Add(Entry{At: time.Unix(b.second, 0), Kind: KindTraffic, Detail: b.now.String()})
	}
}

func (t Traffic) plus(o Traffic) Traffic {
	return Traffic{t.Writes + o.Writes, t.Rows + o.Rows, t.Reads + o.Reads, t.Refused + o.Refused}
}

func (t Traffic) max(o Traffic) Traffic {
	return Traffic{max(t.Writes, o.Writes), max(t.Rows, o.Rows), max(t.Reads, o.Reads), max(t.Refused, o.Refused)}
}

// trafficFormat is how a journal shows a second's counts.
const trafficFormat = "writes=%d rows=%d reads=%d refused=%d"

// String returns the counts with their names.
func (t Traffic) String() string {
	return fmt.Sprintf(trafficFormat, t.Writes, t.Rows, t.Reads, t.Refused)
}

// Peak returns the largest of each count in any second that a platform's
// entries show. A second is shown once a call has come after it.
func Peak(entries []Entry) Traffic {
	var peak Traffic
	for _, e := range entries {
		var t Traffic
		if e.Kind != KindTraffic {
			continue
		}
		if _, err := fmt.Sscanf(e.Detail, trafficFormat, &t.Writes, &t.Rows, &t.Reads, &t.Refused); err == nil {
			peak = peak.max(t)
		}
	}
	return peak
}
