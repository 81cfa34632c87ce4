package config

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault of a file and its place.
type Finding struct {
	File         string // empty if the text is from no file
	Line, Column int    // from 1; the column counts characters
	Text         string
}

// String returns the finding in the form file:line:column: text.
func (f Finding) String() string {
	if f.File == "" {
		return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
}

// Findings is every fault of a file, in the order of their places.
type Findings []Finding

// Error returns the findings, one on each line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// WithFile returns the findings as those of a file.
func (fs Findings) WithFile(file string) Findings {
	out := make(Findings, len(fs))
	for i, f := range fs {
		f.File = file
		out[i] = f
	}
	return out
}

// Err returns the findings sorted by place as an error, or nil if there are
// none.
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
