package virtual_test

import (
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/deployment"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// TestDumpIsBounded checks that the lists of the state dump end, and that the dump
// tells how much it leaves out.
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
		t.Errorf("%d services are listed and %d omitted, of %d", listed, dump.OmittedServices, services)
	}
	if all := len(w.State("host-1").Config().Services); all != services {
		t.Errorf("the dump left the configuration with %d services", all)
	}
}
