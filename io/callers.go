package io

import (
	"encoding/json"
	"errors"
	stdio "io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"jayloft/core"
)

// Headers of callers' requests and answers.
const (
	HeaderID         = "Jayloft-Id"         // of the request, made if absent
	HeaderDeadline   = "Jayloft-Deadline"   // RFC 3339
	HeaderTimeout    = "Jayloft-Timeout"    // Go duration, or milliseconds
	HeaderIdempotent = "Jayloft-Idempotent" // true or false
	HeaderTeam       = "Jayloft-Team"       // that the request counts for
	HeaderOutcome    = "Jayloft-Outcome"    // done, refused, failed or unknown
	HeaderWorker     = "Jayloft-Worker"     // that ran the request
	HeaderTries      = "Jayloft-Tries"      // how often the request was sent
	HeaderRetry      = "Jayloft-Retry-Ms"   // milliseconds until a new try makes sense
)

// MaxBodyBytes is the largest body of a caller's request, in bytes.
const MaxBodyBytes = 1 << 20

// bodyTimeout is how long a caller may take to send a body.
const bodyTimeout = 10 * time.Second

// Problem is the JSON body of every answer but a whole one.
type Problem struct {
	Outcome  core.Outcome `json:"outcome"`
	Reason   core.Reason  `json:"reason,omitempty"`
	Text     string       `json:"text,omitempty"`
	ID       string       `json:"id,omitempty"`
	Findings []Finding    `json:"findings,omitempty"`
}

// Finding is one fault of a caller's input and its place.
type Finding struct {
	Where string `json:"where"` // header, parameter, field or line:column
	Text  string `json:"text"`
}

// Callers returns the handler for callers.
func (s *EntryServer) Callers() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/services/{service}", s.serveCaller).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", s.submit).Methods(http.MethodPost)
	r.Handle("/healthz", s.meter)
	return r
}

// serveCaller takes one request through to its answer.
func (s *EntryServer) serveCaller(w http.ResponseWriter, r *http.Request) {
	req, found := requestOf(r, mux.Vars(r)["service"], time.Now())
	if len(found) > 0 {
		writeProblem(w, http.StatusBadRequest, Problem{Outcome: core.OutcomeRefused, Findings: found})
		return
	}
	w.Header().Set(HeaderID, string(req.ID))
	var ok bool
	if req.Body, ok = readBody(w, r); !ok {
		return
	}
	c := s.answers.add(req.ID)
	if c == nil {
		writeProblem(w, http.StatusConflict, Problem{
			Outcome: core.OutcomeUnknown, Reason: core.ReasonDuplicate, ID: string(req.ID),
			Text: "a request with this id is in flight here; its own caller gets the answer",
		})
		return
	}
	s.drive.post(core.RequestArrived{Request: req})
	select {
	case a := <-c:
		writeAnswer(w, a)
	case <-r.Context().Done():
		s.answers.drop(req.ID)
		s.drive.post(core.RequestAbandoned{ID: req.ID})
	}
}

// readBody reads a bounded body whole. It answers the request itself if it
// can't.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	b, err := readAll(w, r)
	if err == nil {
		return b, true
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		writeProblem(w, http.StatusRequestEntityTooLarge, Problem{
			Outcome:  core.OutcomeRefused,
			Findings: []Finding{{Where: "body", Text: "is larger than 1 MiB"}},
		})
		return nil, false
	}
	writeProblem(w, http.StatusBadRequest, Problem{
		Outcome:  core.OutcomeRefused,
		Findings: []Finding{{Where: "body", Text: "breaks off: " + err.Error()}},
	})
	return nil, false
}

// readAll reads a bounded body whole, within bodyTimeout.
func readAll(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	n := r.ContentLength
	if n == 0 {
		return nil, nil
	}
	// A connection without deadlines is read without one.
	rc := http.NewResponseController(w)
	if rc.SetReadDeadline(time.Now().Add(bodyTimeout)) == nil {
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	in := http.MaxBytesReader(w, r.Body, MaxBodyBytes)
	if n < 0 || n > MaxBodyBytes {
		return stdio.ReadAll(in)
	}
	b := make([]byte, n)
	_, err := stdio.ReadFull(in, b)
	return b, err
}

// writeAnswer writes the final answer to a request.
func writeAnswer(w http.ResponseWriter, a core.Answer) {
	h := w.Header()
	h.Set(HeaderTries, strconv.Itoa(a.Tries))
	if a.Worker != "" {
		h.Set(HeaderWorker, string(a.Worker))
	}
	if a.Outcome == core.OutcomeDone {
		h.Set(HeaderOutcome, string(a.Outcome))
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(a.Body)
		return
	}
	if a.Outcome == core.OutcomeRefused {
		setRetry(h, a.RetryAfter)
	}
	writeProblem(w, statusOf(a.Outcome, a.Reason), Problem{
		Outcome: a.Outcome, Reason: a.Reason, Text: a.Text, ID: string(a.ID),
	})
}

// statusOf returns the HTTP status for an outcome that isn't done.
func statusOf(o core.Outcome, r core.Reason) int {
	if r == core.ReasonDuplicate {
		return http.StatusConflict
	}
	switch o {
	case core.OutcomeFailed:
		return http.StatusBadGateway
	case core.OutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	switch r {
	case core.ReasonService:
		return http.StatusNotFound
	case core.ReasonQuota, core.ReasonOverload, core.ReasonSlots, core.ReasonQueue:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// setRetry tells when to come back: in whole seconds, rounded up, and exactly
// in milliseconds.
func setRetry(h http.Header, d time.Duration) {
	if d <= 0 {
		return
	}
	h.Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
	h.Set(HeaderRetry, strconv.FormatInt(int64((d+time.Millisecond-1)/time.Millisecond), 10))
}

func writeProblem(w http.ResponseWriter, status int, p Problem) {
	if p.ID == "" {
		p.ID = w.Header().Get(HeaderID)
	}
	w.Header().Set(HeaderOutcome, string(p.Outcome))
	writeJSON(w, status, p)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	b = append(b, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
