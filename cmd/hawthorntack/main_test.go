package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hawthorntack/hawthorntack/internal/loopback"
)

// Limits of waiting for a process to become ready.
const (
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// TestMain makes the command available to the scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"hawthorntack": func() {
			os.Exit(run(os.Args[1:], streams{in: os.Stdin, out: os.Stdout, err: os.Stderr}))
		},
	})
}

// TestScripts runs the scripts in testdata/script, which call the command line.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setAddresses,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"waitfor":       waitFor,
			"startdemo":     startDemo,
			"startplatform": startPlatform,
			"signal":        sendSignal,
			"page":          runPage,
			"certificates":  makeCertificates,
			"waitfortls":    waitForTLS,
		},
	})
}

// addressCount is the number of addresses a script may listen on: $ADDRESS1 and so on.
const addressCount = 8

// setAddresses sets $ADDRESS1 and so on to free loopback addresses, and $ROOT to the
// root of the repository.
func setAddresses(env *testscript.Env) error {
	for i := range addressCount {
		address, err := loopback.FreeAddress()
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

// waitFor implements "waitfor URL [TEXT]": it waits until the URL answers with status 200
// and, if a text is given, a body that contains it.
func waitFor(ts *testscript.TestScript, negated bool, arguments []string) {
	if negated || len(arguments) < 1 || len(arguments) > 2 {
		ts.Fatalf("usage: waitfor URL [TEXT]")
	}
	text := strings.Join(arguments[1:], "")
	for start := time.Now(); time.Since(start) < readyTimeout; time.Sleep(readyPollInterval) {
		response, err := http.Get(arguments[0])
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && strings.Contains(string(body), text) {
			return
		}
	}
	ts.Fatalf("%s did not answer", strings.Join(arguments, " "))
}
