package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/google/subcommands"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"jayloft/config"
	"jayloft/io"
)

// exitGraceExceeded says that something did not end in its grace.
const exitGraceExceeded subcommands.ExitStatus = 3

const (
	gcPercent    = 400      // fewer collections; heaps are small
	memoryLimit  = 96 << 20 // bytes, from which on collections are frequent again
	startTimeout = 15 * time.Second
	closeMargin  = 5 * time.Second // after the grace, to close connections
)

// load reads the settings and reports everything that is wrong with them.
func load(path string) (config.File, bool) {
	if path == "" {
		fmt.Fprintln(os.Stderr, "-config is missing")
		return config.File{}, false
	}
	f, err := config.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return config.File{}, false
	}
	return f, true
}

// server is what a process runs: one of io's two servers.
type server interface {
	Start()
	Leave(ctx context.Context) error
	Close()
}

// binding is one address of a process and what it answers there.
type binding struct {
	addr    netip.AddrPort
	handler http.Handler
}

// process ties a server to the lifecycle of an fx application. Start listens
// everywhere and then begins to work; stop leaves gracefully, shuts the
// listeners down and ends.
type process struct {
	server server
	bindings  []binding
	grace  time.Duration
	log    log.Interface

	listeners []*io.Server
}

func (p *process) start(context.Context) error {
	for _, s := range p.bindings {
		if !s.addr.IsValid() {
			continue
		}
		srv, err := io.Listen(s.addr, s.handler)
		if err != nil {
			return err
		}
		p.listeners = append(p.listeners, srv)
	}
	p.server.Start()
	p.log.Info("started")
	return nil
}

func (p *process) stop(ctx context.Context) error {
	p.log.WithField("grace", p.grace.String()).Info("leaving")
	leave, cancel := context.WithTimeout(ctx, p.grace)
	defer cancel()
	err := p.server.Leave(leave)
	var down errgroup.Group
	for _, srv := range p.listeners {
		down.Go(func() error { return srv.Shutdown(ctx) })
	}
	err = errors.Join(err, down.Wait())
	p.server.Close()
	if err != nil {
		p.log.WithError(err).Error("not everything ended in its grace")
		return err
	}
	p.log.Info("stopped")
	return nil
}

// register hooks the process into the lifecycle.
func register(lc fx.Lifecycle, p *process) {
	lc.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
}

// awaitEnd waits for the signal that ends a process. At each SIGHUP it reads the
// settings again: what is wrong with them is logged, and so is that changes take
// a restart, since the other processes rely on the numbers of policy.
func awaitEnd(l log.Interface, path string, ended <-chan fx.ShutdownSignal, reload <-chan os.Signal) {
	for {
		select {
		case <-ended:
			return
		case <-reload:
			if path == "" {
				l.Info("there are no settings to read again")
				continue
			}
			if _, err := config.Load(path); err != nil {
				l.WithError(err).Error("settings changed and can't be used; the old ones stay in force")
				continue
			}
			l.Info("settings read again; changes take effect at the next start")
		}
	}
}

// run starts an application, waits for SIGTERM or SIGINT and stops it.
func run(l log.Interface, path string, grace time.Duration, opts ...fx.Option) subcommands.ExitStatus {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	opts = append(opts, fx.NopLogger, fx.Invoke(register),
		fx.StartTimeout(startTimeout), fx.StopTimeout(grace+closeMargin))
	app := fx.New(opts...)
	if err := app.Err(); err != nil {
		l.WithError(err).Error("can't be put together")
		return subcommands.ExitFailure
	}
	ctx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(ctx); err != nil {
		l.WithError(err).Error("can't start")
		return subcommands.ExitFailure
	}
	awaitEnd(l, path, app.Wait(), reload)
	ctx, cancel = context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		return exitGraceExceeded
	}
	return subcommands.ExitSuccess
}
