package deployment

import (
	"fmt"
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// TestDeploymentsRoundTripAsStatements checks that the configuration of each
// deployment can be printed as statements, parsed and applied again.
func TestDeploymentsRoundTripAsStatements(t *testing.T) {
	for _, name := range []string{"demo", "aranguiz", "hinokuni"} {
		d, ok := ByName(name)
		if !ok {
			t.Errorf("no deployment %s", name)
			continue
		}
		port := 0
		config, err := d.Configure(func(model.UpstreamID, Shape, []model.Holding) (string, error) {
			port++
			return fmt.Sprintf("127.0.0.1:%d", port), nil
		})
		if err != nil {
			t.Fatal(err)
		}
		printed := statement.Print(config)
		script, failure := statement.Parse(printed)
		if failure != nil {
			t.Fatalf("%s: %v", name, failure)
		}
		applied, failure := statement.Apply(&model.Config{}, script.Changes)
		if failure != nil {
			t.Errorf("%s is rejected: %v", name, failure)
			continue
		}
		if len(applied.Services) != len(config.Services) {
			t.Errorf("%s: %d services, want %d", name, len(applied.Services), len(config.Services))
		}
	}
}
