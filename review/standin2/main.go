// Command review2 runs the cases of the second independent review: it starts the project's
// programs with stand-ins for the platform's store, its workers and its callers, makes one
// disturbance that the users' pages name, and checks one of their rules.
//
// # Usage
//
//	review2 CASE RECORD
//
// It runs in the repository's root and exits with 1 if the rule was broken, with 0 if it held
// and with 2 if the case couldn't run. With TROUBLE=0 it does the same without the disturbance.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	ran    bool     // all that the check needs has happened
	breaks []string // of the rule
}

// cases are the cases by name.
var cases = map[string]func(s *site, trouble bool) verdict{
	"unasked": runUnasked,
	"budget":  runBudget,
	"avail":   runAvail,
	"twice":   runTwice,
	"moved":   runMoved,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = rec.close() }()
	s, err := newSite(rec, os.Args[1] == "moved")
	if s != nil {
		defer s.close()
	}
	if err != nil {
		rec.note("not started: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stopOnSignal(s)
	return report(rec, cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0"))
}

// stopOnSignal ends all processes if the case is interrupted.
func stopOnSignal(s *site) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-c
		s.close()
		os.Exit(exitNotRun)
	}()
}

// report notes the verdict and returns the exit code.
func report(rec *record, v verdict) int {
	for _, b := range v.breaks {
		rec.note("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	switch {
	case len(v.breaks) > 0:
		return exitBroken
	case !v.ran:
		rec.note("the case could not run")
		fmt.Println("the case could not run")
		return exitNotRun
	}
	rec.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
