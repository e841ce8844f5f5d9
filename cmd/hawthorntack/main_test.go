package main

import (
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

// Ports for listeners of scripts lie below those that the system gives to
// connections and to listeners without a port, so that none of these takes one
// between its choice and its use.
const (
	lowestPort = 20000
	portCount  = 12000
)

// nextPort is the next port to try, counted from lowestPort. Test processes that
// run side by side begin at different ports.
var nextPort = uint32(os.Getpid() * 64)

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	var last error
	for range portCount {
		port := lowestPort + atomic.AddUint32(&nextPort, 1)%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
		last = err
	}
	return "", last
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
