package io

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"jayloft/config"
	"jayloft/core"
)

// JobBody is the JSON body of a submission.
type JobBody struct {
	ID     string   `json:"id"`
	Team   string   `json:"team"`
	Class  string   `json:"class"`
	Size   JobSize  `json:"size"`
	Inputs []string `json:"inputs"`
	Urgent bool     `json:"urgent"`
	Once   bool     `json:"once"`
}

// JobSize is the size of each task of a submission.
type JobSize struct {
	Millicores   int64 `json:"millicores"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

// JobAnswer is the JSON body of the response to a submission.
type JobAnswer struct {
	ID      string              `json:"id"`
	Outcome core.CommandOutcome `json:"outcome"`
	Text    string              `json:"text,omitempty"`
	Version uint64              `json:"version,omitempty"`
}

// submit accepts a batch job. It responds once the job's row is committed or
// the submission has failed; the outcome may be unknown.
func (s *EntryServer) submit(w http.ResponseWriter, r *http.Request) {
	b, ok := readBody(w, r)
	if !ok {
		return
	}
	spec, generated, found := parseSpec(r, b)
	if len(found) > 0 {
		writeProblem(w, http.StatusBadRequest, Problem{
			Outcome: core.OutcomeRefused, ID: string(spec.ID), Findings: found,
		})
		return
	}
	text, err := json.Marshal(spec)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	res := s.do(r.Context(), core.CommandAsked{
		ID: "job/" + string(spec.ID), Text: string(text), Command: core.CreateJob{Spec: spec}, First: generated,
	})
	w.Header().Set(HeaderID, string(spec.ID))
	setRetryAfter(w.Header(), res.RetryAfter)
	writeJSON(w, commandStatus(res), JobAnswer{
		ID: string(spec.ID), Outcome: res.Outcome, Text: res.Text, Version: res.Version,
	})
}

func commandStatus(res core.CommandResult) int {
	switch res.Outcome {
	case core.CommandDone:
		return http.StatusAccepted
	case core.CommandConflict:
		return http.StatusConflict
	case core.CommandUnknown:
		return http.StatusGatewayTimeout
	}
	if res.RetryAfter > 0 {
		return http.StatusServiceUnavailable
	}
	return http.StatusUnprocessableEntity
}

// parseSpec parses a submission with a JSON or CSV body and returns findings for
// all errors. A job without an id gets a random one, and generated is true.
func parseSpec(r *http.Request, b []byte) (spec core.JobSpec, generated bool, found []Finding) {
	f := findings{}
	decoded := true
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	switch {
	case err == nil && kind == "text/csv":
		spec = f.parseCSV(r, b)
	case err == nil && kind == "application/json" || r.Header.Get("Content-Type") == "":
		spec, decoded = f.parseJSON(b)
	default:
		f.add("Content-Type", "is neither application/json nor text/csv")
		return spec, false, f.list
	}
	if spec.ID == "" {
		spec.ID = core.JobID(f.asciiName(HeaderID, r.Header.Get(HeaderID)))
	}
	if spec.ID == "" {
		spec.ID, generated = core.JobID(rand.Text()), true
	}
	if decoded {
		f.checkSpec(spec)
	}
	return spec, generated, f.list
}

// parseJSON parses a submission with a JSON body. It returns false after a syntax
// error, since the fields can't be checked then.
func (f *findings) parseJSON(b []byte) (core.JobSpec, bool) {
	var body JobBody
	if err := json.Unmarshal(b, &body); err != nil {
		f.add(jsonPosition(b, err), err.Error())
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return core.JobSpec{}, false
		}
	}
	f.unknownFields(b, "id", "team", "class", "size", "inputs", "urgent", "once")
	return core.JobSpec{
		ID:    core.JobID(body.ID),
		Team:  core.Team(body.Team),
		Class: body.Class,
		Size: core.Size{
			Millicores:   body.Size.Millicores,
			MemoryMB:     body.Size.MemoryMB,
			Accelerators: body.Size.Accelerators,
		},
		Inputs: body.Inputs,
		Urgent: body.Urgent,
		Once:   body.Once,
	}, true
}

// unknownFields adds a finding for each field of a JSON object that is not in
// known.
func (f *findings) unknownFields(b []byte, known ...string) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(b, &fields) != nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !slices.Contains(known, name) {
			at := bytes.Index(b, []byte(strconv.Quote(name)))
			f.add(position(b, int64(at)), "unknown field "+strconv.Quote(name))
		}
	}
}

// checkSpec checks the fields that JSON and CSV submissions share.
func (f *findings) checkSpec(s core.JobSpec) {
	f.checkName("id", string(s.ID))
	if strings.Contains(string(s.ID), ".") {
		f.add("id", "must not contain a dot")
	}
	f.checkName("class", s.Class)
	if s.Team != "" {
		f.checkName("team", string(s.Team))
	}
	if s.Size.Millicores < 1 || s.Size.MemoryMB < 1 || s.Size.Accelerators < 0 {
		f.add("size", "millicores and memory_mb must be at least 1, and accelerators must not be negative")
	}
	if n := len(s.Inputs); n == 0 {
		f.add("inputs", "must not be empty")
	} else if n > core.MaxTasks {
		f.add("inputs", fmt.Sprintf("%d tasks exceed the limit of %d", n, core.MaxTasks))
	}
}

// checkName checks that v can be used as a name in operators' statements.
func (f *findings) checkName(where, v string) {
	if err := config.CheckName(v); err != nil {
		f.add(where, err.Error())
	}
}

// jsonPosition returns the position of err in a JSON text as line:column.
func jsonPosition(b []byte, err error) string {
	off := int64(len(b))
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	if errors.As(err, &syntax) {
		off = syntax.Offset - 1
	} else if errors.As(err, &kind) {
		off = kind.Offset - 1
	}
	return position(b, off)
}

// position returns the position of a byte offset as line:column, both from 1.
func position(b []byte, off int64) string {
	b = b[:min(max(off, 0), int64(len(b)))]
	line := bytes.Count(b, []byte("\n")) + 1
	col := len(b) - bytes.LastIndexByte(b, '\n')
	return strconv.Itoa(line) + ":" + strconv.Itoa(col)
}
