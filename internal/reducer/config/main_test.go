package config_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of rapid checks; flags on the command line
// override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "8"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
