// Package io runs the reducers of package core: it feeds them events from the
// network and from timers, and executes the effects that they return.
//
// An EntryServer and an AgentServer each own one reducer. HTTP and RPC
// requests, responses of other processes and timers become events; the
// reducer's effects become calls, replies, counters and log lines. Events are
// reduced one at a time under a mutex, on the goroutine that posts them, and no
// effect blocks the next event.
//
// Every call to another process has a timeout, and the number of concurrent
// calls is bounded. A failed call is reported as core.FaultNotSent only if it
// is certain that nothing was sent, and as core.FaultNoAnswer otherwise.
// Processes communicate over unencrypted HTTP/2 with one connection for each
// pair. Callers' requests use a bounded pool of HTTP/1 connections first, since
// the latency of a single call is lower there.
//
// # Usage
//
//	e := io.NewEntry(site, io.NewTable(platform), io.WithLog(logger))
//	srv, err := io.Listen(site.Addr, e.Peers(), io.WithHTTP2())
//	if err != nil {
//		return err
//	}
//	e.Start()
//	// …
//	e.Leave(ctx)       // completes or hands over all accepted work
//	srv.Shutdown(ctx)  // waits for requests in flight
//	e.Close()
//
// The package has the name of the standard library's io, which its files import
// as stdio.
package io
