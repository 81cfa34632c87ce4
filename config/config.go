// Package config reads the settings of jayloft's processes.
//
// Each process has its own TOML file. The table [entry], [agent] or [stand]
// configures the process; [platform], [log] and [policy] may be present in the
// file of any process. Parsing is strict: unknown keys, values of a wrong type
// or unit, values out of range, conflicting addresses, missing keys and
// duplicate names are findings. All findings of a file are reported together,
// each with its line and column.
//
// An address is an IP address with a port. Durations ("15s", "500ms") and
// amounts of memory ("60GB") need a unit.
//
// # Usage
//
//	f, err := config.Load("entry.toml")
//	if err != nil {
//		// err is a config.Findings unless the file can't be read
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

// File holds the settings of one process.
type File struct {
	Entry *Entry // nil unless the file has [entry]
	Agent *Agent // nil unless the file has [agent]
	Stand *Stand // nil unless the file has [stand]
	// Platform is nil unless the file has [platform]. Without it, an entry and
	// an agent use jayloft's own protocols for the table and the worker.
	Platform *Platform
	Log      Log
	// Policy is core.DefaultPolicy with the overrides in [policy].
	Policy core.Policy
}

// Entry holds the settings of an entry.
type Entry struct {
	Name    string         // of the VM; each incarnation of the process adds a suffix
	Callers netip.AddrPort // HTTP listener for requests
	Peers   netip.AddrPort // RPC listener for agents, operators and other entries
	Metrics netip.AddrPort // HTTP listener for metrics; the zero value disables it
	Table   netip.AddrPort // the platform's table
	Objects netip.AddrPort // the platform's object store; default Table
	Grace   time.Duration  // for requests in flight at a graceful shutdown
	// DC and Millicores say where the entry runs and how much processor time it may
	// use; zero values if they are not known.
	DC         core.DC
	Millicores int64
	Memory     int64 // bytes that the process may use; zero if the settings don't say
}

// Agent holds the settings of an agent.
type Agent struct {
	Worker  core.WorkerID
	DC      core.DC
	Rack    core.Rack
	Addr    netip.AddrPort   // RPC listener for entries
	Entries []netip.AddrPort // Peers addresses of some entries, for bootstrap
	VM      netip.AddrPort   // API of the worker
	Metrics netip.AddrPort   // HTTP listener for metrics; the zero value disables it
	Grace   time.Duration    // for tasks and requests at a graceful shutdown
	Memory  int64            // bytes that the process may use; zero if the settings don't say
}

// Platform holds the settings of a process on a platform that has its own
// protocols.
type Platform struct {
	Store      netip.AddrPort // row store of the platform
	Front      netip.AddrPort // entry: HTTP listener for the jobs of callers
	Ready      netip.AddrPort // entry: listener for readiness probes of the load balancer
	Heartbeats netip.AddrPort // agent: listener for heartbeats of its worker
	Worker     netip.AddrPort // agent: API of the worker
	DCs        []string       // all data centres of the site
}

// Stand holds the settings of the stand-ins for the platform and its workers.
type Stand struct {
	Platform netip.AddrPort // listener for table and object store; the zero value disables it
	Objects  netip.AddrPort // object store that the workers use; default Platform
	Seed     uint64         // of the random numbers in the stand-ins
	Slips    string         // path of the CSV file of slips; a relative path starts at the settings file
	Workers  []Worker
}

// Worker holds the settings of one worker's stand-in.
type Worker struct {
	Name     core.WorkerID
	DC       core.DC
	Rack     core.Rack
	Addr     netip.AddrPort // listener for the API of the worker
	Size     core.Size      // cores, memory, accelerators
	Slots    int            // concurrent requests of the endpoint
	Services []string       // served by the endpoint
}

// Log holds the settings of the log.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // text or json
}

// Options returns the options that give a reducer the policy of the file.
func (f File) Options() []core.Option {
	return []core.Option{core.WithPolicy(f.Policy)}
}

// Load reads and parses a settings file. The error is a Findings, or wraps the
// error of reading the file.
func Load(path string) (File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, b)
}
