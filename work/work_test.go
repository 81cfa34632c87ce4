package work

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const header = slipHeader + "\n"

func TestParseSlips(t *testing.T) {
	tests := []struct {
		name, text string
		ids        string
		err        string
	}{
		{"good", header + "1,tinto,Un tinto.,carta,Tunja,1999-01-31\n", "1", ""},
		{"quoted", header + "1,tinto,\"Un tinto, \"\"negro\"\".\",carta,Tunja,1999-01-31\r\n", "1", ""},
		{"no header", "1,tinto,Un tinto.,carta,Tunja,1999-01-31\n", "1", "f:1:1: the header is missing: " + slipHeader},
		{"empty", "", "", "f:1:1: the header is missing: " + slipHeader},
		{"an unbalanced quote invalidates its own line only",
			header + "1,a,\"b,c,d,1999-01-31\n2,a,b,c,d,1999-01-31\n3,a,\"b\",c,d,1999-01-31\n",
			"2 3", "f:2:22: extraneous or missing \" in quoted-field"},
		{"all errors of all lines",
			header + "1,,b,c,d,31.1.1999\n2,a,b\n3,a,b,c,d,1999-01-31\n3,a,b,c,d,1999-01-31\n",
			"3", "f:2:3: headword is empty\n" +
				"f:2:10: date \"31.1.1999\" is not of the form 2006-01-31\n" +
				"f:3:1: 3 fields, want 6\n" +
				"f:5:1: id \"3\" is taken by line 4"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			slips, err := ParseSlips("f", tc.text)
			var ids []string
			for _, s := range slips {
				ids = append(ids, s.ID)
			}
			assert.Equal(t, strings.Join(ids, " "), tc.ids)
			if tc.err == "" {
				assert.NilError(t, err)
			} else {
				assert.Error(t, err, tc.err)
			}
		})
	}
}

func TestLookupExample(t *testing.T) {
	text, err := os.ReadFile("../examples/fichero/slips.csv")
	assert.NilError(t, err)
	slips, err := ParseSlips("slips.csv", string(text))
	assert.NilError(t, err)
	ix := NewIndex(slips)
	tests := []struct {
		body  string
		count int
		err   string
	}{
		{`{"word":"tinto"}`, 4, ""},
		{`{"word":"CEDULA"}`, 4, ""},
		{`{"word":"napa"}`, 0, ""},
		{`{"word":" "}`, 0, `lookup: "word" is missing or empty`},
		{"{\n\"word\":3}", 0, "lookup:2:8: json: cannot unmarshal number into Go struct field Lookup.word of type string"},
	}
	for _, tc := range tests {
		t.Run(tc.body, func(t *testing.T) {
			b, err := ix.Answer([]byte(tc.body))
			if tc.err != "" {
				assert.Error(t, err, tc.err)
				return
			}
			assert.NilError(t, err)
			var f LookupResult
			assert.NilError(t, json.Unmarshal(b, &f))
			assert.Equal(t, f.Count, tc.count)
			assert.Equal(t, len(f.Slips), tc.count)
		})
	}
}

func TestImport(t *testing.T) {
	good := "1,a,b,c,d,1999-01-31\n2,a,b,c,d,1999-01-31\n"
	out, err := Import(header + good + "3,,,c,d,1999-01-31\n")
	assert.NilError(t, err)
	var im ImportResult
	assert.NilError(t, json.Unmarshal([]byte(out), &im))
	slips, err := ParseSlips("", header+good)
	assert.NilError(t, err)
	assert.DeepEqual(t, im, ImportResult{
		Accepted: 2, Rejected: 1, Digest: Digest(slips),
		Findings: []string{"input:4:3: headword is empty", "input:4:4: quotation is empty"},
	})
	_, err = Import(header)
	assert.Error(t, err, "import: the text has no slips")
}

func TestCutPlan(t *testing.T) {
	tests := []struct {
		input string
		lays  int
		want  map[string]int
		err   string
	}{
		{"XS:3,S:10,M:22,L:30,XL:4", 5, map[string]int{"XS": 3, "S": 10, "M": 22, "L": 30, "XL": 4}, ""},
		{"M:100", 5, map[string]int{"M": 100}, ""},
		{"M:0", 0, nil, "cut plan: the size run is empty"},
		{"M:3, Q:1,M:2,L:x", 0, nil, "input:1:6: \"Q\" is none of XS S M L XL XXL XXXL\n" +
			"input:1:10: \"M\" stands twice\ninput:1:14: \"x\" is no count from 0 to 100000"},
	}
	for _, tc := range tests {
		t.Run(tc.input, func(t *testing.T) {
			out, err := CutPlan(tc.input)
			if tc.err != "" {
				assert.Error(t, err, tc.err)
				return
			}
			assert.NilError(t, err)
			var p Plan
			assert.NilError(t, json.Unmarshal([]byte(out), &p))
			assert.DeepEqual(t, p.Jerseys, tc.want)
			assert.Equal(t, len(p.Lays), tc.lays)
			cut, pieces := map[string]int{}, 0
			for _, l := range p.Lays {
				pieces += l.Pieces
				for _, s := range l.Sizes {
					cut[s] += l.Plies
				}
			}
			assert.DeepEqual(t, cut, tc.want)
			assert.Equal(t, pieces, p.Pieces)
		})
	}
}

func TestProof(t *testing.T) {
	b, err := Proof([]byte(`{"order":"A-17","club":"Rift & Co","jersey":"Ride","sizes":{"M":3,"L":2}}`))
	assert.NilError(t, err)
	var p ProofResult
	assert.NilError(t, json.Unmarshal(b, &p))
	assert.Equal(t, p.ID, "A-17")
	assert.Equal(t, p.Jerseys, 5)
	assert.Assert(t, strings.Contains(p.SVG, "Rift &amp; Co") && strings.Contains(p.SVG, "M 3, L 2"), p.SVG)

	_, err = Proof([]byte(`{"colour":"red","sizes":{"Q":1}}`))
	assert.Error(t, err, "proof: \"order\" is missing or empty\nproof: \"club\" is missing or empty\n"+
		"proof: \"colour\" is \"red\", want the form #1a2b3c\nproof: \"sizes\" has \"Q\": 1")
}

func TestPrintWatch(t *testing.T) {
	out, err := PrintWatch("p1:4,p2:0,p3:9")
	assert.NilError(t, err)
	assert.Equal(t, out, `{"printers":3,"queued":13,"longest":"p3","idle":["p2"]}`)
	_, err = PrintWatch("p1")
	assert.Error(t, err, `input:1:1: want NAME:COUNT, not "p1"`)
}
