// Command standin plays a case of the review: it starts the project's own programs as
// separate processes, with small stand-ins for the platform, its workers and its requesters,
// and checks one rule of the users' pages.
//
// # Usage
//
//	standin -case NAME -dir FOLDER
//
// It runs in the root of the repository, after the build of deploy/system.toml. It writes
// record.txt in the folder, and exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit ends a case that takes too long.
const timeLimit = 115 * time.Second

// testCase is a case of the review. It reports whether the rule was broken.
type testCase struct {
	zones            []string
	entries, workers int
	play             func(s *site, trouble bool) (broken bool)
}

var cases = map[string]testCase{
	"row-size":  {zones: zonesNorte, entries: 3, workers: 3, play: playRowSize},
	"failed-on": {zones: zonesDar, entries: 3, workers: 3, play: playFailedOn},
	"fills":     {zones: zonesDar, entries: 3, workers: 3, play: playFills},
	"renamed":   {zones: zonesDar, entries: 3, workers: 3, play: playRenamed},
	"ping":      {zones: zonesDar, entries: 3, workers: 3, play: playForeignPing},
}

func main() {
	name := flag.String("case", "", "`name` of the case")
	dir := flag.String("dir", ".", "`folder` of the record")
	flag.Parse()
	os.Exit(runCase(*name, *dir))
}

// runCase plays a case and returns the exit code.
func runCase(name, dir string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Println("no such case:", name)
		return exitNotRun
	}
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	time.AfterFunc(timeLimit, func() {
		rec.say("the case was given up after %v", timeLimit)
		os.Exit(exitNotRun)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := newSite(ctx, rec, c)
	if s != nil {
		defer s.end()
	}
	if err != nil {
		rec.say("the site did not start: %v", err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("disruption: %v", trouble)
	if c.play(s, trouble) {
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
