package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/table"
)

// newServiceHarness returns an entry that hears five workers with endpoints of an
// idempotent service, and of another one.
func newServiceHarness(t *testing.T) *entryHarness {
	h := newEntryHarness(t)
	h.rev++
	h.now = h.now.Add(time.Second)
	h.post(core.Tick{})
	h.answerReads(map[string][]table.Row{core.PrefixConfig: {
		h.row(core.KeyVersion, core.VersionRow{N: 2}),
		h.row(core.PrefixConfig+"service/lookup", core.ServiceRow{Name: "lookup", Idempotent: true, Timeout: time.Minute}),
		h.row(core.PrefixConfig+"service/order", core.ServiceRow{Name: "order", Timeout: time.Minute}),
	}})
	for i := range 5 {
		h.post(core.HeartbeatReceived{Token: 1, Heartbeat: core.Heartbeat{
			Worker: core.WorkerID(fmt.Sprint("w", i)), Inc: "i", Run: "r", DC: "dc", Sent: h.now, Slots: 8,
			Capacity: core.Size{Millicores: 8000, MemoryMB: 8000}, Services: []core.ServiceLoad{{Service: "lookup"}, {Service: "order"}},
		}})
	}
	return h
}

// serveLost answers each try of a request as lost until the entry gives up. It returns the
// number of tries and the answer to the caller.
func serveLost(h *entryHarness, lost func(core.Serve) core.ServeAnswered) (tries int, ans core.Answer) {
	h.post(core.RequestArrived{Request: core.Request{ID: "q", Service: "lookup", Deadline: h.now.Add(30 * time.Second)}})
	for {
		if a, ok := find[core.Answer](h); ok {
			return tries, a
		}
		s := mustFind[core.Serve](h)
		tries++
		h.post(lost(s))
	}
}

// A request that breaks each endpoint that runs it was sent to endpoint after endpoint.
func TestRequestThatBreaksEndpointsIsGivenUp(t *testing.T) {
	tries, ans := serveLost(newServiceHarness(t), func(s core.Serve) core.ServeAnswered {
		return core.ServeAnswered{Call: s.Call, Answer: core.ServeAnswer{ID: "q", Outcome: core.OutcomeUnknown, Reason: core.ReasonWorker}}
	})
	assert.Equal(t, tries, 2)
	assert.Equal(t, ans.Outcome, core.OutcomeUnknown)
	assert.Equal(t, ans.Reason, core.ReasonWorker)
}

// A request whose VMs are lost with their agents may be to blame too, but a cut is likelier:
// it gets one more try.
func TestRequestThatLosesVMsIsGivenUp(t *testing.T) {
	tries, ans := serveLost(newServiceHarness(t), func(s core.Serve) core.ServeAnswered {
		return core.ServeAnswered{Call: s.Call, Fault: core.FaultNoAnswer}
	})
	assert.Equal(t, tries, 3)
	assert.Equal(t, ans.Outcome, core.OutcomeUnknown)
}

// The caller of a request that is not idempotent hangs up, and sends the request again with
// the same id. The first copy may still run: no second one may be sent to an endpoint.
func TestAbandonedRequestIsNotSentAgain(t *testing.T) {
	h := newServiceHarness(t)
	q := core.Request{ID: "q", Service: "order", Deadline: h.now.Add(30 * time.Second)}
	h.post(core.RequestArrived{Request: q})
	mustFind[core.Serve](h)
	h.post(core.RequestAbandoned{ID: q.ID})
	h.post(core.RequestArrived{Request: q})
	_, sent := find[core.Serve](h)
	assert.Assert(t, !sent, "sent to a second endpoint")
	ans := mustFind[core.Answer](h)
	assert.Equal(t, ans.Outcome, core.OutcomeUnknown)
	assert.Equal(t, ans.Reason, core.ReasonDuplicate)
}

// An idempotent request that was abandoned is served when it is sent again.
func TestAbandonedIdempotentRequestIsServedAgain(t *testing.T) {
	h := newServiceHarness(t)
	q := core.Request{ID: "q", Service: "lookup", Deadline: h.now.Add(30 * time.Second)}
	h.post(core.RequestArrived{Request: q})
	h.post(core.RequestAbandoned{ID: q.ID})
	h.post(core.RequestArrived{Request: q})
	mustFind[core.Serve](h)
}

// Thousands of other requests are refused after one that may have run. Its id must still be
// known when it is sent again.
func TestRefusalsDisplaceNoRequestThatMayHaveRun(t *testing.T) {
	h := newServiceHarness(t)
	q := core.Request{ID: "q", Service: "order", Deadline: h.now.Add(30 * time.Second)}
	h.post(core.RequestArrived{Request: q})
	h.post(core.ServeAnswered{Call: mustFind[core.Serve](h).Call, Answer: core.ServeAnswer{ID: "q", Outcome: core.OutcomeDone}})
	assert.Equal(t, mustFind[core.Answer](h).Outcome, core.OutcomeDone)
	for i := range 5000 {
		id := core.RequestID(fmt.Sprint("r", i))
		h.post(core.RequestArrived{Request: core.Request{ID: id, Service: "none", Deadline: q.Deadline}})
		assert.Equal(t, mustFind[core.Answer](h).Outcome, core.OutcomeRefused)
	}
	h.post(core.RequestArrived{Request: q})
	assert.Equal(t, mustFind[core.Answer](h).Reason, core.ReasonDuplicate)
}
