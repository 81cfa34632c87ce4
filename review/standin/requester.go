package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	timeBudget = 3 * time.Second // that a requester waits for an answer
	tries      = 5               // the first one and four retries
	retryPause = 300 * time.Millisecond
	hostName   = "nony24.example"
	pathPrefix = "/lohu930/"
)

// requester submits jobs and asks for their states.
type requester struct {
	rec    *record
	book   *book
	fronts []string // addresses of the daemons
}

// newID returns the id of a new job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes one call at a daemon. The status is 0 if there is no answer in time.
func (r *requester) call(method, id string, body []byte, front string) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeBudget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+pathPrefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeBudget.Milliseconds(), 10))
	res, err := http.DefaultClient.Do(req)
	if err == nil {
		answer, err = readAnswer(res)
	}
	if err != nil {
		r.rec.add("%s %s at %s gets no answer", method, id, front)
		return 0, nil
	}
	r.rec.add("%s %s at %s gets %d %s", method, id, front, res.StatusCode, bytes.TrimSpace(answer))
	return res.StatusCode, answer
}

// readAnswer reads the body of a response.
func readAnswer(res *http.Response) ([]byte, error) {
	var b bytes.Buffer
	_, err := b.ReadFrom(res.Body)
	_ = res.Body.Close()
	return b.Bytes(), err
}

// front returns the daemon that a try reaches: retries reach other daemons.
func (r *requester) front(try int) string { return r.fronts[try%len(r.fronts)] }

// submit hands a job in, with retries. It reports whether the job was accepted.
func (r *requester) submit(j *job) bool {
	r.book.add(j)
	body, err := json.Marshal(j.body())
	if err != nil {
		panic(err)
	}
	first := rand.IntN(len(r.fronts))
	for try := range tries {
		if status, _ := r.call(http.MethodPost, j.id, body, r.front(first+try)); status == http.StatusOK {
			r.book.setAccepted(j.id)
			return true
		}
		time.Sleep(retryPause)
	}
	return false
}

// ask asks for the state of a job, with retries. It reports whether there was an answer.
func (r *requester) ask(id string) (state string, ok bool) {
	first := rand.IntN(len(r.fronts))
	for try := range tries {
		status, b := r.call(http.MethodGet, id, nil, r.front(first+try))
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(b, &answer) == nil {
			r.book.setState(id, answer.State)
			return answer.State, true
		}
		if status == http.StatusGone {
			return "unknown", true
		}
		time.Sleep(retryPause)
	}
	return "", false
}
