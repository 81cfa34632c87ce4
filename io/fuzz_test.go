package io

import (
	"bytes"
	"encoding/csv"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jayloft/config"
	"jayloft/core"
)

// FuzzRequest parses headers of callers' requests: a request without findings
// must have a valid id and deadline.
func FuzzRequest(f *testing.F) {
	f.Add("r1", "250ms", "", "true", "fichero")
	f.Add("", "", "2026-12-04T12:00:01Z", "", "")
	f.Add("r 1", "-1", "noon", "yes", "\x00")
	f.Fuzz(func(t *testing.T, id, timeout, deadline, idempotent, team string) {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		for k, v := range map[string]string{
			HeaderID: id, HeaderTimeout: timeout, HeaderDeadline: deadline,
			HeaderIdempotent: idempotent, HeaderTeam: team,
		} {
			r.Header[k] = []string{v}
		}
		req, found := parseRequest(r, "lookup", noon)
		if len(found) > 0 {
			return
		}
		assert.Assert(t, req.ID != "" && len(req.ID) <= maxNameBytes)
		if timeout != "" {
			assert.Assert(t, req.Deadline.After(noon))
		}
	})
}

// FuzzJob parses bodies of submissions: a job without findings must have inputs
// and names that are valid in statements.
func FuzzJob(f *testing.F) {
	f.Add("application/json", "id=j", []byte(`{"id":"j","class":"c","size":{"millicores":1,"memory_mb":1},"inputs":["a"]}`))
	f.Add("application/json", "", []byte(`{"id":{},"klass":1}`))
	f.Add("text/csv", "id=j&rows=2", []byte("word,year\ncasa,1910\n\"so\nl\",1911\n"))
	f.Add("text/csv", "rows=0", []byte("a,b\nc\n\"d"))
	f.Fuzz(func(t *testing.T, kind, query string, body []byte) {
		r := httptest.NewRequest(http.MethodPost, "/v1/jobs", nil)
		r.Header.Set("Content-Type", kind)
		r.URL.RawQuery = query
		spec, _, found := parseSpec(r, body)
		if len(found) > 0 {
			return
		}
		assert.NilError(t, config.CheckName(string(spec.ID)))
		assert.NilError(t, config.CheckName(spec.Class))
		assert.Assert(t, len(spec.Inputs) > 0 && len(spec.Inputs) <= core.MaxTasks)
		if strings.HasPrefix(kind, "text/csv") {
			assertSameRecords(t, body, spec.Inputs)
		}
	})
}

// assertSameRecords checks that the pieces together have exactly the records of
// whole.
func assertSameRecords(t *testing.T, whole []byte, pieces []string) {
	t.Helper()
	want, err := csv.NewReader(bytes.NewReader(whole)).ReadAll()
	assert.NilError(t, err)
	var got [][]string
	for i, p := range pieces {
		records, err := csv.NewReader(strings.NewReader(p)).ReadAll()
		assert.NilError(t, err, "%q", p)
		if i > 0 {
			records = records[1:]
		}
		got = append(got, records...)
	}
	assert.DeepEqual(t, got, want)
}
