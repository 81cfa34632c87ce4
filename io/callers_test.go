package io

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func TestParseRequest(t *testing.T) {
	for _, tc := range []struct {
		name   string
		header map[string]string
		want   core.Request
		wrong  []string // locations of the findings
	}{
		{name: "all", header: map[string]string{
			HeaderID: "r1", HeaderTimeout: "250ms", HeaderIdempotent: "true", HeaderTeam: "fichero",
		}, want: core.Request{ID: "r1", Service: "lookup", Team: "fichero",
			Deadline: noon.Add(250 * time.Millisecond), Idempotent: true}},
		{name: "milliseconds", header: map[string]string{HeaderID: "r1", HeaderTimeout: "40"},
			want: core.Request{ID: "r1", Service: "lookup", Deadline: noon.Add(40 * time.Millisecond)}},
		{name: "deadline", header: map[string]string{HeaderID: "r1", HeaderDeadline: "2026-12-04T12:00:01.5Z"},
			want: core.Request{ID: "r1", Service: "lookup", Deadline: noon.Add(1500 * time.Millisecond)}},
		{name: "all wrong", header: map[string]string{
			HeaderID: "r 1", HeaderTimeout: "soon", HeaderDeadline: "noon",
			HeaderIdempotent: "yes", HeaderTeam: strings.Repeat("x", 200),
		}, wrong: []string{HeaderID, HeaderTeam, HeaderDeadline, HeaderDeadline, HeaderTimeout, HeaderIdempotent}},
		{name: "negative", header: map[string]string{HeaderTimeout: "-3s"}, wrong: []string{HeaderTimeout}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			for k, v := range tc.header {
				r.Header.Set(k, v)
			}
			req, found := parseRequest(r, "lookup", noon)
			var places []string
			for _, f := range found {
				places = append(places, f.Where)
			}
			assert.DeepEqual(t, places, tc.wrong)
			if len(found) == 0 {
				assert.DeepEqual(t, req, tc.want)
			}
		})
	}
}

func TestParseRequestMakesIDs(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	a, _ := parseRequest(r, "lookup", noon)
	b, _ := parseRequest(r, "lookup", noon)
	assert.Assert(t, a.ID != "" && a.ID != b.ID)
}

func TestWriteAnswer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer core.Answer
		status int
		header map[string]string
		body   string
	}{
		{"done", core.Answer{Outcome: core.OutcomeDone, Body: []byte("whole"), Worker: "w1", Tries: 2},
			http.StatusOK,
			map[string]string{HeaderOutcome: "done", HeaderWorker: "w1", HeaderTries: "2", "Content-Length": "5"},
			"whole"},
		{"refused", core.Answer{ID: "r1", Outcome: core.OutcomeRefused, Reason: core.ReasonOverload, RetryAfter: 1200 * time.Millisecond},
			http.StatusTooManyRequests,
			map[string]string{"Retry-After": "2", HeaderRetry: "1200", HeaderOutcome: "refused"},
			`{"outcome":"refused","reason":"overload","id":"r1"}` + "\n"},
		{"no endpoint", core.Answer{Outcome: core.OutcomeRefused, Reason: core.ReasonEndpoints},
			http.StatusServiceUnavailable, nil, `{"outcome":"refused","reason":"endpoints"}` + "\n"},
		{"no service", core.Answer{Outcome: core.OutcomeRefused, Reason: core.ReasonService},
			http.StatusNotFound, nil, `{"outcome":"refused","reason":"service"}` + "\n"},
		{"failed", core.Answer{Outcome: core.OutcomeFailed, Text: "no such slip"},
			http.StatusBadGateway, nil, `{"outcome":"failed","text":"no such slip"}` + "\n"},
		{"duplicate", core.Answer{Outcome: core.OutcomeUnknown, Reason: core.ReasonDuplicate},
			http.StatusConflict, nil, `{"outcome":"unknown","reason":"duplicate"}` + "\n"},
		{"unknown", core.Answer{Outcome: core.OutcomeUnknown, Reason: core.ReasonCut},
			http.StatusGatewayTimeout, map[string]string{"Retry-After": ""}, `{"outcome":"unknown","reason":"cut"}` + "\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			writeAnswer(w, tc.answer)
			assert.Equal(t, w.Code, tc.status)
			assert.Equal(t, w.Body.String(), tc.body)
			for k, v := range tc.header {
				assert.Equal(t, w.Header().Get(k), v, k)
			}
		})
	}
}

func TestParseSpec(t *testing.T) {
	for _, tc := range []struct {
		name, kind, url, body string
		want                  core.JobSpec
		wrong                 []Finding
	}{
		{name: "json", kind: "application/json", url: "/v1/jobs",
			body: `{"id":"j1","class":"sleep","size":{"millicores":500,"memory_mb":1},"inputs":["1s","2s"]}`,
			want: core.JobSpec{ID: "j1", Class: "sleep", Size: core.Size{Millicores: 500, MemoryMB: 1}, Inputs: []string{"1s", "2s"}}},
		{name: "json unknown field", kind: "application/json", url: "/v1/jobs",
			body:  "{\n \"id\":\"j1\", \"klass\":\"x\", \"size\":{\"memory_mb\":1,\"millicores\":1}, \"inputs\":[\"\"]}",
			wrong: []Finding{{"2:13", `unknown field "klass"`}, {"class", "the name is empty"}}},
		{name: "json syntax", kind: "application/json", url: "/v1/jobs", body: "{\"id\":\n}",
			wrong: []Finding{{"2:1", "invalid character '}' looking for beginning of value"}}},
		{name: "json missing", kind: "application/json", url: "/v1/jobs", body: `{"id":"j1"}`,
			wrong: []Finding{{"class", "the name is empty"},
				{"size", "millicores and memory_mb must be at least 1, and accelerators must not be negative"}, {"inputs", "must not be empty"}}},
		{name: "json names", kind: "application/json", url: "/v1/jobs",
			body: `{"id":"a.b","class":"c d","size":{"millicores":1,"memory_mb":1},"inputs":[""]}`,
			wrong: []Finding{{"id", "must not contain a dot"},
				{"class", `"c d" has the character ' '; names consist of letters, digits, '-', '_' and '.'`}}},
		{name: "csv", kind: "text/csv", url: "/v1/jobs?id=j2&rows=2",
			body: "word,year\r\ncasa,1910\n\"so,l\",1911\nluna,1912",
			want: core.JobSpec{ID: "j2", Class: "import", Size: core.Size{Millicores: 1000, MemoryMB: 512},
				Inputs: []string{"word,year\ncasa,1910\n\"so,l\",1911\n", "word,year\nluna,1912\n"}}},
		{name: "csv wrong", kind: "text/csv", url: "/v1/jobs?id=j2&row=2",
			body: "word,year\ncasa\nsol,1911\na,b,c\n",
			wrong: []Finding{{"row", "is not a parameter of a submission"},
				{"2:1", "wrong number of fields"}, {"4:1", "wrong number of fields"}}},
		{name: "other", kind: "text/html", url: "/v1/jobs",
			wrong: []Finding{{"Content-Type", "is neither application/json nor text/csv"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, tc.url, nil)
			r.Header.Set("Content-Type", tc.kind)
			spec, _, found := parseSpec(r, []byte(tc.body))
			assert.DeepEqual(t, found, tc.wrong)
			if len(found) == 0 {
				assert.DeepEqual(t, spec, tc.want)
			}
		})
	}
}
