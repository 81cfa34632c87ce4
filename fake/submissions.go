package fake

import (
	"fmt"
	"time"

	"jayloft/core"
)

// The queue that callers submit jobs to.
const (
	queueName    = "q"
	queuePrefix  = "/q/"
	queueService = "lookup"
)

const (
	// maxSubmissions bounds how often a caller sends one submission.
	maxSubmissions = 8
	// jobRequestLimit is how long a caller waits for the answer to a submission or
	// a cancellation.
	jobRequestLimit = 2 * time.Second
)

// queueRow returns the configuration of the queue.
func queueRow() core.QueuesRow {
	return core.QueuesRow{Queues: []core.QueueRow{{
		Name: queueName, Prefix: queuePrefix, Service: queueService, Attempts: 3, Stretch: 1,
	}}}
}

// enqueue submits jobs to the queue, spread over a time.
func (c *client) enqueue(a Enqueue) {
	for i := range max(a.Jobs, 1) {
		c.w.after(a.Over*time.Duration(i)/time.Duration(max(a.Jobs, 1)), func() {
			size := a.Size
			if size == (core.Size{}) {
				size = core.Size{Millicores: 1000, MemoryMB: 1000}
			}
			j := c.w.oracle.newQueueJob()
			spec := core.JobSpec{Steps: []core.StepSpec{{Count: max(a.Tasks, 1), Size: size, Estimate: time.Second}}}
			c.sendSubmission(a.Entry+i, j, spec)
		})
	}
}

// sendSubmission sends a submission, and sends it again with the same id to the next
// entry until it is accepted.
func (c *client) sendSubmission(n int, j *queueJob, spec core.JobSpec) {
	if j.submissions >= maxSubmissions {
		return
	}
	j.submissions++
	j.sentAt = c.w.now
	again := func() {
		c.w.after(c.w.between(200*time.Millisecond, time.Second), func() { c.sendSubmission(n+1, j, spec) })
	}
	e := c.pick(n)
	if e == nil {
		again()
		return
	}
	q := core.JobRequest{Verb: core.JobSubmit, Path: queuePrefix + string(j.id), Spec: spec}
	c.sendJobRequest(e, q, jobRequestLimit, nil, func(a core.JobAnswer, f core.Fault) {
		switch {
		case f != core.FaultNone || a.Outcome != core.JobAccepted:
			again()
		case j.acceptedAt.IsZero():
			j.acceptedAt = c.w.now
		}
	})
}

// dequeue cancels the last jobs of the queue that were submitted.
func (c *client) dequeue(a Dequeue) {
	ids := c.w.oracle.queueIDs
	for _, id := range ids[max(0, len(ids)-a.Last):] {
		e := c.pick(a.Entry)
		if e == nil {
			return
		}
		j := c.w.oracle.queueJobs[id]
		if j.cancelSent.IsZero() {
			j.cancelSent = c.w.now
		}
		q := core.JobRequest{Verb: core.JobStop, Path: queuePrefix + string(id)}
		c.sendJobRequest(e, q, jobRequestLimit, nil, func(a core.JobAnswer, f core.Fault) {
			if f == core.FaultNone && a.Outcome == core.JobNotFound {
				j.absentAt = c.w.now
			}
		})
	}
}

// sendJobRequest sends a job request to an entry. The function judge, if any, is
// called with the entry's decision.
func (c *client) sendJobRequest(e *entry, q core.JobRequest, limit time.Duration, judge func(core.JobAnswer), done func(core.JobAnswer, core.Fault)) {
	by := c.w.now.Add(limit)
	send(c.w, request[core.JobAnswer]{
		from: c.proc, to: e.proc, limit: limit, done: done,
		serve: func(reply func(core.JobAnswer)) { e.jobRequestArrived(q, by, judge, reply) },
	})
}

// newQueueJob records a job that is about to be submitted.
func (o *Oracle) newQueueJob() *queueJob {
	id := core.JobID(fmt.Sprintf("%08x%08x", share(fmt.Sprint("job ", len(o.queueIDs))), len(o.queueIDs)))
	j := &queueJob{id: id}
	o.queueJobs[id] = j
	o.queueIDs = append(o.queueIDs, id)
	return j
}
