package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// errNotRun reports that a case could not be played.
var errNotRun = errors.New("the case could not run")

// cases play a case and return what breaks its rule, one line each.
var cases = map[string]func(s *site, trouble bool) ([]string, error){
	"ends":    playEnds,
	"stops":   playStops,
	"gone":    playGone,
	"removed": playRemoved,
}

func main() {
	name := flag.String("case", "", "name of the case")
	repo := flag.String("repo", ".", "the repository")
	path := flag.String("record", "record.txt", "where to write what happened")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(play(*name, *repo, *path, *trouble))
}

func play(name, repo, path string, trouble bool) int {
	rec, err := newRecorder(path)
	f := cases[name]
	if err != nil || f == nil {
		fmt.Println("no such case, or no record:", name, err)
		return failed
	}
	s, err := newSite(repo, rec)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer s.close()
	began := time.Now()
	breaks, err := f(s, trouble)
	if err != nil {
		rec.add("not run: %v", err)
		fmt.Println("not run:", err)
		return failed
	}
	for i, b := range breaks {
		rec.add("BROKEN: %s", b)
		if i < 5 {
			fmt.Println("BROKEN:", b)
		}
	}
	rec.add("%d times broken", len(breaks))
	fmt.Printf("%s: trouble %t, %d times broken, %.0f s\n", name, trouble, len(breaks), time.Since(began).Seconds())
	if len(breaks) > 0 {
		return broken
	}
	return held
}
