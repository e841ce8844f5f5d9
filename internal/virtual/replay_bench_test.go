package virtual_test

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/deployment"
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// Number of searches in the recorded run and the interval between them.
const (
	benchSearches       = 2000
	benchSearchInterval = 2 * time.Millisecond
)

// BenchmarkReducer replays the events of one of four nodes, recorded while callers
// searched ten services through all nodes. An iteration replays all events; the
// time per event is reported as ns/event.
func BenchmarkReducer(b *testing.B) {
	settings, envelopes := recordSearches(b)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		state := reducer.New(settings)
		b.StartTimer()
		for _, envelope := range envelopes {
			state.Reduce(envelope)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(envelopes)), "ns/event")
	b.ReportMetric(float64(len(envelopes))/benchSearches, "events/search")
}

// recordSearches runs the searches and returns the settings and events of one node.
func recordSearches(b *testing.B) (reducer.Settings, []event.Envelope) {
	b.Helper()
	const recorded = model.HostID("host-1")
	var envelopes []event.Envelope
	w, err := virtual.Deploy(deployment.Demo(), virtual.Options{
		Seed: 11,
		Observe: func(host model.HostID, envelope event.Envelope, _ []effect.Effect) {
			if host == recorded {
				envelopes = append(envelopes, envelope)
			}
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	hosts := w.Hosts()
	answered := 0
	for i := range benchSearches {
		w.After(time.Duration(i)*benchSearchInterval, func() {
			search := event.Search{Services: []string{"counter-*"}, Query: []byte(`{"text":"verse"}`)}
			w.Search(hosts[i%len(hosts)], search, func(a model.Answer) {
				if a.Outcome == model.Answered {
					answered++
				}
			})
		})
	}
	w.RunFor(benchSearches*benchSearchInterval + time.Second)
	if answered != benchSearches {
		b.Fatalf("%d of %d searches were answered", answered, benchSearches)
	}
	return w.Settings(recorded), envelopes
}
