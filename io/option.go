package io

import (
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"jayloft/core"
	"jayloft/table"
)

// Option configures an EntryServer or an AgentServer.
type Option func(*options)

type options struct {
	log    log.Interface
	policy []core.Option
	now    Clock
	worker Worker
	table  table.Table
}

// WithLog sets the logger; by default, log lines are discarded.
func WithLog(l log.Interface) Option { return func(o *options) { o.log = l } }

// WithPolicy adds options for the reducer.
func WithPolicy(opts ...core.Option) Option {
	return func(o *options) { o.policy = append(o.policy, opts...) }
}

// WithClock sets the reducer's clock; the default is MonotonicClock.
func WithClock(now Clock) Option { return func(o *options) { o.now = now } }

// WithWorker makes an agent access its worker through w instead of
// WorkerService.
func WithWorker(w Worker) Option { return func(o *options) { o.worker = w } }

// WithTable lets an agent that gets no answer from any entry read the rows of
// the entries from t.
func WithTable(t table.Table) Option {
	return func(o *options) {
		o.table = t
		o.policy = append(o.policy, func(p *core.Policy) { p.FindEntries = true })
	}
}

func newOptions(opts []Option) options {
	o := options{log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}
	for _, f := range opts {
		f(&o)
	}
	if o.now == nil {
		o.now = MonotonicClock()
	}
	return o
}
