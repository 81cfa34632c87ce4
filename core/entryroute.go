package core

import "github.com/cespare/xxhash/v2"

// A job belongs to a queue, and callers name the queue by a host and a path. Its name is the
// operator's: it may change while jobs run, and so may the route of a queue that keeps its
// name. A job is found by either, so that it stays known and can be cancelled.

// hash identifies the route in reports.
func (r Route) hash() uint64 { return xxhash.Sum64String(r.Host + "\x00" + r.Prefix) }

// belongs reports whether a job is one of the queue that a request about it names.
func (e *Entry) belongs(job, request *JobSpec) bool {
	switch {
	case job.Queue == "":
		return false // not submitted to a queue
	case job.Queue == request.Queue:
		return true
	case job.Route == (Route{}) || request.Route == (Route{}):
		// An older build has written it: the queue may have been renamed if its name is gone.
		return !e.config.hasQueue(job.Queue)
	}
	return job.Route == request.Route
}

// routeOf returns the route of the queue that a job belongs to by the present configuration:
// the one by which it was submitted, or else that of the queue of the same name.
func (v *confView) routeOf(job *JobSpec) Route {
	row, _ := v.rows[KeyQueues].rec.(QueuesRow)
	route := job.Route
	for _, q := range row.Queues {
		if q.Route() == job.Route {
			return job.Route
		}
		if q.Name == job.Queue {
			route = q.Route()
		}
	}
	return route
}

// indexQueues notes the services of the queues.
func (v *confView) indexQueues() {
	row, _ := v.rows[KeyQueues].rec.(QueuesRow)
	v.serviceOfRoute = make(map[Route]string, len(row.Queues))
	v.serviceOfName = make(map[string]string, len(row.Queues))
	for _, q := range row.Queues {
		v.serviceOfRoute[q.Route()] = q.Service
		v.serviceOfName[q.Name] = q.Service
	}
}

// serviceNow returns the service of the queue that a job belongs to by the present
// configuration; that of its submission if there is no such queue. A job may run on workers of
// both: the operator may have moved the queue and taken the last worker of the former away.
func (v *confView) serviceNow(job *JobSpec) string {
	if job.Queue == "" {
		return job.Service
	}
	if job.Route != (Route{}) {
		if s, ok := v.serviceOfRoute[job.Route]; ok {
			return s
		}
	}
	if s, ok := v.serviceOfName[job.Queue]; ok {
		return s
	}
	return job.Service
}

// hasQueue reports whether the configuration has a queue of the name.
func (v *confView) hasQueue(name string) bool {
	row, _ := v.rows[KeyQueues].rec.(QueuesRow)
	for _, q := range row.Queues {
		if q.Name == name {
			return true
		}
	}
	return false
}

// queueRequested returns the queue that a request names, as far as the request tells.
func (s *JobSpec) queueRequested() QueueRow {
	return QueueRow{Name: s.Queue, Host: s.Route.Host, Prefix: s.Route.Prefix}
}
