package query_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jayloft/query"
)

// TestOperatorsPage requires that every statement on the page for operators parses.
func TestOperatorsPage(t *testing.T) {
	b, err := os.ReadFile(filepath.Join("..", "docs", "OPERATORS.md"))
	assert.NilError(t, err)
	var src strings.Builder
	for line := range strings.Lines(string(b)) {
		if s, ok := strings.CutPrefix(line, "    "); ok && !strings.HasPrefix(s, "jayloft ") {
			src.WriteString(s)
		}
	}
	stmts, err := query.ParseAll(src.String(), now)
	assert.NilError(t, err)
	assert.Assert(t, len(stmts) > 15, "%d statements", len(stmts))
}
