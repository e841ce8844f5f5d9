package virtual_test

import (
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/deployment"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// TestDumpIsBounded checks that the state dump limits the length of its lists and
// states how many entries it omits, and that this leaves the configuration itself
// unchanged.
func TestDumpIsBounded(t *testing.T) {
	const services = 300
	d := deployment.Demo()
	d.Groups = d.Groups[:1]
	d.Groups[0].Services = services
	d.Groups[0].Shape.Upstreams = 1
	w, err := virtual.Deploy(d, virtual.Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	dump := w.State("host-1").Describe(w.Now())
	listed := len(dump.Config.Services)
	if listed >= services || listed+dump.OmittedServices != services {
		t.Errorf("dump lists %d services and omits %d, want fewer than all and a sum of %d", listed, dump.OmittedServices, services)
	}
	if all := len(w.State("host-1").Config().Services); all != services {
		t.Errorf("configuration has %d services after the dump", all)
	}
}
