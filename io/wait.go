package io

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"jayloft/core"
)

// waiters maps keys to the goroutines that wait for an answer. The zero value is
// ready for use.
type waiters[K comparable, V any] struct {
	mu sync.Mutex
	m  map[K]chan V
}

// add returns the channel that receives the answer for k, or nil if there is a
// waiter for k already.
func (w *waiters[K, V]) add(k K) <-chan V {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.m[k]; ok {
		return nil
	}
	if w.m == nil {
		w.m = make(map[K]chan V)
	}
	c := make(chan V, 1)
	w.m[k] = c
	return c
}

// deliver sends v to the waiter for k, if there is one, and removes it.
func (w *waiters[K, V]) deliver(k K, v V) {
	w.mu.Lock()
	c := w.m[k]
	delete(w.m, k)
	w.mu.Unlock()
	if c != nil {
		c <- v
	}
}

// remove removes the waiter for k.
func (w *waiters[K, V]) remove(k K) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.m, k)
}

// tokens generates tokens that are unique within the process.
type tokens struct{ last atomic.Uint64 }

func (t *tokens) next() core.Token { return core.Token(t.last.Add(1)) }

// errNoReply reports that an order was accepted but its outcome is not known
// yet.
var errNoReply = errors.New("agent did not reply to the order within 5 s; the order may still take effect")

// request posts the event that newEvent returns for a new token and waits for the
// reducer's answer to that token. It returns the error of ctx if that ends first, and
// errNoReply after the timeout; zero means no timeout.
func request[E, F, V any](ctx context.Context, d *driver[E, F], ts *tokens, w *waiters[core.Token, V], timeout time.Duration, newEvent func(core.Token) E) (V, error) {
	t := ts.next()
	c := w.add(t)
	d.post(newEvent(t))
	var expired <-chan time.Time
	if timeout > 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		expired = timer.C
	}
	var zero V
	select {
	case v := <-c:
		return v, nil
	case <-ctx.Done():
		w.remove(t)
		return zero, ctx.Err()
	case <-expired:
		w.remove(t)
		return zero, connect.NewError(connect.CodeUnavailable, errNoReply)
	}
}
