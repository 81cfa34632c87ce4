package stand

import (
	"context"
	"slices"
	"strings"
	"sync"
)

// Objects is the platform's object store, kept in memory. It implements Store.
type Objects struct {
	gate

	mu      sync.Mutex
	objects map[string][]byte
}

var _ Store = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects(opts ...Option) *Objects {
	return &Objects{gate: newGate("objects", opts), objects: map[string][]byte{}}
}

// Put replaces an object. It returns ErrDown or ErrBudget if it had no effect
// and ErrLost if it may have had.
func (o *Objects) Put(ctx context.Context, key string, value []byte) error {
	if err := o.write(ctx, 1); err != nil {
		return err
	}
	o.mu.Lock()
	o.objects[key] = slices.Clone(value)
	o.mu.Unlock()
	if o.loses() {
		return ErrLost
	}
	return nil
}

// Preload puts an object past the budget and the faults.
func (o *Objects) Preload(key string, value []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[key] = slices.Clone(value)
}

// Get returns an object, and whether there is one.
func (o *Objects) Get(ctx context.Context, key string) (value []byte, found bool, err error) {
	if err := o.read(ctx); err != nil {
		return nil, false, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	value, found = o.objects[key]
	return value, found, nil
}

// List returns the keys that begin with the prefix, in order.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	if err := o.read(ctx); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var keys []string
	for k := range o.objects {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys, nil
}
