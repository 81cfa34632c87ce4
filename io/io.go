// Package io carries out what the reducers of package core decide.
//
// An EntryServer and an AgentServer each own one reducer. HTTP and RPC
// handlers, the answers of other processes and a timer turn into events; the
// reducer's effects turn into calls, replies, counters and lines of the log.
// Events are reduced one at a time under a mutex, so that a handler's own
// goroutine does the work, and no effect is carried out in a way that blocks
// the next event.
//
// Every call to another process has a timeout and a bound on how many run at
// once. A call that failed is reported as core.FaultNotSent only if it is
// certain that nothing has left this process, and as core.FaultNoAnswer otherwise.
// Processes talk over unencrypted HTTP/2 with one connection for each pair.
// Callers' requests go over a bounded pool of HTTP/1 connections first, since
// one call takes less time there.
//
// # Usage
//
//	e := io.NewEntry(site, io.NewTable(platform), io.WithLog(logger))
//	srv, err := io.Listen(site.Addr, e.Peers())
//	if err != nil {
//		return err
//	}
//	e.Start()
//	// …
//	e.Leave(ctx)       // answers or hands over all that it holds
//	srv.Shutdown(ctx)  // no request in flight is cut off
//	e.Close()
//
// The package shares its name with the standard one; its files don't need
// both.
package io
