package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"jayloft/config"
)

// newLog returns the log that the settings ask for.
func newLog(f config.File) log.Interface {
	var h log.Handler = &lineHandler{w: os.Stderr}
	if f.Log.Format == "json" {
		h = json.New(os.Stderr)
	}
	level, err := log.ParseLevel(f.Log.Level)
	if err != nil {
		level = log.InfoLevel
	}
	return &log.Logger{Handler: h, Level: level}
}

// lineHandler writes one line for each entry: time, level, message and fields,
// without colours.
type lineHandler struct {
	mu sync.Mutex
	w  io.Writer
}

// HandleLog writes an entry.
func (h *lineHandler) HandleLog(e *log.Entry) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %-5s %s", e.Timestamp.Format(time.RFC3339Nano), e.Level, e.Message)
	for _, name := range e.Fields.Names() {
		if v := fmt.Sprint(e.Fields[name]); v != "" {
			fmt.Fprintf(&b, " %s=%s", name, quoted(v))
		}
	}
	b.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := h.w.Write(b.Bytes())
	return err
}

// quoted returns s in quotes if it holds more than one word.
func quoted(s string) string {
	if strings.ContainsAny(s, " \t\n\"=") {
		return strconv.Quote(s)
	}
	return s
}
