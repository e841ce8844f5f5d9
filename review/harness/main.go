package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	reason string
}

// caseFunc plays one case on a fleet that has not started any node yet. trouble is false if the
// disruption is to be left out.
type caseFunc func(f *fleet, trouble bool) (verdict, error)

// cases lists the cases by name.
var cases = map[string]caseFunc{
	"repeated-refusal":  repeatedRefusal,
	"long-answer":       longAnswer,
	"popular-content":   popularContent,
	"huge-limit":        hugeLimit,
	"odd-entry":         oddEntry,
	"impatient-callers": impatientCallers,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and returns the exit code.
func run(name, recordPath string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	directory, err := os.MkdirTemp("", "hawthorntack-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(directory)
	program, err := filepath.Abs(filepath.Join("target", "hawthorntack"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	f, err := newFleet(program, directory, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	rec.printf("case %s, trouble %t, started %s", name, trouble, time.Now().UTC().Format(time.RFC3339))
	v, err := play(name, f, trouble)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		return exitFailed
	case v.broken:
		rec.printf("BROKEN: %s", v.reason)
		return exitBroken
	default:
		rec.printf("HELD: %s", v.reason)
		return exitHeld
	}
}

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// errInterrupted reports that a case was ended by a signal or took too long.
var errInterrupted = errors.New("interrupted")

// play plays a case. It returns early on a signal and after caseTimeout.
func play(name string, f *fleet, trouble bool) (verdict, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	type result struct {
		verdict verdict
		err     error
	}
	done := make(chan result, 1)
	go func() {
		v, err := cases[name](f, trouble)
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		return r.verdict, r.err
	case <-ctx.Done():
		return verdict{}, errInterrupted
	}
}
