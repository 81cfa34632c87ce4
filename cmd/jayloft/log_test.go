package main

import (
	"testing"
	"time"

	"github.com/apex/log"
	"gotest.tools/v3/assert"
)

func TestTextLine(t *testing.T) {
	b := textLine(&log.Entry{
		Timestamp: time.Date(2026, 12, 4, 3, 30, 0, 0, time.UTC),
		Level:     log.InfoLevel,
		Message:   "fenced",
		Fields:    log.Fields{"subject": "w1", "detail": "two words", "empty": ""},
	})
	assert.Equal(t, string(b), "2026-12-04T03:30:00Z info  fenced detail=\"two words\" subject=w1\n")
}
