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

// reader is where log lines go; it takes none while it stalls.
type reader struct {
	stall chan struct{}
	mu    sync.Mutex
	buf   bytes.Buffer
}

func (r *reader) Write(b []byte) (int, error) {
	<-r.stall
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.Write(b)
}

// lines returns what was read.
func (r *reader) lines(t *testing.T) []map[string]any {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []map[string]any
	for s := bufio.NewScanner(&r.buf); s.Scan(); {
		var m map[string]any
		assert.NilError(t, json.Unmarshal(s.Bytes(), &m))
		all = append(all, m)
	}
	return all
}

// A burst with a reader that stalls delays no decision, and what was not written
// is told.
func TestStalledReaderDelaysNothing(t *testing.T) {
	r := &reader{stall: make(chan struct{})}
	w := logs.NewWriter(r)
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
	close(r.stall)
	time.Sleep(50 * time.Millisecond)
	l.Info("after")
	w.Close()
	told := 0
	lines := r.lines(t)
	for _, m := range lines {
		if m["message"] == logs.EventDropped {
			count, ok := m["fields"].(map[string]any)["count"].(float64)
			assert.Assert(t, ok)
			told += int(count)
		}
	}
	written := len(lines) - 2 // the account, and the line after
	assert.Equal(t, written+told, burst)
}

// An event that repeats beyond its rate is summed up with a count.
func TestRepeatsAreSummedUp(t *testing.T) {
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

func TestLineOfOddFields(t *testing.T) {
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
