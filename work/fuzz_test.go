package work

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzParseSlips checks that no line of a CSV text is lost: each is blank, a
// slip, or rejected with a finding.
func FuzzParseSlips(f *testing.F) {
	f.Add(header + "1,a,b,c,d,1999-01-31\n2,a,\"b,c\n\n3,,\n")
	f.Add("\ufeff" + header + "1,a,\"b \"\"c\"\"\",c,d,1999-01-31\r\n1,a,b,c,d,1999-01-31")
	f.Fuzz(func(t *testing.T, text string) {
		p := parseSlips("f", text)
		bad := map[int]bool{}
		for _, x := range p.findings {
			assert.Assert(t, x.Line >= 1 && x.Column >= 1, x)
			bad[x.Line] = true
		}
		want := 0
		first := true
		for l := range strings.Lines(text) {
			if first {
				l = strings.TrimPrefix(l, "\ufeff")
			}
			header := first && strings.TrimRight(l, "\r\n") == slipHeader
			if !header && strings.TrimSpace(l) != "" {
				want++
			}
			first = false
		}
		assert.Equal(t, len(p.slips)+p.rejected, want)
		assert.Assert(t, len(bad) >= p.rejected)
	})
}

// FuzzCutPlan checks that a plan yields exactly the jerseys of its size run.
func FuzzCutPlan(f *testing.F) {
	f.Add("XS:3,S:10,M:22")
	f.Add("M:0, L:100000,M:1")
	f.Fuzz(func(t *testing.T, input string) {
		out, err := CutPlan(input)
		if err != nil {
			return
		}
		run, err := parseCounts("", input, sizes)
		assert.NilError(t, err)
		var p Plan
		assert.NilError(t, json.Unmarshal([]byte(out), &p))
		left := map[string]int{}
		for _, c := range run {
			left[c.Name] = c.N
		}
		for _, l := range p.Lays {
			assert.Assert(t, l.Plies > 0 && l.Plies <= maxPlies && len(l.Sizes) <= jerseysPerMarker)
			for _, s := range l.Sizes {
				left[s] -= l.Plies
			}
		}
		for s, n := range left {
			assert.Equal(t, n, 0, s)
		}
	})
}
