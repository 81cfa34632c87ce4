// Package config reads the settings of jayloft's processes.
//
// Settings are one TOML file for each process. Its tables are [entry], [agent]
// or [stand] for the process, and [log] and [policy] for what all of them
// share. Reading is strict: unknown keys, values of a wrong type or unit,
// values out of range, addresses that clash, missing keys and duplicate names
// are findings. All findings of a file are reported together, each with its
// line and column.
//
// Addresses are IP numbers with a port. Lengths of time have units ("15s",
// "500ms"), and so have amounts of memory ("60GB").
//
// # Usage
//
//	f, err := config.Load("entry.toml")
//	if err != nil {
//		// err is a Findings unless the file can't be read
//	}
//	if f.Entry != nil {
//		e := core.NewEntry(site, f.Options()...)
//	}
package config

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"jayloft/core"
)

// File is the settings of one process.
type File struct {
	Entry *Entry // nil unless the file has [entry]
	Agent *Agent // nil unless the file has [agent]
	Stand *Stand // nil unless the file has [stand]
	// Platform is nil unless the file has [platform]: without it an entry and
	// an agent speak jayloft's own protocols to the table and the worker.
	Platform *Platform
	Log      Log
	// Policy is core.DefaultPolicy with the changes that [policy] makes.
	Policy core.Policy
}

// Entry is the settings of an entry.
type Entry struct {
	Name    string         // of the VM; a life of the process adds its own part
	Callers netip.AddrPort // HTTP for callers
	Peers   netip.AddrPort // RPC for agents, operators and other entries
	Metrics netip.AddrPort // HTTP for counters; not valid if there is none
	Table   netip.AddrPort // the platform's table
	Objects netip.AddrPort // the platform's object store; Table unless set
	Grace   time.Duration  // for requests in flight at a planned stop
}

// Agent is the settings of an agent.
type Agent struct {
	Worker  core.WorkerID
	DC      core.DC
	Rack    core.Rack
	Addr    netip.AddrPort   // RPC for entries
	Entries []netip.AddrPort // Peers of some entries, to start from
	VM      netip.AddrPort   // the worker's own interface
	Metrics netip.AddrPort   // HTTP for counters; not valid if there is none
	Grace   time.Duration    // for tasks and requests at a planned stop
}

// Platform is the settings of a process that runs on a platform with protocols
// of its own.
type Platform struct {
	Store      netip.AddrPort // keeps the rows
	Front      netip.AddrPort // entry: serves callers of queues here
	Ready      netip.AddrPort // entry: tells the balancer here whether it may be given work
	Heartbeats netip.AddrPort // agent: takes its worker's heartbeats here
	Worker     netip.AddrPort // agent: the worker's own interface
	DCs        []string       // the data centres of the site
}

// Stand is the settings of the stand-ins for the platform and its workers.
type Stand struct {
	Platform netip.AddrPort // serves table and objects here; not valid if not here
	Objects  netip.AddrPort // object store of the workers; Platform unless set
	Seed     uint64         // of the stand-ins' random choices
	Slips    string         // CSV file of slips, relative to the settings file
	Workers  []Worker
}

// Worker is the settings of one worker's stand-in.
type Worker struct {
	Name     core.WorkerID
	DC       core.DC
	Rack     core.Rack
	Addr     netip.AddrPort // the worker's own interface
	Size     core.Size      // cores, memory, accelerators
	Slots    int            // requests that the endpoint runs at once
	Services []string       // that the endpoint runs
}

// Log is the settings of the log.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // text or json
}

// Options returns the options that build a reducer with the file's policy.
func (f File) Options() []core.Option {
	return []core.Option{core.WithPolicy(f.Policy)}
}

// Load reads the settings in a file. Its error is a Findings, or says why the
// file could not be read.
func Load(path string) (File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, b)
}
