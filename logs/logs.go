// Package logs writes structured log lines without ever making a decision wait.
//
// A Writer is a handler of apex/log. It puts lines into a queue of a fixed length
// and returns at once; one goroutine writes them. It answers one load pattern: the
// log's reader stalls, or an overload makes thousands of lines a second. Lines
// beyond the queue are dropped, and lines of one event beyond its rate are summed
// up; both are told by a line of their own, with a count, once a second.
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
	// queue is the number of lines that wait for the writer: a second of the
	// worst load of an entry.
	queue = 4096
	// eventRate is the number of lines a second of one event that are written:
	// three times what a site of today makes at its worst load.
	eventRate = 300
	// tellEvery is the time between two accounts of lines that were not written.
	tellEvery = time.Second
	// closeWait is how long Close waits for a stalled reader.
	closeWait = time.Second
)

// Names of the lines that tell of others.
const (
	EventDropped    = "log lines dropped" // the queue was full
	EventSuppressed = "log lines summed"  // beyond the rate of their event
)

// Writer is a log.Handler. Create it with NewWriter.
type Writer struct {
	format  func(*log.Entry) []byte
	lines   chan *log.Entry
	dropped atomic.Uint64
	done    chan struct{}

	mu     sync.Mutex
	events map[string]*event
	second time.Time // the running second of the events' rates
	closed bool
}

// event counts the lines of one event.
type event struct {
	written int // in the running second
	summed  int // not written and not told yet
}

// Option changes how a Writer is built.
type Option func(*Writer)

// WithFormat sets how a line is formatted; it is JSON otherwise.
func WithFormat(f func(*log.Entry) []byte) Option { return func(w *Writer) { w.format = f } }

// NewWriter returns a handler that writes to out from a goroutine of its own.
func NewWriter(out io.Writer, opts ...Option) *Writer {
	w := &Writer{
		format: JSON, lines: make(chan *log.Entry, queue), done: make(chan struct{}),
		events: map[string]*event{},
	}
	for _, o := range opts {
		o(w)
	}
	go w.write(out)
	return w
}

// HandleLog queues a line. It never blocks and never fails.
func (w *Writer) HandleLog(e *log.Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	if e.Timestamp.Sub(w.second) >= tellEvery || e.Timestamp.Before(w.second) {
		w.tell(e)
	}
	ev := w.events[e.Message]
	if ev == nil {
		ev = &event{}
		w.events[e.Message] = ev
	}
	if ev.written >= eventRate {
		ev.summed++
		return nil
	}
	ev.written++
	w.put(e)
	return nil
}

// tell begins another second, and tells what was not written in the last.
func (w *Writer) tell(e *log.Entry) {
	w.second = e.Timestamp
	for name, ev := range w.events {
		if ev.summed > 0 {
			w.put(&log.Entry{
				Logger: e.Logger, Level: log.WarnLevel, Timestamp: e.Timestamp, Message: EventSuppressed,
				Fields: log.Fields{"event": name, "count": ev.summed},
			})
		}
		ev.written, ev.summed = 0, 0
	}
	if n := w.dropped.Swap(0); n > 0 {
		w.put(&log.Entry{
			Logger: e.Logger, Level: log.WarnLevel, Timestamp: e.Timestamp, Message: EventDropped,
			Fields: log.Fields{"count": n},
		})
	}
}

func (w *Writer) put(e *log.Entry) {
	select {
	case w.lines <- e:
	default:
		w.dropped.Add(1)
	}
}

// write writes lines until the queue is closed. What can't be written is dropped:
// there is nowhere to tell.
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

// Close writes what is queued, for so long as the reader takes it.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}

// line is a log line in JSON.
type line struct {
	Time    time.Time  `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields"`
}

// JSON formats a line as one JSON object.
func JSON(e *log.Entry) []byte {
	b, err := json.Marshal(line{e.Timestamp, e.Level.String(), e.Message, e.Fields})
	if err != nil {
		// A field that JSON can't hold is written as text.
		b, err = json.Marshal(line{e.Timestamp, e.Level.String(), e.Message, log.Fields{"text": fmt.Sprint(e.Fields)}})
	}
	if err != nil {
		return nil
	}
	return append(b, '\n')
}
