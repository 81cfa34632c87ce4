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

// JobAnswer is the JSON answer to a submission.
type JobAnswer struct {
	ID      string              `json:"id"`
	Outcome core.CommandOutcome `json:"outcome"`
	Text    string              `json:"text,omitempty"`
	Version uint64              `json:"version,omitempty"`
}

// submit takes a program's batch job. It answers once the job's row is
// committed, or what became of it is not known.
func (s *EntryServer) submit(w http.ResponseWriter, r *http.Request) {
	b, ok := readBody(w, r)
	if !ok {
		return
	}
	spec, found := specOf(r, b)
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
		ID: "job/" + string(spec.ID), Text: string(text), Command: core.CreateJob{Spec: spec},
	})
	w.Header().Set(HeaderID, string(spec.ID))
	setRetry(w.Header(), res.RetryAfter)
	writeJSON(w, statusOfCommand(res), JobAnswer{
		ID: string(spec.ID), Outcome: res.Outcome, Text: res.Text, Version: res.Version,
	})
}

func statusOfCommand(res core.CommandResult) int {
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

// specOf reads a submission from a JSON or a CSV body and collects all that is
// wrong with it.
func specOf(r *http.Request, b []byte) (core.JobSpec, []Finding) {
	f := findings{}
	var spec core.JobSpec
	whole := true
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	switch {
	case err == nil && kind == "text/csv":
		spec = f.csvSpec(r, b)
	case err == nil && kind == "application/json" || r.Header.Get("Content-Type") == "":
		spec, whole = f.jsonSpec(b)
	default:
		f.add("Content-Type", "is neither application/json nor text/csv")
		return spec, f.list
	}
	if spec.ID == "" {
		spec.ID = core.JobID(f.name(HeaderID, r.Header.Get(HeaderID)))
	}
	if spec.ID == "" {
		spec.ID = core.JobID(rand.Text())
	}
	if whole {
		f.spec(spec)
	}
	return spec, f.list
}

// jsonSpec reads a submission from JSON. With a syntax error there is nothing
// else to find.
func (f *findings) jsonSpec(b []byte) (core.JobSpec, bool) {
	var body JobBody
	if err := json.Unmarshal(b, &body); err != nil {
		f.add(jsonPlace(b, err), err.Error())
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return core.JobSpec{}, false
		}
	}
	f.unknown(b, "id", "team", "class", "size", "inputs", "urgent", "once")
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

// unknown finds the fields of a JSON object that are not among the known.
func (f *findings) unknown(b []byte, known ...string) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(b, &fields) != nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !slices.Contains(known, name) {
			at := bytes.Index(b, []byte(strconv.Quote(name)))
			f.add(place(b, int64(at)), "unknown field "+strconv.Quote(name))
		}
	}
}

// spec checks what JSON and CSV have in common.
func (f *findings) spec(s core.JobSpec) {
	f.word("id", string(s.ID))
	if strings.Contains(string(s.ID), ".") {
		f.add("id", "has a dot, which ids of jobs must not")
	}
	f.word("class", s.Class)
	if s.Team != "" {
		f.word("team", string(s.Team))
	}
	if s.Size.Millicores < 1 || s.Size.MemoryMB < 1 || s.Size.Accelerators < 0 {
		f.add("size", "needs millicores and memory_mb of 1 or more, and no negative part")
	}
	if n := len(s.Inputs); n == 0 {
		f.add("inputs", "there is none")
	} else if n > core.MaxTasks {
		f.add("inputs", fmt.Sprintf("%d tasks are more than %d", n, core.MaxTasks))
	}
}

// word checks a name that operators can write in statements.
func (f *findings) word(where, v string) {
	if err := config.CheckName(v); err != nil {
		f.add(where, err.Error())
	}
}

// jsonPlace returns the place of an error in a JSON text as line:column.
func jsonPlace(b []byte, err error) string {
	off := int64(len(b))
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	if errors.As(err, &syntax) {
		off = syntax.Offset - 1
	} else if errors.As(err, &kind) {
		off = kind.Offset - 1
	}
	return place(b, off)
}

// place returns the place of a byte as line:column, both from 1.
func place(b []byte, off int64) string {
	b = b[:min(max(off, 0), int64(len(b)))]
	line := bytes.Count(b, []byte("\n")) + 1
	col := len(b) - bytes.LastIndexByte(b, '\n')
	return strconv.Itoa(line) + ":" + strconv.Itoa(col)
}
