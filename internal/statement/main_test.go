package statement

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed for reproducible runs. Flags on
// the command line override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
