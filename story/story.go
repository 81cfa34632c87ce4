// Package story tells from the logs of several processes what became of one job,
// task or worker.
//
// It reads lines of JSON as package logs writes them, each perhaps behind a prefix
// that a collector has put there, keeps those that are about the id, puts them in
// the order of their times, and says what should be there and isn't. Lines that
// can't be read are counted.
//
// # Usage
//
//	s := story.New("0123456789abcdef")
//	err := s.Read("entry-1.log", file)
//	err = s.Write(os.Stdout)
package story

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

// Line is one line of a log that is about the id.
type Line struct {
	Time    time.Time
	Process string // that wrote it
	Event   string
	Subject string
	Fields  map[string]any // all others
	number  int            // of the line in all that was read
}

// Timeline collects the lines about one id. Create it with New.
type Timeline struct {
	id    string
	lines []Line
	read  int // lines
	bad   int // of them that can't be read
}

// New returns a story of a job ("ID"), one of its tasks ("ID.3"), an attempt
// ("ID.3#1"), or whatever else lines have as their subject.
func New(id string) *Timeline { return &Timeline{id: id} }

// processFields name the writer of a line.
var processFields = []string{"entry", "worker"}

// Read takes the lines of one log. Its error is that of the reader.
func (s *Timeline) Read(name string, r io.Reader) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		s.read++
		s.take(name, scan.Bytes())
	}
	if err := scan.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func (s *Timeline) take(name string, b []byte) {
	at := bytes.IndexByte(b, '{')
	if at < 0 {
		s.bad++
		return
	}
	var raw struct {
		Time    time.Time      `json:"time"`
		Message string         `json:"message"`
		Fields  map[string]any `json:"fields"`
	}
	if err := json.Unmarshal(b[at:], &raw); err != nil || raw.Message == "" {
		s.bad++
		return
	}
	subject, _ := raw.Fields["subject"].(string)
	if !s.about(subject) {
		return
	}
	delete(raw.Fields, "subject")
	l := Line{Time: raw.Time, Process: name, Event: raw.Message, Subject: subject, Fields: raw.Fields, number: s.read}
	for _, f := range processFields {
		if v, ok := raw.Fields[f].(string); ok {
			l.Process = v
			break
		}
	}
	s.lines = append(s.lines, l)
}

// about reports whether a line's subject is the id or a part of it.
func (s *Timeline) about(subject string) bool {
	rest, ok := strings.CutPrefix(subject, s.id)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '#')
}

// Lines returns the lines about the id in the order of their times.
func (s *Timeline) Lines() []Line {
	slices.SortStableFunc(s.lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.number, b.number))
	})
	return s.lines
}

// follows lists the events that an event should be followed by, one of them, for
// the same subject.
var follows = map[string][]string{
	"job taken":    {"job submit"},
	"task placed":  {"task started", "order refused", "start refused", "order unanswered", "task ended"},
	"task started": {"run ended", "task ended"},
	"run ended":    {"task ended"},
}

// Missing says what should have been logged and was not.
func (s *Timeline) Missing() []string {
	seen := map[string]map[string]bool{}
	jobEnded := false
	for _, l := range s.lines {
		if seen[l.Subject] == nil {
			seen[l.Subject] = map[string]bool{}
		}
		seen[l.Subject][l.Event] = true
		jobEnded = jobEnded || l.Event == "job ended"
	}
	var missing []string
	for _, subject := range slices.Sorted(maps.Keys(seen)) {
		for _, event := range slices.Sorted(maps.Keys(seen[subject])) {
			next := follows[event]
			found := slices.ContainsFunc(next, func(e string) bool { return seen[subject][e] })
			if len(next) > 0 && !found {
				missing = append(missing, fmt.Sprintf("%s: after %q none of %s", subject, event, strings.Join(next, ", ")))
			}
		}
	}
	if seen[s.id]["job taken"] && !jobEnded {
		missing = append(missing, s.id+": no end of the job")
	}
	return missing
}

// Write writes the story: a line each with the time since the first.
func (s *Timeline) Write(w io.Writer) error {
	lines := s.Lines()
	var b strings.Builder
	if len(lines) == 0 {
		fmt.Fprintf(&b, "nothing is logged about %s\n", s.id)
	}
	for _, l := range lines {
		fmt.Fprintf(&b, "%9.3fs  %-22s %-18s %s", l.Time.Sub(lines[0].Time).Seconds(), l.Process, l.Event, l.Subject)
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			if v := fmt.Sprint(l.Fields[name]); v != "" && v != l.Process {
				fmt.Fprintf(&b, " %s=%s", name, v)
			}
		}
		b.WriteByte('\n')
	}
	for _, m := range s.Missing() {
		fmt.Fprintf(&b, "missing    %s\n", m)
	}
	fmt.Fprintf(&b, "%d lines read, %d of them can't be read, %d about %s\n", s.read, s.bad, len(lines), s.id)
	_, err := io.WriteString(w, b.String())
	return err
}
