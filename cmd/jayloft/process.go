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

// exitGraceExceeded reports that something did not end within the grace period.
const exitGraceExceeded subcommands.ExitStatus = 3

const (
	startTimeout = 15 * time.Second
	closeMargin  = 5 * time.Second // after the grace period, to close connections
)

// load reads the settings and prints all errors in them to stderr. The result is
// valid only if the bool is true.
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

// loadTable is load for a command that needs one table of the settings, which table
// returns.
func loadTable[T any](path, name string, table func(config.File) *T) (config.File, *T, bool) {
	f, ok := load(path)
	if !ok {
		return f, nil, false
	}
	t := table(f)
	if t == nil {
		fmt.Fprintf(os.Stderr, "%s: the [%s] table is missing\n", path, name)
	}
	return f, t, t != nil
}

// server is the part of a process that does its work: an entry, an agent or the
// stand-ins.
type server interface {
	Start()
	Leave(ctx context.Context) error
	Close()
}

// binding is a listening address of a process and its handler.
type binding struct {
	addr    netip.AddrPort
	handler http.Handler
	opts    []io.ListenOption
}

// process binds a server to the lifecycle of an fx application. start opens all
// listeners and then starts the server; stop lets the server leave gracefully,
// shuts down the listeners and closes the server.
type process struct {
	server   server
	bindings []binding
	grace    time.Duration
	log      log.Interface
	guard    *io.Guard // of all bindings

	listeners []*io.Server
}

func (p *process) start(context.Context) error {
	for _, s := range p.bindings {
		if !s.addr.IsValid() {
			continue
		}
		srv, err := io.Listen(s.addr, s.handler, append(s.opts, io.WithGuard(p.guard))...)
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

// register adds the process's start and stop hooks to the lifecycle.
func register(lc fx.Lifecycle, p *process) {
	lc.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
}

// awaitEnd waits for the signal that ends the process. On each SIGHUP it reads the
// settings again and logs errors in them, or that changes require a restart.
// Settings are not reloaded because other processes rely on the policy values.
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
