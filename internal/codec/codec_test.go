package codec

import (
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/crash"
	"jayloft/table"
	"jayloft/wire"
)

var (
	attempt = core.Attempt{Task: core.TaskID{Job: "j", N: 3}, Number: 2}
	size    = core.Size{Millicores: 1, MemoryMB: 2, Accelerators: 3}
	sent    = time.Unix(0, 1_700_000_000_123_456_789)
	addr    = netip.MustParseAddrPort("10.0.0.1:7000")
)

func TestHeartbeatRoundTrip(t *testing.T) {
	b := core.Heartbeat{
		Worker: "w", Inc: "i", Run: "r", Addr: netip.MustParseAddrPort("10.0.0.1:7000"),
		DC: "d", Rack: "k", Sent: sent, Capacity: size, Committed: size, Preemptible: size, Used: size,
		Slots: 8, Services: []core.ServiceLoad{{Service: "s", Running: 1, Queued: 2, Mean: time.Second}},
		ClassLoads:    []core.ClassLoad{{Class: "c", Running: 4}},
		Running:       []core.Attempt{attempt},
		Ends:          []core.End{{Attempt: attempt, Kind: core.EndDone, Output: "o", Reason: "why", Saved: "p", Started: true, Crash: crash.Evidence{Ran: 3, Alone: true}}},
		TailLatencies: []core.ImageTailLatency{{Image: "i", Worst: 0.5, Utilization: 0.6, Tasks: 2}},
		BestEffort:    []core.BestEffortLoad{{Image: "f", Millicores: 5}},
		Labels:        []string{"l"}, TargetedTasks: 1, LongRunning: 3, Window: 4, Slowed: []core.Attempt{attempt}, Launching: []core.Attempt{attempt},
		Config: 7, Leaving: true, LeaseLapsed: true, Unsettled: true, Unheard: []netip.AddrPort{addr}, Isolated: "i", Dead: []core.Incarnation{"g"},
	}
	assertAllFieldsSet(t, b)
	got, err := HeartbeatFromWire(HeartbeatToWire(b))
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(got, b), "%+v", got)
}

func TestHeartbeatAnswerRoundTrip(t *testing.T) {
	a := core.HeartbeatAnswer{
		Echo: sent, Fenced: true, Config: 7,
		Rows: []table.Row{{Key: "k", Version: 2, Value: []byte("v"), Deleted: true}},
		Full: true, Recorded: []core.Attempt{attempt}, Moved: []core.Attempt{attempt},
		Entries: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7000")}, Prior: "p",
		Throttles: []core.Throttle{{Attempt: attempt, Percent: 50}}, Interference: []core.ImageInterference{{LongRunning: "l", BestEffort: "f", Interference: 2}}, Checkpoint: time.Second,
	}
	assertAllFieldsSet(t, a)
	got, err := HeartbeatAnswerFromWire(HeartbeatAnswerToWire(a))
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(got, a), "%+v", got)
}

func TestStartRoundTrip(t *testing.T) {
	o := core.Order{
		Attempt: attempt, Holder: core.Holder{Worker: "w", Inc: "i"}, Echo: sent,
		Team: "t", Class: "c", Size: size, Urgent: true, Input: "in",
		Step: 1, Index: 2, Saved: "p", BestEffort: true, LongRunning: true, Target: time.Second, By: addr, Isolated: true,
	}
	assertAllFieldsSet(t, o)
	got, err := StartFromWire(StartToWire(o), "w")
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(got, o), "%+v", got)
}

func TestServeRoundTrip(t *testing.T) {
	r := core.Request{
		ID: "r", Service: "s", Team: "t", Body: []byte("b"),
		Deadline: sent.Add(time.Second), Idempotent: true,
	}
	assertAllFieldsSet(t, r)
	m := ServeToWire(core.Serve{Name: "e/1", Inc: "i", Run: "n", Request: r}, sent)
	skew := 3 * time.Hour // by which the receiver's clock is ahead
	got, err := ServeFromWire(m, sent.Add(skew))
	assert.NilError(t, err)
	assert.Equal(t, got.Request.Deadline.Sub(sent), skew+time.Second)
	got.Request.Deadline = r.Deadline
	assert.Assert(t, reflect.DeepEqual(got, core.ServeAsked{Call: "e/1", Inc: "i", Run: "n", Request: r}), "%+v", got)
}

func TestServeAnswerRoundTrip(t *testing.T) {
	for _, a := range []core.ServeAnswer{
		{ID: "r", Outcome: core.OutcomeDone, Body: []byte("b"), Wait: 5, Queued: 1, Running: 2},
		{ID: "r", Outcome: core.OutcomeRefused, Reason: core.ReasonQueue},
		{ID: "r", Outcome: core.OutcomeFailed, Text: "no: such: slip"},
		{ID: "r", Outcome: core.OutcomeFailed, Reason: core.ReasonWorker, Text: "down"},
	} {
		got, err := ServeAnswerFromWire(ServeAnswerToWire(a), "r")
		assert.NilError(t, err)
		assert.DeepEqual(t, got, a)
		_, err = ServeAnswerFromWire(ServeAnswerToWire(a), "other")
		assert.ErrorContains(t, err, `answer to "r", not to "other"`)
	}
}

func TestTxnRoundTrip(t *testing.T) {
	txn := table.Txn{
		Conds:  []table.Cond{{Key: "a", Version: 4}},
		Writes: []table.Write{{Key: "a", Value: []byte("v")}, {Key: "b", Delete: true}},
	}
	assert.DeepEqual(t, TxnFromWire(TxnToWire(txn)), txn)
}

// TestInvalidMessagesReportAllErrors checks that one error reports everything
// that is wrong with a message.
func TestInvalidMessagesReportAllErrors(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  func() error
		want []string
	}{
		{"beat", func() error {
			_, err := HeartbeatFromWire(&wire.BeatRequest{Worker: "w", Addr: "here", Running: []*wire.Attempt{{Task: -1}}})
			return err
		}, []string{"incarnation is empty", "run is empty", "dc is empty", `addr "here" is not an ip:port`,
			"attempt.job is empty", "attempt.task -1 is negative", "attempt.number is 0"}},
		{"start", func() error {
			_, err := StartFromWire(&wire.StartRequest{}, "w")
			return err
		}, []string{"incarnation is empty", "class is empty", "attempt.job is empty", "attempt.number is 0"}},
		{"stop", func() error {
			_, err := StopFromWire(&wire.StopRequest{Incarnation: "i", Attempt: AttemptToWire(attempt), Kind: "done"})
			return err
		}, []string{`kind "done" is neither evicted nor cancelled`}},
		{"serve", func() error {
			_, err := ServeFromWire(&wire.ServeRequest{}, sent)
			return err
		}, []string{"id is empty", "incarnation is empty", "run is empty", "service is empty", "call is empty"}},
		{"settle state", func() error {
			_, err := SettleStateFromWire("perhaps")
			return err
		}, []string{`unknown state "perhaps"`}},
		{"revoke state", func() error {
			_, err := RevokeReplyFromWire(&wire.RevokeResponse{State: "perhaps"}, "r")
			return err
		}, []string{`unknown state "perhaps"`}},
		{"revoke without a result", func() error {
			_, err := RevokeReplyFromWire(&wire.RevokeResponse{State: "result"}, "r")
			return err
		}, []string{`answer to "", not to "r"`, `unknown outcome ""`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.err()
			for _, w := range tc.want {
				assert.ErrorContains(t, err, w)
			}
			assert.Equal(t, strings.Count(err.Error(), "\n"), len(tc.want)-1)
		})
	}
}

// TestToWireSetsAllFields guards against a field that a conversion to the wire
// forgets: a value with all fields set must set all fields of its message.
func TestToWireSetsAllFields(t *testing.T) {
	order := core.Order{
		Attempt: attempt, Holder: core.Holder{Worker: "w", Inc: "i"}, Echo: sent,
		Team: "t", Class: "c", Size: size, Urgent: true, Input: "in",
		Step: 1, Index: 2, Saved: "p", BestEffort: true, LongRunning: true, Target: time.Second, By: addr, Isolated: true,
	}
	request := core.Request{ID: "r", Service: "s", Team: "t", Body: []byte("b"), Deadline: sent, Idempotent: true}
	serve := core.Serve{Call: 1, Name: "n", Worker: "w", Addr: addr, Inc: "i", Run: "r", Request: request}
	stop := core.Stop{Addr: addr, Attempt: attempt, Inc: "i", Kind: core.EndEvicted, Reason: "why"}
	settle := core.Settle{Token: 1, Addr: addr, Attempt: attempt, Inc: "i"}
	launch := core.Launch{Order: order, Deadline: sent, Epoch: 1, Boot: "b"}
	renew := core.Renew{Attempts: []core.Attempt{attempt}, Deadline: sent}
	control := core.Control{Attempt: attempt, Verb: core.VerbStop, Percent: 3, Kind: core.EndEvicted, Reason: "why", Epoch: 1}
	result := core.CommandResult{
		Outcome: core.CommandDone, Text: "t", Version: 1, Columns: []string{"c"},
		Rows: [][]string{{"x"}}, RetryAfter: time.Second,
	}
	for _, tc := range []struct {
		from   any
		to     proto.Message
		unused []protoreflect.Name
	}{
		{order, StartToWire(order), []protoreflect.Name{"config"}},
		{serve, ServeToWire(serve, sent.Add(-time.Second)), nil},
		{stop, StopToWire(stop), nil},
		{settle, SettleToWire(settle), nil},
		{launch, LaunchToWire(launch), nil},
		{renew, RenewToWire(renew), nil},
		{control, ControlToWire(control), nil},
		{result, ResultToWire(result), []protoreflect.Name{"findings"}},
	} {
		assertAllFieldsSet(t, tc.from)
		m := tc.to.ProtoReflect()
		fields := m.Descriptor().Fields()
		for i := range fields.Len() {
			f := fields.Get(i)
			assert.Check(t, m.Has(f) || slices.Contains(tc.unused, f.Name()), "%T: %s is not set", tc.from, f.FullName())
		}
	}
}

func TestInspectedFromWireSetsAllFields(t *testing.T) {
	in := InspectedFromWire(&wire.InspectResponse{
		Boot: "b", Capacity: SizeToWire(size), Slots: 8, Services: []string{"s"},
		Partial: true, Draining: true, Rack: "r", Labels: []string{"l"},
		Tasks: []*wire.WorkerTask{{
			Attempt: AttemptToWire(attempt), Incarnation: "i", Class: "c", Size: SizeToWire(size),
			Used: SizeToWire(size), Urgent: true, State: "ended", Started: 1, Checkpointed: 2,
			Filler: true, Lasting: true, TargetNs: 1, TailNs: 2, Saved: "p",
			End: EndToWire(core.End{Attempt: attempt, Kind: core.EndDone, Output: "o", Reason: "why", Saved: "p", Started: true, Crash: crash.Evidence{Ran: 3, Alone: true}}),
		}},
	})
	in.Fault, in.CopyLost, in.Broken = core.FaultNoAnswer, true, true // not from the wire
	assert.Equal(t, len(in.Unread), 0)
	in.Unread = []core.TaskID{attempt.Task} // not from the wire, whose messages are typed
	assertAllFieldsSet(t, in)
}

// assertAllFieldsSet fails the test if v, one of its fields or the first element of
// a slice in it is zero.
func assertAllFieldsSet(t *testing.T, v any) {
	t.Helper()
	assertSet(t, reflect.TypeOf(v).String(), reflect.ValueOf(v))
}

func assertSet(t *testing.T, name string, v reflect.Value) {
	t.Helper()
	assert.Check(t, !v.IsZero(), "%s is zero", name)
	switch {
	case v.Kind() == reflect.Slice && v.Len() > 0:
		assertSet(t, name+"[0]", v.Index(0))
	case v.Kind() == reflect.Struct && v.NumField() > 0 && v.Type().Field(0).IsExported():
		for i := range v.NumField() {
			assertSet(t, name+"."+v.Type().Field(i).Name, v.Field(i))
		}
	}
}
