package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds the time of a case.
const maxTime = 110 * time.Second

// cases maps the name of a case to its function, which returns the violations of the rule.
var cases = map[string]func(run *run) ([]string, error){
	"split-scale":    splitScale,
	"changing-query": changingQuery,
	"other-case":     otherCase,
	"no-born":        noBorn,
}

// run is one run of a case.
type run struct {
	// trouble is false if the case is played without its disruption.
	trouble bool
	record  *record
	fleet   *fleet
}

func main() { os.Exit(play()) }

// play plays the case that the arguments name and returns the exit code.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		return exitNotRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", record: record, fleet: &fleet{record: record}}
	defer r.fleet.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
			record.printf("the case was interrupted")
		case <-time.After(maxTime):
			record.printf("the case took too long")
		}
		r.fleet.stop()
		record.close()
		os.Exit(exitNotRun)
	}()
	violations, err := cases[os.Args[1]](r)
	if err != nil {
		record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, violation := range violations {
		record.printf("VIOLATION %s", violation)
	}
	if len(violations) > 0 {
		fmt.Printf("broken: %d violations; the first: %s\n", len(violations), violations[0])
		return exitBroken
	}
	record.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
