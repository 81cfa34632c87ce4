package route

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windows      = 2
	windowLength = 10 * time.Second
	minSamples   = 100

	lowestLatency     = int64(time.Microsecond)
	highestLatency    = int64(time.Minute)
	significantDigits = 2

	cachedQuantiles = 4
)

// recent is a histogram of the latencies in the last windows.
type recent struct {
	h           *hdrhistogram.WindowedHistogram
	rotateAt    time.Time // when the windows rotate
	count       int       // samples in the current window
	previous    int       // samples in the previous window
	sinceCached int       // samples since the cache was cleared
	cache       [cachedQuantiles]quantile
}

// quantile is a cached result. The cache is cleared when a sixteenth of the samples
// is new.
type quantile struct {
	q     float64
	value time.Duration
}

// Quantile returns the q-quantile, 0 to 1, of the latencies of successful requests
// in the last 10 to 20 seconds with traffic, or 0 if there are fewer than 100.
func (s *Set) Quantile(q float64) time.Duration { return s.recent.quantile(q) }

func (r *recent) add(took time.Duration, now time.Time) {
	if r.h == nil {
		r.h = hdrhistogram.NewWindowed(windows, lowestLatency, highestLatency, significantDigits)
		r.rotateAt = now.Add(windowLength)
	}
	if !now.Before(r.rotateAt) {
		r.h.Rotate()
		r.previous, r.count, r.sinceCached = r.count, 0, 0
		r.rotateAt = now.Add(windowLength)
		clear(r.cache[:])
	}
	v := min(max(int64(took), lowestLatency), highestLatency)
	if r.h.Current.RecordValue(v) == nil {
		r.count++
		r.sinceCached++
	}
}

func (r *recent) quantile(q float64) time.Duration {
	n := r.count + r.previous
	if n < minSamples {
		return 0
	}
	if r.sinceCached > n/16 {
		clear(r.cache[:])
		r.sinceCached = 0
	}
	for i := range r.cache {
		if r.cache[i].q == q && r.cache[i].value > 0 {
			return r.cache[i].value
		}
	}
	v := time.Duration(r.h.Merge().ValueAtQuantile(q * 100))
	copy(r.cache[1:], r.cache[:cachedQuantiles-1])
	r.cache[0] = quantile{q, v}
	return v
}
