// Package load drives a deployment with open-loop load and measures it.
//
// Requests arrive by a schedule that is fixed before the run, whatever becomes
// of earlier ones, and latency counts from the scheduled arrival. A system that
// falls behind can't slow its own load down that way, and the wait in front of
// it is part of every figure (Schroeder, Wierman, Harchol-Balter, "Open versus
// closed: a cautionary tale", NSDI 2006).
//
// An Experiment names a site, loads, jobs, faults, statements, phases and
// checks. Run starts the whole site in this process on loopback, with the
// stand-ins of package stand, or aims at entries that run already. What ran
// where is read from the stand-ins' journals, so a verdict doesn't rest on what
// jayloft says of itself. Two figures are compared within one run only.
//
// # Usage
//
//	x, err := load.Read("slow-worker.toml")
//	if err != nil {
//		return err
//	}
//	r, err := load.Run(ctx, x)
//	if err != nil {
//		return err
//	}
//	r.WriteText(os.Stdout)
//	if !r.Passed() {
//		…
//	}
package load

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"jayloft/core"
	"jayloft/wire"
)

// lead is the time between the end of the preparations and the first arrival.
const lead = 100 * time.Millisecond

// Option changes how an experiment is run.
type Option func(*options)

type options struct {
	callers, peers []netip.AddrPort
	policy         []core.Option
	name           string // of the policy
	note           func(string)
}

// WithEntries aims at entries that run already, by their addresses for callers
// and for operators.
func WithEntries(callers, peers []netip.AddrPort) Option {
	return func(o *options) { o.callers, o.peers = callers, peers }
}

// WithPolicy runs the site with options under a name for the report.
func WithPolicy(name string, opts ...core.Option) Option {
	return func(o *options) { o.name, o.policy = name, opts }
}

// WithNotes passes on what happens during the run, a line each.
func WithNotes(f func(string)) Option { return func(o *options) { o.note = f } }

// run is one run of an experiment.
type run struct {
	x        Experiment
	opts     options
	site     *Site // nil if it aims at entries that run already
	entries  *balancer
	operator *operator
	start    time.Time
	pools    map[string]*pool // by service
	loads    []*loadRun

	mu    sync.Mutex
	notes []Noted
	asked map[core.JobID]time.Time // urgent jobs, by when they were submitted
	tasks int                      // of all jobs that were stored
}

// Noted is something that was done to the site during a run.
type Noted struct {
	At   Duration `json:"at"` // since the start
	Text string   `json:"text"`
}

// Run runs an experiment and returns what was measured.
func Run(ctx context.Context, x Experiment, opts ...Option) (*Report, error) {
	r := &run{x: x, opts: options{name: "default", note: func(string) {}}, asked: map[core.JobID]time.Time{}}
	for _, o := range opts {
		o(&r.opts)
	}
	ctx, cancel := context.WithTimeout(ctx, x.limit())
	defer cancel()
	if err := r.prepare(ctx); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	if r.site != nil {
		defer r.site.Close()
	}
	go r.entries.watch(ctx)
	r.start = time.Now().Add(lead)
	var all sync.WaitGroup
	for _, l := range r.loads {
		all.Go(func() { l.run(ctx, r.start) })
	}
	all.Go(func() { r.timeline(ctx) })
	all.Wait()
	open := r.settle(ctx)
	rep := newReport(r, open)
	return rep, nil
}

// prepare starts the site, or checks that one can be aimed at.
func (r *run) prepare(ctx context.Context) error {
	var err error
	if r.pools, err = newPools(r.x); err != nil {
		return err
	}
	if len(r.opts.callers) > 0 {
		if err := r.aim(); err != nil {
			return err
		}
	} else if err := r.begin(ctx); err != nil {
		return err
	}
	for i := range r.x.Loads {
		l, err := newLoadRun(r, i)
		if err != nil {
			return err
		}
		r.loads = append(r.loads, l)
	}
	return nil
}

// aim takes the entries that the options name.
func (r *run) aim() error {
	for _, a := range append(r.opts.callers, r.opts.peers...) {
		if !a.Addr().IsLoopback() {
			return fmt.Errorf("%s is not on loopback: load goes nowhere else", a)
		}
	}
	if what := r.x.needsSite(); what != "" {
		return fmt.Errorf("the experiment has %s, which needs a site of its own", what)
	}
	if r.x.needsOperator() && len(r.opts.peers) == 0 {
		return fmt.Errorf("the experiment has jobs or statements, which need the address of an entry's RPC")
	}
	r.entries = newBalancer(r.opts.callers)
	r.operator = newOperator(r.opts.peers)
	return nil
}

// begin starts a site and waits until it serves.
func (r *run) begin(ctx context.Context) error {
	s, err := NewSite(r.x, r.opts.policy...)
	if err != nil {
		return err
	}
	if err := s.Prepare(ctx, r.x); err != nil {
		s.Close()
		return err
	}
	r.site, r.entries, r.operator = s, newBalancer(s.Callers()), s.operator
	return nil
}

// settle waits until all jobs have ended and returns how many tasks have not.
func (r *run) settle(ctx context.Context) int {
	if r.tasks == 0 {
		return 0
	}
	by := time.Now().Add(r.x.Settle.D())
	for {
		open, err := r.openTasks(ctx)
		if err == nil && open == 0 {
			return 0
		}
		if time.Now().After(by) || ctx.Err() != nil {
			return open
		}
		wait(ctx, time.Now().Add(pollEvery))
	}
}

// openTasks returns how many tasks of the run's jobs are not done.
func (r *run) openTasks(ctx context.Context) (int, error) {
	res, err := r.operator.ask(ctx, &wire.DoRequest{Statement: "show tasks where state = done"})
	if err != nil {
		return r.tasks, err
	}
	return r.tasks - len(res.GetRows()), nil
}

// note records and passes on what is done to the site.
func (r *run) note(format string, args ...any) {
	n := Noted{At: Duration(time.Since(r.start)), Text: fmt.Sprintf(format, args...)}
	r.mu.Lock()
	r.notes = append(r.notes, n)
	r.mu.Unlock()
	r.opts.note(fmt.Sprintf("%5.1f s  %s", n.At.D().Seconds(), n.Text))
}

// wait waits until a time and reports whether ctx has not ended before.
func wait(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
