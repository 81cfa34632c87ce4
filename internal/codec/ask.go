package codec

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"jayloft/core"
	"jayloft/wire"
)

// JobRequestToWire converts a job request for the entry that owns the job. The
// wire carries the time left from now to the deadline. It fails only if the job's
// spec can't be encoded.
func JobRequestToWire(a core.JobRequest, now time.Time) (*wire.JobRequest, error) {
	spec, err := cbor.Marshal(a.Spec)
	if err != nil {
		return nil, fmt.Errorf("job %s: encode spec: %w", a.Spec.ID, err)
	}
	return &wire.JobRequest{Verb: string(a.Verb), Spec: spec, LeftNs: int64(a.Deadline.Sub(now))}, nil
}

// JobRequestFromWire converts a job request that another entry relayed. Its
// deadline is on the clock that now is from. An undecodable spec, invalid steps and
// an unknown verb are errors.
func JobRequestFromWire(m *wire.JobRequest, now time.Time) (core.JobRequest, error) {
	a := core.JobRequest{
		Verb: core.JobVerb(m.GetVerb()), Relayed: true, Deadline: now.Add(time.Duration(m.GetLeftNs())),
	}
	if err := cbor.Unmarshal(m.GetSpec(), &a.Spec); err != nil {
		return a, fmt.Errorf("job: decode spec: %w", err)
	}
	switch a.Verb {
	case core.JobSubmit:
		if text := a.Spec.CheckSteps(); text != "" {
			return a, fmt.Errorf("job: %s", text)
		}
	case core.JobGet, core.JobStop, core.JobCount:
	default:
		return a, fmt.Errorf("job: unknown verb %q", a.Verb)
	}
	return a, nil
}

// JobAnswerToWire converts the answer to a relayed job request.
func JobAnswerToWire(a core.JobAnswer) *wire.JobResponse {
	return &wire.JobResponse{
		Outcome: string(a.Outcome), State: string(a.State), Pending: int32(a.Pending),
		Reason: string(a.Reason), Text: a.Text, RetryAfterNs: int64(a.RetryAfter),
	}
}

// JobAnswerFromWire converts the answer to a relayed job request. An unknown
// outcome is an error.
func JobAnswerFromWire(m *wire.JobResponse) (core.JobAnswer, error) {
	a := core.JobAnswer{
		Outcome: core.JobOutcome(m.GetOutcome()), State: core.JobState(m.GetState()), Pending: int(m.GetPending()),
		Reason: core.Reason(m.GetReason()), Text: m.GetText(), RetryAfter: time.Duration(m.GetRetryAfterNs()),
	}
	switch a.Outcome {
	case core.JobAccepted, core.JobRefused, core.JobUnknown, core.JobNoQueue, core.JobNotFound, core.JobInvalid:
		return a, nil
	}
	return a, fmt.Errorf("job: unknown outcome %q", a.Outcome)
}
