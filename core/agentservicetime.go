package core

import "time"

// recentMean averages service times over intervals of recentMeanInterval.
type recentMean struct {
	sum      time.Duration
	n        int
	since    time.Time
	previous time.Duration // mean of the preceding interval
}

// recentMeanInterval is the length of the intervals whose mean service time is
// reported.
const recentMeanInterval = time.Second

// updateRecentMean adds a service time to the current interval of a service.
func (s *serveState) updateRecentMean(service string, took time.Duration, now time.Time) {
	m := s.recentMeans[service]
	if now.Sub(m.since) > recentMeanInterval {
		m = recentMean{since: now, previous: m.mean()}
	}
	m.sum += took
	m.n++
	s.recentMeans[service] = m
}

func (m recentMean) mean() time.Duration {
	if m.n == 0 {
		return 0
	}
	return m.sum / time.Duration(m.n)
}
