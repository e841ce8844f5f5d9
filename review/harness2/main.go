// Command harness2 runs the scripted cases of the second review. Each case starts the program as
// separate processes, with stand-ins for the store, the backends and the requesters.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// maxDuration bounds the duration of a case.
const maxDuration = 100 * time.Second

// scenario runs a case and returns how often the rule was broken.
type scenario func(d *deployment, trouble bool) (broken int, err error)

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"foreign-service": foreignService,
	"false-refusal":   falseRefusal,
	"half-closed":     halfClosed,
	"late-drain":      lateDrain,
	"late-copy":       lateCopy,
	"dark-crash":      darkCrash,
	"store-moved":     storeMoved,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/hawthorntack", "path of the program")
	output := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	os.Exit(run(*name, *program, *output))
}

// run runs a case and returns the exit status.
func run(name, program, output string) int {
	selected, known := scenarios[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return statusNotRun
	}
	file, err := os.Create(output)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer file.Close()
	r := newRecord(file)
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case", "name", name, "trouble", trouble)
	broken, err := runScenario(selected, program, r, trouble)
	if err != nil {
		r.add("not run", "reason", err)
		fmt.Printf("%s, trouble %t: could not run: %v\n", name, trouble, err)
		return statusNotRun
	}
	r.add("result", "rule broken", broken)
	fmt.Printf("%s, trouble %t: rule broken %d times\n", name, trouble, broken)
	if broken > 0 {
		return statusBroken
	}
	return statusHeld
}

var (
	// errTimeout reports that a case has taken longer than maxDuration.
	errTimeout = errors.New("the case has taken too long")
	// errInterrupted reports that the case was told to end.
	errInterrupted = errors.New("the case was interrupted")
)

// runScenario runs a scenario on a new deployment, and ends all processes.
func runScenario(selected scenario, program string, r *record, trouble bool) (int, error) {
	d, err := newDeployment(program, r)
	if err != nil {
		return 0, err
	}
	defer d.close()
	type outcome struct {
		broken int
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := selected(d, trouble)
		done <- outcome{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(interrupted)
	select {
	case <-interrupted:
		return 0, errInterrupted
	case o := <-done:
		return o.broken, o.err
	case <-time.After(maxDuration):
		return 0, errTimeout
	}
}
