package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"gotest.tools/v3/assert"
)

// files writes files and returns their paths.
func files(t *testing.T, contents map[string]string) map[string]string {
	t.Helper()
	dir, paths := t.TempDir(), map[string]string{}
	for name, content := range contents {
		paths[name] = filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(paths[name], []byte(content), 0o600))
	}
	return paths
}

func TestCheckFiles(t *testing.T) {
	p := files(t, map[string]string{
		"good.toml": "[stand]\nplatform = \"127.0.0.1:7000\"\n",
		"bad.toml":  "[stand]\nplatfrm = 1\nseed = \"x\"\n",
		"good.jay":  "create dc bog-1\nshow dcs\n",
		"bad.jay":   "create dc \"bog 1\"\nfly\n",
	})
	var out, errs bytes.Buffer
	status := checkFiles(&out, &errs, []string{p["good.toml"], p["good.jay"]})
	assert.Equal(t, status, subcommands.ExitSuccess)
	assert.Equal(t, errs.String(), "")
	assert.Equal(t, out.String(), p["good.toml"]+": settings of stand-ins, 0 workers\n"+p["good.jay"]+": 2 statements\n")

	out.Reset()
	status = checkFiles(&out, &errs, []string{p["bad.toml"], p["bad.jay"], p["good.jay"], p["good.jay"] + ".absent"})
	assert.Equal(t, status, subcommands.ExitFailure)
	for _, want := range []string{
		p["bad.toml"] + `:2:1: unknown key "platfrm" in [stand]`,
		p["bad.toml"] + `:3:8: want an integer`,
		p["bad.jay"] + `:1:11: "bog 1" has the character ' '`,
		p["bad.jay"] + `:2:1: unknown statement "fly"`,
		"no such file",
	} {
		assert.Assert(t, strings.Contains(errs.String(), want), "%s\nlacks %s", errs.String(), want)
	}
	assert.Equal(t, checkFiles(&out, &errs, nil), subcommands.ExitUsageError)
}
