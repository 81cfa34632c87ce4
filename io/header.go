package io

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"time"

	"jayloft/core"
)

// maxName is the largest length of an id or a name in a header, in bytes.
const maxName = 128

// requestOf reads a caller's request, without its body, and collects all that
// is wrong with it.
func requestOf(r *http.Request, service string, now time.Time) (core.Request, []Finding) {
	f := findings{}
	h := r.Header
	req := core.Request{
		ID:      core.RequestID(f.name(HeaderID, h.Get(HeaderID))),
		Service: f.name("service", service),
		Team:    core.Team(f.name(HeaderTeam, h.Get(HeaderTeam))),
	}
	if req.ID == "" {
		req.ID = core.RequestID(rand.Text())
	}
	req.Deadline = f.deadline(h, now)
	switch v := h.Get(HeaderIdempotent); v {
	case "", "false":
	case "true":
		req.Idempotent = true
	default:
		f.add(HeaderIdempotent, strconv.Quote(v)+" is neither true nor false")
	}
	return req, f.list
}

// findings collects the faults of a caller's input.
type findings struct{ list []Finding }

func (f *findings) add(where, text string) {
	f.list = append(f.list, Finding{Where: where, Text: text})
}

// name checks that an id or a name is short and made of visible ASCII.
func (f *findings) name(where, v string) string {
	if len(v) > maxName {
		f.add(where, "is longer than 128 bytes")
		return v
	}
	for i := 0; i < len(v); i++ {
		if v[i] <= ' ' || v[i] > '~' {
			f.add(where, strconv.Quote(v)+" holds other than visible ASCII characters")
			break
		}
	}
	return v
}

// deadline reads when a request has to be answered, the zero time if the
// caller doesn't say.
func (f *findings) deadline(h http.Header, now time.Time) time.Time {
	at, in := h.Get(HeaderDeadline), h.Get(HeaderTimeout)
	if at != "" && in != "" {
		f.add(HeaderDeadline, "comes together with "+HeaderTimeout+"; send one of them")
	}
	var by time.Time
	if at != "" {
		t, err := time.Parse(time.RFC3339Nano, at)
		if err != nil {
			f.add(HeaderDeadline, strconv.Quote(at)+" is no time of RFC 3339")
		}
		by = t
	}
	if in != "" {
		d, err := parseTimeout(in)
		if err != nil || d <= 0 {
			f.add(HeaderTimeout, strconv.Quote(in)+" is neither a duration such as 800ms nor a positive number of milliseconds")
		}
		by = now.Add(d)
	}
	return by
}

func parseTimeout(s string) (time.Duration, error) {
	if ms, err := strconv.ParseInt(s, 10, 32); err == nil {
		return time.Duration(ms) * time.Millisecond, nil
	}
	return time.ParseDuration(s)
}
