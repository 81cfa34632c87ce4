package load

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"
)

const (
	healthEvery = 100 * time.Millisecond
	healthWait  = time.Second
)

// balancer knows which entries are healthy, as a site's balancer does.
type balancer struct {
	entries []netip.AddrPort
	healthy atomic.Pointer[[]netip.AddrPort]
	client  *http.Client
}

func newBalancer(entries []netip.AddrPort) *balancer {
	b := &balancer{entries: entries, client: &http.Client{Timeout: healthWait, Transport: &http.Transport{}}}
	b.healthy.Store(&entries)
	return b
}

// watch asks the entries for their health until ctx ends.
func (b *balancer) watch(ctx context.Context) {
	defer b.client.CloseIdleConnections()
	for wait(ctx, time.Now().Add(healthEvery)) {
		var healthy []netip.AddrPort
		for _, e := range b.entries {
			if b.ask(ctx, e) {
				healthy = append(healthy, e)
			}
		}
		if len(healthy) == 0 {
			healthy = slices.Clone(b.entries) // nothing is better than another
		}
		b.healthy.Store(&healthy)
	}
}

func (b *balancer) ask(ctx context.Context, e netip.AddrPort) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.String()+"/healthz", http.NoBody)
	if err != nil {
		return false
	}
	res, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// at returns the entry for the n-th request, and those to go to after it if it
// can't be reached.
func (b *balancer) at(n int) []netip.AddrPort {
	healthy := *b.healthy.Load()
	i := n % len(healthy)
	return slices.Concat(healthy[i:], healthy[:i])
}
