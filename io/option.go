package io

import (
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"jayloft/core"
)

// Option changes how a server is built.
type Option func(*options)

type options struct {
	log    log.Interface
	policy []core.Option
}

// WithLog sets where the notes of the reducer go; by default they are dropped.
func WithLog(l log.Interface) Option { return func(o *options) { o.log = l } }

// WithPolicy sets the options that the reducer is built with.
func WithPolicy(opts ...core.Option) Option {
	return func(o *options) { o.policy = append(o.policy, opts...) }
}

func newOptions(opts []Option) options {
	o := options{log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}
	for _, f := range opts {
		f(&o)
	}
	return o
}
