package logs_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"gotest.tools/v3/assert"

	"jayloft/logs"
)

// stallingWriter is an output whose writes block until resume is closed.
type stallingWriter struct {
	resume chan struct{}
	mu     sync.Mutex
	buf    bytes.Buffer
}

func (w *stallingWriter) Write(b []byte) (int, error) {
	<-w.resume
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

// lines returns the decoded lines that were written.
func (w *stallingWriter) lines(t *testing.T) []map[string]any {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []map[string]any
	for s := bufio.NewScanner(&w.buf); s.Scan(); {
		var m map[string]any
		assert.NilError(t, json.Unmarshal(s.Bytes(), &m))
		all = append(all, m)
	}
	return all
}

// During a burst with a stalled output no call blocks, and the lines that were not
// written are reported with their count.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	out := &stallingWriter{resume: make(chan struct{})}
	w := logs.NewWriter(out)
	l := &log.Logger{Handler: w, Level: log.InfoLevel}
	var worst time.Duration
	const burst = 20_000
	for i := range burst {
		began := time.Now()
		l.WithField("n", i).Info(fmt.Sprint("event ", i%100))
		worst = max(worst, time.Since(began))
	}
	assert.Assert(t, worst < 100*time.Millisecond, "%v", worst)
	time.Sleep(1100 * time.Millisecond)
	close(out.resume)
	time.Sleep(50 * time.Millisecond)
	l.Info("after")
	w.Close()
	dropped := 0
	lines := out.lines(t)
	for _, m := range lines {
		if m["message"] == logs.EventDropped {
			count, ok := m["fields"].(map[string]any)["count"].(float64)
			assert.Assert(t, ok)
			dropped += int(count)
		}
	}
	written := len(lines) - 2 // without the report and the line "after"
	assert.Equal(t, written+dropped, burst)
}

// Lines of one event above the rate limit are suppressed and reported with their count.
func TestRepeatedEventIsSuppressed(t *testing.T) {
	var buf bytes.Buffer
	w := logs.NewWriter(&buf)
	at := time.Unix(1_700_000_000, 0)
	for range 1000 {
		assert.NilError(t, w.HandleLog(&log.Entry{Timestamp: at, Message: "again"}))
	}
	assert.NilError(t, w.HandleLog(&log.Entry{Timestamp: at.Add(2 * time.Second), Message: "other"}))
	w.Close()
	assert.Assert(t, bytes.Contains(buf.Bytes(), []byte(`"count":700,"event":"again"`)), buf.String())
	assert.Equal(t, bytes.Count(buf.Bytes(), []byte("\n")), 302)
}

func TestUnencodableField(t *testing.T) {
	b := logs.JSON(&log.Entry{Message: "m", Fields: log.Fields{"f": func() {}}})
	assert.Assert(t, json.Valid(b))
}

func BenchmarkHandleLog(b *testing.B) {
	w := logs.NewWriter(io.Discard)
	defer w.Close()
	e := &log.Entry{Timestamp: time.Now(), Message: "m", Fields: log.Fields{"subject": "j.1#1", "worker": "w"}}
	for b.Loop() {
		e.Timestamp = e.Timestamp.Add(time.Millisecond)
		_ = w.HandleLog(e)
	}
}
