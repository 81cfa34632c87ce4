package core

import (
	"net/netip"
	"strings"
	"time"
)

// JobVerb says what a caller asks about a job of a queue.
type JobVerb string

// The verbs of a caller's call.
const (
	JobSubmit JobVerb = "submit"
	JobGet    JobVerb = "look"
	JobStop   JobVerb = "stop"
	JobCount  JobVerb = "count" // of the queue's jobs that have not begun
)

// JobRequest is a caller's call about a job of a queue.
type JobRequest struct {
	Verb JobVerb
	// Host and Path are the caller's; the queue follows from them. An ask
	// that another entry relays names its queue in Spec instead.
	Host, Path string
	Relayed    bool
	Spec       JobSpec   // steps and input with JobSubmit; id and queue once known
	Deadline   time.Time // when the caller no longer waits, on this entry's clock
}

// JobOutcome is what became of a JobAsk.
type JobOutcome string

// The outcomes of a JobAsk.
const (
	JobAccepted JobOutcome = "taken"   // it took effect, or here is what was asked for
	JobRefused  JobOutcome = "refused" // it has no effect and never will
	JobUnknown  JobOutcome = "unknown" // it may take effect
	JobNoQueue  JobOutcome = "noqueue" // no queue is configured there
	JobNotFound JobOutcome = "gone"    // there is no such job
	JobInvalid  JobOutcome = "invalid" // the submission itself is at fault
)

// JobAnswer is the answer to a JobAsk.
type JobAnswer struct {
	Outcome    JobOutcome
	State      JobState // with JobLook
	Pending    int      // with JobCount
	Reason     Reason
	Text       string        // of JobInvalid
	RetryAfter time.Duration // with JobRefused: when to come back
}

// JobRequested is a caller's call. It is answered with a JobReply.
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

// JobReply answers a JobAsked.
type JobReply struct {
	Token  Token
	Answer JobAnswer
}

// Relay passes a call on to the entry that owns the job. It comes back as
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

// queue returns the queue that a host and the longest matching prefix of a
// path lead to, and the rest of the path.
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
