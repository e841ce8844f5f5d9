package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Bounds of waiting for a process.
const (
	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// TestMain lets the scripts run the command itself.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"hawthorntack": func() {
			os.Exit(run(os.Args[1:], streams{in: os.Stdin, out: os.Stdout, err: os.Stderr}))
		},
	})
}

// TestScripts runs the command line as a user would.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setFreePorts,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"waitfor":      waitFor,
			"startdemo":    startDemo,
			"page":         runPage,
			"certificates": makeCertificates,
			"waitfortls":   waitForTLS,
		},
	})
}

// freePorts is how many addresses a script may listen on: $ADDRESS1 and so on.
const freePorts = 8

// Ports that scripts listen on. They lie below the range from which systems
// commonly take the ports of outgoing connections, so that none takes a port
// between its choice and its use.
const (
	lowestPort  = 12000
	highestPort = 31999
)

// lastPort is the port that was given out last; scripts run side by side, and so
// may other test processes, which start elsewhere.
var lastPort atomic.Int64

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	for range highestPort - lowestPort {
		port := lowestPort + (int64(os.Getpid())*101+lastPort.Add(1))%(highestPort-lowestPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		return listener.Addr().String(), listener.Close()
	}
	return "", errors.New("no free port")
}

// setFreePorts gives a script loopback addresses that are free.
func setFreePorts(env *testscript.Env) error {
	for i := range freePorts {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		env.Setenv(fmt.Sprintf("ADDRESS%d", i+1), address)
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		return err
	}
	env.Setenv("ROOT", root)
	return nil
}

// waitFor waits until a URL answers with status 200: "waitfor URL".
func waitFor(ts *testscript.TestScript, negated bool, arguments []string) {
	if negated || len(arguments) != 1 {
		ts.Fatalf("usage: waitfor URL")
	}
	for begin := time.Now(); time.Since(begin) < readyTimeout; time.Sleep(readyPoll) {
		response, err := http.Get(arguments[0])
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	ts.Fatalf("%s did not answer", arguments[0])
}
