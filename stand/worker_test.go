package stand

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"jayloft/core"
	"jayloft/wire"
)

func inspect(t *testing.T, w *Worker) []core.WorkerTask {
	t.Helper()
	in, err := w.Inspect(t.Context())
	assert.NilError(t, err)
	return in.Tasks
}

func TestWorkerMovesTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := NewObjects()
		a := NewWorker(spec, WithStore(objects))
		defer a.Close()
		b := NewWorker(spec, WithStore(objects))
		defer b.Close()
		far := time.Now().Add(time.Hour)

		started, reason, err := a.Launch(t.Context(), launch(attempt(1), "10s", small, far))
		assert.Assert(t, started, reason)
		assert.NilError(t, err)
		time.Sleep(6 * time.Second)

		// The store is down at first: the end has to wait for the checkpoint.
		assert.NilError(t, objects.SetFault(FaultDown, 1, time.Now().Add(2*time.Second)))
		stop := core.Control{Attempt: attempt(1), Verb: core.VerbStop, Kind: core.EndEvicted}
		done, reason, err := a.Control(t.Context(), stop)
		assert.Assert(t, done, reason)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, inspect(t, a)[0].State, core.WorkerRunning)
		time.Sleep(2 * time.Second)
		assert.Equal(t, inspect(t, a)[0].End.Kind, core.EndEvicted)

		_, _, err = b.Launch(t.Context(), launch(attempt(3), "10s", small, far))
		assert.NilError(t, err)
		time.Sleep(4500 * time.Millisecond)
		end := inspect(t, b)[0].End
		assert.Equal(t, end.Kind, core.EndDone)
		assert.Equal(t, end.Output, "slept 10s")
	})
}

func TestWorkerInputObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWorker(spec)
		defer w.Close()
		far := time.Now().Add(time.Hour)
		assert.NilError(t, w.store.Put(t.Context(), "in/a", []byte("1s")))
		for key, a := range map[string]core.Attempt{"in/a": attempt(1), "in/b": {Task: core.TaskID{Job: "k"}, Number: 1}} {
			_, _, err := w.Launch(t.Context(), launch(a, "object:"+key, small, far))
			assert.NilError(t, err)
		}
		time.Sleep(2 * time.Second)
		for _, task := range inspect(t, w) {
			want := core.EndDone
			if task.Attempt.Task.Job == "k" {
				want = core.EndFailed
			}
			assert.Equal(t, task.End.Kind, want, task.End.Reason)
		}
	})
}

func TestWorkerCallFaults(t *testing.T) {
	echo := WithService("echo", Service{Time: time.Second})
	tests := []struct {
		name  string
		fault Fault
		until time.Duration
		want  string // error, or none
		took  time.Duration
	}{
		{"none", "", 0, "", time.Second},
		{"kill", FaultKill, 0, errKilled.Error(), 500 * time.Millisecond},
		{"freeze", FaultFreeze, 3 * time.Second, "", 3 * time.Second},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewWorker(spec, echo)
				defer w.Close()
				begin := time.Now()
				if tc.fault != "" {
					time.AfterFunc(500*time.Millisecond, func() {
						assert.Check(t, w.SetFault(tc.fault, 1, begin.Add(max(tc.until, time.Second))))
					})
				}
				body, err := w.Call(t.Context(), core.Call{ID: "r", Service: "echo", Body: []byte("x")})
				if tc.want == "" {
					assert.NilError(t, err)
					assert.Equal(t, string(body), "x")
				} else {
					assert.Error(t, err, tc.want)
				}
				took := time.Since(begin)
				assert.Assert(t, took >= tc.took && took < tc.took+100*time.Millisecond, took)
			})
		})
	}
}

func TestWorkerBootsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWorker(spec)
		defer w.Close()
		before, err := w.Inspect(t.Context())
		assert.NilError(t, err)
		_, _, err = w.Launch(t.Context(), launch(attempt(1), "10s", small, time.Now().Add(time.Hour)))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		w.Kill()
		_, err = w.Inspect(t.Context())
		assert.ErrorIs(t, err, ErrDown)
		time.Sleep(time.Second)
		w.Boot()
		after, err := w.Inspect(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, after.Boot != before.Boot && len(after.Tasks) == 0)
	})
}

// serve serves h over unencrypted HTTP/2 until the end of the test.
func serve(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func TestServed(t *testing.T) {
	platform := NewPlatform()
	store := NewClient(serve(t, platform.Handler()))
	defer store.Close()
	w := NewWorker(spec, WithStore(store), WithService("echo", Service{}))
	defer w.Close()
	c := NewClient(serve(t, w.Handler()))
	defer c.Close()
	rpc := wire.NewWorkerServiceClient(c.http, c.base)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	call := func(service string) (*wire.CallResponse, error) {
		res, err := rpc.Call(ctx, connect.NewRequest(&wire.CallRequest{Id: "r1", Service: service, Body: []byte("x")}))
		if err != nil {
			return nil, err
		}
		return res.Msg, nil
	}
	res, err := call("echo")
	assert.NilError(t, err)
	assert.Equal(t, string(res.GetBody()), "x")
	res, err = call("other")
	assert.NilError(t, err)
	assert.Equal(t, res.GetReason(), "no such service: other")

	assert.NilError(t, store.Put(ctx, "k", []byte("v")))
	keys, err := store.List(ctx, "")
	assert.NilError(t, err)
	assert.DeepEqual(t, keys, []string{"k"})
	assert.NilError(t, store.SetFault(ctx, "objects.lostanswer", 1, time.Time{}))
	assert.Assert(t, store.Put(ctx, "k2", []byte("v")) != nil)
	_, found, err := store.Get(ctx, "k2")
	assert.NilError(t, err)
	assert.Assert(t, found)
	assert.ErrorContains(t, store.SetFault(ctx, "tabel.down", 1, time.Time{}), `no part "tabel"`)

	assert.NilError(t, c.SetFault(ctx, FaultKill, 1, time.Time{}))
	_, err = call("echo")
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	entries, next, err := c.Journal(ctx, 0)
	assert.NilError(t, err)
	assert.Equal(t, next, len(entries))
	var kinds []Kind
	for _, e := range entries {
		kinds = append(kinds, e.Kind)
	}
	assert.DeepEqual(t, kinds, []Kind{KindBoot, KindCall, KindAnswer, KindFault, KindKill})
}
