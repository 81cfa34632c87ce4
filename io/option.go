package io

import (
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"jayloft/core"
	"jayloft/table"
)

// Option changes how a server is built.
type Option func(*options)

type options struct {
	log    log.Interface
	policy []core.Option
	now    Clock
	worker Worker
	table  table.Table
}

// WithLog sets where the notes of the reducer go; by default they are dropped.
func WithLog(l log.Interface) Option { return func(o *options) { o.log = l } }

// WithPolicy sets the options that the reducer is built with.
func WithPolicy(opts ...core.Option) Option {
	return func(o *options) { o.policy = append(o.policy, opts...) }
}

// WithClock sets the reducer's clock, by default MonotonicClock.
func WithClock(now Clock) Option { return func(o *options) { o.now = now } }

// WithWorker makes an agent speak to its worker by w rather than by jayloft's
// own protocol.
func WithWorker(w Worker) Option { return func(o *options) { o.worker = w } }

// WithTable lets an agent that hears from no entry look their rows up in t.
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
