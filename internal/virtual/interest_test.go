package virtual_test

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/deployment"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// TestSearchesOutsideTheSubset checks that every node of a cluster larger than a
// subset answers a search of all services with full coverage, although it receives
// updates for only a few of them, and that index reports go to few nodes.
func TestSearchesOutsideTheSubset(t *testing.T) {
	d := deployment.Demo()
	reports := 0
	counting := false
	w, err := virtual.Deploy(d, virtual.Options{
		Seed:  5,
		Hosts: virtual.Hosts(20, d.FailureDomains),
		Tune:  func(s *reducer.Settings) { s.Entry.SubsetSize = 3 },
		Deliver: func(_, _ model.HostID, m message.Message) virtual.Delivery {
			if _, ok := m.(message.IndexReport); ok && counting {
				reports++
			}
			return virtual.Delivery{}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	w.RunFor(5 * time.Second)
	counting = true
	w.RunFor(10 * time.Second)
	counting = false
	// Each of the 37 upstreams is reported again twice in 10 s, to at most the other
	// two nodes of its subset, or to all three by a dispatcher that has left it.
	// Reports to all nodes would go to 19 recipients each.
	if limit := 37 * 3 * 3; reports > limit {
		t.Errorf("%d index reports in 10 s, want at most %d", reports, limit)
	}
	for _, host := range w.Hosts() {
		for range 2 {
			answered := false
			search := event.Search{Services: []string{"counter-*"}, Query: []byte(`"verse"`)}
			w.Search(host, search, func(a model.Answer) {
				answered = a.Outcome == model.Answered && a.Coverage.Complete()
			})
			w.RunFor(time.Second)
			if !answered {
				t.Errorf("%s did not answer with full coverage", host)
			}
		}
	}
}
