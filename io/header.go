package io

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"time"

	"jayloft/core"
)

// maxNameBytes bounds an id or a name in a header.
const maxNameBytes = 128

// parseRequest parses a caller's request, except for its body, and returns
// findings for all invalid fields. A request without an id gets a random one.
func parseRequest(r *http.Request, service string, now time.Time) (core.Request, []Finding) {
	f := findings{}
	h := r.Header
	req := core.Request{
		ID:      core.RequestID(f.asciiName(HeaderID, h.Get(HeaderID))),
		Service: f.asciiName("service", service),
		Team:    core.Team(f.asciiName(HeaderTeam, h.Get(HeaderTeam))),
	}
	if req.ID == "" {
		req.ID = core.RequestID(rand.Text())
	}
	req.Deadline = f.parseDeadline(h, now)
	switch v := h.Get(HeaderIdempotent); v {
	case "", "false":
	case "true":
		req.Idempotent = true
	default:
		f.add(HeaderIdempotent, strconv.Quote(v)+" is neither true nor false")
	}
	return req, f.list
}

// findings collects the errors in a caller's input.
type findings struct{ list []Finding }

func (f *findings) add(where, text string) {
	f.list = append(f.list, Finding{Where: where, Text: text})
}

// asciiName returns v. It adds a finding if v is longer than maxNameBytes or
// contains characters other than visible ASCII.
func (f *findings) asciiName(where, v string) string {
	if len(v) > maxNameBytes {
		f.add(where, "is longer than 128 bytes")
		return v
	}
	for i := 0; i < len(v); i++ {
		if v[i] <= ' ' || v[i] > '~' {
			f.add(where, strconv.Quote(v)+" contains characters other than visible ASCII")
			break
		}
	}
	return v
}

// parseDeadline returns the deadline of a request, or the zero time if the
// caller sets none.
func (f *findings) parseDeadline(h http.Header, now time.Time) time.Time {
	at, timeout := h.Get(HeaderDeadline), h.Get(HeaderTimeout)
	if at != "" && timeout != "" {
		f.add(HeaderDeadline, "must not be combined with "+HeaderTimeout+"; send one of them")
	}
	var deadline time.Time
	if at != "" {
		t, err := time.Parse(time.RFC3339Nano, at)
		if err != nil {
			f.add(HeaderDeadline, strconv.Quote(at)+" is not an RFC 3339 time")
		}
		deadline = t
	}
	if timeout != "" {
		d, err := parseTimeout(timeout)
		if err != nil || d <= 0 {
			f.add(HeaderTimeout, strconv.Quote(timeout)+" is neither a duration such as 800ms nor a positive number of milliseconds")
		}
		deadline = now.Add(d)
	}
	return deadline
}

func parseTimeout(s string) (time.Duration, error) {
	if ms, err := strconv.ParseInt(s, 10, 32); err == nil {
		return time.Duration(ms) * time.Millisecond, nil
	}
	return time.ParseDuration(s)
}
