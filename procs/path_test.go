package procs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	jio "jayloft/io"
	"jayloft/stand"
)

// reply is the HTTP response to a caller.
type reply struct {
	status int
	header http.Header
	body   string
}

// post sends a caller's request to the entry.
func (e *entryProc) post(path, body string, header ...string) (reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers.String()+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header, string(b)}, err
}

// proof requests a proof render, which is not idempotent. The id of the request
// is also the order's.
func (e *entryProc) proof(id string, header ...string) (reply, error) {
	body := fmt.Sprintf(`{"order":%q,"club":"Simba","jersey":"Classic"}`, id)
	return e.post("/v1/services/proof", body, append(header, jio.HeaderID, id)...)
}

// lookup requests the slips of a word, which is idempotent.
func (e *entryProc) lookup(id, word string, header ...string) (reply, error) {
	body := fmt.Sprintf(`{"word":%q}`, word)
	return e.post("/v1/services/lookup", body, append(header, jio.HeaderID, id)...)
}

// echoes reports whether the body is complete and contains the requested order
// or word.
func (r reply) echoes(key string) bool {
	var a struct{ Order, Word string }
	return json.Unmarshal([]byte(r.body), &a) == nil && a.Order+a.Word == key
}

// submit submits a job with one task per input, which sleeps for that duration.
func (e *entryProc) submit(id string, inputs ...string) (reply, error) {
	return e.submitSized(id, 500, inputs...)
}

// submitSized is like submit, with the given millicores for each task.
func (e *entryProc) submitSized(id string, millicores int, inputs ...string) (reply, error) {
	body := fmt.Sprintf(`{"id":%q,"team":"fichero","class":"sleep","size":{"millicores":%d,"memory_mb":100},"inputs":["%s"]}`,
		id, millicores, strings.Join(inputs, `","`))
	return e.post("/v1/jobs", body, "Content-Type", "application/json")
}

// taskStates returns the state of each task of a job as reported by the entry.
func (e *entryProc) taskStates(job string) []string {
	res, err := e.do("", "show tasks")
	if err != nil {
		return nil
	}
	task, state := slices.Index(res.GetColumns(), "task"), slices.Index(res.GetColumns(), "state")
	var out []string
	for _, r := range res.GetRows() {
		if strings.HasPrefix(r.GetCells()[task], job+".") {
			out = append(out, r.GetCells()[state])
		}
	}
	return out
}

// jobDone reports whether the job's n tasks are all done.
func (e *entryProc) jobDone(job string, n int) bool {
	states := e.taskStates(job)
	for _, s := range states {
		if s != "done" {
			return false
		}
	}
	return len(states) == n
}

// requireDoneOnce requires that each of the job's n tasks completed exactly once
// and never ran on two workers at the same time.
func (s *system) requireDoneOnce(job string, n int) {
	s.t.Helper()
	ran := s.journals()
	for i := range n {
		prefix := fmt.Sprintf("%s.%d#", job, i)
		done := count(ran, stand.KindEnd, func(e stand.Entry) bool {
			return strings.HasPrefix(e.Subject, prefix) && strings.Contains(e.Detail, "done")
		})
		assert.Equal(s.t, done, 1, "%s completed %d times", prefix, done)
	}
	assert.Equal(s.t, len(stand.Overlaps(ran)), 0, "%v", stand.Overlaps(ran))
}

func TestProcesses(t *testing.T) {
	s := newSystem(t, systemConfig{workers: 3, entries: 2})
	for i, e := range s.entries {
		id := fmt.Sprintf("r%d", i)
		r, err := e.proof(id)
		assert.NilError(t, err)
		assert.Equal(t, r.status, http.StatusOK, r.body)
		assert.Assert(t, r.echoes(id), r.body)
		assert.Equal(t, r.header.Get(jio.HeaderOutcome), "done")
		r, err = e.lookup("", "tinto")
		assert.NilError(t, err)
		assert.Equal(t, r.status, http.StatusOK, r.body)
		assert.Assert(t, r.echoes("tinto"), r.body)
	}
	r, err := s.entries[1].submit("j1", "300ms", "300ms", "300ms")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusAccepted, r.body)
	for _, e := range s.entries {
		eventually(t, "j1 is done at "+e.name, func() bool { return e.jobDone("j1", 3) })
	}
	s.requireDoneOnce("j1", 3)
	for _, p := range s.processes() {
		assert.Equal(t, p.stop(), 0, p.name)
	}
}

// processes returns all processes in the order of a graceful shutdown.
func (s *system) processes() []*proc {
	var ps []*proc
	for _, a := range s.agents {
		ps = append(ps, a.proc)
	}
	for _, e := range s.entries {
		ps = append(ps, e.proc)
	}
	return append(ps, s.vms, s.platform)
}
