package core

import "time"

// lateMean collects service times between two beats' reports.
type lateMean struct {
	sum   time.Duration
	n     int
	since time.Time
	last  time.Duration // mean of the interval before
}

// lateEvery is the length of the intervals whose mean service time is reported.
const lateEvery = time.Second

func (s *serveState) learnLate(service string, took time.Duration, now time.Time) {
	m := s.late[service]
	if now.Sub(m.since) > lateEvery {
		m = lateMean{since: now, last: m.mean()}
	}
	m.sum += took
	m.n++
	s.late[service] = m
}

func (m lateMean) mean() time.Duration {
	if m.n == 0 {
		return 0
	}
	return m.sum / time.Duration(m.n)
}
