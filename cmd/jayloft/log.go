package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"jayloft/config"
	"jayloft/logs"
)

// newLog returns a logger as configured, and its writer, which the process must
// close before it exits.
func newLog(f config.File) (log.Interface, *logs.Writer) {
	format := logs.JSON
	if f.Log.Format != "json" {
		format = textLine
	}
	w := logs.NewWriter(os.Stdout, logs.WithFormat(format))
	level, err := log.ParseLevel(f.Log.Level)
	if err != nil {
		level = log.InfoLevel
	}
	return &log.Logger{Handler: w, Level: level}, w
}

// textLine formats an entry as one line: time, level, message and fields, without
// colours.
func textLine(e *log.Entry) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %-5s %s", e.Timestamp.Format(time.RFC3339Nano), e.Level, e.Message)
	for _, name := range e.Fields.Names() {
		if v := fmt.Sprint(e.Fields[name]); v != "" {
			fmt.Fprintf(&b, " %s=%s", name, quoted(v))
		}
	}
	b.WriteByte('\n')
	return b.Bytes()
}

// quoted returns s in quotes if it contains white space, a quotation mark or "=".
func quoted(s string) string {
	if strings.ContainsAny(s, " \t\n\"=") {
		return strconv.Quote(s)
	}
	return s
}
