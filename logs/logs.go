// Package logs writes structured log lines without blocking the caller.
//
// A [Writer] is a handler of apex/log. It puts lines into a bounded queue and returns
// at once; one goroutine writes them. It handles one load pattern: the consumer of the
// log stalls, or an overload produces thousands of lines a second. Lines are dropped
// while the queue is full, and lines of one event are suppressed above a rate limit;
// both are reported once a second by a line with the count.
//
// # Usage
//
//	w := logs.NewWriter(os.Stdout)
//	defer w.Close()
//	l := &log.Logger{Handler: w, Level: log.InfoLevel}
package logs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// queueLines is the capacity of the queue: one second of lines at the peak load
	// of an entry.
	queueLines = 4096
	// maxEventsPerSecond is the rate limit for lines of one event: three times the
	// peak rate of a present-day site.
	maxEventsPerSecond = 300
	// reportInterval is the time between two reports of lines that were not written.
	reportInterval = time.Second
	// closeTimeout is how long Close waits for a stalled output.
	closeTimeout = time.Second
)

// Events of the lines that report lines that were not written.
const (
	EventDropped    = "log lines dropped" // the queue was full
	EventSuppressed = "log lines summed"  // above the rate limit of their event
)

// Writer is a log.Handler that never blocks. Create it with [NewWriter]. It is safe for
// concurrent use.
type Writer struct {
	format  func(*log.Entry) []byte
	lines   chan *log.Entry
	dropped atomic.Uint64
	done    chan struct{}

	mu            sync.Mutex
	events        map[string]*event
	intervalStart time.Time // of the current interval of rate limits and reports
	closed        bool
}

// event counts the lines of one event.
type event struct {
	written    int // in the current interval
	suppressed int // in the current interval, not reported yet
}

// Option configures a Writer.
type Option func(*Writer)

// WithFormat sets the encoder of lines. The default is [JSON].
func WithFormat(f func(*log.Entry) []byte) Option { return func(w *Writer) { w.format = f } }

// NewWriter returns a handler that writes to out from its own goroutine.
func NewWriter(out io.Writer, opts ...Option) *Writer {
	w := &Writer{
		format: JSON, lines: make(chan *log.Entry, queueLines), done: make(chan struct{}),
		events: map[string]*event{},
	}
	for _, o := range opts {
		o(w)
	}
	go w.write(out)
	return w
}

// HandleLog enqueues a line. It never blocks, and its error is always nil.
func (w *Writer) HandleLog(e *log.Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	if e.Timestamp.Sub(w.intervalStart) >= reportInterval || e.Timestamp.Before(w.intervalStart) {
		w.report(e)
	}
	ev := w.events[e.Message]
	if ev == nil {
		ev = &event{}
		w.events[e.Message] = ev
	}
	if ev.written >= maxEventsPerSecond {
		ev.suppressed++
		return nil
	}
	ev.written++
	w.enqueue(e)
	return nil
}

// report starts a new interval and reports the lines that were not written in the last
// one.
func (w *Writer) report(e *log.Entry) {
	w.intervalStart = e.Timestamp
	for name, ev := range w.events {
		if ev.suppressed > 0 {
			w.enqueue(&log.Entry{
				Logger: e.Logger, Level: log.WarnLevel, Timestamp: e.Timestamp, Message: EventSuppressed,
				Fields: log.Fields{"event": name, "count": ev.suppressed},
			})
		}
		ev.written, ev.suppressed = 0, 0
	}
	if n := w.dropped.Swap(0); n > 0 {
		w.enqueue(&log.Entry{
			Logger: e.Logger, Level: log.WarnLevel, Timestamp: e.Timestamp, Message: EventDropped,
			Fields: log.Fields{"count": n},
		})
	}
}

func (w *Writer) enqueue(e *log.Entry) {
	select {
	case w.lines <- e:
	default:
		w.dropped.Add(1)
	}
}

// write writes lines until the queue is closed. Errors are ignored, as there is nowhere
// to report them.
func (w *Writer) write(out io.Writer) {
	defer close(w.done)
	buf := bufio.NewWriter(out)
	for e := range w.lines {
		_, _ = buf.Write(w.format(e))
		if len(w.lines) == 0 {
			_ = buf.Flush()
		}
	}
	_ = buf.Flush()
}

// Close stops accepting lines and waits up to one second for queued lines to be written.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// line is the JSON encoding of a log line.
type line struct {
	Time    time.Time  `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields"`
}

// JSON encodes a line as one JSON object followed by a newline.
func JSON(e *log.Entry) []byte {
	b, err := json.Marshal(line{e.Timestamp, e.Level.String(), e.Message, e.Fields})
	if err != nil {
		// A field has no JSON encoding; write all fields as text.
		b, err = json.Marshal(line{e.Timestamp, e.Level.String(), e.Message, log.Fields{"text": fmt.Sprint(e.Fields)}})
	}
	if err != nil {
		return nil
	}
	return append(b, '\n')
}
