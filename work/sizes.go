package work

import (
	"slices"
	"strconv"
	"strings"

	"jayloft/config"
)

// sizes lists the jersey sizes in ascending order.
var sizes = []string{"XS", "S", "M", "L", "XL", "XXL", "XXXL"}

// maxCount is the upper limit of a size's count and of a queue's length.
const maxCount = 100_000

// Count is a name with a number, such as a jersey size or a printer's queue.
type Count struct {
	Name string
	N    int
}

// parseCounts reads a list of the form "XS:3,S:10". Findings report name
// as the file; known, if not nil, lists the allowed names.
func parseCounts(name, text string, known []string) ([]Count, error) {
	var counts []Count
	var fs config.Findings
	column := 1
	for part := range strings.SplitSeq(text, ",") {
		at := column + len(part) - len(strings.TrimLeft(part, " "))
		column += len(part) + 1
		c, fault := parseCount(strings.TrimSpace(part), known)
		if fault == "" && slices.ContainsFunc(counts, func(o Count) bool { return o.Name == c.Name }) {
			fault = strconv.Quote(c.Name) + " stands twice"
		}
		if fault != "" {
			fs = append(fs, config.Finding{File: name, Line: 1, Column: at, Text: fault})
			continue
		}
		counts = append(counts, c)
	}
	return counts, fs.Err()
}

// parseCount parses one element of a list. If it is invalid, fault is the reason.
func parseCount(part string, known []string) (c Count, fault string) {
	name, count, ok := strings.Cut(part, ":")
	if !ok || name == "" {
		return c, "want NAME:COUNT, not " + strconv.Quote(part)
	}
	if known != nil && !slices.Contains(known, name) {
		return c, strconv.Quote(name) + " is none of " + strings.Join(known, " ")
	}
	n, err := strconv.Atoi(count)
	if err != nil || n < 0 || n > maxCount {
		return c, strconv.Quote(count) + " is no count from 0 to " + strconv.Itoa(maxCount)
	}
	return Count{name, n}, ""
}
