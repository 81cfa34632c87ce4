// Command jayloft schedules latency-critical requests and batch jobs on shared VMs.
//
// # Usage
//
//	jayloft entry -config entry.toml    the entry process
//	jayloft agent -config agent.toml    the process beside each endpoint
//	jayloft query 'show workers'         run an operator's statement
//	jayloft check FILE...               validate settings and statements
//	jayloft explain ID FILE...          the history of a job or task from logs
//	jayloft load -experiment FILE       load tests with faults and checks
//	jayloft stand -config FILE          stand-ins for the platform and the workers
//	jayloft demo                        a whole site in one process
//	jayloft help                        all commands
//
// # Exit codes
//
//	0  done; for a process: stopped gracefully
//	1  failed, or refused; for a process: could not start, or died
//	2  wrong arguments or settings
//	3  a process was stopped, but something did not end within its grace period
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// Groups of subcommands in the help text.
const (
	groupProcess = "processes"
	groupClient  = "operators and tests"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range processes() {
		subcommands.Register(c, groupProcess)
	}
	for _, c := range clients() {
		subcommands.Register(c, groupClient)
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

func processes() []subcommands.Command {
	return []subcommands.Command{&entryCommand{}, &agentCommand{}, &standCommand{}}
}

func clients() []subcommands.Command {
	return []subcommands.Command{&queryCommand{}, &checkCommand{}, &loadCommand{}, &demoCommand{}, &explainCommand{}}
}
