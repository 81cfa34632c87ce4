package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// step is a step of a job as callers hand it in.
type step struct {
	Count     int    `json:"count"`
	CPU       int    `json:"cpu"`
	Memory    int    `json:"mem_mb"`
	Estimated int    `json:"estimated_ms,omitempty"`
	After     []int  `json:"after,omitempty"`
	Lasts     bool   `json:"long_running,omitempty"`
	Image     string `json:"image,omitempty"`
	Target    int    `json:"target_ms,omitempty"`
	MayMiss   int    `json:"may_miss,omitempty"`
}

// callLimit is how long a caller waits for an answer.
const callLimit = 3 * time.Second

// client calls the entries as a requester does.
type client struct {
	rec  *record
	http *http.Client
}

func newClient(rec *record) *client {
	return &client{rec: rec, http: &http.Client{Timeout: callLimit}}
}

// call sends one request and returns the status, zero if there is no answer.
func (c *client) call(e *entry, method, path string, body any) (int, string) {
	var in io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		in = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+e.front+path, in)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callLimit.Milliseconds()))
	c.rec.note("client: %s %s at %s", method, path, e.name)
	res, err := c.http.Do(req)
	if err != nil {
		c.rec.note("client: %s %s at %s: no answer: %v", method, path, e.name, err)
		return 0, ""
	}
	b, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err != nil {
		return 0, ""
	}
	c.rec.note("client: %s %s at %s: %d %s", method, path, e.name, res.StatusCode, b)
	return res.StatusCode, string(b)
}

// submit hands a job in.
func (c *client) submit(e *entry, queue, id string, spec taskSpec, steps ...step) int {
	text, err := json.Marshal(spec)
	if err != nil {
		return 0
	}
	code, _ := c.call(e, http.MethodPost, queue+id, map[string]any{"task_spec": string(text), "steps": steps})
	return code
}

// cancel cancels a job.
func (c *client) cancel(e *entry, queue, id string) int {
	code, _ := c.call(e, http.MethodDelete, queue+id, nil)
	return code
}

// look asks for the state of a job.
func (c *client) look(e *entry, queue, id string) (int, string) {
	return c.call(e, http.MethodGet, queue+id, nil)
}

// jobID returns the id of the n-th job of a case.
func jobID(n int) string { return fmt.Sprintf("5c0e7a21%08x", n*2654435761&0xffffffff) }
