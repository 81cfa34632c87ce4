package config

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one error in a file, with its position.
type Finding struct {
	File         string // empty if the text was not read from a file
	Line, Column int    // 1-based; Column counts characters, not bytes
	Text         string
}

// String returns the finding in the form file:line:column: text.
func (f Finding) String() string {
	if f.File == "" {
		return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
}

// Findings holds all errors of a file. Err sorts them by position.
type Findings []Finding

// Error returns the findings, one per line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// WithFile returns a copy of the findings with File set to file.
func (fs Findings) WithFile(file string) Findings {
	out := make(Findings, len(fs))
	for i, f := range fs {
		f.File = file
		out[i] = f
	}
	return out
}

// Err sorts the findings by position and returns them as an error, or nil if
// there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	sort.SliceStable(fs, func(i, j int) bool {
		a, b := fs[i], fs[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return fs
}
