package stand

import "context"

// Store is the platform's object store.
type Store interface {
	// Put replaces an object.
	Put(ctx context.Context, key string, value []byte) error
	// Get returns an object, and whether there is one.
	Get(ctx context.Context, key string) (value []byte, found bool, err error)
	// List returns the keys that begin with the prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
}
