package core

import (
	"net/netip"
	"strings"
	"time"
)

// JobVerb is the operation of a JobRequest.
type JobVerb string

// The operations on a job.
const (
	JobSubmit JobVerb = "submit"
	JobGet    JobVerb = "look" // returns the state of the job
	JobStop   JobVerb = "stop"
	JobCount  JobVerb = "count" // counts the queue's jobs that have not started
)

// changes reports whether the operation changes something.
func (v JobVerb) changes() bool { return v == JobSubmit || v == JobStop }

// JobRequest is a request of a caller about a job of a queue.
type JobRequest struct {
	Verb JobVerb
	// Host and Path are those of the caller's HTTP request; they determine the
	// queue. A request that another entry relays names its queue in Spec instead.
	Host, Path string
	Relayed    bool
	Spec       JobSpec   // steps and input with JobSubmit; id and queue once known
	Deadline   time.Time // when the caller stops waiting, on this entry's clock
}

// JobOutcome is the outcome of a JobRequest.
type JobOutcome string

// The outcomes of a JobRequest.
const (
	JobAccepted JobOutcome = "taken"   // it took effect, or the answer holds the requested state
	JobRefused  JobOutcome = "refused" // it has had no effect and never will
	JobUnknown  JobOutcome = "unknown" // it may have taken effect or may still do so
	JobNoQueue  JobOutcome = "noqueue" // no queue is configured for the host and path
	JobNotFound JobOutcome = "gone"    // no such job exists
	JobInvalid  JobOutcome = "invalid" // the submission itself is invalid
)

// JobAnswer is the answer to a JobRequest.
type JobAnswer struct {
	Outcome    JobOutcome
	State      JobState // with JobGet
	Pending    int      // with JobCount
	Reason     Reason
	Text       string        // with JobInvalid, and with the state failed: why
	RetryAfter time.Duration // with JobRefused: the time to wait before a retry
}

// JobRequested is a request of a caller about a job. It is answered with a
// JobReply.
type JobRequested struct {
	Token   Token
	Request JobRequest
}

// RelayAnswered is another entry's answer to a Relay.
type RelayAnswered struct {
	Token  Token
	Answer JobAnswer
	Fault  Fault
}

// JobReply answers a JobRequested.
type JobReply struct {
	Token  Token
	Answer JobAnswer
}

// Relay forwards a request to the entry that owns the job. It comes back as
// RelayAnswered.
type Relay struct {
	Token   Token
	Addr    netip.AddrPort
	Request JobRequest
}

func (JobRequested) entryEvent()  {}
func (RelayAnswered) entryEvent() {}
func (JobReply) entryEffect()     {}
func (Relay) entryEffect()        {}

// queue returns the queue of a host with the longest prefix that matches the path,
// and the rest of the path.
func (v *confView) queue(host, path string) (q QueueRow, rest string, ok bool) {
	row, _ := v.rows[KeyQueues].rec.(QueuesRow)
	for _, x := range row.Queues {
		if x.Host != "" && x.Host != host || !strings.HasPrefix(path, x.Prefix) {
			continue
		}
		if !ok || len(x.Prefix) > len(q.Prefix) {
			q, ok = x, true
		}
	}
	return q, strings.TrimPrefix(path, q.Prefix), ok
}
