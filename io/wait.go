package io

import (
	"sync"
	"sync/atomic"

	"jayloft/core"
)

// waits holds those who wait for an answer under a key. The zero value is
// ready for use.
type waits[K comparable, V any] struct {
	mu sync.Mutex
	m  map[K]chan V
}

// add returns where the answer to k will come, or nil if somebody waits for it
// already.
func (w *waits[K, V]) add(k K) <-chan V {
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

// done hands over the answer to k, if anybody still waits for it.
func (w *waits[K, V]) done(k K, v V) {
	w.mu.Lock()
	c := w.m[k]
	delete(w.m, k)
	w.mu.Unlock()
	if c != nil {
		c <- v
	}
}

// drop forgets who waits for k.
func (w *waits[K, V]) drop(k K) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.m, k)
}

// tokens makes tokens that are unique within a process.
type tokens struct{ last atomic.Uint64 }

func (t *tokens) next() core.Token { return core.Token(t.last.Add(1)) }
