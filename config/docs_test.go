package config_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jayloft/config"
	"jayloft/core"
)

// TestSettingsPage requires that the page of settings lists each policy parameter
// with its default and range, and marks those that the statement set changes.
func TestSettingsPage(t *testing.T) {
	b, err := os.ReadFile(filepath.Join("..", "docs", "SETTINGS.md"))
	assert.NilError(t, err)
	for _, n := range config.Params() {
		row := fmt.Sprintf("| `%s` | %s | %s | %s | ", n.Name, n.Format(n.Value(core.DefaultPolicy())), n.Format(n.Min), n.Format(n.Max))
		assert.Assert(t, strings.Contains(string(b), row), row)
		_, settable := core.PolicyNames[n.Name]
		_, line, _ := strings.Cut(string(b), row)
		line, _, _ = strings.Cut(line, "\n")
		assert.Equal(t, strings.Contains(line, "(*set*)"), settable, n.Name)
	}
}
