package sweep

import (
	"fmt"
	"time"

	"jayloft/core"
)

// Job is a batch or urgent job to be submitted.
type Job struct {
	ID     core.JobID
	Tasks  int
	Class  string // empty: a class that disturbs no service
	Size   core.Size
	Work   time.Duration // of each task at full speed
	Urgent bool
}

// Ask sends requests at random times from one time to another, rate a second
// on average, each to a random entry.
func (s *Sim) Ask(from, to time.Duration, rate float64) {
	gap := func() time.Duration { return time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second)) }
	var next func()
	next = func() {
		if s.now >= to {
			return
		}
		s.ask()
		s.after(gap(), next)
	}
	s.at(from+gap(), next)
}

func (s *Sim) ask() {
	id := s.tally.sent(s.now)
	e := s.entries[s.rand.IntN(len(s.entries))]
	e.reduce(core.RequestArrived{Request: core.Request{
		ID: id, Service: s.site.Service, Team: "callers", Body: []byte(id), Idempotent: true,
		Deadline: s.time().Add(s.site.Timeout),
	}})
}

// Submit sends a job at a time.
func (s *Sim) Submit(at time.Duration, j Job) {
	spec := core.JobSpec{ID: j.ID, Team: "batch", Class: j.Class, Size: j.Size, Urgent: j.Urgent}
	if spec.Class == "" {
		spec.Class = quietClass
	}
	for range j.Tasks {
		spec.Inputs = append(spec.Inputs, j.Work.String())
	}
	s.at(at, func() {
		s.tally.submitted(s.now, spec)
		s.command(string(spec.ID), core.CreateJob{Spec: spec})
	})
}

// Drain orders a data centre out at a time; its work has to be gone by another.
func (s *Sim) Drain(at time.Duration, dc int, by time.Duration) {
	s.at(at, func() {
		s.command(fmt.Sprint("drain", at), core.Drain{DC: dcName(dc), Deadline: Epoch.Add(by)})
	})
}

// Return orders a data centre back at a time.
func (s *Sim) Return(at time.Duration, dc int) {
	s.at(at, func() { s.command(fmt.Sprint("return", at), core.Return{DC: dcName(dc)}) })
}

// Kill ends a VM at a time; it boots anew at another, or never if that is zero.
func (s *Sim) Kill(at time.Duration, n int, boot time.Duration) {
	s.at(at, func() { s.vms[n].kill() })
	if boot > at {
		s.at(boot, func() { s.vms[n].start() })
	}
}

// Slow sets the factor by which everything on a VM takes longer.
func (s *Sim) Slow(at time.Duration, n int, factor float64) {
	s.at(at, func() { s.vms[n].model.SetSlow(s.time(), factor) })
}

// Fail sets whether everything that starts on a VM fails at once.
func (s *Sim) Fail(at time.Duration, n int, on bool) {
	s.at(at, func() { s.vms[n].model.SetFailing(s.time(), on) })
}

// Down takes the platform down from one time to another.
func (s *Sim) Down(from, to time.Duration) {
	s.at(from, func() { s.store.downTo = to })
}

// commandAgain is the time after which a command without a final answer is
// sent again with the same id.
const commandAgain = time.Second

func (s *Sim) command(id string, cmd core.Command) {
	e := s.entries[s.rand.IntN(len(s.entries))]
	sent := s.now
	again := func(r core.CommandResult) {
		s.tally.commands = append(s.tally.commands, command{at: sent, took: s.now - sent, outcome: r.Outcome})
		switch {
		case r.Outcome == core.CommandUnknown || r.RetryAfter > 0:
			s.after(commandAgain+r.RetryAfter, func() { s.command(id, cmd) })
		case r.Outcome != core.CommandDone:
			panic("sweep: command " + id + ": " + r.Text) // the commands are made by this package
		}
	}
	t := s.nextToken()
	e.commands[t] = again
	e.reduce(core.CommandAsked{Token: t, ID: id, Text: fmt.Sprintf("%T", cmd), Command: cmd})
}
