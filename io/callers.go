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

// Headers of callers' requests and responses.
const (
	HeaderID         = "Jayloft-Id"         // request id; generated if absent
	HeaderDeadline   = "Jayloft-Deadline"   // RFC 3339
	HeaderTimeout    = "Jayloft-Timeout"    // Go duration, or milliseconds
	HeaderIdempotent = "Jayloft-Idempotent" // true or false
	HeaderTeam       = "Jayloft-Team"       // team that the request is accounted to
	HeaderOutcome    = "Jayloft-Outcome"    // done, refused, failed or unknown
	HeaderWorker     = "Jayloft-Worker"     // worker that ran the request
	HeaderTries      = "Jayloft-Tries"      // number of times it was sent to a worker
	HeaderRetry      = "Jayloft-Retry-Ms"   // delay before a retry, in milliseconds
)

// MaxBodyBytes bounds the body of a caller's request.
const MaxBodyBytes = 1 << 20

// Problem is the JSON body of every response to a request that wasn't done.
type Problem struct {
	Outcome  core.Outcome `json:"outcome"`
	Reason   core.Reason  `json:"reason,omitempty"`
	Text     string       `json:"text,omitempty"`
	ID       string       `json:"id,omitempty"`
	Findings []Finding    `json:"findings,omitempty"`
}

// Finding is one error in a caller's input and its location.
type Finding struct {
	Where string `json:"where"` // header, parameter, field or line:column
	Text  string `json:"text"`
}

// Callers returns the handler for requests and job submissions of callers.
func (s *EntryServer) Callers() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/services/{service}", s.serveCaller).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", s.submit).Methods(http.MethodPost)
	r.Handle("/healthz", s.meter)
	return r
}

// serveCaller passes one request to the reducer and writes its answer. A caller
// that disconnects abandons the request.
func (s *EntryServer) serveCaller(w http.ResponseWriter, r *http.Request) {
	req, found := parseRequest(r, mux.Vars(r)["service"], time.Now())
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
			Text: "another request with this id is in flight at this entry; only its caller gets the answer",
		})
		return
	}
	s.driver.post(core.RequestArrived{Request: req})
	select {
	case a := <-c:
		writeAnswer(w, a)
	case <-r.Context().Done():
		s.answers.remove(req.ID)
		s.driver.post(core.RequestAbandoned{ID: req.ID})
	}
}

// readBody reads a body of at most MaxBodyBytes. On failure, it writes the error
// response and returns false.
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
		Findings: []Finding{{Where: "body", Text: "can't be read completely: " + err.Error()}},
	})
	return nil, false
}

// readAll reads a body of at most MaxBodyBytes. Memory is taken as its bytes come.
func readAll(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	return stdio.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
}

// writeAnswer writes the response for the final answer to a request.
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
		setRetryAfter(h, a.RetryAfter)
	}
	writeProblem(w, httpStatus(a.Outcome, a.Reason), Problem{
		Outcome: a.Outcome, Reason: a.Reason, Text: a.Text, ID: string(a.ID),
	})
}

// httpStatus returns the HTTP status for an outcome other than done.
func httpStatus(o core.Outcome, r core.Reason) int {
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

// setRetryAfter sets the delay before a retry, if it is positive: Retry-After in
// seconds and HeaderRetry in milliseconds, both rounded up.
func setRetryAfter(h http.Header, d time.Duration) {
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
