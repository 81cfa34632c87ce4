// Package trace reconstructs the history of one job, task or worker from the logs of
// several processes.
//
// It reads JSON lines as written by package logs, each possibly behind a prefix added by
// a log collector, selects those about an id, sorts them by time, and reports expected
// events that are missing. Malformed lines are counted.
//
// # Usage
//
//	s := trace.New("0123456789abcdef")
//	err := s.Read("entry-1.log", file)
//	err = s.Write(os.Stdout)
package trace

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

// maxLine is the maximum length of a line in bytes.
const maxLine = 1 << 20

// Line is one log line about the id.
type Line struct {
	Time     time.Time
	Process  string // entry or worker that wrote the line, else the name of the log
	Event    string
	Subject  string
	Fields   map[string]any // all fields except the subject
	sequence int            // position among all lines read
}

// Timeline collects the log lines about one id. Create it with [New].
type Timeline struct {
	id        string
	lines     []Line
	linesRead int // including malformed and unrelated ones
	malformed int // number of lines that could not be parsed
}

// New returns an empty timeline of a job ("ID"), one of its tasks ("ID.3"), an attempt
// ("ID.3#1"), or any other subject of log lines.
func New(id string) *Timeline { return &Timeline{id: id} }

// processFields lists the fields that name the process that wrote a line.
var processFields = []string{"entry", "worker"}

// Read adds the lines of one log. It returns an error if reading fails or a line is
// longer than 1 MiB; malformed lines are only counted.
func (s *Timeline) Read(name string, r io.Reader) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		s.linesRead++
		s.parse(name, scan.Bytes())
	}
	if err := scan.Err(); err != nil {
		return fmt.Errorf("read log %s: %w", name, err)
	}
	return nil
}

// parse adds a line of the named log if it is about the id, and counts malformed ones.
func (s *Timeline) parse(name string, b []byte) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		s.malformed++
		return
	}
	var raw struct {
		Time    time.Time      `json:"time"`
		Message string         `json:"message"`
		Fields  map[string]any `json:"fields"`
	}
	if err := json.Unmarshal(b[start:], &raw); err != nil || raw.Message == "" {
		s.malformed++
		return
	}
	subject, _ := raw.Fields["subject"].(string)
	if !s.matches(subject) {
		return
	}
	delete(raw.Fields, "subject")
	l := Line{Time: raw.Time, Process: name, Event: raw.Message, Subject: subject, Fields: raw.Fields, sequence: s.linesRead}
	for _, f := range processFields {
		if v, ok := raw.Fields[f].(string); ok {
			l.Process = v
			break
		}
	}
	s.lines = append(s.lines, l)
}

// matches reports whether a subject is the id or a task or attempt below it.
func (s *Timeline) matches(subject string) bool {
	rest, ok := strings.CutPrefix(subject, s.id)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '#')
}

// Lines returns the lines about the id, sorted by time.
func (s *Timeline) Lines() []Line {
	slices.SortStableFunc(s.lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.sequence, b.sequence))
	})
	return s.lines
}

// successors maps an event to those of which at least one must be logged for the same
// subject.
var successors = map[string][]string{
	"job taken":    {"job submit"},
	"task placed":  {"task started", "order refused", "start refused", "order unanswered", "task ended"},
	"task started": {"run ended", "task ended"},
	"run ended":    {"task ended"},
}

// Missing describes the events that should have been logged and were not.
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
			next := successors[event]
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

// Write prints the timeline, one event a line with the time since the first event, then
// the missing events and the numbers of lines.
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
	fmt.Fprintf(&b, "%d lines read, %d of them can't be read, %d about %s\n", s.linesRead, s.malformed, len(lines), s.id)
	_, err := io.WriteString(w, b.String())
	return err
}
