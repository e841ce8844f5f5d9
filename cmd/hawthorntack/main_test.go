package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
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
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
